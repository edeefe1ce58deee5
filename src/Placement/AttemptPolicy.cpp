#include "Placement/AttemptPolicy.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

namespace {

/// Sends of one request, those that were not run included. Each costs the
/// caller time and a server a refusal; three cover a leaving server and a full
/// one in a row.
constexpr std::uint32_t MaxSends = 4;

/// With less time left than this a further send cannot be answered.
constexpr Duration LeastUsefulTime = std::chrono::milliseconds(20);

} // namespace

bool mayRetry(const RequestProgress &Known, AttemptResult Ended) {
  if (Known.Attempts >= MaxSends || Known.TimeLeft < LeastUsefulTime)
    return false;
  switch (Ended) {
  case AttemptResult::Served:
    return false;
  case AttemptResult::NotSent:
  case AttemptResult::NotRun:
    return true;
  case AttemptResult::ErrorResponse:
  case AttemptResult::NoResponse:
  case AttemptResult::Truncated:
    return Known.Repeatable && Known.Runs < Known.MaxRuns;
  }
  return false;
}

bool countsAsRetry(AttemptResult Ended) {
  return Ended != AttemptResult::NotSent;
}

NextStep nextStep(const RequestProgress &Known, AttemptResult Ended,
                  bool SendAgain) {
  if (Ended == AttemptResult::Served)
    return NextStep::Done;
  if (SendAgain) {
    PARSLEYWING_INVARIANT(Known.Repeatable || Known.Runs == 0,
                          "a request that may run once at most is not sent "
                          "again after it may have run");
    return NextStep::Retry;
  }
  if (Known.ResponseStarted)
    return NextStep::Truncate;
  if (Ended == AttemptResult::ErrorResponse)
    return NextStep::ForwardError;
  return Known.Runs == 0 ? NextStep::Refuse : NextStep::FailUncertain;
}

} // namespace parsleywing
