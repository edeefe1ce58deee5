#include "Placement/PrefillChoice.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

/// Engines that prefill 90 tokens and fetch 1,800 tokens per millisecond.
constexpr PrefillConditions Conditions{90, 1800, 600};

/// The engine that has a shared part of 6,300 tokens cached.
PrefillOption holder(std::uint64_t BacklogTokens) {
  PrefillOption Option;
  Option.Server = 1;
  Option.BacklogTokens = BacklogTokens;
  Option.PrefillTokens = 2'890;
  return Option;
}

/// An engine with little work that fetches the shared part.
PrefillOption fetcher() {
  PrefillOption Option = holder(900);
  Option.Server = 2;
  Option.FetchTokens = 6'300;
  return Option;
}

/// An engine with little work that prefills the shared part again.
PrefillOption reader() {
  PrefillOption Option = holder(900);
  Option.Server = 3;
  Option.PrefillTokens += 6'300;
  Option.DuplicateTokens = 6'300;
  return Option;
}

std::uint64_t chosen(const PrefillOption &Wait, const PrefillOption &WithRoom) {
  return choosePrefill(Wait, WithRoom, Conditions).Chosen.Server;
}

} // namespace

// Guards against requests that are refused while engines have room: the holder
// has work for 700 ms.
Test(PrefillChoice, takesRoomIfWaitingMissesTheObjective) {
  cr_assert_eq(chosen(holder(63'000), reader()), 3U);
  cr_assert_eq(chosen(holder(63'000), fetcher()), 2U);
}

// Guards against shared parts that are prefilled again at every engine: that
// takes 70 ms of an engine and saves 53 ms here.
Test(PrefillChoice, waitsIfThatCostsLessThanPrefillingAgain) {
  cr_assert_eq(chosen(holder(12'000), reader()), 1U);
}

// Guards against waiting for the holder although a transfer takes 4 ms.
Test(PrefillChoice, fetchesIfThatCostsLessThanTheWait) {
  cr_assert_eq(chosen(holder(18'000), fetcher()), 2U);
}

// Guards against a fetch that waits for the source's link for longer than the
// request would wait for the source itself.
Test(PrefillChoice, countsTheWaitForABusyLink) {
  PrefillOption Fetch = fetcher();
  Fetch.LinkWaitMs = 400;
  cr_assert_eq(chosen(holder(18'000), Fetch), 1U);
  Fetch.LinkWaitMs = 50;
  cr_assert_eq(chosen(holder(18'000), Fetch), 2U);
}

// Guards against an engine that evicts parts which other requests use, to save
// one request a wait that does not make it late.
Test(PrefillChoice, countsEvictedPartsInUse) {
  PrefillOption Fetch = fetcher();
  Fetch.EvictedTokens = 18'900;
  cr_assert_eq(chosen(holder(18'000), Fetch), 1U);
}

// Guards against duplicate prefill for requests that are late anyway, which
// makes other requests late.
Test(PrefillChoice, waitsIfBothAreLate) {
  PrefillOption Full = reader();
  Full.BacklogTokens = 60'000;
  cr_assert_eq(chosen(holder(90'000), Full), 1U);
}

// Guards against a log line from which the reason of a choice cannot be seen.
Test(PrefillChoice, describesTheChoiceAndTheRunnerUp) {
  const std::string Text =
      textOf(choosePrefill(holder(63'000), reader(), Conditions));
  cr_assert_str_eq(Text.c_str(),
                   "chosen=3:prefill:112+70 runner-up=1:cached:732+0:late");
}
