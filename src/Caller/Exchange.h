#ifndef PARSLEYWING_CALLER_EXCHANGE_H
#define PARSLEYWING_CALLER_EXCHANGE_H

#include "Caller/CallerContext.h"
#include "Caller/CallerSocket.h"
#include "Caller/Problem.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace parsleywing {

/// One HTTP request of a caller and its response. Used only by the connection's
/// thread.
class Exchange {
public:
  CallerContext &Context;
  /// Null if the request head could not be parsed.
  Poco::Net::HTTPServerRequest *Request;
  Poco::Net::HTTPServerResponse &Response;
  const CallerSocket &Caller;
  CallerSocketImpl &SocketImpl;
  std::uint64_t Number;
  std::string Identity;
  /// Whether the body has been read completely, so that another request can
  /// follow on the connection.
  bool BodyRead = false;

  /// Sends a problem document as the complete response. Nothing may have been
  /// sent before.
  void sendProblem(const Problem &P);

  /// Sends a JSON document as the complete response.
  void sendDocument(const std::string &Json);

  /// Announces in the headers if the connection closes after this response.
  /// Must be called before the headers are sent.
  void finishHeaders();
};

} // namespace parsleywing

#endif
