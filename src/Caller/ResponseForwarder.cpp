#include "Caller/ResponseForwarder.h"

#include "Caller/HandOverToken.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

namespace parsleywing {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

namespace {

bool isNamed(const std::string &Name, const std::string &Expected) {
  return Poco::icompare(Name, Expected) == 0;
}

bool isBufferable(const HeaderList &Headers) {
  for (const auto &[Name, Value] : Headers) {
    Poco::UInt64 Length = 0;
    if (isNamed(Name, HTTPMessage::CONTENT_LENGTH))
      return Poco::NumberParser::tryParseUnsigned64(Value, Length) &&
             Length <= ResponseForwarder::MaxBufferedBytes;
  }
  return false;
}

} // namespace

bool ResponseForwarder::forwardHead(int NewStatus,
                                    const HeaderList &NewHeaders) {
  this->Status = NewStatus;
  this->Headers = NewHeaders;
  this->BufferedBody.clear();
  if (!isBufferable(NewHeaders))
    this->start();
  return !this->Out || this->Out->good();
}

bool ResponseForwarder::forwardBody(std::string_view Chunk) {
  if (!this->Out) {
    this->BufferedBody += Chunk;
    return true;
  }
  this->Out->write(Chunk.data(), static_cast<std::streamsize>(Chunk.size()));
  this->Out->flush();
  return this->Out->good();
}

/// Forwards the headers except the identity and the outcome, which this router
/// sets itself.
void ResponseForwarder::start() {
  HTTPResponse &Response = this->E.Response;
  Response.setStatusAndReason(
      static_cast<HTTPResponse::HTTPStatus>(this->Status));
  for (const auto &[Name, Value] : this->Headers)
    if (isNamed(Name, "X-Attempts"))
      Response.set(Name, Value); // Counted by the other router.
    else if (!isNamed(Name, "X-Request-Id") && !isNamed(Name, "X-Outcome") &&
             !isNamed(Name, AnsweredIdHeader))
      Response.add(Name, Value);
  if (!Response.hasContentLength() &&
      Response.getVersion() == HTTPMessage::HTTP_1_1)
    Response.setChunkedTransferEncoding(true);
  this->E.finishHeaders();
  this->Out = &this->E.Response.send();
  this->Out->flush();
}

void ResponseForwarder::complete(AttemptNumber Attempts) {
  if (this->Out)
    return;
  this->E.Response.set("X-Outcome", "completed");
  this->E.Response.set("X-Attempts", std::to_string(Attempts));
  this->start();
  this->forwardBody(this->BufferedBody);
}

void ResponseForwarder::abortResponse() {
  HTTPResponse &Response = this->E.Response;
  Response.setKeepAlive(false);
  // The caller would take the end of the connection for the end of a response
  // without a length, unless it is a reset.
  if (!Response.hasContentLength() && !Response.getChunkedTransferEncoding()) {
    this->E.SocketImpl.enableResetOnClose();
    return;
  }
  try {
    // POCO sends the last chunk when the response is destroyed. Shut the
    // connection down before, so that the chunk does not reach the caller.
    Poco::Net::StreamSocket Connection(this->E.Caller);
    Connection.shutdown();
  } catch (const Poco::Exception &) {
    // The caller has already disconnected.
  }
}

} // namespace parsleywing
