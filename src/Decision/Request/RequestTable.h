#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTTABLE_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTTABLE_H

#include "Decision/Actions.h"
#include "Decision/Events.h"

#include <unordered_map>
#include <variant>
#include <vector>

namespace parsleywing {

/// The scheduler let a waiting request go to a server.
struct RequestAdmitted {
  RequestId Request;
  ServerId Server;
};

/// What the table of requests is told.
using RequestEvent =
    std::variant<RequestArrived, RequestAdmitted, CallerLeft, AttemptSent,
                 AttemptProgressed, AttemptEnded, Tick, DrainRequested>;

/// Put the request into the scheduler's queue.
struct QueueRequest {
  RequestDescription Description;
};

/// Take the request out of the scheduler's queue.
struct WithdrawRequest {
  RequestId Request;
};

/// Tell the scheduler what the request has cost up to now.
struct ChargeRequest {
  RequestId Request;
  std::uint64_t Tokens;
};

/// Give the request's slot back, at this whole cost of the attempt.
struct ReleaseRequest {
  RequestId Request;
  std::uint64_t Tokens;
};

/// What the table of requests asks for.
using RequestAction =
    std::variant<QueueRequest, WithdrawRequest, ChargeRequest, ReleaseRequest,
                 StartAttempt, CancelAttempt, AnswerRequest>;

using RequestActions = std::vector<RequestAction>;

/// Holds the state of every request at this router from its arrival to its one
/// final answer. Does no I/O and reads no clock.
class RequestTable {
public:
  RequestActions handle(TimePoint Now, const RequestEvent &Event);

  /// Requests that have no final answer yet.
  std::size_t openRequests() const { return this->Open.size(); }

private:
  enum class State { Queued, Admitted, Sent };
  struct Entry {
    RequestDescription Description;
    State Current = State::Queued;
    AttemptNumber Attempt = 0;
    ServerId Server;
  };

  void on(TimePoint Now, const RequestArrived &Event, RequestActions &Out);
  void on(TimePoint Now, const RequestAdmitted &Event, RequestActions &Out);
  void on(TimePoint Now, const CallerLeft &Event, RequestActions &Out);
  void on(TimePoint Now, const AttemptSent &Event, RequestActions &Out);
  void on(TimePoint Now, const AttemptProgressed &Event, RequestActions &Out);
  void on(TimePoint Now, const AttemptEnded &Event, RequestActions &Out);
  void on(TimePoint Now, const Tick &Event, RequestActions &Out);
  void on(TimePoint Now, const DrainRequested &Event, RequestActions &Out);

  void finish(RequestId Request, RequestOutcome Outcome, AnswerReason Reason,
              Duration RetryAfter, RequestActions &Out);

  std::unordered_map<RequestId, Entry> Open;
  bool Draining = false;
};

} // namespace parsleywing

#endif
