#ifndef PARSLEYWING_BACKEND_BACKENDCONNECTION_H
#define PARSLEYWING_BACKEND_BACKENDCONNECTION_H

#include "Backend/ConnectionCanceller.h"
#include "Platform/TimedSocket.h"
#include "Runtime/Clock.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <memory>
#include <string>
#include <utility>

namespace parsleywing {

/// One HTTP connection to a backend server. Never reconnects: POCO's session
/// would send a request again after a failed write, which must not happen to a
/// request that may not be repeated. The functions throw Poco::Exception and
/// are used only within this package.
class BackendConnection {
public:
  /// Connects to a numeric address. Throws if this fails or times out, or if
  /// the canceller was used; no byte of a request has been sent then. `Time` is
  /// the clock of the later deadlines.
  BackendConnection(const std::string &Address, Duration ConnectTimeout,
                    ConnectionCanceller &NewCanceller, const Clock &Time);
  ~BackendConnection();
  BackendConnection(const BackendConnection &) = delete;
  BackendConnection &operator=(const BackendConnection &) = delete;

  /// Attaches the canceller of the next call; false if it was already used.
  bool attach(ConnectionCanceller &NewCanceller);
  void detach();

  /// Reads and writes that do not finish before this time throw a timeout.
  void setDeadline(TimePoint Deadline) { this->Socket->Deadline = Deadline; }

  /// Sends a request, or as much of it as the peer accepts: a server that has
  /// already responded may stop reading. `receive` determines whether the
  /// request was sent completely.
  void send(Poco::Net::HTTPRequest &Request, const std::string &Body);

  /// Blocks until the response head arrives and returns the stream of the body.
  /// Also works if the request could not be sent completely, since the response
  /// may have arrived before.
  std::istream &receive(Poco::Net::HTTPResponse &Response);

  /// Whether the whole response has arrived. To be called behind the end of
  /// the stream of its body, which POCO also reports where the connection ended
  /// early. A response that states no length ends with an orderly close.
  bool receiveEnd() { return this->Socket->receiveResponseEnd(); }

  /// Whether another call may use the connection: the request was sent and the
  /// response received completely, the peer has not closed it, and no bytes
  /// followed the response that would be taken for the next one.
  bool reusable() const;

  /// Whether the idle connection has received bytes or was closed by the peer,
  /// so that it must not be reused.
  bool hasUnsolicitedInput() const;

  /// The time before the connection was opened.
  TimePoint openedAt() const { return this->OpenedAt; }

  std::uint64_t receivedBytes() const { return this->Socket->Received; }
  std::uint64_t sentBytes() const { return this->Socket->Sent; }

private:
  class Session;

  std::string Address;
  TimePoint OpenedAt;
  ConnectionCanceller *Canceller;
  internal::TimedSocket *Socket;
  std::unique_ptr<Session> Http;
  std::string Method;
  bool SentCompletely = true;
};

} // namespace parsleywing

#endif
