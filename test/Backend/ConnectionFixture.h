#ifndef PARSLEYWING_TEST_BACKEND_CONNECTIONFIXTURE_H
#define PARSLEYWING_TEST_BACKEND_CONNECTIONFIXTURE_H

#include "Backend/BackendConnection.h"
#include "Backend/EngineFixture.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

namespace parsleywing::test {

inline constexpr auto ConnectionTimeout = std::chrono::milliseconds(300);
inline constexpr auto Pause = std::chrono::seconds(2);

/// A connection to a server whose bytes the test sends itself.
class ConnectionFixture {
public:
  ConnectionFixture() : Server(this->Listening.acceptConnection()) {
    this->Connection.setDeadline(this->Time.now() + ConnectionTimeout);
    Poco::Net::HTTPRequest Request("GET", "/", "HTTP/1.1");
    this->Connection.send(Request, "");
  }

  /// Sends bytes of the response and waits until they are in the socket.
  void respond(const std::string &Bytes) {
    this->Server.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    cr_assert(
        eventually([&] { return this->Connection.hasUnsolicitedInput(); }));
  }

  Clock Time = Clock::paused();
  Poco::Net::ServerSocket Listening{Poco::Net::SocketAddress("127.0.0.1", 0)};
  ConnectionCanceller Canceller;
  BackendConnection Connection{this->Listening.address().toString(),
                               std::chrono::seconds(5), this->Canceller,
                               this->Time};
  Poco::Net::StreamSocket Server;
};

} // namespace parsleywing::test

#endif
