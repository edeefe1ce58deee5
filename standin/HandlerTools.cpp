#include "standin/HandlerTools.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSONString.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <sstream>
#include <sys/socket.h>

namespace parsleywing::standin {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

namespace {

Poco::Net::StreamSocket &socketOf(HTTPServerRequest &Request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
}

} // namespace

std::string countsAsJson(const std::map<std::string, int> &Counts) {
  Poco::JSON::Object Body;
  for (const auto &[Name, Count] : Counts)
    Body.set(Name, Count);
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

std::string readBody(HTTPServerRequest &Request) {
  std::string Text;
  Poco::StreamCopier::copyToString(Request.stream(), Text);
  return Text;
}

void sendText(HTTPServerResponse &Response, int Status, const std::string &Type,
              const std::string &Body) {
  Response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(Type);
  Response.sendBuffer(Body.data(), Body.size());
}

void sendJson(HTTPServerResponse &Response, int Status,
              const std::string &Body) {
  sendText(Response, Status, "application/json", Body);
}

void sendError(HTTPServerResponse &Response, int Status,
               const std::string &Code) {
  sendJson(Response, Status,
           R"({"error":{"message":"refused","code":)" + Poco::toJSON(Code) +
               "}}");
}

void shutDownConnection(HTTPServerRequest &Request,
                        HTTPServerResponse &Response) {
  Response.setKeepAlive(false);
  try {
    socketOf(Request).shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
  }
}

std::uint64_t socketCookie(HTTPServerRequest &Request) {
  std::uint64_t Cookie = 0;
  ::socklen_t Size = sizeof(Cookie);
  ::getsockopt(socketOf(Request).impl()->sockfd(), SOL_SOCKET, SO_COOKIE,
               &Cookie, &Size);
  return Cookie;
}

bool isPeerConnected(HTTPServerRequest &Request) {
  Poco::Net::StreamSocket &Socket = socketOf(Request);
  if (!Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
    return true;
  char Next = 0;
  try {
    return Socket.receiveBytes(&Next, 1, MSG_PEEK) > 0;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace parsleywing::standin
