#include "Backend/ResponseStreamCheck.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace parsleywing;

namespace {

constexpr std::uint64_t Tokens = 12;

std::string event(const std::string &Type, std::uint64_t Number,
                  const std::string &Fields) {
  return R"({"type":")" + Type + R"(","sequence_number":)" +
         std::to_string(Number) + "," + Fields + "}";
}

std::string responseFields(const std::string &Identity) {
  return R"("response":{"id":"resp_)" + Identity +
         R"(","metadata":{"identity":")" + Identity +
         R"("},"usage":{"output_tokens":12}})";
}

std::string chunk(const std::string &Identity, std::uint64_t Token) {
  return Identity + std::to_string(Token) + " ";
}

std::string fullText() {
  std::string Text;
  for (std::uint64_t Token = 0; Token < Tokens; ++Token)
    Text += chunk("a", Token);
  return Text;
}

/// All events of one response; the index is the sequence number.
std::vector<ServerSentEvent> eventsOf(const std::string &Identity) {
  std::vector<ServerSentEvent> Events;
  Events.push_back(
      {"", event("response.created", 0, responseFields(Identity))});
  Events.push_back(
      {"", event("response.output_item.added", 1,
                 R"("item":{"type":"message","id":"msg_)" + Identity + "\"}")});
  for (std::uint64_t Token = 0; Token < Tokens; ++Token)
    Events.push_back(
        {"", event("response.output_text.delta", Token + 2,
                   R"("item_id":"msg_)" + Identity + R"(","delta":")" +
                       chunk(Identity, Token) + "\"")});
  Events.push_back(
      {"", event("response.completed", Tokens + 2, responseFields(Identity))});
  return Events;
}

/// Returns the events of response "a" with random faults: some are lost, and
/// some are preceded by a truncated copy, by an earlier event, or by an event
/// of response "b".
std::vector<ServerSentEvent> eventsWithFaults() {
  const auto Own = eventsOf("a");
  const auto Foreign = eventsOf("b");
  std::vector<ServerSentEvent> Arriving;
  for (std::size_t Index = 0; Index < Own.size(); ++Index) {
    const int Kind = *rc::gen::inRange(0, 24);
    if (Kind == 0)
      continue;
    if (Kind == 1)
      Arriving.push_back(Foreign[Index]);
    if (Kind == 2)
      Arriving.push_back({"", Own[Index].Data.substr(0, Index)});
    if (Kind == 3)
      Arriving.push_back(Own[*rc::gen::inRange<std::size_t>(0, Index + 1)]);
    Arriving.push_back(Own[Index]);
  }
  return Arriving;
}

} // namespace

// Guards against duplicate, missing or foreign text in a response, for random
// combinations of lost, duplicated, truncated and foreign events over several
// connections. Fails without any one of the checks of identity, item and
// sequence number.
Test(ResponseStreamCheck, ForwardedTextIsAlwaysAPrefixOfTheResponse) {
  ::setenv("RC_PARAMS", "seed=20261202 max_success=3000", 0);
  const bool Holds = rc::check([] {
    BackendCounters Counters;
    ResumePoint Start;
    std::string Forwarded;
    for (int Connection = 0; Connection < 4; ++Connection) {
      ResponseStreamCheck Check("a", Start, Counters);
      auto Verdict = StreamVerdict::Skip;
      for (const ServerSentEvent &Next : eventsWithFaults()) {
        Verdict = Check.processEvent(Next);
        if (Verdict == StreamVerdict::Forward)
          Forwarded += Check.text();
        else if (Verdict != StreamVerdict::Skip)
          break;
      }
      RC_ASSERT(fullText().starts_with(Forwarded));
      if (Verdict == StreamVerdict::Finished)
        RC_ASSERT(Forwarded == fullText());
      RC_ASSERT(Check.point().TextOffset == Forwarded.size());
      if (Verdict == StreamVerdict::Finished ||
          Verdict == StreamVerdict::Foreign)
        return;
      Start = Check.point();
    }
  });
  cr_assert(Holds);
}
