#ifndef PARSLEYWING_CALLER_EXCHANGE_H
#define PARSLEYWING_CALLER_EXCHANGE_H

#include "Caller/CallerContext.h"
#include "Caller/CallerSocket.h"
#include "Caller/Problem.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace parsleywing {

/// One HTTP request of a caller and its answer, on the thread of its
/// connection.
class Exchange {
public:
  CallerContext &Context;
  /// Null where the head of the request could not be read.
  Poco::Net::HTTPServerRequest *Request;
  Poco::Net::HTTPServerResponse &Response;
  const CallerSocket &Caller;
  CallerSocketImpl &SocketImpl;
  std::uint64_t Number;
  std::string Identity;
  /// Whether the whole body has been read, so that a next request can follow.
  bool BodyRead = false;

  /// Sends an error as the whole answer. Nothing may have been sent before.
  void sendProblem(const Problem &P);

  /// Sends a JSON document as the whole answer.
  void sendDocument(const std::string &Json);

  /// Says in the headers whether the connection is kept; before they are sent.
  void finishHeaders();
};

} // namespace parsleywing

#endif
