#ifndef PARSLEYWING_BACKEND_BACKENDCONNECTION_H
#define PARSLEYWING_BACKEND_BACKENDCONNECTION_H

#include "Backend/ConnectionCanceller.h"
#include "Runtime/Clock.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <memory>
#include <string>
#include <utility>

namespace parsleywing {

namespace internal {

/// A socket that knows its deadline, counts its bytes and remembers that the
/// other side ended the connection.
class TimedSocket : public Poco::Net::StreamSocketImpl {
public:
  explicit TimedSocket(Clock T) : Time(std::move(T)) {}

  int receiveBytes(void *Buffer, int Length, int Flags) override;
  int sendBytes(const void *Buffer, int Length, int Flags) override;

  Clock Time;
  TimePoint Deadline;
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  bool Ended = false;
};

} // namespace internal

/// One HTTP connection to a backend server. Never connects a second time on
/// its own: the library's session would send a request again after a write
/// that failed, which must not happen to a request that may not be repeated.
/// Its functions throw Poco::Exception; only this package calls them.
class BackendConnection {
public:
  /// Connects to a numeric address; later deadlines are moments of the clock.
  /// Throws where that fails in time, or where
  /// the breaker was used; nothing of a request has left then.
  BackendConnection(const std::string &Address, Duration ConnectLimit,
                    ConnectionCanceller &B, const Clock &Time);
  ~BackendConnection();
  BackendConnection(const BackendConnection &) = delete;
  BackendConnection &operator=(const BackendConnection &) = delete;

  /// Moves the connection from a finished call to the next one's breaker.
  bool attach(ConnectionCanceller &B);
  void detach();

  /// Bytes that do not come or go before this moment raise a timeout.
  void setDeadline(TimePoint Deadline) { this->Socket->Deadline = Deadline; }

  /// Sends a request, or as much of it as the other side takes: one that has
  /// answered meanwhile may read no more. Whether it went out whole shows as
  /// the answer is received.
  void send(Poco::Net::HTTPRequest &Request, const std::string &Body);

  /// Blocks for the head of the answer; the body is read from the stream. Also
  /// behind a request that could not be sent whole, since its answer may have
  /// come before.
  std::istream &receive(Poco::Net::HTTPResponse &Response);

  /// Whether the other side ended the connection: an answer of unstated or
  /// chunked length that ends so may have been cut off.
  bool peerClosed() const { return this->Socket->Ended; }

  /// Whether the next call may go over the connection: the request went out
  /// whole, the other side has not ended it, and nothing came behind the answer
  /// that would be taken for the next one.
  bool reusable() const;

  /// Whether the other side has sent or ended something while nothing was
  /// expected: such a connection is of no more use.
  bool hasUnsolicitedInput() const;

  std::uint64_t receivedBytes() const { return this->Socket->Received; }
  std::uint64_t sentBytes() const { return this->Socket->Sent; }

private:
  class Session;

  std::string Address;
  ConnectionCanceller *Breaker;
  internal::TimedSocket *Socket;
  std::unique_ptr<Session> Http;
  bool SentWhole = true;
};

} // namespace parsleywing

#endif
