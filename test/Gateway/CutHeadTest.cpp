#include "Gateway/FrontFixture.h"

#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

const std::string PlainHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Length: 5\r\n\r\n";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n";

/// Calls a router whose server sends this much of a head for each request and
/// ends the connection.
void expectNoSuccess(const std::string &Path, const std::string &Head) {
  for (const bool Resets : {false, true}) {
    std::atomic<std::size_t> Length{0};
    ScriptedServer Server([&](Socket &Connection, const std::string &) {
      sendText(Connection, Head.substr(0, Length));
      if (Resets) {
        std::this_thread::sleep_for(3ms);
        Connection.setLinger(true, 0);
      }
      return false;
    });
    FrontFixture Front;
    Front.addServer(Server);
    Front.start();
    for (Length = 0; Length < Head.size(); ++Length) {
      const std::string Response = Front.call(FrontFixture::request(Path));
      cr_expect_not(Response.starts_with("HTTP/1.1 2"),
                    "%s, cut behind %zu bytes, %s: %s", Path.c_str(),
                    Length.load(), Resets ? "reset" : "closed",
                    Response.c_str());
    }
  }
}

} // namespace

// Guards against a head that its server has cut off and that callers get as a
// success without a body.
Test(CutHead, ofAPlainResponseIsNoSuccess, .timeout = 120) {
  expectNoSuccess("/unsafe/x", PlainHead);
}

// The same of a response in chunks.
Test(CutHead, ofAChunkedResponseIsNoSuccess, .timeout = 120) {
  expectNoSuccess("/unsafe/x", ChunkedHead);
}

// The same of a stream that ends with its connection.
Test(CutHead, ofAStreamIsNoSuccess, .timeout = 120) {
  expectNoSuccess("/once/x", StreamHead);
}
