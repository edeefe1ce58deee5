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
         Status == HttpRequestTimeout || Status == HttpMisdirectedRequest;
}

} // namespace

void GatewayRequest::recordFirstChunk() {
  if (!this->PromptRead) {
    this->PromptRead = true;
    this->Context.Servers.recordPrefilled(this->Choice.Server, this->Work,
                                          this->CallerFields.PromptParts);
    this->Work.PrefillTokens = 0;
    if (this->usesAllocator())
      this->Context.Agent.onAttemptStarted(this->AttemptId);
  }
  if (!this->TimeToFirstChunk) {
    this->TimeToFirstChunk = this->elapsed();
    this->Context.Counters.TimeToFirstChunk.observe(*this->TimeToFirstChunk);
  }
}

void GatewayRequest::onResponseHead(const HttpHead &Head,
                                    const ServerResponseFields &Read) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->LastReceivedAt = Now;
  this->HeadReceived = true;
  this->Context.Servers.recordActivity(this->Choice.Server, Now);
  this->ResponseHead = Head;
  this->ResponseFields = Read;
  const bool Success = Head.Status >= HttpOk && Head.Status < HttpSuccessEnd;
  if (Success && !Read.HasReceipt) {
    this->closeUpstream();
    this->endAttempt(this->Progress.ResponseStarted ? AttemptResult::Truncated
                                                    : AttemptResult::NoResponse,
                     ServerVerdict::Failed);
    return;
  }
  if (Success && this->Route->Kind == RequestKind::Stream)
    this->startStream(Head);
}

/// The answer keeps the head of its first server.
void GatewayRequest::startStream(const HttpHead &Head) {
  this->Streaming = true;
  if (this->Progress.ResponseStarted)
    return;
  this->Progress.ResponseStarted = true;
  this->FinalStatus = Head.Status;
  this->Session->startResponse(this->Context.Format.BuildCallerResponse(Head));
}

void GatewayRequest::onResponsePayload(std::string_view Payload) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->LastReceivedAt = Now;
  this->Context.Servers.recordActivity(this->Choice.Server, Now);
  this->recordFirstChunk();
  if (this->Streaming && this->ResponseHead.Status < HttpSuccessEnd) {
    this->forwardEvents(Payload);
    return;
  }
  this->ResponseBody.append(Payload);
  if (this->ResponseBody.size() > this->Configuration->Limits.MaxBodyBytes) {
    this->closeUpstream();
    this->endAttempt(AttemptResult::NoResponse, ServerVerdict::Failed);
  }
}

void GatewayRequest::forwardEvents(std::string_view Payload) {
  std::string Whole;
  for (StreamEvent &Event : this->Splitter.add(Payload)) {
    if (Event.Id && this->LastEventId && *Event.Id <= *this->LastEventId)
      continue;
    if (Event.Id && this->LastEventId && *Event.Id != *this->LastEventId + 1) {
      // A piece is missing; what is behind it must not follow.
      this->Session->sendChunk(Whole);
      this->closeUpstream();
      this->endAttempt(AttemptResult::Truncated, ServerVerdict::Failed);
      return;
    }
    if (Event.Id)
      this->LastEventId = Event.Id;
    this->Context.Counters.StreamEvents.add();
    Whole += Event.Text;
  }
  this->Session->sendChunk(Whole);
  if (this->Session->unsent() > SlowCallerBytes && !this->UpstreamPaused) {
    this->UpstreamPaused = true;
    this->Upstream->pauseReading();
  }
}

AttemptResult GatewayRequest::responseResult() const {
  if (this->ResponseFields.NotRun || this->ResponseFields.WrongServer)
    return AttemptResult::NotRun;
  if (this->ResponseHead.Status >= HttpSuccessEnd)
    return AttemptResult::ErrorResponse;
  if (this->Streaming && !this->Splitter.partialEvent().empty())
    return AttemptResult::Truncated;
  return AttemptResult::Served;
}

void GatewayRequest::onUpstreamEnd(UpstreamEnd How) {
  if (this->Ended)
    return;
  const auto Connection = std::exchange(this->Upstream, nullptr);
  if (How == UpstreamEnd::Complete) {
    this->recordFirstChunk();
    this->Context.Pool.release(this->ServerId, Connection);
    const AttemptResult Outcome = this->responseResult();
    ServerVerdict Verdict = ServerVerdict::Healthy;
    if (Outcome == AttemptResult::NotRun)
      Verdict = this->ResponseFields.WrongServer ? ServerVerdict::Unreachable
                                                 : ServerVerdict::Full;
    else if (Outcome != AttemptResult::Served)
      Verdict = ServerVerdict::Failed;
    this->endAttempt(Outcome, Verdict);
    return;
  }
  if (How == UpstreamEnd::NotSent) {
    this->endAttempt(AttemptResult::NotSent, ServerVerdict::Unreachable);
    return;
  }
  this->IsProbe = false;
  // The server's statement stands, even if the text behind it did not come.
  if (this->HeadReceived && this->responseResult() == AttemptResult::NotRun) {
    this->endAttempt(AttemptResult::NotRun, ServerVerdict::Full);
    return;
  }
  if (How == UpstreamEnd::Broken)
    this->reportSuspectedCrash(CrashDetector::AttemptEnd::Broken);
  this->endAttempt(this->Progress.ResponseStarted ? AttemptResult::Truncated
                                                  : AttemptResult::NoResponse,
                   ServerVerdict::Failed);
}

void GatewayRequest::forwardResponse() {
  const int Status = this->ResponseHead.Status;
  if (this->Streaming && Status < HttpSuccessEnd) {
    this->Session->finishResponse();
    this->finishServed();
    return;
  }
  // These statuses promise that the request has not run; from a server they do
  // so only with its statement, and then they do not come here.
  if (promisesNotRun(Status)) {
    this->sendLocalReply(HttpBadGateway, "Bad Gateway");
    return;
  }
  this->FinalStatus = Status;
  this->Session->sendResponse(
      this->Context.Format.BuildCallerResponse(this->ResponseHead),
      this->ResponseBody);
  if (Status < HttpSuccessEnd)
    this->finishServed();
  else
    this->finish("failed-by-server", this->Context.Counters.FailedByServer);
}

/// A request that crashes servers gets no whole answer.
void GatewayRequest::finishServed() {
  if (this->mayBeSuspect())
    this->Context.Crashes.onCompleted(this->identity());
  this->finish("served", this->Context.Counters.Served);
}

void GatewayRequest::sendLocalReply(int Status, const char *Reason) {
  this->FinalStatus = Status;
  HttpHead Head = localReplyHead(Status, Reason);
  this->Context.Format.MarkLocalReply(Head, this->CallerFields.RequestId);
  this->Session->sendResponse(std::move(Head), {});
  if (Status < HttpBadGateway)
    this->finish("denied", this->Context.Counters.Denied);
  else
    this->finish("failed", this->Context.Counters.Failed);
}

/// Spread by the request's identity: callers refused together would else come
/// back together.
std::string GatewayRequest::retryAfterText(Duration AtLeast) const {
  const Duration Spread{static_cast<Duration::rep>(
      hashName(this->CallerFields.RequestId) %
      static_cast<std::uint64_t>(ReturnSpread.count()))};
  return secondsText(std::max(ReturnAfter, AtLeast) + Spread);
}

void GatewayRequest::refuse(RefusalReason Why, Duration ReturnAfterAtLeast) {
  this->FinalStatus = HttpServiceUnavailable;
  HttpHead Head = localReplyHead(HttpServiceUnavailable, "Service Unavailable");
  this->Context.Format.MarkLocalReply(Head, this->CallerFields.RequestId);
  // Nothing that the caller could wait for changes what its request does.
  if (Why != RefusalReason::CrashesServers)
    Head.add("Retry-After", this->retryAfterText(ReturnAfterAtLeast));
  this->Session->sendResponse(std::move(Head), {});
  this->Refusal = Why;
  this->Context.Counters.refusedBy(Why).add();
  this->finish("refused", this->Context.Counters.Refused);
}

} // namespace parsleywing
