#include "Operator/OperatorClient.h"

#include "Operator/ValueChecks.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>

namespace parsleywing {

Result<OperatorClient::HttpReply>
OperatorClient::call(const std::string &Method, const std::string &Path,
                     const std::string &Body) const {
  if (!isNumericAddress(this->Address))
    return failure(ErrorCode::InvalidInput,
                   "the address must be " + std::string(AddressRule) +
                       ", not '" + this->Address + "'");
  const std::string Router = "the router at " + this->Address;
  try {
    Poco::Net::HTTPClientSession Session{
        Poco::Net::SocketAddress(this->Address)};
    const auto Limit =
        std::chrono::duration_cast<std::chrono::microseconds>(this->Timeout);
    Session.setTimeout(Poco::Timespan(Limit.count()));
    Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    HttpReply Received{Response.getStatus(), {}};
    Poco::StreamCopier::copyToString(In, Received.Body);
    return Received;
  } catch (const Poco::TimeoutException &) {
    return failure(ErrorCode::TimedOut, Router + " does not answer");
  } catch (const Poco::Exception &Failure) {
    return failure(ErrorCode::Unreachable,
                   Router + " cannot be reached: " + Failure.displayText());
  }
}

Result<std::string> OperatorClient::callForBody(const std::string &Method,
                                                const std::string &Path,
                                                const std::string &Body) const {
  const auto Received = this->call(Method, Path, Body);
  if (!Received)
    return tl::unexpected<Error>(Received.error());
  if (Received->Status != Poco::Net::HTTPResponse::HTTP_OK)
    return failure(ErrorCode::Refused,
                   "the router at " + this->Address + " answered " +
                       std::to_string(Received->Status) + " to " + Path);
  return Received->Body;
}

Result<std::string> OperatorClient::get(const std::string &Path) const {
  return this->callForBody("GET", Path, "");
}

Result<std::string> OperatorClient::post(const std::string &Path,
                                         const std::string &Body) const {
  return this->callForBody("POST", Path, Body);
}

Result<std::string> OperatorClient::health() const {
  const auto Received = this->call("GET", "/health", "");
  if (!Received)
    return tl::unexpected<Error>(Received.error());
  return Received->Body;
}

} // namespace parsleywing
