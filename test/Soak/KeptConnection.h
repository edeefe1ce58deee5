#ifndef PARSLEYWING_TEST_SOAK_KEPTCONNECTION_H
#define PARSLEYWING_TEST_SOAK_KEPTCONNECTION_H

#include "Runtime/EnumNames.h"

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <string>

namespace parsleywing::test {

/// How a request ended for its caller.
enum class CallEnd {
  NotSent, ///< There was no connection to send it on.
  Whole,   ///< Its answer ended as the framing says.
  Reset,   ///< A socket error behind the send.
  Closed,  ///< The connection was closed in order, and no reset followed.
  Late,    ///< The caller waited no longer.
};

inline constexpr EnumNames<CallEnd, 5> CallEndNames{{
    {CallEnd::NotSent, "not-sent"},
    {CallEnd::Whole, "whole"},
    {CallEnd::Reset, "reset"},
    {CallEnd::Closed, "closed"},
    {CallEnd::Late, "late"},
}};

/// What a caller got.
struct CallerResult {
  std::string Path;
  std::size_t Router = 0;
  /// The caller's end of the connection.
  std::string From;
  /// Requests that the connection had carried before.
  int Earlier = 0;
  int Status = 0;
  CallEnd End = CallEnd::NotSent;
  std::string Body;
  std::chrono::steady_clock::time_point SentAt;
  /// When the caller had the answer or the end of the connection.
  std::chrono::steady_clock::time_point EndedAt;

  bool whole() const { return this->End == CallEnd::Whole; }
};

/// A caller's connection to one router, used again until an answer announces
/// its close or it breaks; then the next request opens another.
class KeptConnection {
public:
  /// One that `Looks` asks before each request whether the router has closed,
  /// as most clients do; others learn it from their next request.
  KeptConnection(std::string RouterAddress, bool Looks)
      : Address(std::move(RouterAddress)), LooksFirst(Looks) {}

  /// Sends a request whole and waits for its answer.
  void exchange(const std::string &Request, CallerResult &Got);

private:
  bool connect();
  void readAnswer(CallerResult &Got);

  std::string Address;
  bool LooksFirst;
  bool Open = false;
  int Carried = 0;
  Poco::Net::StreamSocket Socket;
};

} // namespace parsleywing::test

#endif
