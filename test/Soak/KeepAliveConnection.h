#ifndef PARSLEYWING_TEST_SOAK_KEEPALIVECONNECTION_H
#define PARSLEYWING_TEST_SOAK_KEEPALIVECONNECTION_H

#include "Runtime/EnumNames.h"

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <string>

namespace parsleywing::test {

/// How a request ended for its caller.
enum class CallEnd {
  NotSent,  ///< No connection could be established.
  Complete, ///< The response was complete according to its framing.
  Reset,    ///< The connection failed after the request was sent.
  Closed,   ///< The router closed the connection, and no reset followed.
  TimedOut, ///< The caller gave up waiting.
  Left,     ///< The caller closed the connection in the middle of a response.
};

inline constexpr EnumNames<CallEnd, 6> CallEndNames{{
    {CallEnd::NotSent, "not-sent"},
    {CallEnd::Complete, "complete"},
    {CallEnd::Reset, "reset"},
    {CallEnd::Closed, "closed"},
    {CallEnd::TimedOut, "timed-out"},
    {CallEnd::Left, "left"},
}};

/// The result of a request for its caller.
struct CallerResult {
  std::string Path;
  std::size_t Router = 0;
  /// The caller's address on the connection.
  std::string LocalAddress;
  /// The number of earlier requests on the same connection.
  int EarlierRequests = 0;
  int Status = 0;
  CallEnd End = CallEnd::NotSent;
  std::string Body;
  std::chrono::steady_clock::time_point SentAt;
  /// When the caller had received the response or the end of the connection.
  std::chrono::steady_clock::time_point EndedAt;

  bool isComplete() const { return this->End == CallEnd::Complete; }
};

/// A caller's connection to one router. It is reused until a response announces
/// that it will be closed, or until it breaks; the next request then opens
/// another connection.
class KeepAliveConnection {
public:
  /// With `Checks`, the caller checks before each request whether the router
  /// has closed the connection, as most clients do. Otherwise it finds out by
  /// the next request.
  KeepAliveConnection(std::string RouterAddress, bool Checks)
      : Address(std::move(RouterAddress)), ChecksFirst(Checks) {}

  /// Sends a complete request and waits for its response. The caller leaves
  /// once it has `LeavesAfter` bytes of the body; 0 for never.
  void exchange(const std::string &Request, CallerResult &Result,
                std::size_t LeavesAfter = 0);

private:
  bool connect();
  void readResponse(CallerResult &Result, std::size_t LeavesAfter);

  std::string Address;
  bool ChecksFirst;
  bool Open = false;
  int RequestCount = 0;
  Poco::Net::StreamSocket Socket;
};

} // namespace parsleywing::test

#endif
