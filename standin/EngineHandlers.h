#ifndef PARSLEYWING_STANDIN_ENGINEHANDLERS_H
#define PARSLEYWING_STANDIN_ENGINEHANDLERS_H

#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace parsleywing::standin {

class EngineStandIn;

/// Creates the handlers of the engine stand-in's requests.
class EngineHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit EngineHandlerFactory(EngineStandIn &E) : Engine(E) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &Request) override;

private:
  EngineStandIn &Engine;
};

} // namespace parsleywing::standin

#endif
