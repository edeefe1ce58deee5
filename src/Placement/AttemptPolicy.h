#ifndef PARSLEYWING_PLACEMENT_ATTEMPTPOLICY_H
#define PARSLEYWING_PLACEMENT_ATTEMPTPOLICY_H

#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <cstdint>

namespace parsleywing {

/// How one send of a request to a server ended.
enum class SendOutcome {
  Served,    ///< A whole success.
  Failure,   ///< A whole answer that tells of a failure: it has run.
  NotSent,   ///< Nothing of it has left this router.
  NotRun,    ///< The server stated that it did not run it.
  Lost,      ///< No usable answer; it may have run.
  BrokenOff, ///< The stream ended after some events had been passed on.
};

inline constexpr EnumNames<SendOutcome, 6> SendOutcomeNames{{
    {SendOutcome::Served, "served"},
    {SendOutcome::Failure, "failure"},
    {SendOutcome::NotSent, "not-sent"},
    {SendOutcome::NotRun, "not-run"},
    {SendOutcome::Lost, "lost"},
    {SendOutcome::BrokenOff, "broken-off"},
}};

/// What is known of a request when a send has ended.
struct RequestProgress {
  /// A second server may run it.
  bool Repeatable = false;
  std::uint32_t MaxAttempts = 1;
  /// Sends after which it may have run.
  std::uint32_t Runs = 0;
  std::uint32_t Sends = 0;
  /// Something of an answer has been passed on to the caller.
  bool AnswerBegun = false;
  Duration Left{};
};

/// What comes next for a request.
enum class NextStep {
  SendAgain,   ///< To another server, or behind the last event.
  PassFailure, ///< The server's own failure is the final answer.
  Refuse,      ///< Final answer: not run; the caller may come back.
  FailUnknown, ///< Final answer: it is not known whether it ran.
  CutOff,      ///< The answer has begun and cannot be finished.
  Done,        ///< It is served.
};

inline constexpr EnumNames<NextStep, 6> NextStepNames{{
    {NextStep::SendAgain, "send-again"},
    {NextStep::PassFailure, "pass-failure"},
    {NextStep::Refuse, "refuse"},
    {NextStep::FailUnknown, "fail-unknown"},
    {NextStep::CutOff, "cut-off"},
    {NextStep::Done, "done"},
}};

/// Whether the rules of the request let it be sent once more after a send that
/// ended so. Whether the retry allowance lets it is for the caller to ask.
bool maySendAgain(const RequestProgress &Known, SendOutcome Ended);

/// Whether another send would count as a repeat at the service.
bool countsAsRepeat(SendOutcome Ended);

/// What to do after a send, where `SendAgain` says whether another send is both
/// allowed and possible.
NextStep nextStep(const RequestProgress &Known, SendOutcome Ended,
                  bool SendAgain);

} // namespace parsleywing

#endif
