#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRNESSTYPES_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRNESSTYPES_H

#include "Decision/Events.h"
#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"

#include <variant>
#include <vector>

namespace parsleywing {

/// A request is queued for a server from now on.
struct RequestQueued {
  RequestId Request;
  AccountId Account;
  ServiceId Service;
  std::uint64_t EstimatedTokens;
  /// The server at which the request failed last. It is used only if no other
  /// server has a free slot. Zero if there is none.
  ServerId Avoid = {};
};

/// A queued request is withdrawn.
struct RequestWithdrawn {
  RequestId Request;
};

/// The total cost of an admitted request so far.
struct RequestCharged {
  RequestId Request;
  std::uint64_t Tokens;
};

/// An admitted request has ended with this total cost; its slot is free.
struct RequestReleased {
  RequestId Request;
  std::uint64_t Tokens;
};

/// The events that the scheduler handles.
using FairnessEvent =
    std::variant<RequestQueued, RequestWithdrawn, RequestCharged,
                 RequestReleased, LoadReported, ServerConditionChanged,
                 ServerPaused, DeclarationsChanged, ViewChanged,
                 FairMessageReceived, Tick>;

/// Send this queued request to this server now.
struct AdmitRequest {
  RequestId Request;
  ServerId Server;
};

/// Refuse this queued request: all usable servers of its service are paused.
struct RefusePaused {
  RequestId Request;
  /// The time until the first pause ends.
  Duration PauseLeft;
};

/// The actions that the scheduler requests.
using FairnessAction =
    std::variant<AdmitRequest, SendFairMessage, RefusePaused>;

using FairnessActions = std::vector<FairnessAction>;

} // namespace parsleywing

#endif
