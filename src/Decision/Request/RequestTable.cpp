#include "Decision/Request/RequestTable.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

namespace {

constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

} // namespace

RequestActions RequestTable::handle(TimePoint Now, const RequestEvent &Event) {
  RequestActions Out;
  std::visit([&](const auto &E) { this->on(Now, E, Out); }, Event);
  return Out;
}

void RequestTable::on(TimePoint, const RequestArrived &Event,
                      RequestActions &Out) {
  const RequestId Request = Event.Description.Request;
  const bool Added =
      this->Open.emplace(Request, Entry{Event.Description, {}, 0, {}}).second;
  PARSLEYWING_INVARIANT(Added, "a request arrives once");
  if (this->Draining) {
    this->finish(Request, RequestOutcome::NotRun, AnswerReason::Draining,
                 DefaultRetryAfter, Out);
    return;
  }
  Out.emplace_back(QueueRequest{Event.Description});
}

void RequestTable::on(TimePoint, const RequestAdmitted &Event,
                      RequestActions &Out) {
  auto Found = this->Open.find(Event.Request);
  PARSLEYWING_INVARIANT(Found != this->Open.end(),
                        "only an open request waits");
  Entry &Request = Found->second;
  Request.Current = State::Admitted;
  Request.Server = Event.Server;
  ++Request.Attempt;
  Out.emplace_back(StartAttempt{Event.Request, Request.Attempt, Event.Server});
}

void RequestTable::on(TimePoint, const CallerLeft &Event, RequestActions &Out) {
  auto Found = this->Open.find(Event.Request);
  if (Found == this->Open.end())
    return;
  if (Found->second.Current == State::Queued) {
    Out.emplace_back(WithdrawRequest{Event.Request});
    this->finish(Event.Request, RequestOutcome::NotRun,
                 AnswerReason::CallerLeft, Duration::zero(), Out);
    return;
  }
  Out.emplace_back(CancelAttempt{Event.Request, Found->second.Attempt});
}

void RequestTable::on(TimePoint, const AttemptSent &Event, RequestActions &) {
  auto Found = this->Open.find(Event.Request);
  if (Found != this->Open.end() && Found->second.Attempt == Event.Attempt)
    Found->second.Current = State::Sent;
}

void RequestTable::on(TimePoint, const AttemptProgressed &Event,
                      RequestActions &Out) {
  auto Found = this->Open.find(Event.Request);
  if (Found != this->Open.end() && Found->second.Attempt == Event.Attempt)
    Out.emplace_back(ChargeRequest{Event.Request, Event.Tokens});
}

void RequestTable::on(TimePoint, const AttemptEnded &Event,
                      RequestActions &Out) {
  auto Found = this->Open.find(Event.Request);
  if (Found == this->Open.end() || Found->second.Attempt != Event.Attempt)
    return;
  Out.emplace_back(ReleaseRequest{Event.Request, Event.Tokens});
  switch (Event.Outcome) {
  case AttemptOutcome::Completed:
    this->finish(Event.Request, RequestOutcome::Completed, AnswerReason::Served,
                 Duration::zero(), Out);
    return;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::Rejected:
    this->finish(Event.Request, RequestOutcome::NotRun,
                 AnswerReason::ServerFailed, DefaultRetryAfter, Out);
    return;
  case AttemptOutcome::Interrupted:
  case AttemptOutcome::Cancelled:
    this->finish(Event.Request, RequestOutcome::Unknown,
                 AnswerReason::ServerFailed, DefaultRetryAfter, Out);
    return;
  case AttemptOutcome::CallerLeft:
    this->finish(Event.Request, RequestOutcome::Unknown,
                 AnswerReason::CallerLeft, Duration::zero(), Out);
    return;
  }
}

void RequestTable::on(TimePoint Now, const Tick &, RequestActions &Out) {
  std::vector<RequestId> Late;
  for (const auto &[Request, Held] : this->Open)
    if (Held.Current == State::Queued && Held.Description.Deadline <= Now)
      Late.push_back(Request);
  for (RequestId Request : Late) {
    Out.emplace_back(WithdrawRequest{Request});
    this->finish(Request, RequestOutcome::NotRun, AnswerReason::DeadlinePassed,
                 DefaultRetryAfter, Out);
  }
}

void RequestTable::on(TimePoint, const DrainRequested &, RequestActions &) {
  this->Draining = true;
}

void RequestTable::finish(RequestId Request, RequestOutcome Outcome,
                          AnswerReason Reason, Duration RetryAfter,
                          RequestActions &Out) {
  const std::size_t Erased = this->Open.erase(Request);
  PARSLEYWING_INVARIANT(Erased == 1, "a request gets one final answer");
  Out.emplace_back(AnswerRequest{Request, Outcome, Reason, RetryAfter});
}

} // namespace parsleywing
