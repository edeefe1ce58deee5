#include "Operator/OperatorServer.h"

#include "Runtime/Log.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

namespace parsleywing {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr int MaxOperatorConnections = 8;
constexpr unsigned JsonIndent = 2;
constexpr std::streamsize MaxFaultOrderBytes = 65'536;

void sendText(HTTPServerResponse &Response, const std::string &Type,
              const std::string &Body) {
  Response.setContentType(Type);
  Response.sendBuffer(Body.data(), Body.size());
}

void sendJson(HTTPServerResponse &Response, const Poco::JSON::Object &Body) {
  std::ostringstream Text;
  Body.stringify(Text, JsonIndent);
  Text << '\n';
  sendText(Response, "application/json", Text.str());
}

class OperatorHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit OperatorHandler(const OperatorHooks &H) : Hooks(H) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    const std::string Route =
        Request.getMethod() + " " + Poco::URI(Request.getURI()).getPath();
    Response.setKeepAlive(false);
    if (Route == "GET /dump")
      return sendJson(Response, *this->Hooks.State.collect());
    if (Route == "GET /metrics")
      return sendText(Response, "text/plain; version=0.0.4",
                      this->Hooks.Measured.render());
    if (Route == "GET /health")
      return this->sendHealth(Response);
    if (Route == "GET /generation")
      return this->sendGeneration(Response);
    if (Route == "POST /drain")
      return this->drain(Response);
    if (Route == "POST /faults")
      return this->setFaults(Request, Response);
    Response.setStatusAndReason(HTTPResponse::HTTP_NOT_FOUND);
    sendText(Response, "text/plain",
             "allowed are GET /dump, GET /metrics, GET /health, "
             "GET /generation, POST /drain and POST /faults\n");
  }

private:
  void sendHealth(HTTPServerResponse &Response) const {
    const RouterHealth Now = this->Hooks.Health();
    Poco::JSON::Object Body;
    Body.set("state", Now.Draining ? "draining" : "serving");
    Body.set("open_requests", static_cast<Poco::UInt64>(Now.OpenRequests));
    if (Now.Draining)
      Response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    sendJson(Response, Body);
  }

  void sendGeneration(HTTPServerResponse &Response) const {
    const RouterGeneration Now = this->Hooks.Generation();
    Poco::JSON::Object Body;
    Body.set("name", Now.Name);
    Body.set("incarnation", static_cast<Poco::UInt64>(Now.Incarnation));
    Body.set("generation", static_cast<Poco::UInt64>(Now.Generation));
    sendJson(Response, Body);
  }

  void setFaults(HTTPServerRequest &Request,
                 HTTPServerResponse &Response) const {
    std::string Text(MaxFaultOrderBytes, '\0');
    Request.stream().read(Text.data(), MaxFaultOrderBytes);
    Text.resize(static_cast<std::size_t>(Request.stream().gcount()));
    const auto Order = readPeerFaultOrder(Text);
    const Result<void> Done = Order ? this->Hooks.Faults(*Order)
                                    : tl::unexpected<Error>(Order.error());
    if (!Done) {
      Response.setStatusAndReason(Done.error().Code == ErrorCode::InvalidInput
                                      ? HTTPResponse::HTTP_BAD_REQUEST
                                      : HTTPResponse::HTTP_FORBIDDEN);
      return sendText(Response, "text/plain", Done.error().Message + "\n");
    }
    log(LogPart::Operator, LogLevel::Warn,
        "Peer faults set by an operator: " + Text);
    sendText(Response, "text/plain", "in place\n");
  }

  void drain(HTTPServerResponse &Response) const {
    log(LogPart::Operator, LogLevel::Info, "Drain requested by an operator.");
    this->Hooks.Drain();
    Poco::JSON::Object Body;
    Body.set("state", "draining");
    sendJson(Response, Body);
  }

  const OperatorHooks &Hooks;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(const OperatorHooks &H) : Hooks(H) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new OperatorHandler(this->Hooks);
  }

private:
  const OperatorHooks &Hooks;
};

} // namespace

OperatorServer::OperatorServer(std::string A, OperatorHooks H)
    : Address(std::move(A)), Hooks(std::move(H)),
      Threads(1, MaxOperatorConnections) {}

OperatorServer::~OperatorServer() {
  if (this->Server)
    this->Server->stopAll(true);
}

Result<void> OperatorServer::start() {
  try {
    // The constructor that takes an address would set SO_REUSEPORT: a second
    // router on the same address would start without an error and receive some
    // of the connections.
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(this->Address), true, false);
    Socket.listen();
    auto *Params = new Poco::Net::HTTPServerParams; // Owned by the server.
    Params->setMaxThreads(MaxOperatorConnections);
    this->Server = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(this->Hooks), this->Threads, Socket, Params);
    this->Server->start();
  } catch (const Poco::Exception &Failure) {
    return failure(ErrorCode::Unreachable, "cannot listen for operators on " +
                                               this->Address + ": " +
                                               Failure.displayText());
  }
  log(LogPart::Operator, LogLevel::Info, "Listening on " + this->Address + ".");
  return {};
}

} // namespace parsleywing
