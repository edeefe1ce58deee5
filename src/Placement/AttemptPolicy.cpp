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

bool maySendAgain(const RequestProgress &Known, SendOutcome Ended) {
  if (Known.Sends >= MaxSends || Known.Left < LeastUsefulTime)
    return false;
  switch (Ended) {
  case SendOutcome::Served:
    return false;
  case SendOutcome::NotSent:
  case SendOutcome::NotRun:
    return true;
  case SendOutcome::Failure:
  case SendOutcome::Lost:
  case SendOutcome::BrokenOff:
    return Known.Repeatable && Known.Runs < Known.MaxAttempts;
  }
  return false;
}

bool countsAsRepeat(SendOutcome Ended) { return Ended != SendOutcome::NotSent; }

NextStep nextStep(const RequestProgress &Known, SendOutcome Ended,
                  bool SendAgain) {
  if (Ended == SendOutcome::Served)
    return NextStep::Done;
  if (SendAgain) {
    PARSLEYWING_INVARIANT(Known.Repeatable || Known.Runs == 0,
                          "a request that may run once at most is not sent "
                          "again after it may have run");
    return NextStep::SendAgain;
  }
  if (Known.AnswerBegun)
    return NextStep::CutOff;
  if (Ended == SendOutcome::Failure)
    return NextStep::PassFailure;
  return Known.Runs == 0 ? NextStep::Refuse : NextStep::FailUnknown;
}

} // namespace parsleywing
