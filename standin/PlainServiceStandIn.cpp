#include "standin/PlainServiceStandIn.h"

#include "standin/HandlerTools.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <chrono>
#include <thread>

namespace parsleywing::standin {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr int MaxConnections = 256;
constexpr auto PollInterval = std::chrono::milliseconds(50);
constexpr const char *RecordsPath = "/records";

std::string formatHeaders(const HTTPServerRequest &Request) {
  std::string Lines;
  for (const auto &[Name, Value] : Request)
    Lines.append(Name).append(": ").append(Value).append("\n");
  return Lines;
}

class PlainHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit PlainHandler(PlainServiceStandIn &S) : Service(S) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const std::string &Path = Request.getURI();
    try {
      if (Path == "/standin/executions")
        this->executions(Response);
      else if (Path == "/standin/faults")
        this->setFaults(Request, Response);
      else
        this->serve(Path, Request, Response);
    } catch (const Poco::Exception &) {
      // The peer disconnected or sent invalid JSON.
      Response.setKeepAlive(false);
    }
  }

private:
  void executions(HTTPServerResponse &Response) {
    sendJson(
        Response, 200,
        R"({"by_identity":)" + countsAsJson(this->Service.executions()) +
            R"(,"by_key":)" + countsAsJson(this->Service.executionsByKey()) +
            R"(,"arrivals":)" + std::to_string(this->Service.arrivals()) + "}");
  }

  void setFaults(HTTPServerRequest &Request, HTTPServerResponse &Response) {
    this->Service.setFaults(readFaults(readBody(Request)));
    sendJson(Response, 200, "{}");
  }

  void serve(const std::string &Path, HTTPServerRequest &Request,
             HTTPServerResponse &Response) {
    this->Service.waitWhilePaused();
    const EngineFaults Faults = this->Service.faults();
    if (Faults.Silent)
      this->Service.waitWhile([&] { return isPeerConnected(Request); });
    if (Faults.Silent || Faults.Close) {
      shutDownConnection(Request, Response);
      return;
    }
    if (Faults.DelayMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Faults.DelayMs));
    if (Path == RecordsPath)
      this->Service.countArrival();
    if (Faults.LeavingServed)
      Response.set("X-Draining", "true");
    if (Path == "/health" && !Faults.Leaving)
      sendJson(Response, 200, "{}");
    else if (!this->sendRefusal(Faults, Response))
      this->record(Faults, Request, Response);
  }

  bool sendRefusal(const EngineFaults &Faults, HTTPServerResponse &Response) {
    if (Faults.Refuse && Faults.PauseSeconds > 0)
      Response.set("Retry-After", std::to_string(Faults.PauseSeconds));
    if (Faults.Leaving)
      sendError(Response, 503, "draining");
    else if (Faults.Refuse)
      sendError(Response, 503, "overloaded");
    else if (Faults.BareRefuse)
      sendJson(Response, 503, "");
    else if (Faults.Reject)
      sendError(Response, 429, "rate_limit_exceeded");
    else
      return false;
    return true;
  }

  void record(const EngineFaults &Faults, HTTPServerRequest &Request,
              HTTPServerResponse &Response) {
    if (Request.getURI() != RecordsPath || Request.getMethod() != "POST") {
      sendError(Response, 404, "not_found");
      return;
    }
    const std::string Body = readBody(Request);
    const std::uint64_t Number = this->Service.record(
        Request.get("X-Request-Id", ""), Request.get("Idempotency-Key", ""),
        formatHeaders(Request));
    if (!Faults.CrashOn.empty() &&
        Body.find(Faults.CrashOn) != std::string::npos) {
      this->Service.crash(std::chrono::milliseconds(Faults.BackAfterMs));
      shutDownConnection(Request, Response);
      return;
    }
    if (Faults.LoseAnswer) {
      shutDownConnection(Request, Response);
      return;
    }
    const std::string Json = R"({"record":)" + std::to_string(Number) +
                             R"(,"bytes":)" + std::to_string(Body.size()) + "}";
    Response.set("X-Record", std::to_string(Number));
    this->Service.waitFor(this->Service.takeConnectionPause().Length);
    this->Service.waitWhilePaused();
    if (Faults.TruncateAfter == 0 && Faults.Unframed) {
      this->sendTruncated(Json, Request, Response);
      return;
    }
    if (Faults.TruncateAfter == 0) {
      sendJson(Response, 201, Json);
      return;
    }
    this->sendTruncated(Json.substr(0, Faults.TruncateAfter), Request,
                        Response);
  }

  /// Sends a chunked response without its last chunk, or one that states no
  /// length.
  void sendTruncated(const std::string &Fragment, HTTPServerRequest &Request,
                     HTTPServerResponse &Response) {
    Response.setStatusAndReason(HTTPServerResponse::HTTP_CREATED);
    Response.setChunkedTransferEncoding(!this->Service.faults().Unframed);
    std::ostream &Out = Response.send();
    Out << Fragment;
    Out.flush();
    shutDownConnection(Request, Response);
  }

  PlainServiceStandIn &Service;
};

class PlainHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit PlainHandlerFactory(PlainServiceStandIn &S) : Service(S) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new PlainHandler(this->Service);
  }

private:
  PlainServiceStandIn &Service;
};

} // namespace

PlainServiceStandIn::PlainServiceStandIn(std::string ListenAddress)
    : Address(std::move(ListenAddress)), Server(MaxConnections, [this] {
        return new PlainHandlerFactory(*this);
      }) {}

PlainServiceStandIn::~PlainServiceStandIn() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  this->Server.stop();
}

void PlainServiceStandIn::start() { this->Server.start(this->Address); }

std::string PlainServiceStandIn::address() const {
  return this->Server.address();
}

std::uint64_t PlainServiceStandIn::record(const std::string &Identity,
                                          const std::string &Key,
                                          std::string Headers) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Executions[Identity];
  if (!Key.empty())
    ++this->ExecutionsByKey[Key];
  this->LastHeaders = std::move(Headers);
  return ++this->Records;
}

void PlainServiceStandIn::waitWhile(const std::function<bool()> &Condition) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    Lock.unlock();
    const bool StillHolds = Condition();
    Lock.lock();
    if (!StillHolds)
      return;
    this->Changed.wait_for(Lock, PollInterval);
  }
}

void PlainServiceStandIn::waitWhilePaused() {
  this->waitWhile(
      [this] { return this->Pauses.isPaused(Clock::steady().now()); });
}

void PlainServiceStandIn::waitFor(Duration Time) {
  const TimePoint End = Clock::steady().now() + Time;
  this->waitWhile([End] { return Clock::steady().now() < End; });
}

std::map<std::string, int> PlainServiceStandIn::executions() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Executions;
}

std::map<std::string, int> PlainServiceStandIn::executionsByKey() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->ExecutionsByKey;
}

std::string PlainServiceStandIn::lastHeaders() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LastHeaders;
}

void PlainServiceStandIn::setFaults(const EngineFaults &F) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Faults = F;
  this->Pauses.start(F, Clock::steady().now());
}

EngineFaults PlainServiceStandIn::faults() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Faults;
}

} // namespace parsleywing::standin
