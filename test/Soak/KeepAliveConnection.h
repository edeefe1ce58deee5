#ifndef PARSLEYWING_TEST_SOAK_KEEPALIVECONNECTION_H
#define PARSLEYWING_TEST_SOAK_KEEPALIVECONNECTION_H

#include "Runtime/EnumNames.h"

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <string>

namespace parsleywing::test {

/// How a request ended for its caller.
enum class CallEnd {
  NotSent,  ///< There was no connection to send it on.
  Complete, ///< Its answer ended as the framing says.
  Reset,    ///< A socket error behind the send.
  Closed,   ///< The connection was closed in order, and no reset followed.
  TimedOut, ///< The caller waited no longer.
};

inline constexpr EnumNames<CallEnd, 5> CallEndNames{{
    {CallEnd::NotSent, "not-sent"},
    {CallEnd::Complete, "whole"},
    {CallEnd::Reset, "reset"},
    {CallEnd::Closed, "closed"},
    {CallEnd::TimedOut, "late"},
}};

/// What a caller got.
struct CallerResult {
  std::string Path;
  std::size_t Router = 0;
  /// The caller's end of the connection.
  std::string LocalAddress;
  /// Requests that the connection had carried before.
  int EarlierRequests = 0;
  int Status = 0;
  CallEnd End = CallEnd::NotSent;
  std::string Body;
  std::chrono::steady_clock::time_point SentAt;
  /// When the caller had the answer or the end of the connection.
  std::chrono::steady_clock::time_point EndedAt;

  bool isComplete() const { return this->End == CallEnd::Complete; }
};

/// A caller's connection to one router, used again until an answer announces
/// its close or it breaks; then the next request opens another.
class KeepAliveConnection {
public:
  /// One that `Looks` asks before each request whether the router has closed,
  /// as most clients do; others learn it from their next request.
  KeepAliveConnection(std::string RouterAddress, bool Looks)
      : Address(std::move(RouterAddress)), ChecksFirst(Looks) {}

  /// Sends a request whole and waits for its answer.
  void exchange(const std::string &Request, CallerResult &Got);

private:
  bool connect();
  void readResponse(CallerResult &Got);

  std::string Address;
  bool ChecksFirst;
  bool Open = false;
  int RequestCount = 0;
  Poco::Net::StreamSocket Socket;
};

} // namespace parsleywing::test

#endif
