#include "standin/EngineStandIn.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <sstream>
#include <thread>

namespace parsleywing::standin {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

constexpr std::string_view TokensMark = "tokens=";
constexpr std::uint64_t DefaultTokens = 16;

std::uint64_t tokensWanted(const std::string &Input) {
  const std::size_t Place = Input.find(TokensMark);
  if (Place == std::string::npos)
    return DefaultTokens;
  return std::strtoull(Input.c_str() + Place + TokensMark.size(), nullptr, 10);
}

void sendEvent(std::ostream &Out, const std::string &Type,
               Poco::JSON::Object &Data, std::uint64_t Sequence) {
  Data.set("type", Type);
  Data.set("sequence_number", Sequence);
  Out << "event: " << Type << "\ndata: ";
  Data.stringify(Out);
  Out << "\n\n";
  Out.flush();
}

class ResponsesHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit ResponsesHandler(EngineStandIn &E) : Engine(E) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    Poco::JSON::Parser Parser;
    const auto Body =
        Parser.parse(Request.stream()).extract<Poco::JSON::Object::Ptr>();
    const std::string Identity =
        Body->getObject("metadata")->getValue<std::string>("identity");
    this->Engine.enter(Identity);
    try {
      this->generate(*Body, Response);
    } catch (const Poco::Exception &) {
      // The other side left; its place goes to the next.
    }
    this->Engine.leave();
  }

private:
  void generate(const Poco::JSON::Object &Body, HTTPServerResponse &Response) {
    const std::uint64_t Tokens = std::min<std::uint64_t>(
        tokensWanted(Body.getValue<std::string>("input")),
        Body.getValue<Poco::UInt64>("max_output_tokens"));
    Response.setContentType("text/event-stream");
    Response.setChunkedTransferEncoding(true);
    std::ostream &Out = Response.send();
    for (std::uint64_t Token = 0; Token < Tokens; ++Token) {
      std::this_thread::sleep_for(this->Engine.options().Step);
      Poco::JSON::Object Data;
      Data.set("delta", "t" + std::to_string(Token) + " ");
      sendEvent(Out, "response.output_text.delta", Data, Token);
      if (!Out.good())
        return;
    }
    Poco::JSON::Object Usage;
    Usage.set("output_tokens", Tokens);
    Poco::JSON::Object Whole;
    Whole.set("usage", Usage);
    Whole.set("metadata", Body.getObject("metadata"));
    Poco::JSON::Object Data;
    Data.set("response", Whole);
    sendEvent(Out, "response.completed", Data, Tokens);
  }

  EngineStandIn &Engine;
};

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(EngineStandIn &E) : Engine(E) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new ResponsesHandler(this->Engine);
  }

private:
  EngineStandIn &Engine;
};

} // namespace

EngineStandIn::EngineStandIn(EngineOptions O) : Options(std::move(O)) {}

EngineStandIn::~EngineStandIn() {
  if (this->Server)
    this->Server->stopAll(true);
}

void EngineStandIn::start() {
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(256);
  Params->setMaxQueued(256);
  Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress(this->Options.Address)};
  this->Server = std::make_unique<Poco::Net::HTTPServer>(
      new HandlerFactory(*this), *new Poco::ThreadPool(2, 256), Socket, Params);
  this->Server->start();
}

void EngineStandIn::enter(const std::string &Identity) {
  std::unique_lock<std::mutex> Lock(this->Guard);
  const std::uint64_t Ticket = this->NextTicket++;
  this->Changed.wait(Lock, [&] {
    return this->Serving == Ticket && this->Running < this->Options.MaxRunning;
  });
  ++this->Serving;
  ++this->Running;
  ++this->Executions[Identity];
  this->Changed.notify_all();
}

void EngineStandIn::leave() {
  std::lock_guard<std::mutex> Lock(this->Guard);
  --this->Running;
  this->Changed.notify_all();
}

std::map<std::string, int> EngineStandIn::executions() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Executions;
}

std::uint32_t EngineStandIn::running() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Running;
}

std::uint32_t EngineStandIn::waiting() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return static_cast<std::uint32_t>(this->NextTicket - this->Serving);
}

} // namespace parsleywing::standin
