#include "Placement/EngineFleet.h"
#include "Runtime/Id.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

constexpr std::uint64_t Memory = 324'361;

AllocatorOptions weighing(bool Weighs = true) {
  AllocatorOptions Options;
  Options.WeighCachedPrompts = Weighs;
  Options.RereadInterval = std::chrono::milliseconds(5'700);
  return Options;
}

/// Prompts of 6,300 shared and 2,890 own tokens.
EngineWork longPrompts(double PerSecond, std::uint64_t SharedParts = 1) {
  EngineWork Kind;
  Kind.PerSecond = PerSecond;
  Kind.SharedParts = SharedParts;
  Kind.SharedTokens = 6'300;
  Kind.OwnTokens = 2'890;
  return Kind;
}

EngineWork middlePrompts(double PerSecond) {
  EngineWork Kind;
  Kind.PerSecond = PerSecond;
  Kind.SharedParts = 120;
  Kind.SharedTokens = 568;
  Kind.OwnTokens = 1'800;
  Kind.ObjectiveMs = 500;
  Kind.GenerationMs = 40;
  return Kind;
}

double onTimeShare(const EngineFleetCounts &Counts) {
  return static_cast<double>(Counts.OnTime) / Counts.Sent;
}

} // namespace

// Load: 461 long prompts a second with one shared part at 60 engines. Guards
// against a part that stays at one engine, where all requests then wait, and
// against one that every engine prefills again.
Test(CachedPrompts, spreadsOneSharedPart) {
  EngineFleet Fleet(60, Memory, weighing());
  Fleet.run({longPrompts(4)}, 1'000);
  const EngineFleetCounts Counts = Fleet.run({longPrompts(461)}, 3'000);
  cr_assert_geq(onTimeShare(Counts), 0.95, "%u of %u", Counts.OnTime,
                Counts.Sent);
  cr_assert_leq(Counts.RereadTokens, std::uint64_t{30} * 6'300, "%lu tokens",
                static_cast<unsigned long>(Counts.RereadTokens));
}

// Load: 1.1 times what 30 engines serve. Guards against refusals while a
// quarter of the engines have room for the prompt: at most a fifth of them.
Test(CachedPrompts, refusesFewRequestsWhileEnginesHaveRoom) {
  EngineFleet Fleet(30, Memory, weighing());
  const EngineFleetCounts Counts =
      Fleet.run({longPrompts(560, 160), middlePrompts(820)}, 5'000);
  cr_assert_leq(Counts.RefusedWithRoom * 5, Counts.Refused, "%u of %u",
                Counts.RefusedWithRoom, Counts.Refused);
}

// Load: engines whose memory hold six running prompts. Guards against grants
// that an engine cannot hold, which it would queue or preempt.
Test(CachedPrompts, grantsNoEngineMoreThanItHolds) {
  EngineWork Kind = longPrompts(120, 20);
  Kind.GenerationMs = 1'500;
  EngineFleet Fleet(20, 25'000, weighing());
  const EngineFleetCounts Counts = Fleet.run({Kind}, 4'000);
  cr_assert_eq(Counts.Overcommitted, 0U, "%u", Counts.Overcommitted);
  cr_assert_gt(Counts.OnTime, 200U, "%u", Counts.OnTime);
}

// Guards against a request that no engine can hold, granted to an idle one.
Test(CachedPrompts, neverGrantsWhatExceedsTheMemory) {
  EngineWork Kind = longPrompts(10);
  EngineFleet Fleet(4, 9'000, weighing());
  const EngineFleetCounts Counts = Fleet.run({Kind}, 500);
  cr_assert_eq(Counts.Refused, Counts.Sent);
}

// Load: requests that state 40,000 tokens of output and generate few. Guards
// against memory that stays reserved after the end of a request.
Test(CachedPrompts, releasesMemoryOfOverstatedOutput) {
  EngineWork Kind = longPrompts(60);
  Kind.StatedOutputTokens = 40'000;
  Kind.GenerationMs = 20;
  EngineFleet Fleet(20, Memory, weighing());
  const EngineFleetCounts Counts = Fleet.run({Kind}, 4'000);
  cr_assert_eq(Counts.Overcommitted, 0U);
  cr_assert_geq(onTimeShare(Counts), 0.95, "%u of %u", Counts.OnTime,
                Counts.Sent);
  const std::vector<PromptPart> Parts{{1, 1'000}};
  for (int I = 0; I < 20; ++I)
    cr_assert(Fleet.allocator().serverTable().canHold(
        Fleet.idOf(I), {&Parts, 1'000, 323'000}));
}

// Load: an engine restarts while it holds the shared part and runs requests.
// Guards against requests that wait for its old cache or memory, or fetch from
// it.
Test(CachedPrompts, servesOnAfterTheHolderRestarts) {
  EngineFleet Fleet(30, Memory, weighing());
  const EngineFleetCounts Counts =
      Fleet.run({longPrompts(300, 4)}, 4'000, [&Fleet] {
        for (int I = 0; I < 3; ++I)
          Fleet.restart(I);
      });
  cr_assert_geq(onTimeShare(Counts), 0.95, "%u of %u", Counts.OnTime,
                Counts.Sent);
}

// Load: all requests begin with one part, so that its first holders' links are
// busy. Guards against a fetch that waits longer for the link than prefilling
// the part again takes, 67 ms.
Test(CachedPrompts, doesNotFetchOverABusyLink) {
  EngineFleet Fleet(60, Memory, weighing());
  Fleet.run({longPrompts(4)}, 1'000);
  const EngineFleetCounts Counts = Fleet.run({longPrompts(1'200)}, 2'000);
  cr_assert_gt(Counts.Fetches, 0U);
  cr_assert_leq(Counts.MaxLinkWaitMs, 67, "%g ms", Counts.MaxLinkWaitMs);
}

// Load: 0.99 of what 30 engines serve of which ten work at half of the stated
// speed. Guards against requests that are sent to a slow engine because it has
// room by its stated speed, and are late there.
Test(CachedPrompts, keepsTheObjectiveWithSlowEngines) {
  EngineFleet Fleet(30, Memory, weighing());
  for (int I = 0; I < 10; ++I)
    Fleet.setSpeed(I, 0.5);
  const EngineFleetCounts Counts =
      Fleet.run({longPrompts(500, 40), middlePrompts(480)}, 5'000);
  cr_assert_geq(onTimeShare(Counts), 0.95, "%u of %u", Counts.OnTime,
                Counts.Sent);
}

// Guards against a request that waits for the engine with its shared part
// until it is late, while another engine has room: the part cannot be fetched,
// and the holder has work for 400 ms.
Test(CachedPrompts, takesRoomIfTheHolderWouldBeLate) {
  auto Listed = std::make_shared<ServerList>();
  for (const char *Id : {"e0", "e1"}) {
    GatewayServer Server;
    Server.Id = Id;
    Server.Service = "engines";
    Server.Slots = 64;
    Listed->emplace(Server.Id, Server);
  }
  GatewayConfiguration Configuration;
  Configuration.Services["engines"].KvCapacityTokens = Memory;
  Configuration.Limits.TokensPerSecond = 50'000;
  const TimePoint Now(std::chrono::seconds(1));
  const auto Request = [](std::uint64_t Number, std::uint32_t Own,
                          std::int32_t ObjectiveLeftMs) {
    AllocationRequest Asked;
    Asked.Id = {1, Number};
    Asked.Group = hashName("engines");
    Asked.Account = 1;
    Asked.Parts = {{7, 6'300}, {100 + Number, Own}};
    Asked.PromptTokens = 6'300 + Own;
    Asked.ObjectiveLeftMs = ObjectiveLeftMs;
    Asked.MaxWaitMs = 5'000;
    return Asked;
  };
  for (const bool Weighs : {false, true}) {
    Allocator Subject(weighing(Weighs));
    Subject.setServers(Listed, &Configuration, ServerGroups(*Listed));
    Subject.handle(Request(1, 4'000, 2'000), Now);
    const auto First = Subject.takeReplies();
    const auto *Holder = std::get_if<AllocationGrant>(&First.at(0));
    cr_assert_not_null(Holder);
    Subject.handle(Request(2, 1'000, 420), Now);
    const auto Second = Subject.takeReplies();
    const auto *Other = std::get_if<AllocationGrant>(&Second.at(0));
    cr_assert_eq(Other != nullptr, Weighs);
    if (!Weighs)
      continue;
    cr_assert_neq(Other->Server, Holder->Server);
    cr_assert(Other->Decision.has_value());
    cr_assert_eq(Other->Decision->RunnerUp.Server, Holder->Server);
    cr_assert_not(Other->Decision->RunnerUpEstimate.MeetsObjective);
  }
}
