#include "Gateway/GatewayRequest.h"

#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Unsent response bytes above which the router stops reading from the server.
constexpr std::size_t MaxUnsentBytes = 64U << 10U;

/// From this pause of reading on, the end of a response may be the server's
/// reaction to it. Servers cut off a response that stays unread for some
/// seconds.
constexpr Duration MinUnreadTime = std::chrono::seconds(1);

/// How long after such a pause the end of a response is still attributed to it:
/// the router first reads what the kernel has buffered before that end.
constexpr Duration UnreadAfterEffect = std::chrono::seconds(5);

/// Max size of an event of a stream.
constexpr std::size_t MaxEventBytes = 64U << 10U;

/// Body bytes of a response that is no stream which count as progress. Fewer
/// count only as its end.
constexpr std::size_t MinProgressBytes = 1024;

/// Min value of Retry-After, without its random part. Callers wait for at most
/// a third of their remaining time and retry once.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(300);

/// Min range of the random part of Retry-After.
constexpr Duration MinRetryAfterJitter = std::chrono::milliseconds(200);

/// The range of the random part is at least the delay divided by this, so that
/// callers do not all return at the end of a long pause of a server.
constexpr int RetryAfterJitterDivisor = 4;

bool isSuccess(const HttpHead &Head) {
  return Head.Status >= HttpOk && Head.Status < HttpSuccessEnd;
}

/// A success that does not prove which server ran the request.
bool isWithoutReceipt(const HttpHead &Head,
                      const ServerResponseFields &Fields) {
  return isSuccess(Head) && !Fields.HasReceipt;
}

/// Whether the request is refused again however long its caller waits.
bool isLasting(RefusalReason Reason) {
  return Reason == RefusalReason::CrashesServers ||
         Reason == RefusalReason::StreamUnknown ||
         Reason == RefusalReason::VersionGone;
}

/// Statuses by which a router promises that the request has not run.
bool promisesNotRun(int Status) {
  return Status == HttpTooManyRequests || Status == HttpServiceUnavailable ||
         Status == HttpRequestTimeout || Status == HttpMisdirectedRequest;
}

} // namespace

void GatewayRequest::recordFirstChunk() {
  if (!this->Current.PromptPrefilled) {
    this->Current.PromptPrefilled = true;
    this->Context.Servers.recordPrefilled(this->Current.Choice.Server,
                                          this->Current.Load,
                                          this->CallerFields.PromptParts);
    this->Current.Load.PrefillTokens = 0;
    if (this->usesAllocator())
      this->Context.Agent.onAttemptStarted(this->Current.Id);
  }
  if (!this->TimeToFirstChunk) {
    this->TimeToFirstChunk = this->elapsed();
    this->Context.Counters.TimeToFirstChunk.observe(*this->TimeToFirstChunk);
    this->Context.Accounts.recordBegun(this->accountText(), this->tokens());
  }
}

void GatewayRequest::onResponseHead(const HttpHead &Head,
                                    const ServerResponseFields &Fields) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->Current.LastReceivedAt = Now;
  this->Current.HeadReceived = true;
  this->Current.HeadReceivedAt = Now;
  this->Context.Servers.recordReceived(this->Current.Choice.Server, Now);
  this->Charge->onServerReached();
  this->Current.ResponseHead = Head;
  this->Current.HeadBytes = this->Current.ResponseHead.heapBytes();
  this->Current.recordBuffered();
  this->Current.ResponseFields = Fields;
  if (isWithoutReceipt(Head, Fields)) {
    this->Cause = TerminationReason::InvalidResponse;
    this->closeUpstream();
    this->endAttempt(this->Progress.ResponseStarted ? AttemptResult::Interrupted
                                                    : AttemptResult::NoResponse,
                     ServerVerdict::Failed);
    return;
  }
  this->Context.Signals.onResponse(
      {this->Current.ServerId, this->Current.Load.ServerStartedMs}, Fields);
  if (isSuccess(Head) && this->Route->Kind == RequestKind::Stream)
    this->startStream(Head);
}

/// A server that has been silent has nothing to give for what another server is
/// working on already.
bool GatewayRequest::endsUnresponsive(std::uint32_t Number,
                                      const HttpHead &Head,
                                      const ServerResponseFields &Fields) {
  const bool IsUnresponsive =
      this->Unresponsive && this->Unresponsive->Number == Number;
  const bool IsUseful = isSuccess(Head) && !isWithoutReceipt(Head, Fields);
  if (!IsUnresponsive || IsUseful || !this->Current.isOpen())
    return false;
  this->Cause = TerminationReason::ServerError;
  this->Context.Counters.UnresponsiveLost.add();
  this->Context.Signals.onResponse(
      {this->Unresponsive->ServerId, this->Unresponsive->Load.ServerStartedMs},
      Fields);
  this->closeUnresponsive(Fields.NotRun ? ServerVerdict::Full
                                        : ServerVerdict::Failed);
  return true;
}

/// The caller gets the response head of the first server, even if another
/// server continues the stream.
void GatewayRequest::startStream(const HttpHead &Head) {
  this->Streaming = true;
  if (this->Progress.ResponseStarted)
    return;
  this->supersedeUnresponsive();
  this->Progress.ResponseStarted = true;
  this->FinalStatus = Head.Status;
  this->Session->startResponse(this->Context.Format.BuildCallerResponse(Head));
}

/// The response has got ahead. Bytes that do not bring it nearer to its end, of
/// which a faulty server may send any number, are no sign of life.
void GatewayRequest::recordProgress() {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->Current.LastReceivedAt = Now;
  this->Current.BytesSinceProgress = 0;
  this->Current.AwaitedUnread = false;
  this->Context.Servers.recordReceived(this->Current.Choice.Server, Now);
  this->recordFirstChunk();
}

void GatewayRequest::recordAnswering() {
  if (!isSuccess(this->Current.ResponseHead))
    return;
  const TimePoint Now = this->Context.Loop.clock().now();
  if (!this->Current.BegunAt)
    this->Current.BegunAt = Now;
  else if (!this->Current.HasSurvived &&
           Now - *this->Current.BegunAt >= PartCrashGuard::SurvivalTime)
    this->recordSurvival();
}

void GatewayRequest::recordSurvival() {
  this->Current.HasSurvived = true;
  if (this->Context.PartCrashes.hasSuspects())
    this->Context.PartCrashes.onAnswer(
        sharedParts(this->CallerFields.PromptParts), *this->Current.BegunAt);
}

bool GatewayRequest::isNewEvent(const StreamEvent &Event) const {
  if (Event.Id)
    return !this->LastEventId || *Event.Id > *this->LastEventId;
  return Event.HasContent;
}

/// Whether what the attempt has withheld is progress.
bool GatewayRequest::makesProgress(const GatewayAttempt &Attempt) const {
  if (!this->Streaming || Attempt.ResponseHead.Status >= HttpSuccessEnd)
    return Attempt.BytesSinceProgress + Attempt.Withheld.size() >=
           MinProgressBytes;
  EventSplitter Splitter = Attempt.Splitter;
  const auto Completed = Splitter.add(Attempt.Withheld);
  return std::any_of(
      Completed.begin(), Completed.end(),
      [this](const StreamEvent &Each) { return this->isNewEvent(Each); });
}

void GatewayRequest::receivePayload(std::uint32_t Number,
                                    std::string_view Payload) {
  if (!this->Unresponsive || this->Unresponsive->Number != Number) {
    if (this->isCurrent(Number))
      this->onResponsePayload(Payload);
    return;
  }
  GatewayAttempt &Silent = *this->Unresponsive;
  Silent.Withheld.append(Payload);
  Silent.recordBuffered();
  if (this->makesProgress(Silent)) {
    if (this->isCurrent(Number))
      this->releaseWithheld();
    return;
  }
  if (Silent.Withheld.size() <= MaxEventBytes)
    return;
  // The attempt at another server decides from now on.
  this->onUnresponsiveEnd(UpstreamEnd::Malformed);
}

void GatewayRequest::releaseWithheld() {
  const std::string Withheld = std::exchange(this->Current.Withheld, {});
  if (!Withheld.empty())
    this->onResponsePayload(Withheld);
}

void GatewayRequest::onResponsePayload(std::string_view Payload) {
  if (this->Streaming && this->Current.ResponseHead.Status < HttpSuccessEnd) {
    this->forwardEvents(Payload);
    return;
  }
  this->recordAnswering();
  this->Current.BytesSinceProgress += Payload.size();
  if (this->Current.BytesSinceProgress >= MinProgressBytes)
    this->recordProgress();
  this->Current.ResponseBody.append(Payload);
  this->Current.recordBuffered();
  if (this->Current.ResponseBody.size() >
      this->Configuration->Limits.MaxBodyBytes) {
    this->Cause = TerminationReason::InvalidResponse;
    this->closeUpstream();
    this->endAttempt(AttemptResult::NoResponse, ServerVerdict::Failed);
  }
}

void GatewayRequest::forwardEvents(std::string_view Payload) {
  std::string CompleteEvents;
  for (StreamEvent &Event : this->Current.Splitter.add(Payload)) {
    if (this->isNewEvent(Event)) {
      this->recordProgress();
      this->recordAnswering();
    }
    if (Event.Id && this->LastEventId && *Event.Id <= *this->LastEventId)
      continue;
    if (Event.Id && this->LastEventId && *Event.Id != *this->LastEventId + 1) {
      // An event is missing, so the following ones must not be forwarded.
      this->sendEvents(CompleteEvents);
      this->Cause = TerminationReason::InvalidResponse;
      this->closeUpstream();
      this->endAttempt(AttemptResult::Interrupted, ServerVerdict::Failed);
      return;
    }
    if (Event.Id)
      this->LastEventId = Event.Id;
    this->Context.Counters.StreamEvents.add();
    CompleteEvents += Event.Text;
  }
  this->sendEvents(CompleteEvents);
  this->Current.recordBuffered();
  if (this->Current.Splitter.partialEvent().size() > MaxEventBytes) {
    this->Cause = TerminationReason::InvalidResponse;
    this->closeUpstream();
    this->endAttempt(AttemptResult::Interrupted, ServerVerdict::Failed);
    return;
  }
  if (this->Session->unsent() > MaxUnsentBytes &&
      !this->Current.ReadingPaused) {
    this->Current.ReadingPaused = true;
    this->Current.PausedAt = this->Context.Loop.clock().now();
    this->Current.Upstream->pauseReading();
  }
}

/// The server could not be heard while reading was paused.
void GatewayRequest::resumeReading() {
  if (!this->Current.ReadingPaused || this->Current.Upstream == nullptr)
    return;
  this->Current.ReadingPaused = false;
  const TimePoint Now = this->Context.Loop.clock().now();
  this->Current.LastReceivedAt = Now;
  if (Now - this->Current.PausedAt >= MinUnreadTime)
    this->Current.LongPauseEndedAt = Now;
  this->Current.Upstream->resumeReading();
}

void GatewayRequest::sendEvents(std::string_view Events) {
  if (Events.empty())
    return;
  this->supersedeUnresponsive();
  this->bindStream();
  this->Session->sendChunk(Events);
}

AttemptResult GatewayRequest::responseResult() const {
  const bool IsError = this->Current.ResponseHead.Status >= HttpSuccessEnd;
  const bool SaysNotRun = this->Current.ResponseFields.NotRun ||
                          this->Current.ResponseFields.WrongServer;
  if (IsError)
    return SaysNotRun ? AttemptResult::NotRun : AttemptResult::ErrorResponse;
  if (this->endsInsideEvent(this->Current))
    return AttemptResult::Interrupted;
  return AttemptResult::Served;
}

bool GatewayRequest::endsInsideEvent(const GatewayAttempt &Attempt) const {
  if (!this->Streaming || Attempt.ResponseHead.Status >= HttpSuccessEnd)
    return false;
  EventSplitter Splitter = Attempt.Splitter;
  Splitter.add(Attempt.Withheld);
  return Splitter.insideEvent();
}

bool GatewayRequest::isCutOffUnread(UpstreamEnd End,
                                    bool EndedWithConnection) const {
  const bool IsCutOff = End == UpstreamEnd::Broken ||
                        (End == UpstreamEnd::Complete && EndedWithConnection &&
                         this->responseResult() == AttemptResult::Interrupted);
  if (!IsCutOff || !this->Progress.ResponseStarted)
    return false;
  const TimePoint Now = this->Context.Loop.clock().now();
  const auto &PauseEnd = this->Current.LongPauseEndedAt;
  return (this->Current.ReadingPaused &&
          Now - this->Current.PausedAt >= MinUnreadTime) ||
         (PauseEnd && Now - *PauseEnd < UnreadAfterEffect);
}

void GatewayRequest::onUpstreamEnd(UpstreamEnd End) {
  if (this->Ended)
    return;
  // Another attempt would generate the rest of the stream for a caller that
  // does not read it.
  if (this->isCutOffUnread(End,
                           this->Current.Upstream->endedWithConnection())) {
    this->endForCaller(TerminationReason::CallerTooSlow);
    return;
  }
  const auto Connection = std::exchange(this->Current.Upstream, nullptr);
  if (End == UpstreamEnd::Complete) {
    this->recordFirstChunk();
    this->Context.Pool.release(this->Current.ServerId, Connection);
    const AttemptResult Result = this->responseResult();
    ServerVerdict Verdict = ServerVerdict::Healthy;
    if (Result == AttemptResult::NotRun)
      Verdict = this->Current.ResponseFields.WrongServer
                    ? ServerVerdict::Unreachable
                    : ServerVerdict::Full;
    else if (Result != AttemptResult::Served)
      Verdict = ServerVerdict::Failed;
    if (Result == AttemptResult::ErrorResponse)
      this->Cause = TerminationReason::ServerError;
    else if (Result == AttemptResult::Interrupted)
      this->Cause = TerminationReason::InvalidResponse;
    this->Current.EndedWithConnection = Connection->endedWithConnection();
    if (Result == AttemptResult::Interrupted &&
        this->Current.EndedWithConnection)
      this->reportSuspectedCrash(this->Current,
                                 CrashDetector::AttemptEnd::Broken);
    this->endAttempt(Result, Verdict);
    return;
  }
  if (End == UpstreamEnd::NotSent) {
    this->endAttempt(AttemptResult::NotSent, ServerVerdict::Unreachable);
    return;
  }
  // The head states that the request has not run, which holds even if the body
  // is incomplete.
  if (this->Current.HeadReceived &&
      this->responseResult() == AttemptResult::NotRun) {
    this->endAttempt(AttemptResult::NotRun, ServerVerdict::Full);
    return;
  }
  this->Cause = End == UpstreamEnd::Broken
                    ? TerminationReason::ServerDisconnected
                    : TerminationReason::InvalidResponse;
  if (End == UpstreamEnd::Broken)
    this->reportSuspectedCrash(this->Current,
                               CrashDetector::AttemptEnd::Broken);
  this->IsProbe = false;
  this->endAttempt(this->Progress.ResponseStarted ? AttemptResult::Interrupted
                                                  : AttemptResult::NoResponse,
                   ServerVerdict::Failed);
}

void GatewayRequest::forwardResponse() {
  const int Status = this->Current.ResponseHead.Status;
  if (this->Streaming && Status < HttpSuccessEnd) {
    this->Session->finishResponse();
    this->finishServed();
    return;
  }
  if (Status >= HttpSuccessEnd) {
    this->forwardError(this->Current.ResponseHead, this->Current.ResponseBody);
    return;
  }
  this->FinalStatus = Status;
  this->Session->sendResponse(
      this->Context.Format.BuildCallerResponse(this->Current.ResponseHead),
      this->Current.ResponseBody);
  this->finishServed();
}

void GatewayRequest::forwardError(const HttpHead &Head, std::string_view Body) {
  // To a caller these statuses promise that the request has not run. A server's
  // status alone is no such promise, and a response with the explicit statement
  // does not get here.
  if (promisesNotRun(Head.Status)) {
    this->Cause = TerminationReason::ServerError;
    this->sendLocalReply(HttpBadGateway, "Bad Gateway");
    return;
  }
  this->FinalStatus = Head.Status;
  this->Session->sendResponse(this->Context.Format.BuildCallerResponse(Head),
                              Body);
  this->finish("failed-by-server", this->Context.Counters.FailedByServer);
}

void GatewayRequest::failUncertain(int Status, const char *Reason) {
  if (this->EarlierError)
    this->forwardError(this->EarlierError->Head, this->EarlierError->Body);
  else
    this->sendLocalReply(Status, Reason);
}

/// A request that crashes servers never gets a complete response, so this one
/// is no longer suspected.
void GatewayRequest::finishServed() {
  if (this->Current.EndedWithConnection)
    this->recordUnframedEnd();
  else
    this->recordCompleted();
  this->finish("served", this->Context.Counters.Served);
}

void GatewayRequest::recordCompleted() {
  if (this->Current.BegunAt && !this->Current.HasSurvived)
    this->recordSurvival();
  if (this->mayBeSuspect())
    this->Context.Crashes.onCompleted(this->identity());
}

void GatewayRequest::sendLocalReply(int Status, const char *Reason) {
  this->FinalStatus = Status;
  HttpHead Head = localReplyHead(Status, Reason);
  this->Context.Format.MarkLocalReply(Head, this->CallerFields.RequestId);
  this->Session->sendResponse(std::move(Head), {});
  if (Status < HttpBadGateway)
    this->finish("denied", this->Context.Counters.Denied);
  else
    this->terminate("failed", this->Context.Counters.Failed);
}

/// Adds jitter derived from the request ID, so that callers that are refused at
/// the same time do not retry at the same time.
std::string GatewayRequest::retryAfterText(Duration MinDelay) const {
  const Duration Range =
      std::max(MinRetryAfterJitter, MinDelay / RetryAfterJitterDivisor);
  const Duration Jitter{
      static_cast<Duration::rep>(hashName(this->CallerFields.RequestId) %
                                 static_cast<std::uint64_t>(Range.count()))};
  return secondsText(std::max(MinRetryAfter, MinDelay) + Jitter);
}

void GatewayRequest::refuse(RefusalReason Reason, Duration RetryAfter) {
  this->FinalStatus = HttpServiceUnavailable;
  HttpHead Head = localReplyHead(HttpServiceUnavailable, "Service Unavailable");
  this->Context.Format.MarkLocalReply(Head, this->CallerFields.RequestId);
  if (!isLasting(Reason))
    Head.add("Retry-After", this->retryAfterText(RetryAfter));
  // On a connection that is kept, the caller's next request would take this
  // router's time again.
  if (Reason == RefusalReason::RouterOverloaded)
    this->Session->closeAfterResponse();
  this->Session->sendResponse(std::move(Head), {});
  this->Refusal = Reason;
  this->Context.Counters.refusedBy(Reason).add();
  this->Context.Accounts.recordRefused(this->accountText(),
                                       nameOf(RefusalReasonNames, Reason));
  this->finish("refused", this->Context.Counters.Refused);
}

} // namespace parsleywing
