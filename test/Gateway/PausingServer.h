#ifndef PARSLEYWING_TEST_GATEWAY_PAUSINGSERVER_H
#define PARSLEYWING_TEST_GATEWAY_PAUSINGSERVER_H

#include "Gateway/ScriptedServer.h"

#include <chrono>
#include <string>

namespace parsleywing::test {

/// Where in its response a server pauses.
enum class PausePoint {
  BeforeHead,    ///< Nothing has been sent.
  AfterHead,     ///< Of a stream, the head has been sent.
  BetweenEvents, ///< Half of the events have been sent.
  InsideEvent,   ///< So has a part of the next event.
};

/// A response during which its server pauses and then goes on.
struct PausedResponse {
  PausePoint Point = PausePoint::BetweenEvents;
  std::chrono::milliseconds Pause{0};
  int Events = 6;
};

constexpr const char *RejectedResponse =
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Sends the events of a stream after the one that the request names, or the
/// request's ID to a request that is no stream.
void sendWithPause(Poco::Net::StreamSocket &Connection,
                   const std::string &Request, const PausedResponse &Response);

/// Whether a caller's response has each event of the stream once and in order,
/// and is complete. Occurrences of `Comment`, which is no event, are ignored.
bool isWholeStream(const std::string &Response, int Events,
                   const std::string &Comment = {});

} // namespace parsleywing::test

#endif
