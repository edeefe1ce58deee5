#include "standin/EngineFaults.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <array>
#include <utility>

namespace parsleywing::standin {

namespace {

constexpr std::array<std::pair<const char *, bool EngineFaults::*>, 15> Flags{{
    {"stall", &EngineFaults::Stall},
    {"silent", &EngineFaults::Silent},
    {"refuse", &EngineFaults::Refuse},
    {"bare_refuse", &EngineFaults::BareRefuse},
    {"reject", &EngineFaults::Reject},
    {"leaving", &EngineFaults::Leaving},
    {"leaving_served", &EngineFaults::LeavingServed},
    {"close", &EngineFaults::Close},
    {"lose_answer", &EngineFaults::LoseAnswer},
    {"doubled", &EngineFaults::Doubled},
    {"wrong_metadata", &EngineFaults::WrongMetadata},
    {"no_usage", &EngineFaults::NoUsage},
    {"unframed", &EngineFaults::Unframed},
    {"on_resume", &EngineFaults::OnResume},
    {"pause_inside", &EngineFaults::PauseInside},
}};

constexpr std::array<std::pair<const char *, std::uint64_t EngineFaults::*>, 15>
    Numbers{{
        {"cut_after", &EngineFaults::CutAfter},
        {"truncate_after", &EngineFaults::TruncateAfter},
        {"crossed_after", &EngineFaults::CrossedAfter},
        {"skip_after", &EngineFaults::SkipAfter},
        {"malformed_after", &EngineFaults::MalformedAfter},
        {"oversized_after", &EngineFaults::OversizedAfter},
        {"silent_after", &EngineFaults::SilentAfter},
        {"delay_ms", &EngineFaults::DelayMs},
        {"pause_s", &EngineFaults::PauseSeconds},
        {"hold_after", &EngineFaults::HoldAfter},
        {"back_after_ms", &EngineFaults::BackAfterMs},
        {"pause_process_ms", &EngineFaults::PauseProcessMs},
        {"pause_connection_ms", &EngineFaults::PauseConnectionMs},
        {"pause_after", &EngineFaults::PauseAfter},
        {"pause_seed", &EngineFaults::PauseSeed},
    }};

} // namespace

EngineFaults readFaults(const std::string &Json) {
  Poco::JSON::Parser Parser;
  const auto Body = Parser.parse(Json).extract<Poco::JSON::Object::Ptr>();
  EngineFaults Faults;
  for (const auto &[Name, Member] : Flags)
    Faults.*Member = Body->optValue<bool>(Name, false);
  for (const auto &[Name, Member] : Numbers)
    Faults.*Member = Body->optValue<Poco::UInt64>(Name, 0);
  Faults.CrashOn = Body->optValue<std::string>("crash_on", "");
  return Faults;
}

} // namespace parsleywing::standin
