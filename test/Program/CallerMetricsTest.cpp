#include "Program/CallerMetrics.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

bool hasLine(const std::string &Text, const std::string &Line) {
  return Text.find("\n" + Line + "\n") != std::string::npos;
}

} // namespace

// The counters of the caller server and the observed times are rendered.
Test(CallerMetrics, ShowsCountersAndTimesOfRequests) {
  ControlLoop Control(Clock::steady(), RouterCoreSettings{});
  Metrics Registry;
  CallerServer Callers(CallerSettings{}, Control, "1");
  addCallerMetrics(Registry, Callers);
  Callers.context().Counters.ConnectionsOpen = 3;
  Callers.context().Counters.countProblem(ProblemType::UnknownKey);
  RequestTiming Refused;
  Refused.Total = std::chrono::milliseconds(2);
  RequestTiming Served = Refused;
  Served.Queued = std::chrono::milliseconds(1);
  Served.FirstToken = std::chrono::milliseconds(2);
  Callers.context().Timings(Refused);
  Callers.context().Timings(Served);
  const std::string Text = Registry.render();
  cr_assert(hasLine(Text, "parsleywing_caller_connections_open 3"));
  cr_assert(hasLine(
      Text, "parsleywing_caller_problems_total{type=\"unknown-key\"} 1"));
  cr_assert(hasLine(Text, "parsleywing_request_queue_seconds_count 1"));
  cr_assert(hasLine(Text, "parsleywing_request_first_token_seconds_count 1"));
  cr_assert(hasLine(Text, "parsleywing_request_total_seconds_count 2"));
  cr_assert(hasLine(Text, "parsleywing_request_total_seconds_sum 0.004"));
}
