#include "Backend/EngineAttempt.h"

#include "Backend/ShortCall.h"
#include "Runtime/Log.h"

#include <Poco/JSON/Object.h>
#include <Poco/Net/NetException.h>
#include <istream>
#include <sstream>

namespace parsleywing::internal {

namespace {

constexpr const char *ResponsesPath = "/v1/responses";
constexpr const char *StreamType = "text/event-stream";
constexpr std::size_t MaxErrorBytes = 64 << 10;
constexpr int Ok = 200;
constexpr int FirstClientError = 400;
constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int ServiceUnavailable = 503;

std::string bodyOf(const EngineCall &Call) {
  Poco::JSON::Object Metadata;
  Metadata.set("identity", Call.Identity);
  if (!Call.IdempotencyKey.empty())
    Metadata.set("idempotency_key", Call.IdempotencyKey);
  Poco::JSON::Object Body;
  Body.set("model", Call.Model);
  if (Call.InputJson.empty())
    Body.set("input", Call.Input);
  Body.set("max_output_tokens", Call.MaxOutputTokens);
  Body.set("stream", true);
  Body.set("background", true);
  Body.set("store", true);
  Body.set("metadata", Metadata);
  std::ostringstream Out;
  Body.stringify(Out);
  std::string Text = Out.str();
  if (!Call.InputJson.empty())
    Text.insert(1, "\"input\":" + Call.InputJson + ",");
  return Text;
}

std::string readPrefix(std::istream &In, std::size_t Limit) {
  std::string Text;
  for (int Next = In.rdbuf()->sbumpc(); Next != EOF && Text.size() < Limit;
       Next = In.rdbuf()->sbumpc())
    Text.push_back(static_cast<char>(Next));
  return Text;
}

} // namespace

EngineResult EngineAttempt::run() {
  ++this->Counters.Attempts;
  if (this->Call.ResumeFrom)
    ++this->Counters.Resumes;
  if (this->Listener.SetCanceller)
    this->Listener.SetCanceller([C = this->Canceller] { C->cancel(); });
  EngineResult Result = this->attempt();
  if (this->Listener.SetCanceller)
    this->Listener.SetCanceller({});
  if (this->Connection) {
    this->Counters.EventBytes +=
        this->Connection->receivedBytes() - this->ReceivedAtStart;
    this->Connection.reset();
  }
  if (this->MayHaveSent &&
      (Result.Outcome == AttemptOutcome::Cancelled ||
       Result.Outcome == AttemptOutcome::CallerDisconnected))
    this->cancelAtEngine();
  this->Counters.countOutcome(Result.Outcome);
  return Result;
}

EngineResult EngineAttempt::attempt() {
  try {
    this->connect();
    this->sendRequest();
    return this->readHead();
  } catch (const Poco::TimeoutException &Timeout) {
    return this->handleFailure(Timeout.displayText(), true);
  } catch (const Poco::Exception &Failure) {
    return this->handleFailure(Failure.displayText(), false);
  } catch (const std::exception &Failure) {
    return this->handleFailure(Failure.what(), false);
  }
}

Duration EngineAttempt::effectiveTimeout(Duration Timeout) const {
  const Duration CallTimeout = this->Call.ProgressTimeout;
  return CallTimeout > Duration::zero() ? std::min(CallTimeout, Timeout)
                                        : Timeout;
}

void EngineAttempt::restartDeadline(Duration Timeout) {
  this->Connection->setDeadline(this->Settings.Time.now() +
                                this->effectiveTimeout(Timeout));
}

/// Extends the deadline only when an event advances the response. Otherwise an
/// engine or proxy that keeps repeating old events or sending comments would
/// look alive.
void EngineAttempt::restartDeadlineOnProgress() {
  const std::uint64_t Sequence = this->StreamCheck.point().Sequence;
  if (Sequence == this->LastSequence || !this->StreamCheck.outputStarted())
    return;
  this->LastSequence = Sequence;
  this->restartDeadline(this->Settings.EventGapTimeout);
}

/// A pooled connection may be dead unnoticed: the request is then lost or,
/// worse, arrives and only the response is lost. A request that may not be
/// repeated would end with an unknown outcome. It therefore always gets a new
/// connection, which the TCP handshake has just verified.
void EngineAttempt::connect() {
  if (this->Call.Repeatable && !this->Call.ResumeFrom)
    this->Connection = this->Pool.acquire(this->Call.Address);
  this->FromPool = this->Connection != nullptr;
  if (!this->Connection)
    this->Connection = std::make_unique<BackendConnection>(
        this->Call.Address, this->Settings.ConnectTimeout, *this->Canceller,
        this->Settings.Time);
  else if (!this->Connection->attach(*this->Canceller))
    throw Poco::Net::ConnectionAbortedException("cancelled before sending");
  this->OpenedAt = this->Connection->openedAt();
  this->ReceivedAtStart = this->Connection->receivedBytes();
}

void EngineAttempt::sendRequest() {
  // A resumed response does not wait in the engine's queue again. With the
  // longer timeout, a frozen engine would block the caller that long on each
  // attempt.
  this->restartDeadline(this->Call.ResumeFrom
                            ? this->Settings.EventGapTimeout
                            : this->Settings.FirstEventTimeout);
  this->MayHaveSent = true;
  if (this->Listener.SendStarted)
    this->Listener.SendStarted();
  Poco::Net::HTTPRequest Request("POST", ResponsesPath, "HTTP/1.1");
  Request.setKeepAlive(this->Call.Repeatable);
  Request.set("Accept", StreamType);
  if (!this->Call.ResumeFrom) {
    Request.setContentType("application/json");
    this->Connection->send(Request, bodyOf(this->Call));
    return;
  }
  const ResumePoint &ResumeFrom = *this->Call.ResumeFrom;
  Request.setMethod("GET");
  Request.setURI(
      std::string(ResponsesPath) + "/" + ResumeFrom.ResponseId +
      "?stream=true&starting_after=" + std::to_string(ResumeFrom.Sequence));
  this->Connection->send(Request, "");
}

EngineResult EngineAttempt::readHead() {
  Poco::Net::HTTPResponse Response;
  std::istream &In = this->Connection->receive(Response);
  if (this->Listener.ServerLeaving &&
      reportsLeaving(Response.getStatus(), Response.get(DrainHeader, ""), ""))
    this->Listener.ServerLeaving();
  if (Response.getStatus() != Ok)
    return this->handleErrorStatus(Response.getStatus(), Response, In);
  if (!Response.getContentType().starts_with(StreamType)) {
    ++this->Counters.MalformedEvents;
    return this->interruptedResult(this->Call.ResumeFrom.has_value());
  }
  const std::string Software = Response.get("Server", "");
  if (!this->Call.ResumeFrom)
    this->StreamCheck.setSoftware(Software);
  else if (Software != this->Call.ResumeFrom->Software)
    return this->handleVersionChange(Software);
  return this->readEvents(In);
}

/// What two versions of the software make does not form a response. The engine
/// may have restarted with other software and still know the response's id.
EngineResult EngineAttempt::handleVersionChange(const std::string &Software) {
  ++this->Counters.VersionChanges;
  log(LogPart::Backend, LogLevel::Info,
      "Response " + this->Call.ResumeFrom->ResponseId + " at " +
          this->Call.Address + " cannot go on: software=" + Software +
          " began-at=" + this->Call.ResumeFrom->Software);
  return this->interruptedResult(false);
}

/// Only the documented error object of an engine proves that the request did
/// not run. A bare 503 or a 502 may come from a proxy that lost the engine's
/// response.
EngineResult EngineAttempt::handleErrorStatus(
    int Status, const Poco::Net::HTTPResponse &Response, std::istream &In) {
  const std::string Body = readPrefix(In, MaxErrorBytes);
  const bool StatusSaysNotRun =
      (Status >= FirstClientError && Status < FirstServerError) ||
      Status == ServiceUnavailable;
  const bool MayResume = this->Call.ResumeFrom && (Status == TooManyRequests ||
                                                   Status >= FirstServerError);
  EngineResult Result = this->interruptedResult(MayResume);
  if (!this->Call.ResumeFrom && StatusSaysNotRun && isPublishedError(Body))
    Result.Outcome = AttemptOutcome::Rejected;
  Result.ServerLeaving =
      reportsLeaving(Status, Response.get(DrainHeader, ""), Body);
  Result.Pause = pauseOf(Status, Response.get("Retry-After", ""));
  return Result;
}

EngineResult EngineAttempt::readEvents(std::istream &In) {
  EventStreamReader Reader(In, this->Settings.MaxEventBytes);
  ServerSentEvent Event;
  while (true) {
    switch (Reader.next(Event)) {
    case ReadStatus::End:
      if (this->Canceller->isCancelled())
        return this->handleFailure("cancelled", false);
      ++this->Counters.TruncatedStreams;
      return this->lostResult(AttemptOutcome::Interrupted);
    case ReadStatus::TooLarge:
      ++this->Counters.OversizedEvents;
      return this->interruptedResult(true);
    case ReadStatus::Event:
      break;
    }
    const auto Result =
        this->handleVerdict(this->StreamCheck.processEvent(Event), In);
    if (Result)
      return *Result;
  }
}

std::optional<EngineResult> EngineAttempt::handleVerdict(StreamVerdict Verdict,
                                                         std::istream &In) {
  switch (Verdict) {
  case StreamVerdict::Skip:
    this->restartDeadlineOnProgress();
    return std::nullopt;
  case StreamVerdict::Forward:
    if (this->Listener.DeltaReceived &&
        !this->Listener.DeltaReceived(this->StreamCheck.text(),
                                      this->StreamCheck.point().Tokens))
      return EngineResult{AttemptOutcome::CallerDisconnected,
                          this->StreamCheck.tokens()};
    this->restartDeadlineOnProgress();
    return std::nullopt;
  case StreamVerdict::Finished:
    return this->completedResult(In);
  case StreamVerdict::Broken:
    return this->interruptedResult(true);
  case StreamVerdict::Abandoned:
  case StreamVerdict::Foreign:
    break;
  }
  return this->interruptedResult(false);
}

EngineResult EngineAttempt::completedResult(std::istream &In) {
  EngineResult Result{AttemptOutcome::Completed, this->StreamCheck.tokens()};
  if (!this->Call.Repeatable)
    return Result;
  // Read the end of the body after the last event: a connection can be reused
  // only after its response has ended.
  constexpr Duration BodyEndTimeout = std::chrono::milliseconds(20);
  this->restartDeadline(BodyEndTimeout);
  try {
    if (In.rdbuf()->sbumpc() == EOF && this->Connection->reusable() &&
        !this->Canceller->isCancelled()) {
      this->Counters.EventBytes +=
          this->Connection->receivedBytes() - this->ReceivedAtStart;
      this->Pool.release(this->Call.Address, std::move(this->Connection));
    }
  } catch (const std::exception &) {
    // The connection is closed instead of returned to the pool.
  }
  return Result;
}

EngineResult EngineAttempt::interruptedResult(bool Resumable) const {
  EngineResult Result{AttemptOutcome::Interrupted, this->StreamCheck.tokens()};
  if (Resumable && this->StreamCheck.point().isResumable())
    Result.Resume = this->StreamCheck.point();
  return Result;
}

EngineResult EngineAttempt::lostResult(AttemptOutcome Outcome) const {
  EngineResult Result = this->interruptedResult(true);
  Result.Outcome = Outcome;
  if (Outcome == AttemptOutcome::Cancelled)
    Result.Resume.reset();
  if (this->MayHaveSent)
    Result.LostConnectionOpenedAt = this->OpenedAt;
  return Result;
}

EngineResult EngineAttempt::handleFailure(const std::string &Cause,
                                          bool TimedOut) {
  if (this->Canceller->isCancelled())
    return this->lostResult(AttemptOutcome::Cancelled);
  log(LogPart::Backend, LogLevel::Info,
      "Attempt at " + this->Call.Address + " failed: " + Cause + ".");
  if (!this->MayHaveSent) {
    EngineResult Result{AttemptOutcome::NotSent, this->StreamCheck.tokens()};
    Result.Resume = this->Call.ResumeFrom;
    Result.ServerSuspect = true;
    return Result;
  }
  EngineResult Result = this->lostResult(AttemptOutcome::Interrupted);
  Result.PooledConnectionBroke =
      this->FromPool &&
      this->Connection->receivedBytes() == this->ReceivedAtStart;
  if (Result.PooledConnectionBroke) {
    ++this->Counters.PooledConnectionsBroken;
    this->Pool.closeIdle(this->Call.Address);
  }
  if (!TimedOut)
    return Result;
  ++this->Counters.ProgressTimeouts;
  this->Connection.reset();
  Result.ServerSuspect = !probeServer(this->Call.Address, this->Settings);
  if (Result.ServerSuspect)
    ++this->Counters.SuspectServers;
  return Result;
}

/// The engine continues a background response when its stream is closed.
/// Without this call, a response that nobody reads would keep occupying the
/// slot.
void EngineAttempt::cancelAtEngine() {
  const std::string &Id = this->StreamCheck.point().ResponseId;
  if (!Id.empty() && cancelResponse(this->Call.Address, Id, this->Settings))
    ++this->Counters.CancelOrders;
  else
    ++this->Counters.CancelOrdersFailed;
}

} // namespace parsleywing::internal
