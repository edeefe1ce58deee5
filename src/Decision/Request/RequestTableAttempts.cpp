#include "Decision/Request/RequestTable.h"

#include "Runtime/Invariant.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

/// Additional attempts after attempts that were not sent. A server that has
/// crashed has free slots and attracts queued requests until it is marked as
/// failed, some seconds later. A request that fails to connect there would
/// spend its attempts within half a second while the other servers are merely
/// busy. With the backoff, the additional attempts cover 6 to 13 s in total.
constexpr std::uint32_t ExtraUnsentAttempts = 8;

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
  this->settleRetry(*Request);
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
  // If two reports contradict each other, the worse one counts.
  const bool NeverSent =
      Outcome == AttemptOutcome::NotSent && !Request.SentReported;
  const bool NeverRan = Outcome == AttemptOutcome::Rejected &&
                        !Request.Progressed && Request.Offset == 0;
  const bool CertainlyNotRun = !Request.isResume() && (NeverSent || NeverRan);
  if (NeverSent)
    this->returnUnsentRetry(Request);
  else
    this->settleRetry(Request);
  if (!CertainlyNotRun)
    Request.MayHaveRun = true;
  if (!CertainlyNotRun && Outcome != AttemptOutcome::Rejected &&
      this->mayResume(Request)) {
    this->scheduleResume(Request);
    return;
  }
  this->releaseSlot(Request);
  const bool MayRestart = Request.Description.Repeatable && Request.Offset == 0;
  if (MayRestart || (CertainlyNotRun && !Request.MayHaveRun))
    this->scheduleRetry(Request, !NeverSent);
  else
    this->finish(Request, RequestOutcome::Unknown,
                 ResponseReason::ServerFailed);
}

void RequestTable::onStalled(RequestEntry &Request) {
  const RequestDescription &D = Request.Description;
  ++this->Counters.StalledAttempts;
  const bool IsReplaceable =
      D.Repeatable || (Request.HasSlot && D.Kind == ServiceKind::Engine);
  if (!IsReplaceable) {
    this->giveUp(Request, ResponseReason::ServerFailed);
    return;
  }
  if (!this->reserveReplacement(Request)) {
    // Nobody else can serve the request, and its server may go on.
    this->Stalls.start(this->Now, D.Request, D.Kind);
    return;
  }
  this->moveTo(Request, RequestState::Cancelling);
  this->StateTimers.set(D.Request,
                        this->Now + this->Settings.Progress.CancelTimeout);
  this->emit(CancelAttempt{D.Request, Request.Attempt});
}

/// A resumption needs no retry, and neither does a request that was handed
/// over.
bool RequestTable::reserveReplacement(RequestEntry &Request) {
  const RequestDescription &D = Request.Description;
  const bool IsStream = D.Kind == ServiceKind::Engine &&
                        (Request.Progressed || Request.isWorthResuming());
  const bool MayResume =
      IsStream && Request.Resumes < this->Settings.Retry.MaxResumes;
  if (!Request.HasSlot || MayResume)
    return true;
  const bool MayRestart =
      D.Repeatable && Request.Offset == 0 &&
      Request.Starts < this->Settings.Retry.MaxAttempts &&
      this->Now + this->Settings.Retry.MaxBackoff < D.Deadline;
  if (!MayRestart)
    return false;
  this->settleRetry(Request);
  return Request.Retry == RetryReservation::Reserved ||
         this->reserveRetry(Request);
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

/// An unsent request puts no load on a server, and must not consume the budget
/// while a server is down.
void RequestTable::scheduleRetry(RequestEntry &Request, bool LoadsServer) {
  const RequestDescription &D = Request.Description;
  const Duration Delay = this->backoff(std::max(1U, Request.Starts));
  const std::uint32_t MaxStarts = this->Settings.Retry.MaxAttempts;
  if (Request.Starts >=
          (LoadsServer ? MaxStarts : MaxStarts + ExtraUnsentAttempts) ||
      this->Now + Delay >= D.Deadline) {
    this->giveUp(Request, ResponseReason::ServerFailed);
    return;
  }
  const bool IsReserved = Request.Retry == RetryReservation::Reserved;
  if (LoadsServer && !IsReserved && !this->reserveRetry(Request)) {
    this->giveUp(Request, ResponseReason::RetryBudgetSpent);
    return;
  }
  ++this->Counters.Retries;
  this->moveTo(Request, RequestState::BackingOff);
  this->StateTimers.set(D.Request, this->Now + Delay);
}

bool RequestTable::reserveRetry(RequestEntry &Request) {
  const RequestDescription &D = Request.Description;
  PARSLEYWING_INVARIANT(Request.Retry == RetryReservation::None,
                        "a request reserves one retry at a time");
  const bool Permitted =
      this->Budget.tryAcquire(this->Now, D.Account, D.Service);
  ++(Permitted ? this->Counters.RetriesCharged : this->Counters.RetriesDenied);
  if (Permitted)
    Request.Retry = RetryReservation::Reserved;
  return Permitted;
}

bool RequestTable::confirmRetry(RequestEntry &Request) {
  if (Request.Retry != RetryReservation::Reserved)
    return true;
  if (!this->Budget.isWithinBound(this->Now, Request.Description.Service)) {
    ++this->Counters.RetriesDenied;
    return false;
  }
  Request.Retry = RetryReservation::Sent;
  return true;
}

void RequestTable::settleRetry(RequestEntry &Request) {
  if (Request.Retry != RetryReservation::Sent)
    return;
  this->Budget.settle(this->Now, Request.Description.Service);
  Request.Retry = RetryReservation::None;
}

void RequestTable::returnUnsentRetry(RequestEntry &Request) {
  if (Request.Retry == RetryReservation::Sent)
    Request.Retry = RetryReservation::Reserved;
}

void RequestTable::settleHandedOverRetry(RequestEntry &Request) {
  if (Request.Retry == RetryReservation::Reserved)
    Request.Retry = RetryReservation::Sent;
  this->settleRetry(Request);
}

void RequestTable::endRetry(RequestEntry &Request) {
  if (Request.HandOvers > 0)
    this->settleHandedOverRetry(Request);
  this->settleRetry(Request);
  if (Request.Retry == RetryReservation::Reserved)
    this->Budget.cancel(Request.Description.Service);
  Request.Retry = RetryReservation::None;
}

void RequestTable::releaseSlot(RequestEntry &Request) {
  if (!Request.HasSlot)
    return;
  Request.HasSlot = false;
  this->emit(ReleaseSlot{Request.Description.Request, Request.Tokens});
}

Duration RequestTable::backoff(std::uint32_t FailedAttempts) {
  const double Exponential =
      static_cast<double>(this->Settings.Retry.Backoff.count()) *
      std::exp2(FailedAttempts - 1);
  const double Max =
      static_cast<double>(this->Settings.Retry.MaxBackoff.count());
  const Duration Delay(static_cast<Duration::rep>(std::min(Exponential, Max)));
  return this->Random.spread(Delay, 0.5, 1);
}

} // namespace parsleywing
