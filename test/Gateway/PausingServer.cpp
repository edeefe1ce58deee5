#include "Gateway/PausingServer.h"

#include <array>
#include <thread>

namespace parsleywing::test {

namespace {

std::string chunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

std::string event(int Number) {
  return "id: " + std::to_string(Number) + "\ndata: x\n\n";
}

std::string headFor(const std::string &Request, const std::string &Fields) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + fieldOf(Request, "Request-Id") +
         "\r\nResponse-Seal: s\r\n" + Fields + "\r\n";
}

void sendStream(Poco::Net::StreamSocket &Connection, const std::string &Request,
                const PausedResponse &Response) {
  const auto PauseAt = [&Response](PausePoint Point) {
    if (Response.Point == Point)
      std::this_thread::sleep_for(Response.Pause);
  };
  const std::string LastId = fieldOf(Request, "Last-Event-Id");
  const int First = LastId.empty() ? 1 : std::stoi(LastId) + 1;
  PauseAt(PausePoint::BeforeHead);
  sendText(Connection, headFor(Request, "Content-Type: text/event-stream\r\n"
                                        "Transfer-Encoding: chunked\r\n"));
  PauseAt(PausePoint::AfterHead);
  for (int Number = First; Number <= Response.Events; ++Number) {
    const std::string Text = event(Number);
    const bool IsMiddle = Number == Response.Events / 2 + 1;
    const std::size_t Sent =
        IsMiddle && Response.Point == PausePoint::InsideEvent ? 4 : 0;
    if (IsMiddle) {
      if (Sent > 0)
        sendText(Connection, chunk(Text.substr(0, Sent)));
      PauseAt(PausePoint::BetweenEvents);
      PauseAt(PausePoint::InsideEvent);
    }
    sendText(Connection, chunk(Text.substr(Sent)));
  }
  sendText(Connection, "0\r\n\r\n");
}

} // namespace

void sendWithPause(Poco::Net::StreamSocket &Connection,
                   const std::string &Request, const PausedResponse &Response) {
  const bool IsStream = Request.find(" /stream/") != std::string::npos ||
                        Request.find(" /once/") != std::string::npos;
  if (IsStream) {
    sendStream(Connection, Request, Response);
    return;
  }
  const std::string Body = fieldOf(Request, "Request-Id");
  std::this_thread::sleep_for(Response.Pause);
  sendText(Connection,
           headFor(Request,
                   "Content-Length: " + std::to_string(Body.size()) + "\r\n") +
               Body);
}

namespace {

std::string without(const std::string &Comment, std::string Text) {
  std::size_t At = Comment.empty() ? std::string::npos : Text.find(Comment);
  while (At != std::string::npos) {
    Text.erase(At, Comment.size());
    At = Text.find(Comment, At);
  }
  return Text;
}

} // namespace

bool isWholeStream(const std::string &Response, int Events,
                   const std::string &Comment) {
  std::string Expected;
  for (int Number = 1; Number <= Events; ++Number)
    Expected += event(Number);
  std::string Payload;
  std::size_t Position = Response.find("\r\n\r\n");
  if (Position == std::string::npos)
    return false;
  Position += 4;
  while (Position < Response.size()) {
    const std::size_t LineEnd = Response.find("\r\n", Position);
    if (LineEnd == std::string::npos)
      return false;
    const std::size_t Size =
        std::stoul(Response.substr(Position, LineEnd - Position), nullptr, 16);
    if (Size == 0)
      return without(Comment, Payload) == Expected;
    Payload += Response.substr(LineEnd + 2, Size);
    Position = LineEnd + 2 + Size + 2;
  }
  return false;
}

} // namespace parsleywing::test
