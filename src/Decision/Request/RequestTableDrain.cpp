#include "Decision/Request/RequestTable.h"

#include <algorithm>

namespace parsleywing {

void RequestTable::on(const ViewChanged &Event) {
  this->Drain.setView(Event.Current);
  if (this->Drain.isDraining())
    this->handOverQueued();
}

void RequestTable::on(const DrainRequested &) {
  this->Drain.start(this->Now);
  this->handOverQueued();
}

void RequestTable::handOverQueued() {
  std::vector<RequestId> Queued;
  for (const auto &[Id, Request] : this->OpenRequests)
    if (Request.State == RequestState::Queued)
      Queued.push_back(Id);
  std::sort(Queued.begin(), Queued.end());
  for (RequestId Id : Queued)
    this->handOverOrRefuse(*this->findOpen(Id));
}

/// Hands a queued request of a draining router over to another one, or refuses
/// it. In the queue, it would delay the end of the process for as long as other
/// requests occupy the slots, while another router could serve its caller.
/// Returns false if the request has to stay here because an earlier attempt
/// may have run.
bool RequestTable::handOverOrRefuse(RequestEntry &Request) {
  const bool Queued = Request.State == RequestState::Queued;
  if (this->handOver(Request)) {
    if (Queued)
      this->emit(WithdrawRequest{Request.Description.Request});
    return true;
  }
  if (Request.MayHaveRun)
    return false;
  this->giveUp(Request, ResponseReason::Draining);
  return true;
}

bool RequestTable::handOver(RequestEntry &Request) {
  if (Request.Description.HandedOver ||
      Request.HandOvers >= this->Settings.Drain.MaxHandOvers)
    return false;
  const std::optional<RouterId> Router = this->Drain.nextRouter();
  if (!Router)
    return false;
  const RequestDescription &D = Request.Description;
  this->Shedder.stopWaiting(D.Account, D.Request);
  ++Request.HandOvers;
  ++this->Counters.HandOvers;
  this->startAttempt(Request, RequestState::HandedOver);
  Request.OriginalAttempt = Request.Attempt;
  this->emit(HandOverRequest{D.Request, *Router, Request.Attempt,
                             Request.Record != RecordOwnership::None});
  return true;
}

void RequestTable::on(const HandOverEnded &Event) {
  RequestEntry *Request = this->findAttempt(Event.Request, Event.Attempt);
  if (Request == nullptr || Request->HasSlot) {
    ++this->Counters.DroppedEvents;
    return;
  }
  this->endAttempt(*Request, Event.Offset);
  const bool CertainlyNotRun = (Event.Outcome == AttemptOutcome::NotSent ||
                                Event.Outcome == AttemptOutcome::Rejected) &&
                               !Request->Progressed && Request->Offset == 0;
  if (CertainlyNotRun && Request->State == RequestState::HandedOver) {
    this->enqueue(*Request);
    return;
  }
  if (!CertainlyNotRun)
    Request->MayHaveRun = true;
  this->settleHandedOverRetry(*Request);
  if (Event.Outcome == AttemptOutcome::Completed)
    this->finish(*Request, RequestOutcome::Completed, ResponseReason::Served);
  else if (Event.Outcome == AttemptOutcome::CallerDisconnected)
    this->finish(*Request, RequestOutcome::Unknown,
                 ResponseReason::CallerDisconnected);
  else if (Request->Description.Repeatable && Request->Offset == 0)
    this->scheduleRetry(*Request, Event.Outcome != AttemptOutcome::NotSent);
  else
    this->giveUp(*Request, ResponseReason::ServerFailed);
}

void RequestTable::truncateOpen() {
  std::vector<RequestId> Remaining;
  for (const auto &[Id, Request] : this->OpenRequests)
    Remaining.push_back(Id);
  std::sort(Remaining.begin(), Remaining.end());
  for (RequestId Id : Remaining) {
    this->Drain.countUnfinished();
    this->giveUp(*this->findOpen(Id), ResponseReason::Draining);
  }
}

} // namespace parsleywing
