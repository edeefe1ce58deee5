#ifndef PARSLEYWING_CALLER_RESPONSESHANDLER_H
#define PARSLEYWING_CALLER_RESPONSESHANDLER_H

#include "Caller/CallerServer.h"

#include <Poco/Net/HTTPRequestHandler.h>

namespace parsleywing {

/// Serves `POST /v1/responses`: checks the caller's key and service, has the
/// request decided by the control thread, runs its attempts, and streams the
/// answer.
class ResponsesHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit ResponsesHandler(CallerContext &C) : Context(C) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override;

private:
  CallerContext &Context;
};

} // namespace parsleywing

#endif
