#include "Gateway/FrontFixture.h"

#include <Poco/Net/NetException.h>
#include <array>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// What one read from the connection brings; empty if it has ended.
std::string receive(Poco::Net::StreamSocket &Connection) {
  std::array<char, 4096> Buffer{};
  try {
    const int Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
    return {Buffer.data(), static_cast<std::size_t>(std::max(Count, 0))};
  } catch (const Poco::Exception &) {
    return {};
  }
}

} // namespace

// Guards against connections that are closed while the limit in force says that
// callers may still use them: they were accepted under a shorter limit.
Test(IdleLimit, aNewConfigurationProlongsItForOpenConnections, .timeout = 30) {
  ScriptedServer Server(
      [](Poco::Net::StreamSocket &Connection, const std::string &) {
        sendText(Connection, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                             "Response-Seal: s\r\nContent-Length: 0\r\n\r\n");
        return true;
      });
  FrontFixture Front;
  Front.addServer(Server);
  Front.Configuration.Limits.IdleTimeout = 400ms;
  Front.start();
  Poco::Net::StreamSocket Caller = Front.connect();
  sendText(Caller, FrontFixture::request("/safe/x"));
  cr_assert(receive(Caller).starts_with("HTTP/1.1 200"));
  ++Front.Configuration.Version;
  Front.Configuration.Limits.IdleTimeout = 3s;
  Front.setServers(Front.servers());
  std::this_thread::sleep_for(600ms);
  sendText(Caller, FrontFixture::request("/safe/x"));
  cr_assert(receive(Caller).starts_with("HTTP/1.1 200"));
}
