#include "Decision/Request/RequestTable.h"

#include "Runtime/Invariant.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// A server that died has its slots free and draws what waits, and it takes
/// some seconds until it counts as failed. A request that is turned away there
/// would use up its attempts within half a second while other servers are only
/// busy. With the backoff these further starts last 6 to 13 s in all.
constexpr std::uint32_t MoreStartsWhereUnsent = 8;

} // namespace

void RequestTable::on(const AttemptSent &Event) {
  if (this->isOrphaned(Event.Request, Event.Attempt))
    return;
  RequestEntry *Request = this->findAttempt(Event.Request, Event.Attempt);
  if (Request == nullptr || Request->SentReported) {
    ++this->Counters.DroppedEvents;
    return;
  }
  Request->SentReported = true;
  if (Request->State == RequestState::Admitted)
    this->moveTo(*Request, RequestState::Sent);
}

void RequestTable::on(const AttemptProgressed &Event) {
  if (this->isOrphaned(Event.Request, Event.Attempt)) {
    std::uint64_t &Tokens = this->OrphanedAttempts.at(Event.Request).Tokens;
    Tokens = std::max(Tokens, Event.Tokens);
    this->emit(ChargeRequest{Event.Request, Tokens});
    return;
  }
  RequestEntry *Request = this->findAttempt(Event.Request, Event.Attempt);
  if (Request == nullptr) {
    ++this->Counters.DroppedEvents;
    return;
  }
  if (Request->State == RequestState::HandedOver && !Request->Progressed)
    this->Stalls.start(this->Now, Event.Request, ServiceKind::Engine);
  Request->Progressed = true;
  if (Request->State != RequestState::Cancelling)
    this->Stalls.progressed(this->Now, Event.Request);
  if (Request->State == RequestState::Admitted ||
      Request->State == RequestState::Sent)
    this->moveTo(*Request, RequestState::Streaming);
  Request->Tokens = std::max(Request->Tokens, Event.Tokens);
  if (Request->HasSlot)
    this->emit(ChargeRequest{Event.Request, Request->Tokens});
}

void RequestTable::on(const AttemptEnded &Event) {
  if (this->isOrphaned(Event.Request, Event.Attempt)) {
    this->onOrphanEnded(Event);
    return;
  }
  RequestEntry *Request = this->findAttempt(Event.Request, Event.Attempt);
  if (Request == nullptr || !Request->HasSlot) {
    ++this->Counters.DroppedEvents;
    return;
  }
  Request->Tokens = std::max(Request->Tokens, Event.Tokens);
  this->endAttempt(*Request, Event.Offset);
  switch (Event.Outcome) {
  case AttemptOutcome::Completed:
    Request->MayHaveRun = true;
    this->finish(*Request, RequestOutcome::Completed, ResponseReason::Served);
    return;
  case AttemptOutcome::CallerDisconnected:
    Request->MayHaveRun = true;
    this->finish(*Request, RequestOutcome::Unknown,
                 ResponseReason::CallerDisconnected);
    return;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::Rejected:
  case AttemptOutcome::Interrupted:
  case AttemptOutcome::Cancelled:
    this->onAttemptFailed(*Request, Event.Outcome);
    return;
  }
}

void RequestTable::onOrphanEnded(const AttemptEnded &Event) {
  const std::uint64_t Tokens =
      std::max(Event.Tokens, this->OrphanedAttempts.at(Event.Request).Tokens);
  this->OrphanedAttempts.erase(Event.Request);
  this->OrphanTimers.clear(Event.Request);
  this->emit(ReleaseSlot{Event.Request, Tokens});
}

void RequestTable::onAttemptFailed(RequestEntry &Request,
                                   AttemptOutcome Outcome) {
  // Two reports that contradict each other are taken at the worse one.
  const bool NeverLeft =
      Outcome == AttemptOutcome::NotSent && !Request.SentReported;
  const bool NeverRan = Outcome == AttemptOutcome::Rejected &&
                        !Request.Progressed && Request.Offset == 0;
  const bool Certain = !Request.isResume() && (NeverLeft || NeverRan);
  if (!Certain)
    Request.MayHaveRun = true;
  if (!Certain && Outcome != AttemptOutcome::Rejected &&
      this->mayResume(Request)) {
    this->scheduleResume(Request);
    return;
  }
  this->releaseSlot(Request);
  const bool FromTheStart =
      Request.Description.Repeatable && Request.Offset == 0;
  if (FromTheStart || (Certain && !Request.MayHaveRun))
    this->scheduleRetry(Request, Outcome);
  else
    this->finish(Request, RequestOutcome::Unknown,
                 ResponseReason::ServerFailed);
}

void RequestTable::onStalled(RequestEntry &Request) {
  const RequestId Id = Request.Description.Request;
  ++this->Counters.StalledAttempts;
  const bool MayRestart = Request.Description.Repeatable &&
                          Request.Starts < this->Settings.Retry.MaxAttempts;
  const bool MayContinue = Request.HasSlot &&
                           Request.Description.Kind == ServiceKind::Engine &&
                           Request.Resumes < this->Settings.Retry.MaxResumes;
  if (!MayRestart && !MayContinue) {
    this->giveUp(Request, ResponseReason::ServerFailed);
    return;
  }
  this->moveTo(Request, RequestState::Cancelling);
  this->StateTimers.set(Id, this->Now + this->Settings.Progress.CancelTimeout);
  this->emit(CancelAttempt{Id, Request.Attempt});
}

void RequestTable::startAttempt(RequestEntry &Request, RequestState Next) {
  PARSLEYWING_INVARIANT(!Request.InFlight,
                        "a request has one attempt in flight");
  this->moveTo(Request, Next);
  ++Request.Attempt;
  ++this->Counters.Attempts;
  Request.InFlight = true;
  Request.SentReported = false;
  Request.Progressed = false;
  if (Next == RequestState::Admitted)
    this->Stalls.start(this->Now, Request.Description.Request,
                       Request.Description.Kind);
}

void RequestTable::endAttempt(RequestEntry &Request, std::uint64_t Offset) {
  Request.InFlight = false;
  Request.Offset = std::max(Request.Offset, Offset);
  this->Stalls.stop(Request.Description.Request);
  this->StateTimers.clear(Request.Description.Request);
}

bool RequestTable::mayResume(const RequestEntry &Request) const {
  return Request.isWorthResuming() &&
         Request.Resumes < this->Settings.Retry.MaxResumes;
}

void RequestTable::scheduleResume(RequestEntry &Request) {
  this->moveTo(Request, RequestState::Resuming);
  ++Request.Resumes;
  ++this->Counters.Resumes;
  if (Request.Resumes == 1) {
    this->resume(Request);
    return;
  }
  this->StateTimers.set(Request.Description.Request,
                        this->Now + this->backoff(Request.Resumes - 1));
}

void RequestTable::resume(RequestEntry &Request) {
  PARSLEYWING_INVARIANT(Request.HasSlot, "a resumed stream keeps its slot");
  this->startAttempt(Request, RequestState::Admitted);
  this->emit(ResumeAttempt{Request.Description.Request, Request.Attempt,
                           Request.Server, Request.Offset,
                           Request.OriginalAttempt});
}

void RequestTable::scheduleRetry(RequestEntry &Request,
                                 AttemptOutcome Outcome) {
  const RequestDescription &D = Request.Description;
  const Duration Wait = this->backoff(std::max(1U, Request.Starts));
  // What never left burdens no server, and must not use up the budget when a
  // server is gone.
  const bool Burdens = Outcome != AttemptOutcome::NotSent;
  const std::uint32_t Most = this->Settings.Retry.MaxAttempts;
  if (Request.Starts >= (Burdens ? Most : Most + MoreStartsWhereUnsent) ||
      this->Now + Wait >= D.Deadline) {
    this->giveUp(Request, ResponseReason::ServerFailed);
    return;
  }
  if (Burdens && !this->Budget.tryAcquire(this->Now, D.Account)) {
    this->giveUp(Request, ResponseReason::RetryBudgetSpent);
    return;
  }
  ++this->Counters.Retries;
  this->moveTo(Request, RequestState::BackingOff);
  this->StateTimers.set(D.Request, this->Now + Wait);
}

void RequestTable::releaseSlot(RequestEntry &Request) {
  if (!Request.HasSlot)
    return;
  Request.HasSlot = false;
  this->emit(ReleaseSlot{Request.Description.Request, Request.Tokens});
}

Duration RequestTable::backoff(std::uint32_t Tries) {
  const double Doubled =
      static_cast<double>(this->Settings.Retry.Backoff.count()) *
      std::exp2(Tries - 1);
  const double Most =
      static_cast<double>(this->Settings.Retry.MaxBackoff.count());
  const Duration Longest(static_cast<Duration::rep>(std::min(Doubled, Most)));
  return this->Random.spread(Longest, 0.5, 1);
}

} // namespace parsleywing
