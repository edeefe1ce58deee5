#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRNESSTYPES_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRNESSTYPES_H

#include "Decision/Events.h"
#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"

#include <variant>
#include <vector>

namespace parsleywing {

/// A request waits for a server from now on.
struct RequestQueued {
  RequestId Request;
  AccountId Account;
  ServiceId Service;
  std::uint64_t EstimatedTokens;
  /// It failed there last: taken only where no other server has a free slot.
  /// Zero where there is none.
  ServerId Avoid = {};
};

/// A waiting request is no longer wanted.
struct RequestWithdrawn {
  RequestId Request;
};

/// An admitted request has cost so many tokens in all up to now.
struct RequestCharged {
  RequestId Request;
  std::uint64_t Tokens;
};

/// An admitted request is over, at this whole cost; its slot is free.
struct RequestReleased {
  RequestId Request;
  std::uint64_t Tokens;
};

/// What the scheduler is told.
using FairnessEvent =
    std::variant<RequestQueued, RequestWithdrawn, RequestCharged,
                 RequestReleased, LoadReported, ServerConditionChanged,
                 DeclarationsChanged, ViewChanged, FairMessageReceived, Tick>;

/// Let this waiting request go to this server now.
struct AdmitRequest {
  RequestId Request;
  ServerId Server;
};

/// What the scheduler asks for.
using FairnessAction = std::variant<AdmitRequest, SendFairMessage>;

using FairnessActions = std::vector<FairnessAction>;

} // namespace parsleywing

#endif
