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

std::string readSome(std::istream &In, std::size_t Limit) {
  std::string Text;
  for (int Next = In.rdbuf()->sbumpc(); Next != EOF && Text.size() < Limit;
       Next = In.rdbuf()->sbumpc())
    Text.push_back(static_cast<char>(Next));
  return Text;
}

std::uint32_t retryAfterOf(const Poco::Net::HTTPResponse &Response) {
  return static_cast<std::uint32_t>(
      std::strtoul(Response.get("Retry-After", "0").c_str(), nullptr, 10));
}

} // namespace

EngineResult EngineAttempt::run() {
  ++this->Counters.Attempts;
  if (this->Call.ResumeFrom)
    ++this->Counters.Resumes;
  if (this->Listener.SetCanceller)
    this->Listener.SetCanceller([B = this->Canceller] { B->cancel(); });
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
  } catch (const Poco::TimeoutException &Late) {
    return this->handleFailure(Late.displayText(), true);
  } catch (const Poco::Exception &Broken) {
    return this->handleFailure(Broken.displayText(), false);
  } catch (const std::exception &Broken) {
    return this->handleFailure(Broken.what(), false);
  }
}

Duration EngineAttempt::effectiveTimeout(Duration Setting) const {
  const Duration Own = this->Call.ProgressTimeout;
  return Own > Duration::zero() ? std::min(Own, Setting) : Setting;
}

void EngineAttempt::restartDeadline(Duration Setting) {
  this->Connection->setDeadline(this->Settings.Time.now() +
                                this->effectiveTimeout(Setting));
}

/// Only an event that carries the response on gives it more time. An engine, or
/// what lies between, that repeats old events or sends comments for good would
/// otherwise look alive.
void EngineAttempt::restartDeadlineOnProgress() {
  const std::uint64_t Now = this->StreamCheck.point().Sequence;
  if (Now == this->LastSequence || !this->StreamCheck.outputStarted())
    return;
  this->LastSequence = Now;
  this->restartDeadline(this->Settings.EventGapTimeout);
}

/// An idle connection may be dead without a sign: what is sent over it is then
/// lost or, worse, arrives and only the answer is lost. A request that may not
/// be repeated would be stuck with an unknown outcome, so it always gets a new
/// connection, which the handshake has just proved.
void EngineAttempt::connect() {
  if (this->Call.Repeatable && !this->Call.ResumeFrom)
    this->Connection = this->Pool.acquire(this->Call.Address);
  this->FromPool = this->Connection != nullptr;
  if (!this->Connection)
    this->Connection = std::make_unique<BackendConnection>(
        this->Call.Address, this->Settings.ConnectTimeout, *this->Canceller,
        this->Settings.Time);
  else if (!this->Connection->attach(*this->Canceller))
    throw Poco::Net::ConnectionAbortedException("broken off before the send");
  this->ReceivedAtStart = this->Connection->receivedBytes();
}

void EngineAttempt::sendRequest() {
  // A stream taken up again has left the engine's queue behind it. With the
  // long limit a frozen engine would hold its caller that long for each try.
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
  const ResumePoint &From = *this->Call.ResumeFrom;
  Request.setMethod("GET");
  Request.setURI(
      std::string(ResponsesPath) + "/" + From.ResponseId +
      "?stream=true&starting_after=" + std::to_string(From.Sequence));
  this->Connection->send(Request, "");
}

EngineResult EngineAttempt::readHead() {
  Poco::Net::HTTPResponse Response;
  std::istream &In = this->Connection->receive(Response);
  if (Response.getStatus() != Ok)
    return this->handleErrorStatus(Response.getStatus(), Response, In);
  if (!Response.getContentType().starts_with(StreamType)) {
    ++this->Counters.MalformedEvents;
    return this->interruptedResult(this->Call.ResumeFrom.has_value());
  }
  return this->readEvents(In);
}

/// Only the published error object of an engine is trusted to mean that the
/// request did not run. A bare 503 or a 502 may come from something between
/// the two ends that lost the engine's answer.
EngineResult EngineAttempt::handleErrorStatus(
    int Status, const Poco::Net::HTTPResponse &Response, std::istream &In) {
  const std::string Body = readSome(In, MaxErrorBytes);
  const bool SaysNotRun =
      (Status >= FirstClientError && Status < FirstServerError) ||
      Status == ServiceUnavailable;
  const bool MayResume = this->Call.ResumeFrom && (Status == TooManyRequests ||
                                                   Status >= FirstServerError);
  EngineResult Result = this->interruptedResult(MayResume);
  if (!this->Call.ResumeFrom && SaysNotRun && isPublishedError(Body))
    Result.Outcome = AttemptOutcome::Rejected;
  Result.ServerLeaving =
      reportsLeaving(Status, Response.get(DrainHeader, ""), Body);
  Result.RetryAfterSeconds = retryAfterOf(Response);
  return Result;
}

EngineResult EngineAttempt::readEvents(std::istream &In) {
  EventStreamReader Reader(In, this->Settings.MaxEventBytes);
  ServerSentEvent Event;
  while (true) {
    switch (Reader.next(Event)) {
    case ReadStatus::End:
      if (this->Canceller->isCancelled())
        return this->handleFailure("broken off", false);
      ++this->Counters.TruncatedStreams;
      return this->interruptedResult(true);
    case ReadStatus::TooLarge:
      ++this->Counters.OversizedEvents;
      return this->interruptedResult(true);
    case ReadStatus::Event:
      break;
    }
    const auto Ended =
        this->handleVerdict(this->StreamCheck.processEvent(Event), In);
    if (Ended)
      return *Ended;
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
  // What follows the last event is the end of the body; a connection whose
  // body has not ended cannot carry another request.
  constexpr Duration EndLimit = std::chrono::milliseconds(20);
  this->restartDeadline(EndLimit);
  try {
    if (In.rdbuf()->sbumpc() == EOF && this->Connection->reusable() &&
        !this->Canceller->isCancelled()) {
      this->Counters.EventBytes +=
          this->Connection->receivedBytes() - this->ReceivedAtStart;
      this->Pool.release(this->Call.Address, std::move(this->Connection));
    }
  } catch (const std::exception &) {
    // It is closed instead of kept.
  }
  return Result;
}

EngineResult EngineAttempt::interruptedResult(bool Resumable) const {
  EngineResult Result{AttemptOutcome::Interrupted, this->StreamCheck.tokens()};
  if (Resumable && this->StreamCheck.point().isResumable())
    Result.Resume = this->StreamCheck.point();
  return Result;
}

EngineResult EngineAttempt::handleFailure(const std::string &Why, bool Silent) {
  if (this->Canceller->isCancelled())
    return {AttemptOutcome::Cancelled, this->StreamCheck.tokens()};
  log(LogPart::Backend, LogLevel::Info,
      "Attempt at " + this->Call.Address + " broke: " + Why + ".");
  if (!this->MayHaveSent) {
    EngineResult Result{AttemptOutcome::NotSent, this->StreamCheck.tokens()};
    Result.Resume = this->Call.ResumeFrom;
    Result.ServerSuspect = true;
    return Result;
  }
  EngineResult Result = this->interruptedResult(true);
  Result.PooledConnectionBroke =
      this->FromPool &&
      this->Connection->receivedBytes() == this->ReceivedAtStart;
  if (Result.PooledConnectionBroke) {
    ++this->Counters.PooledConnectionsBroken;
    this->Pool.closeIdle(this->Call.Address);
  }
  if (!Silent)
    return Result;
  ++this->Counters.ProgressTimeouts;
  this->Connection.reset();
  Result.ServerSuspect = !probeServer(this->Call.Address, this->Settings);
  if (Result.ServerSuspect)
    ++this->Counters.SuspectServers;
  return Result;
}

/// The engine goes on with a background response when its stream is closed.
/// Without this order the slot stays taken by an answer that nobody reads.
void EngineAttempt::cancelAtEngine() {
  const std::string &Id = this->StreamCheck.point().ResponseId;
  if (!Id.empty() && cancelResponse(this->Call.Address, Id, this->Settings))
    ++this->Counters.CancelOrders;
  else
    ++this->Counters.CancelOrdersFailed;
}

} // namespace parsleywing::internal
