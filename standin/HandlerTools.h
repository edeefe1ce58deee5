#ifndef PARSLEYWING_STANDIN_HANDLERTOOLS_H
#define PARSLEYWING_STANDIN_HANDLERTOOLS_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <map>
#include <string>

namespace parsleywing::standin {

/// Counts under their names, as a JSON object.
std::string countsAsJson(const std::map<std::string, int> &Counts);

/// The whole body of a request.
std::string readAll(Poco::Net::HTTPServerRequest &Request);

void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Type, const std::string &Body);
void sendJson(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Body);

/// The published error object of engines.
void sendError(Poco::Net::HTTPServerResponse &Response, int Status,
               const std::string &Code);

/// Ends the connection at once, whatever was answered on it.
void cutConnection(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response);

/// The system's own number of the connection's socket.
std::uint64_t cookieOf(Poco::Net::HTTPServerRequest &Request);

/// Whether the other side still has its connection open.
bool peerIsThere(Poco::Net::HTTPServerRequest &Request);

} // namespace parsleywing::standin

#endif
