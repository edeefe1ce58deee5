#include "Decision/Request/RequestTable.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

RequestTable::RequestTable(const RequestSettings &S)
    : Settings(S), Random(S.Seed), Shedder(S.Limits), Budget(S.Retry),
      Keys(S.Records.RememberedKeys), Rate(S.RetryAfter), Drain(S.Drain),
      Watch(S.Progress) {}

RequestActions RequestTable::handle(TimePoint At, const RequestEvent &Event) {
  this->Now = At;
  std::visit([this](const auto &E) { this->on(E); }, Event);
  if (this->Drain.takeFinished(this->Open.size()))
    this->emit(DrainFinished{this->Drain.unfinished()});
  return std::exchange(this->Out, {});
}

void RequestTable::on(const RequestArrived &Event) {
  const RequestDescription &D = Event.Description;
  PARSLEYWING_INVARIANT(!this->Open.contains(D.Request) &&
                            !this->Ending.contains(D.Request),
                        "a request arrives once");
  ++this->Counters.Arrived;
  if (this->refuseRepeat(D))
    return;
  if (this->Drain.draining()) {
    this->refuse(D.Request, RequestOutcome::NotRun, AnswerReason::Draining);
    return;
  }
  if (D.Deadline <= this->Now) {
    this->refuse(D.Request, RequestOutcome::NotRun,
                 AnswerReason::DeadlinePassed);
    return;
  }
  if (this->refuseByLimits(D))
    return;
  RequestEntry &Request = this->Open[D.Request];
  Request.Description = D;
  this->Shedder.add(D.Account, D.Request);
  this->Deadlines.set(D.Request, D.Deadline);
  if (D.Repeatable || D.IdempotencyKey.empty()) {
    this->enqueue(Request);
    return;
  }
  this->Keys.open(D.Account, D.IdempotencyKey);
  if (D.RecordHeldElsewhere) {
    Request.Record = RecordHold::Elsewhere;
    this->enqueue(Request);
    return;
  }
  Request.Record = RecordHold::Asked;
  this->moveTo(Request, RequestState::Claiming);
  this->Waits.set(D.Request, this->Now + this->Settings.Records.ClaimLimit);
  ++this->Counters.Claims;
  this->emit(
      ClaimRunRecord{D.Request, D.Account, D.IdempotencyKey, D.Identity});
}

bool RequestTable::refuseRepeat(const RequestDescription &D) {
  if (D.Repeatable || D.IdempotencyKey.empty())
    return false;
  const auto Earlier = this->Keys.find(D.Account, D.IdempotencyKey);
  if (!Earlier)
    return false;
  ++this->Counters.KnownKeys;
  this->refuse(D.Request, *Earlier, AnswerReason::AlreadyRun);
  return true;
}

bool RequestTable::refuseByLimits(const RequestDescription &D) {
  const LimitDecision Decision = this->Shedder.decide(D.Account);
  if (Decision.Refused) {
    this->refuse(D.Request, RequestOutcome::NotRun, *Decision.Refused);
    return true;
  }
  if (Decision.Shed) {
    ++this->Counters.Shed;
    this->giveUp(*this->findOpen(*Decision.Shed), AnswerReason::Overloaded);
  }
  return false;
}

void RequestTable::enqueue(RequestEntry &Request) {
  if (this->Drain.draining() && this->passOn(Request))
    return;
  this->moveTo(Request, RequestState::Queued);
  this->emit(QueueRequest{Request.Description, Request.Server});
}

void RequestTable::on(const RequestAdmitted &Event) {
  RequestEntry *Request = this->findOpen(Event.Request);
  if (Request == nullptr || Request->State != RequestState::Queued) {
    // The scheduler let it go while its withdrawal was on the way.
    PARSLEYWING_INVARIANT(Request == nullptr || !Request->HasSlot,
                          "a waiting request is admitted once");
    ++this->Counters.DroppedEvents;
    this->emit(ReleaseRequest{Event.Request, 0});
    return;
  }
  const RequestDescription &D = Request->Description;
  PARSLEYWING_INVARIANT(D.Repeatable || !Request->MayHaveRun,
                        "what may not be repeated starts once");
  if (Request->Starts == 0) {
    this->Shedder.stopWaiting(D.Account, D.Request);
    this->Budget.countFirstAttempt(D.Account);
    this->Rate.count();
  }
  ++Request->Starts;
  Request->Server = Event.Server;
  Request->HasSlot = true;
  Request->Tokens = 0;
  this->beginAttempt(*Request, RequestState::Admitted);
  Request->StartedBy = Request->Attempt;
  this->emit(StartAttempt{Event.Request, Request->Attempt, Event.Server});
}

void RequestTable::on(const CallerLeft &Event) {
  if (RequestEntry *Request = this->findOpen(Event.Request))
    this->giveUp(*Request, AnswerReason::CallerLeft);
}

void RequestTable::on(const RunRecordAnswered &Event) {
  RequestEntry *Request = this->findOpen(Event.Request);
  if (Request == nullptr || Request->State != RequestState::Claiming) {
    ++this->Counters.DroppedEvents;
    return;
  }
  this->Waits.clear(Event.Request);
  const RequestDescription &D = Request->Description;
  switch (Event.Verdict) {
  case RunRecordVerdict::Claimed:
    Request->Record = RecordHold::Held;
    this->enqueue(*Request);
    return;
  case RunRecordVerdict::TakenByOther:
    Request->Record = RecordHold::None;
    this->Keys.forget(D.Account, D.IdempotencyKey);
    this->finish(*Request, RequestOutcome::Unknown, AnswerReason::AlreadyRun);
    return;
  case RunRecordVerdict::CompletedBefore:
    Request->Record = RecordHold::None;
    this->Keys.end(D.Account, D.IdempotencyKey, RequestOutcome::Completed);
    this->finish(*Request, RequestOutcome::Completed, AnswerReason::AlreadyRun);
    return;
  case RunRecordVerdict::Unavailable:
    ++this->Counters.ClaimsUnanswered;
    this->giveUp(*Request, AnswerReason::RecordUnavailable);
    return;
  }
}

void RequestTable::on(const DeclarationsChanged &Event) {
  this->Shedder.declare(Event.InForce);
}

void RequestTable::on(const Tick &) {
  this->Rate.tick(this->Now);
  while (const auto Late = this->Deadlines.takeDue(this->Now))
    this->giveUp(*this->findOpen(*Late), AnswerReason::DeadlinePassed);
  while (const auto Stuck = this->Watch.takeStuck(this->Now))
    this->onStuck(*this->findOpen(*Stuck));
  this->takeDueWaits();
  while (const auto Silent = this->Graces.takeDue(this->Now)) {
    ++this->Counters.GracePassed;
    this->emit(ReleaseRequest{*Silent, this->Ending.at(*Silent).Tokens});
    this->Ending.erase(*Silent);
  }
  if (this->Drain.takeHardLimit(this->Now))
    this->cutOff();
}

void RequestTable::takeDueWaits() {
  while (const auto Due = this->Waits.takeDue(this->Now))
    this->onWaitOver(*this->findOpen(*Due));
}

void RequestTable::onWaitOver(RequestEntry &Request) {
  switch (Request.State) {
  case RequestState::Claiming:
    ++this->Counters.ClaimsUnanswered;
    this->giveUp(Request, AnswerReason::RecordUnavailable);
    return;
  case RequestState::BackingOff:
    this->enqueue(Request);
    return;
  case RequestState::Resuming:
    this->resume(Request);
    return;
  case RequestState::Cancelling:
    // The thread that carries the attempt hangs, so a second attempt could be
    // mixed with the first in the caller's answer.
    ++this->Counters.GracePassed;
    this->endAttempt(Request, Request.Offset);
    Request.MayHaveRun = true;
    this->finish(Request, RequestOutcome::Unknown, AnswerReason::ServerFailed);
    return;
  case RequestState::Received:
  case RequestState::Queued:
  case RequestState::Admitted:
  case RequestState::Sent:
  case RequestState::Streaming:
  case RequestState::HandedOver:
  case RequestState::Finished:
    PARSLEYWING_INVARIANT(false, "only a waiting state has a timer");
  }
}

void RequestTable::refuse(RequestId Request, RequestOutcome Outcome,
                          AnswerReason Reason) {
  const Duration RetryAfter =
      Outcome == RequestOutcome::NotRun
          ? this->Rate.retryAfter(this->Shedder.waiting(), this->Random)
          : Duration::zero();
  this->Counters.countAnswer(Outcome, Reason);
  this->emit(AnswerRequest{Request, Outcome, Reason, RetryAfter});
}

void RequestTable::giveUp(RequestEntry &Request, AnswerReason Reason) {
  if (Request.InFlight)
    this->emit(CancelAttempt{Request.Description.Request, Request.Attempt});
  const bool Certain = !Request.MayHaveRun && !Request.InFlight;
  this->finish(Request,
               Certain ? RequestOutcome::NotRun : RequestOutcome::Unknown,
               Reason);
}

void RequestTable::finish(RequestEntry &Request, RequestOutcome Outcome,
                          AnswerReason Reason) {
  const RequestId Id = Request.Description.Request;
  PARSLEYWING_INVARIANT(Outcome != RequestOutcome::NotRun ||
                            (!Request.MayHaveRun && !Request.InFlight),
                        "not-run is said only when it is certain");
  if (Request.State == RequestState::Queued)
    this->emit(WithdrawRequest{Id});
  this->moveTo(Request, RequestState::Finished);
  if (Request.InFlight && Request.HasSlot) {
    this->Ending[Id] = EndingAttempt{Request.Attempt, Request.Tokens};
    this->Graces.set(Id, this->Now + this->Settings.Progress.CancelGrace);
  } else {
    this->releaseSlot(Request);
  }
  this->settleRecord(Request, Outcome);
  this->Watch.stop(Id);
  this->Waits.clear(Id);
  this->Deadlines.clear(Id);
  this->Shedder.remove(Request.Description.Account, Id);
  const bool ComeBack =
      Outcome == RequestOutcome::NotRun ||
      (Outcome == RequestOutcome::Unknown && Request.Description.Repeatable);
  const Duration RetryAfter =
      ComeBack && Reason != AnswerReason::CallerLeft
          ? this->Rate.retryAfter(this->Shedder.waiting(), this->Random)
          : Duration::zero();
  const std::size_t Erased = this->Open.erase(Id);
  PARSLEYWING_INVARIANT(Erased == 1, "a request gets one final answer");
  this->Counters.countAnswer(Outcome, Reason);
  this->emit(AnswerRequest{Id, Outcome, Reason, RetryAfter});
}

void RequestTable::settleRecord(const RequestEntry &Request,
                                RequestOutcome Outcome) {
  if (Request.Record == RecordHold::None)
    return;
  const RequestDescription &D = Request.Description;
  const bool Ours = Request.Record != RecordHold::Elsewhere;
  if (Outcome == RequestOutcome::NotRun) {
    this->Keys.forget(D.Account, D.IdempotencyKey);
    if (Ours)
      this->emit(
          ReleaseRunRecord{D.Request, D.Account, D.IdempotencyKey, D.Identity});
    return;
  }
  this->Keys.end(D.Account, D.IdempotencyKey, Outcome);
  // A claimed record already says "unknown".
  if (Ours && Outcome == RequestOutcome::Completed)
    this->emit(CompleteRunRecord{D.Request, D.Account, D.IdempotencyKey,
                                 D.Identity, Outcome});
}

void RequestTable::moveTo(RequestEntry &Request, RequestState Next) {
  PARSLEYWING_INVARIANT(mayFollow(Request.State, Next),
                        "a request takes only the steps of its state machine");
  Request.State = Next;
}

RequestEntry *RequestTable::findOpen(RequestId Request) {
  auto Found = this->Open.find(Request);
  return Found == this->Open.end() ? nullptr : &Found->second;
}

RequestEntry *RequestTable::findAttempt(RequestId Request,
                                        AttemptNumber Attempt) {
  RequestEntry *Found = this->findOpen(Request);
  if (Found == nullptr || Found->Attempt != Attempt || !Found->InFlight)
    return nullptr;
  return Found;
}

bool RequestTable::isEnding(RequestId Request, AttemptNumber Attempt) const {
  const auto Found = this->Ending.find(Request);
  return Found != this->Ending.end() && Found->second.Attempt == Attempt;
}

Poco::JSON::Object::Ptr RequestTable::dump() const {
  Poco::JSON::Object::Ptr ByState = new Poco::JSON::Object;
  for (const auto &[State, Name] : RequestStateNames) {
    const RequestState Wanted = State;
    ByState->set(std::string(Name),
                 std::ranges::count_if(this->Open, [&](const auto &Held) {
                   return Held.second.State == Wanted;
                 }));
  }
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("open", this->Open.size());
  Dump->set("open-by-state", ByState);
  Dump->set("waiting", this->Shedder.waiting());
  Dump->set("slots-awaiting-end", this->Ending.size());
  Dump->set("keys-remembered", this->Keys.size());
  Dump->set("admitted-per-second", this->Rate.perSecond());
  Dump->set("draining", this->Drain.draining());
  Dump->set("counters", this->Counters.dump());
  return Dump;
}

} // namespace parsleywing
