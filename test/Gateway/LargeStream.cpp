#include "Gateway/LargeStream.h"

#include "Gateway/ScriptedServer.h"

#include <array>
#include <cstdio>

namespace parsleywing::test {

void sendLargeStream(Poco::Net::StreamSocket &Connection,
                     const std::string &Request) {
  sendText(Connection,
           "HTTP/1.1 200 OK\r\nRequest-Id: " + fieldOf(Request, "Request-Id") +
               "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  const std::string Data(LargeEventBytes, 'x');
  for (std::size_t Number = 1; Number <= LargeStreamBytes / LargeEventBytes;
       ++Number) {
    const std::string Event =
        "id: " + std::to_string(Number) + "\ndata: " + Data + "\n\n";
    std::array<char, 16> Size{};
    std::snprintf(Size.data(), Size.size(), "%zx\r\n", Event.size());
    sendText(Connection, Size.data() + Event + "\r\n");
  }
  sendText(Connection, "0\r\n\r\n");
}

} // namespace parsleywing::test
