#include "Decision/Request/RequestTable.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

RequestTable::RequestTable(const RequestSettings &S)
    : Settings(S), Random(S.Seed), Shedder(S.Limits), Budget(S.Retry),
      Keys(S.Records.MaxEndedKeys), Rate(S.RetryAfter), Drain(S.Drain),
      Stalls(S.Progress) {}

RequestActions RequestTable::handle(TimePoint At, const RequestEvent &Event) {
  this->Now = At;
  std::visit([this](const auto &E) { this->on(E); }, Event);
  if (this->Drain.checkFinished(this->OpenRequests.size()))
    this->emit(DrainFinished{this->Drain.unfinished()});
  return std::exchange(this->PendingActions, {});
}

void RequestTable::on(const RequestArrived &Event) {
  const RequestDescription &D = Event.Description;
  PARSLEYWING_INVARIANT(!this->OpenRequests.contains(D.Request) &&
                            !this->OrphanedAttempts.contains(D.Request),
                        "a request arrives once");
  ++this->Counters.Arrived;
  if (this->refuseDuplicate(D))
    return;
  if (Event.CrashesServers) {
    this->refuse(D.Request, RequestOutcome::NotRun,
                 ResponseReason::CrashesServers);
    return;
  }
  if (this->Drain.isDraining()) {
    this->refuse(D.Request, RequestOutcome::NotRun, ResponseReason::Draining);
    return;
  }
  if (D.Deadline <= this->Now) {
    this->refuse(D.Request, RequestOutcome::NotRun,
                 ResponseReason::DeadlinePassed);
    return;
  }
  if (this->refuseByLimits(D))
    return;
  RequestEntry &Request = this->OpenRequests[D.Request];
  Request.Description = D;
  this->Shedder.add(D.Account, D.Request);
  this->Deadlines.set(D.Request, D.Deadline);
  if (D.Repeatable || D.IdempotencyKey.empty()) {
    this->enqueue(Request);
    return;
  }
  this->Keys.addOpen(D.Account, D.IdempotencyKey);
  if (D.RecordHeldElsewhere) {
    Request.Record = RecordOwnership::HeldElsewhere;
    this->enqueue(Request);
    return;
  }
  Request.Record = RecordOwnership::ClaimPending;
  this->moveTo(Request, RequestState::Claiming);
  this->StateTimers.set(D.Request,
                        this->Now + this->Settings.Records.ClaimTimeout);
  ++this->Counters.Claims;
  this->emit(
      ClaimRunRecord{D.Request, D.Account, D.IdempotencyKey, D.Identity});
}

bool RequestTable::refuseDuplicate(const RequestDescription &D) {
  if (D.Repeatable || D.IdempotencyKey.empty())
    return false;
  const auto Earlier = this->Keys.find(D.Account, D.IdempotencyKey);
  if (!Earlier)
    return false;
  ++this->Counters.KeyCacheHits;
  this->refuse(D.Request, *Earlier, ResponseReason::AlreadyRun);
  return true;
}

bool RequestTable::refuseByLimits(const RequestDescription &D) {
  const LimitDecision Decision = this->Shedder.decide(D.Account);
  if (Decision.Refusal) {
    this->refuse(D.Request, RequestOutcome::NotRun, *Decision.Refusal);
    return true;
  }
  if (Decision.Shed) {
    ++this->Counters.Shed;
    this->giveUp(*this->findOpen(*Decision.Shed), ResponseReason::Overloaded);
  }
  return false;
}

void RequestTable::enqueue(RequestEntry &Request) {
  if (this->Drain.isDraining() && this->handOverOrRefuse(Request))
    return;
  this->moveTo(Request, RequestState::Queued);
  this->emit(QueueRequest{Request.Description, Request.Server});
}

void RequestTable::on(const RequestAdmitted &Event) {
  RequestEntry *Request = this->findOpen(Event.Request);
  if (Request == nullptr || Request->State != RequestState::Queued) {
    // The scheduler admitted it before it processed the withdrawal.
    PARSLEYWING_INVARIANT(Request == nullptr || !Request->HasSlot,
                          "a queued request is admitted once");
    ++this->Counters.DroppedEvents;
    this->emit(ReleaseSlot{Event.Request, 0});
    return;
  }
  const RequestDescription &D = Request->Description;
  PARSLEYWING_INVARIANT(D.Repeatable || !Request->MayHaveRun,
                        "a non-repeatable request runs at most once");
  Request->HasSlot = true;
  if (!this->confirmRetry(*Request)) {
    this->giveUp(*Request, ResponseReason::RetryBudgetSpent);
    return;
  }
  if (Request->Starts == 0) {
    this->Shedder.stopWaiting(D.Account, D.Request);
    // Another router has counted a request that was handed over.
    if (!D.HandedOver)
      this->Budget.countFirstAttempt(this->Now, D.Account, D.Service);
    this->Rate.countAdmitted();
  }
  ++Request->Starts;
  Request->Server = Event.Server;
  Request->Tokens = 0;
  this->startAttempt(*Request, RequestState::Admitted);
  Request->OriginalAttempt = Request->Attempt;
  this->emit(StartAttempt{Event.Request, Request->Attempt, Event.Server});
}

void RequestTable::on(const RequestRefused &Event) {
  if (RequestEntry *Request = this->findOpen(Event.Request))
    this->giveUp(*Request, ResponseReason::CrashesServers);
}

void RequestTable::on(const AllServersPaused &Event) {
  RequestEntry *Request = this->findOpen(Event.Request);
  if (Request == nullptr)
    return;
  Request->PauseLeft = Event.PauseLeft;
  this->giveUp(*Request, ResponseReason::ServersPaused);
}

void RequestTable::on(const CallerDisconnected &Event) {
  if (RequestEntry *Request = this->findOpen(Event.Request))
    this->giveUp(*Request, ResponseReason::CallerDisconnected);
}

void RequestTable::on(const RunRecordVerdictReceived &Event) {
  RequestEntry *Request = this->findOpen(Event.Request);
  if (Request == nullptr || Request->State != RequestState::Claiming) {
    ++this->Counters.DroppedEvents;
    return;
  }
  this->StateTimers.clear(Event.Request);
  const RequestDescription &D = Request->Description;
  switch (Event.Verdict) {
  case RunRecordVerdict::Claimed:
    Request->Record = RecordOwnership::Held;
    this->enqueue(*Request);
    return;
  case RunRecordVerdict::TakenByOther:
    Request->Record = RecordOwnership::None;
    this->Keys.remove(D.Account, D.IdempotencyKey);
    this->finish(*Request, RequestOutcome::Unknown, ResponseReason::AlreadyRun);
    return;
  case RunRecordVerdict::CompletedBefore:
    Request->Record = RecordOwnership::None;
    this->Keys.markEnded(D.Account, D.IdempotencyKey,
                         RequestOutcome::Completed);
    this->finish(*Request, RequestOutcome::Completed,
                 ResponseReason::AlreadyRun);
    return;
  case RunRecordVerdict::Unavailable:
    ++this->Counters.ClaimsUnanswered;
    this->giveUp(*Request, ResponseReason::RecordUnavailable);
    return;
  }
}

void RequestTable::on(const DeclarationsChanged &Event) {
  this->Shedder.setDeclarations(Event.Active);
}

void RequestTable::on(const Tick &) {
  this->Rate.tick(this->Now);
  this->Budget.advance(this->Now);
  while (const auto Expired = this->Deadlines.takeDue(this->Now))
    this->giveUp(*this->findOpen(*Expired), ResponseReason::DeadlinePassed);
  while (const auto Stalled = this->Stalls.takeStalled(this->Now))
    this->onStalled(*this->findOpen(*Stalled));
  this->runDueTimers();
  while (const auto Orphan = this->OrphanTimers.takeDue(this->Now)) {
    ++this->Counters.CancelTimeouts;
    this->emit(ReleaseSlot{*Orphan, this->OrphanedAttempts.at(*Orphan).Tokens});
    this->OrphanedAttempts.erase(*Orphan);
  }
  if (this->Drain.checkHardLimit(this->Now))
    this->truncateOpen();
}

void RequestTable::runDueTimers() {
  while (const auto Due = this->StateTimers.takeDue(this->Now))
    this->onStateTimer(*this->findOpen(*Due));
}

void RequestTable::onStateTimer(RequestEntry &Request) {
  switch (Request.State) {
  case RequestState::Claiming:
    ++this->Counters.ClaimsUnanswered;
    this->giveUp(Request, ResponseReason::RecordUnavailable);
    return;
  case RequestState::BackingOff:
    this->enqueue(Request);
    return;
  case RequestState::Resuming:
    this->resume(Request);
    return;
  case RequestState::Cancelling:
    // The thread that executes the attempt hangs. Output of a second attempt
    // could be mixed with that of the first in the caller's response.
    ++this->Counters.CancelTimeouts;
    this->endAttempt(Request, Request.Offset);
    Request.MayHaveRun = true;
    this->finish(Request, RequestOutcome::Unknown,
                 ResponseReason::ServerFailed);
    return;
  case RequestState::Received:
  case RequestState::Queued:
  case RequestState::Admitted:
  case RequestState::Sent:
  case RequestState::Streaming:
  case RequestState::HandedOver:
  case RequestState::Finished:
    PARSLEYWING_INVARIANT(false, "only waiting states have a timer");
  }
}

void RequestTable::refuse(RequestId Request, RequestOutcome Outcome,
                          ResponseReason Reason) {
  const Duration RetryAfter = Outcome == RequestOutcome::NotRun
                                  ? this->retryAfter(Reason)
                                  : Duration::zero();
  this->Counters.countFinished(Outcome, Reason);
  this->emit(FinishRequest{Request, Outcome, Reason, RetryAfter});
}

/// Nothing that a caller could wait for changes a request that crashes servers.
Duration RequestTable::retryAfter(ResponseReason Reason) {
  if (Reason == ResponseReason::CallerDisconnected ||
      Reason == ResponseReason::CrashesServers)
    return Duration::zero();
  return this->Rate.retryAfter(this->Shedder.waitingCount(), this->Random);
}

void RequestTable::giveUp(RequestEntry &Request, ResponseReason Reason) {
  if (Request.InFlight)
    this->emit(CancelAttempt{Request.Description.Request, Request.Attempt});
  const bool CertainlyNotRun = !Request.MayHaveRun && !Request.InFlight;
  this->finish(Request,
               CertainlyNotRun ? RequestOutcome::NotRun
                               : RequestOutcome::Unknown,
               Reason);
}

void RequestTable::finish(RequestEntry &Request, RequestOutcome Outcome,
                          ResponseReason Reason) {
  const RequestId Id = Request.Description.Request;
  PARSLEYWING_INVARIANT(Outcome != RequestOutcome::NotRun ||
                            (!Request.MayHaveRun && !Request.InFlight),
                        "the outcome is not-run only if this is certain");
  if (Request.State == RequestState::Queued)
    this->emit(WithdrawRequest{Id});
  this->moveTo(Request, RequestState::Finished);
  if (Request.InFlight && Request.HasSlot) {
    this->OrphanedAttempts[Id] =
        OrphanedAttempt{Request.Attempt, Request.Tokens};
    this->OrphanTimers.set(Id,
                           this->Now + this->Settings.Progress.CancelTimeout);
  } else {
    this->releaseSlot(Request);
  }
  this->endRetry(Request);
  this->updateRunRecord(Request, Outcome);
  this->Stalls.stop(Id);
  this->StateTimers.clear(Id);
  this->Deadlines.clear(Id);
  this->Shedder.remove(Request.Description.Account, Id);
  const bool MayRetry =
      Outcome == RequestOutcome::NotRun ||
      (Outcome == RequestOutcome::Unknown && Request.Description.Repeatable);
  const Duration RetryAfter =
      MayRetry ? std::max(this->retryAfter(Reason), Request.PauseLeft)
               : Duration::zero();
  const std::size_t Erased = this->OpenRequests.erase(Id);
  PARSLEYWING_INVARIANT(Erased == 1, "a request gets one final response");
  this->Counters.countFinished(Outcome, Reason);
  this->emit(FinishRequest{Id, Outcome, Reason, RetryAfter});
}

void RequestTable::updateRunRecord(const RequestEntry &Request,
                                   RequestOutcome Outcome) {
  if (Request.Record == RecordOwnership::None)
    return;
  const RequestDescription &D = Request.Description;
  const bool OwnsRecord = Request.Record != RecordOwnership::HeldElsewhere;
  if (Outcome == RequestOutcome::NotRun) {
    this->Keys.remove(D.Account, D.IdempotencyKey);
    if (OwnsRecord)
      this->emit(
          ReleaseRunRecord{D.Request, D.Account, D.IdempotencyKey, D.Identity});
    return;
  }
  this->Keys.markEnded(D.Account, D.IdempotencyKey, Outcome);
  // A claimed record already states "unknown".
  if (OwnsRecord && Outcome == RequestOutcome::Completed)
    this->emit(CompleteRunRecord{D.Request, D.Account, D.IdempotencyKey,
                                 D.Identity, Outcome});
}

void RequestTable::moveTo(RequestEntry &Request, RequestState Next) {
  PARSLEYWING_INVARIANT(isValidTransition(Request.State, Next),
                        "the state machine permits the transition");
  Request.State = Next;
}

RequestEntry *RequestTable::findOpen(RequestId Request) {
  auto Found = this->OpenRequests.find(Request);
  return Found == this->OpenRequests.end() ? nullptr : &Found->second;
}

RequestEntry *RequestTable::findAttempt(RequestId Request,
                                        AttemptNumber Attempt) {
  RequestEntry *Found = this->findOpen(Request);
  if (Found == nullptr || Found->Attempt != Attempt || !Found->InFlight)
    return nullptr;
  return Found;
}

bool RequestTable::isOrphaned(RequestId Request, AttemptNumber Attempt) const {
  const auto Found = this->OrphanedAttempts.find(Request);
  return Found != this->OrphanedAttempts.end() &&
         Found->second.Attempt == Attempt;
}

Poco::JSON::Object::Ptr RequestTable::dump() const {
  Poco::JSON::Object::Ptr ByState = new Poco::JSON::Object;
  for (const auto &[State, Name] : RequestStateNames) {
    const RequestState CountedState = State;
    ByState->set(std::string(Name),
                 std::ranges::count_if(this->OpenRequests, [&](const auto &E) {
                   return E.second.State == CountedState;
                 }));
  }
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("open", this->OpenRequests.size());
  Dump->set("open-by-state", ByState);
  Dump->set("waiting", this->Shedder.waitingCount());
  Dump->set("slots-awaiting-end", this->OrphanedAttempts.size());
  Dump->set("keys-remembered", this->Keys.size());
  Dump->set("admitted-per-second", this->Rate.perSecond());
  Dump->set("draining", this->Drain.isDraining());
  Dump->set("counters", this->Counters.dump());
  Dump->set("retry-budgets", this->Budget.dump(this->Now));
  return Dump;
}

} // namespace parsleywing
