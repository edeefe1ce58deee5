#include "Gateway/GatewayRequest.h"

#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Bytes that a caller may leave untaken before its server is slowed down.
constexpr std::size_t SlowCallerBytes = 64U << 10U;

/// When a refused caller is to come back. Callers wait at most a third of the
/// time that they have left, and try again once.
constexpr Duration ReturnAfter = std::chrono::milliseconds(300);

constexpr Duration ReturnSpread = std::chrono::milliseconds(200);

/// Answers by which a router promises that the request has not run.
bool promisesNotRun(int Status) {
  return Status == HttpTooManyRequests || Status == HttpServiceUnavailable ||
         Status == HttpRequestTimeout || Status == HttpMisdirected;
}

} // namespace

void GatewayRequest::noteFirstPiece() {
  if (!this->PromptRead) {
    this->PromptRead = true;
    this->Context.Servers.noteRead(this->Choice.Server, this->Work,
                                   this->Info.PromptParts);
    this->Work.UnreadTokens = 0;
    if (this->allocated())
      this->Context.Agent.began(this->SendId);
  }
  if (!this->FirstPieceAfter) {
    this->FirstPieceAfter = this->elapsed();
    this->Context.Counters.FirstPiece.observe(*this->FirstPieceAfter);
  }
}

void GatewayRequest::onHead(const HttpHead &Head, const ServerHead &Read) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->HeardAt = Now;
  this->HeadCame = true;
  this->Context.Servers.noteHeard(this->Choice.Server, Now);
  this->AnswerHead = Head;
  this->AnswerRead = Read;
  const bool Success = Head.Status >= HttpOk && Head.Status < HttpFirstFailure;
  if (Success && !Read.HasReceipt) {
    this->closeUpstream();
    this->endSend(this->Progress.AnswerBegun ? SendOutcome::BrokenOff
                                             : SendOutcome::Lost,
                  ServerVerdict::Failed);
    return;
  }
  if (Success && this->Route->Kind == RequestKind::Stream)
    this->beginStream(Head);
}

/// The answer keeps the head of its first server.
void GatewayRequest::beginStream(const HttpHead &Head) {
  this->Streaming = true;
  if (this->Progress.AnswerBegun)
    return;
  this->Progress.AnswerBegun = true;
  this->FinalStatus = Head.Status;
  this->Session->beginAnswer(this->Context.Format.WriteCallerAnswer(Head));
}

void GatewayRequest::onPayload(std::string_view Payload) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->HeardAt = Now;
  this->Context.Servers.noteHeard(this->Choice.Server, Now);
  this->noteFirstPiece();
  if (this->Streaming && this->AnswerHead.Status < HttpFirstFailure) {
    this->passEvents(Payload);
    return;
  }
  this->AnswerBody.append(Payload);
  if (this->AnswerBody.size() > this->Configuration->Limits.MaxBodyBytes) {
    this->closeUpstream();
    this->endSend(SendOutcome::Lost, ServerVerdict::Failed);
  }
}

void GatewayRequest::passEvents(std::string_view Payload) {
  std::string Whole;
  for (StreamEvent &Event : this->Events.add(Payload)) {
    if (Event.Id && this->LastEvent && *Event.Id <= *this->LastEvent)
      continue;
    if (Event.Id && this->LastEvent && *Event.Id != *this->LastEvent + 1) {
      // A piece is missing; what is behind it must not follow.
      this->Session->piece(Whole);
      this->closeUpstream();
      this->endSend(SendOutcome::BrokenOff, ServerVerdict::Failed);
      return;
    }
    if (Event.Id)
      this->LastEvent = Event.Id;
    this->Context.Counters.Events.add();
    Whole += Event.Text;
  }
  this->Session->piece(Whole);
  if (this->Session->unsent() > SlowCallerBytes && !this->Paused) {
    this->Paused = true;
    this->Upstream->pauseReading();
  }
}

SendOutcome GatewayRequest::outcomeOfAnswer() const {
  if (this->AnswerRead.NotRun || this->AnswerRead.WrongServer)
    return SendOutcome::NotRun;
  if (this->AnswerHead.Status >= HttpFirstFailure)
    return SendOutcome::Failure;
  if (this->Streaming && !this->Events.rest().empty())
    return SendOutcome::BrokenOff;
  return SendOutcome::Served;
}

void GatewayRequest::onUpstreamEnd(UpstreamEnd How) {
  if (this->Ended)
    return;
  const auto Connection = std::exchange(this->Upstream, nullptr);
  if (How == UpstreamEnd::Complete) {
    this->noteFirstPiece();
    this->Context.Pool.put(this->ServerId, Connection);
    const SendOutcome Outcome = this->outcomeOfAnswer();
    ServerVerdict Verdict = ServerVerdict::Sound;
    if (Outcome == SendOutcome::NotRun)
      Verdict = this->AnswerRead.WrongServer ? ServerVerdict::Unreachable
                                             : ServerVerdict::Full;
    else if (Outcome != SendOutcome::Served)
      Verdict = ServerVerdict::Failed;
    this->endSend(Outcome, Verdict);
    return;
  }
  if (How == UpstreamEnd::NotSent) {
    this->endSend(SendOutcome::NotSent, ServerVerdict::Unreachable);
    return;
  }
  this->Trying = false;
  // The server's statement stands, even if the text behind it did not come.
  if (this->HeadCame && this->outcomeOfAnswer() == SendOutcome::NotRun) {
    this->endSend(SendOutcome::NotRun, ServerVerdict::Full);
    return;
  }
  if (How == UpstreamEnd::Broken)
    this->noteServerInDoubt(CrashWatch::SendEnd::Broken);
  this->endSend(this->Progress.AnswerBegun ? SendOutcome::BrokenOff
                                           : SendOutcome::Lost,
                ServerVerdict::Failed);
}

void GatewayRequest::passAnswer() {
  const int Status = this->AnswerHead.Status;
  if (this->Streaming && Status < HttpFirstFailure) {
    this->Session->endAnswer();
    this->finishServed();
    return;
  }
  // These statuses promise that the request has not run; from a server they do
  // so only with its statement, and then they do not come here.
  if (promisesNotRun(Status)) {
    this->answerOwn(HttpBadGateway, "Bad Gateway");
    return;
  }
  this->FinalStatus = Status;
  this->Session->answer(
      this->Context.Format.WriteCallerAnswer(this->AnswerHead),
      this->AnswerBody);
  if (Status < HttpFirstFailure)
    this->finishServed();
  else
    this->finish("failed-by-server", this->Context.Counters.FailedByServer);
}

/// A request that crashes servers gets no whole answer.
void GatewayRequest::finishServed() {
  if (this->mayBeSuspect())
    this->Context.Crashes.onServed(this->identity());
  this->finish("served", this->Context.Counters.Served);
}

void GatewayRequest::answerOwn(int Status, const char *Reason) {
  this->FinalStatus = Status;
  HttpHead Head = ownAnswerHead(Status, Reason);
  this->Context.Format.MarkOwnAnswer(Head, this->Info.RequestId);
  this->Session->answer(std::move(Head), {});
  if (Status < HttpBadGateway)
    this->finish("denied", this->Context.Counters.Denied);
  else
    this->finish("failed", this->Context.Counters.Failed);
}

/// Spread by the request's identity: callers refused together would else come
/// back together.
std::string GatewayRequest::returnAfterText(Duration AtLeast) const {
  const Duration Spread{static_cast<Duration::rep>(
      hashName(this->Info.RequestId) %
      static_cast<std::uint64_t>(ReturnSpread.count()))};
  return secondsText(std::max(ReturnAfter, AtLeast) + Spread);
}

void GatewayRequest::refuse(RefusalReason Why, Duration ReturnAfterAtLeast) {
  this->FinalStatus = HttpServiceUnavailable;
  HttpHead Head = ownAnswerHead(HttpServiceUnavailable, "Service Unavailable");
  this->Context.Format.MarkOwnAnswer(Head, this->Info.RequestId);
  // Nothing that the caller could wait for changes what its request does.
  if (Why != RefusalReason::CrashesServers)
    Head.add("Retry-After", this->returnAfterText(ReturnAfterAtLeast));
  this->Session->answer(std::move(Head), {});
  this->Refused = Why;
  this->Context.Counters.refusal(Why).add();
  this->finish("refused", this->Context.Counters.Refused);
}

} // namespace parsleywing
