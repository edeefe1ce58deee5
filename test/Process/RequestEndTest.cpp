#include "Process/Fleet.h"

#include "Program/ExitCode.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

void sendText(Socket &To, const std::string &Text) {
  To.sendBytes(Text.data(), static_cast<int>(Text.size()));
}

/// All bytes until the end of the connection, or 10 s without one.
std::string readToEnd(Socket &From) {
  From.setReceiveTimeout(Poco::Timespan(10, 0));
  std::string Got;
  std::array<char, 4096> Piece{};
  try {
    int Count = 0;
    while ((Count = From.receiveBytes(Piece.data(), Piece.size())) > 0)
      Got.append(Piece.data(), static_cast<std::size_t>(Count));
  } catch (const Poco::Exception &) {
    // Reset or silent: what came is the answer.
  }
  return Got;
}

std::string requestFor(int Tokens) {
  const std::string Count = std::to_string(Tokens);
  const std::string Body = R"({"model":"advisory","input":"tokens=)" + Count +
                           R"(","max_output_tokens":)" + Count + "}";
  return "POST /v1/responses HTTP/1.1\r\nHost: r0\r\nConnection: close\r\n"
         "Authorization: Bearer kettle-key\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool has(const std::string &Answer, const std::string &Part) {
  return Answer.find(Part) != std::string::npos;
}

} // namespace

// Guards against a request that an idle router drops as it ends, since its body
// was still on its way.
Test(RequestEnd, aRequestOnItsWayAtTheEndOfADrainIsRefused, .timeout = 60) {
  TestFleet Fleet({.Routers = 1, .Engines = 1});
  cr_assert(Fleet.ready());
  Socket Caller{Poco::Net::SocketAddress(Fleet.callers(0))};
  const std::string Request = requestFor(3);
  sendText(Caller, Request.substr(0, Request.size() - 5));
  std::this_thread::sleep_for(300ms);
  Fleet.router(0).signal(SIGTERM);
  std::this_thread::sleep_for(1s);
  sendText(Caller, Request.substr(Request.size() - 5));
  const std::string Answer = readToEnd(Caller);
  cr_assert(has(Answer, "HTTP/1.1 503"), "got: %s", Answer.c_str());
  cr_assert(has(Answer, "X-Outcome: not-run"), "got: %s", Answer.c_str());
  cr_assert_eq(Fleet.router(0).wait(), static_cast<int>(ExitCode::Success));
}

// Guards against a process that ends while the last answer of a drain still
// leaves: bytes behind its request would have the system cut it off.
Test(RequestEnd, aDrainWaitsForAnswersThatLeave, .timeout = 60) {
  TestFleet Fleet({.Routers = 1, .Engines = 1, .StepMilliseconds = 0});
  cr_assert(Fleet.ready());
  Socket Slow{Poco::Net::SocketAddress(Fleet.callers(0))};
  Slow.setReceiveBufferSize(1024);
  sendText(Slow, requestFor(60000));
  cr_assert(waitUntil([&] { return Fleet.running() == 1; }));
  sendText(Slow, "GET /health HTTP/1.1\r\nHost: r0\r\n\r\n");
  Fleet.router(0).signal(SIGTERM);
  cr_assert(waitUntil([&] { return Fleet.running() == 0; }));
  std::this_thread::sleep_for(3s);
  const std::string Answer = readToEnd(Slow);
  cr_assert(has(Answer, "t59999 "), "got %zu bytes", Answer.size());
  cr_assert_eq(Fleet.router(0).wait(), static_cast<int>(ExitCode::Success));
}
