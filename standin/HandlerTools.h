#ifndef PARSLEYWING_STANDIN_HANDLERTOOLS_H
#define PARSLEYWING_STANDIN_HANDLERTOOLS_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <map>
#include <string>

namespace parsleywing::standin {

/// Returns the counts as a JSON object, by name.
std::string countsAsJson(const std::map<std::string, int> &Counts);

/// Reads the complete body of a request.
std::string readBody(Poco::Net::HTTPServerRequest &Request);

void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Type, const std::string &Body);
void sendJson(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Body);

/// Sends an error object in the format of the engine API.
void sendError(Poco::Net::HTTPServerResponse &Response, int Status,
               const std::string &Code);

/// Shuts the connection down at once, whatever has been sent on it.
void shutDownConnection(Poco::Net::HTTPServerRequest &Request,
                        Poco::Net::HTTPServerResponse &Response);

/// Returns the kernel's cookie of the connection's socket.
std::uint64_t socketCookie(Poco::Net::HTTPServerRequest &Request);

/// Whether the peer still has the connection open.
bool isPeerConnected(Poco::Net::HTTPServerRequest &Request);

} // namespace parsleywing::standin

#endif
