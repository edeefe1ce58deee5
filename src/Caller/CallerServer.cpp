#include "Caller/CallerServer.h"

#include "Caller/ResponsesHandler.h"
#include "Runtime/Log.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>

namespace parsleywing {

namespace {

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(CallerContext &C) : Context(C) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new ResponsesHandler(this->Context);
  }

private:
  CallerContext &Context;
};

} // namespace

DeclarationsPtr CallerContext::declarations() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->InForce;
}

void CallerContext::setDeclarations(DeclarationsPtr Declared) {
  std::lock_guard<std::mutex> Lock(this->Guard);
  this->InForce = std::move(Declared);
}

CallerServer::CallerServer(CallerSettings Settings, ControlLoop &Control,
                           std::string Life)
    : Context(std::move(Settings), Control, std::move(Life)) {}

CallerServer::~CallerServer() {
  if (this->Server)
    this->Server->stopAll(true);
}

Result<void> CallerServer::start() {
  const CallerSettings &Settings = this->Context.Settings;
  try {
    Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress(Settings.Address)};
    auto *Params = new Poco::Net::HTTPServerParams; // Owned by the server.
    Params->setMaxThreads(Settings.MaxConnections);
    Params->setMaxQueued(Settings.MaxConnections);
    this->Server = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(this->Context),
        *new Poco::ThreadPool(2, Settings.MaxConnections), Socket, Params);
    this->Server->start();
  } catch (const Poco::Exception &Failure) {
    return failure(ErrorCode::InvalidInput, "cannot listen for callers on " +
                                                Settings.Address + ": " +
                                                Failure.displayText());
  }
  log(LogPart::Caller, LogLevel::Info,
      "Listening on " + Settings.Address + ".");
  return {};
}

void CallerServer::stopAccepting() {
  if (this->Server)
    this->Server->stop();
}

} // namespace parsleywing
