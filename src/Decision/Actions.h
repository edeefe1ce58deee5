#ifndef PARSLEYWING_DECISION_ACTIONS_H
#define PARSLEYWING_DECISION_ACTIONS_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Request/RequestTypes.h"

#include <variant>

namespace parsleywing {

/// Send the request to this server now.
struct StartAttempt {
  RequestId Request;
  AttemptNumber Attempt;
  ServerId Server;
};

/// Break off an attempt; its end is still reported as an event.
struct CancelAttempt {
  RequestId Request;
  AttemptNumber Attempt;
};

/// Give the caller its final answer, at once.
struct AnswerRequest {
  RequestId Request;
  RequestOutcome Outcome;
  AnswerReason Reason;
  /// When to come back; zero where coming back is of no use.
  Duration RetryAfter;
};

/// Everything that the control thread may ask of the traffic threads.
using Action =
    std::variant<StartAttempt, CancelAttempt, AnswerRequest, SendFairMessage>;

} // namespace parsleywing

#endif
