#include "Backend/PlainAttempt.h"

#include "Backend/ShortCall.h"
#include "Runtime/Log.h"

#include <Poco/Net/NetException.h>
#include <array>
#include <istream>

namespace parsleywing::internal {

namespace {

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;
constexpr const char *IdentityHeader = "X-Request-Id";
constexpr const char *ProblemContentType = "application/problem+json";
constexpr const char *EventStreamType = "text/event-stream";
constexpr std::size_t ChunkBytes = 16 << 10;

/// Whether the response states how long it is.
bool hasFraming(const Poco::Net::HTTPResponse &Response) {
  return Response.hasContentLength() || Response.getChunkedTransferEncoding();
}

HeaderList headersOf(const Poco::Net::HTTPResponse &Response) {
  HeaderList Headers;
  for (const auto &[Name, Value] : Response)
    Headers.emplace_back(Name, Value);
  return endToEndHeaders(Headers);
}

} // namespace

PlainResult PlainAttempt::run() {
  ++this->Counters.Attempts;
  if (this->Listener.SetCanceller)
    this->Listener.SetCanceller([C = this->Canceller] { C->cancel(); });
  try {
    this->attempt();
  } catch (const Poco::TimeoutException &Timeout) {
    this->handleFailure(Timeout.displayText(), true);
  } catch (const Poco::Exception &Failure) {
    this->handleFailure(Failure.displayText(), false);
  } catch (const std::exception &Failure) {
    this->handleFailure(Failure.what(), false);
  }
  if (this->Listener.SetCanceller)
    this->Listener.SetCanceller({});
  this->Connection.reset();
  this->Counters.countOutcome(this->Result.Outcome);
  return this->Result;
}

void PlainAttempt::attempt() {
  this->connect();
  this->sendRequest();
  this->readResponse();
}

void PlainAttempt::restartDeadline(Duration Timeout) {
  const Duration CallTimeout = this->Call.ProgressTimeout;
  const Duration EffectiveTimeout =
      CallTimeout > Duration::zero() ? std::min(CallTimeout, Timeout) : Timeout;
  this->Connection->setDeadline(this->Settings.Time.now() + EffectiveTimeout);
}

/// See `EngineAttempt::connect` for why only repeatable requests use pooled
/// connections.
void PlainAttempt::connect() {
  if (this->Call.Repeatable)
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

void PlainAttempt::sendRequest() {
  Poco::Net::HTTPRequest Request(this->Call.Method, this->Call.Path,
                                 "HTTP/1.1");
  for (const auto &[Name, Value] : endToEndHeaders(this->Call.Headers))
    Request.add(Name, Value);
  Request.erase("Content-Length");
  Request.set(IdentityHeader, this->Call.Identity);
  Request.setKeepAlive(this->Call.Repeatable);
  this->restartDeadline(this->Settings.FirstEventTimeout);
  this->MayHaveSent = true;
  if (this->Listener.SendStarted)
    this->Listener.SendStarted();
  this->Connection->send(Request, this->Call.Body);
}

void PlainAttempt::readResponse() {
  Poco::Net::HTTPResponse Response;
  std::istream &In = this->Connection->receive(Response);
  this->Result.Status = Response.getStatus();
  this->Result.Pause =
      pauseOf(this->Result.Status, Response.get("Retry-After", ""));
  if (this->Listener.ServerLeaving &&
      reportsLeaving(this->Result.Status, Response.get(DrainHeader, ""), ""))
    this->Listener.ServerLeaving();
  if (this->handleRefusal(Response, In))
    return;
  this->Result.ResponseStarted = true;
  this->Result.Outcome = AttemptOutcome::Completed;
  if (this->Listener.HeadReceived &&
      !this->Listener.HeadReceived(this->Result.Status, headersOf(Response))) {
    this->Result.Outcome = AttemptOutcome::CallerDisconnected;
    return;
  }
  if (!hasFraming(Response) &&
      Response.getContentType().starts_with(EventStreamType))
    this->UnframedEvents.emplace();
  this->forwardBody(In);
  if (this->Result.Outcome != AttemptOutcome::Completed)
    return;
  if (this->isBodyComplete(Response)) {
    this->returnToPool(Response);
    return;
  }
  this->endTruncated();
}

void PlainAttempt::endTruncated() {
  if (this->Canceller->isCancelled()) {
    this->endLost(AttemptOutcome::Cancelled);
    return;
  }
  ++this->Counters.TruncatedStreams;
  this->endLost(AttemptOutcome::Interrupted);
}

/// A 503 without an error object may come from a proxy that lost the service's
/// response. It is forwarded as a normal response and does not count as proof
/// that the request did not run.
bool PlainAttempt::handleRefusal(const Poco::Net::HTTPResponse &Response,
                                 std::istream &In) {
  const int Status = Response.getStatus();
  if (Status != TooManyRequests && Status != ServiceUnavailable)
    return false;
  std::string Body;
  for (int Next = In.rdbuf()->sbumpc();
       Next != EOF && Body.size() < this->Settings.MaxResponseBytes;
       Next = In.rdbuf()->sbumpc())
    Body.push_back(static_cast<char>(Next));
  this->Result.ServerLeaving =
      reportsLeaving(Status, Response.get(DrainHeader, ""), Body);
  this->Result.Outcome = AttemptOutcome::Rejected;
  if (isPublishedError(Body) ||
      Response.getContentType().starts_with(ProblemContentType))
    return true;
  if (!this->Connection->receiveEnd()) {
    this->endTruncated();
    return true;
  }
  this->Result.Outcome = AttemptOutcome::Completed;
  this->Result.ResponseStarted = true;
  this->Result.BodyBytes = Body.size();
  if (this->Listener.HeadReceived)
    this->Listener.HeadReceived(Status, headersOf(Response));
  if (this->Listener.BodyReceived && !Body.empty())
    this->Listener.BodyReceived(Body);
  return true;
}

/// Forwards the available bytes without waiting for a full buffer.
void PlainAttempt::forwardBody(std::istream &In) {
  std::array<char, ChunkBytes> Chunk{};
  while (true) {
    this->restartDeadline(this->Settings.EventGapTimeout);
    const int First = In.rdbuf()->sbumpc();
    if (First == EOF)
      return;
    Chunk[0] = static_cast<char>(First);
    const std::streamsize Available =
        std::min<std::streamsize>(In.rdbuf()->in_avail(), ChunkBytes - 1);
    const std::streamsize Read =
        Available > 0 ? In.rdbuf()->sgetn(Chunk.data() + 1, Available) : 0;
    const auto Size = static_cast<std::size_t>(Read) + 1;
    this->Result.BodyBytes += Size;
    if (this->UnframedEvents)
      this->UnframedEvents->add(std::string_view(Chunk.data(), Size));
    if (this->Listener.BodyReceived &&
        !this->Listener.BodyReceived(std::string_view(Chunk.data(), Size))) {
      this->Result.Outcome = AttemptOutcome::CallerDisconnected;
      return;
    }
  }
}

/// A body that is delimited by the orderly end of its connection is taken as
/// complete, unless it is an event stream that ends inside an event, or this
/// router has ended the connection.
bool PlainAttempt::isBodyComplete(const Poco::Net::HTTPResponse &Response) {
  if (!this->Connection->receiveEnd())
    return false;
  if (hasFraming(Response))
    return true;
  if (this->UnframedEvents && this->UnframedEvents->insideEvent())
    return false;
  return !this->Canceller->isCancelled();
}

void PlainAttempt::returnToPool(const Poco::Net::HTTPResponse &Response) {
  if (this->Call.Repeatable && hasFraming(Response) &&
      Response.getKeepAlive() && this->Connection->reusable() &&
      !this->Canceller->isCancelled())
    this->Pool.release(this->Call.Address, std::move(this->Connection));
}

void PlainAttempt::endLost(AttemptOutcome Outcome) {
  this->Result.Outcome = Outcome;
  if (this->MayHaveSent)
    this->Result.LostConnectionOpenedAt = this->OpenedAt;
}

void PlainAttempt::handleFailure(const std::string &Cause, bool TimedOut) {
  if (this->Canceller->isCancelled()) {
    this->endLost(AttemptOutcome::Cancelled);
    return;
  }
  log(LogPart::Backend, LogLevel::Info,
      "Attempt at " + this->Call.Address + " failed: " + Cause + ".");
  if (!this->MayHaveSent) {
    this->Result.Outcome = AttemptOutcome::NotSent;
    this->Result.ServerSuspect = true;
    return;
  }
  this->endLost(AttemptOutcome::Interrupted);
  this->Result.PooledConnectionBroke =
      this->FromPool &&
      this->Connection->receivedBytes() == this->ReceivedAtStart;
  if (this->Result.PooledConnectionBroke) {
    ++this->Counters.PooledConnectionsBroken;
    this->Pool.closeIdle(this->Call.Address);
  }
  if (!TimedOut)
    return;
  ++this->Counters.ProgressTimeouts;
  this->Connection.reset();
  this->Result.ServerSuspect = !probeServer(this->Call.Address, this->Settings);
  if (this->Result.ServerSuspect)
    ++this->Counters.SuspectServers;
}

} // namespace parsleywing::internal
