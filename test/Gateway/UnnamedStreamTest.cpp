#include "Gateway/FrontFixture.h"

#include <criterion/criterion.h>
#include <future>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

/// A router with one server, whose lists have shown one version for longer than
/// streams last. Its last proof is older than any request.
struct ProvenFront {
  ProvenFront() {
    this->Front.addServer(this->Server);
    this->Front.start();
    for (Duration Age = 13s; Age >= 1s; Age -= 1s)
      this->Front.proveLists(Age);
  }
  /// Asks for the rest of a stream without the name of its first attempt.
  std::future<std::string> takeUp() {
    return std::async(std::launch::async, [this] {
      return this->Front.call(
          FrontFixture::request("/stream/x", "Last-Event-Id: 3\r\n"));
    });
  }

  /// The request was refused, with or without a time to come back, and has not
  /// reached the server.
  void expectRefused(const std::string &Response, bool MayComeBack) {
    cr_assert(Response.starts_with("HTTP/1.1 503"), "%s", Response.c_str());
    cr_assert_eq(!fieldOf(Response, "Retry-After").empty(), MayComeBack, "%s",
                 Response.c_str());
    cr_assert_eq(this->Server.requests().size(), 0U);
  }

  ScriptedServer Server{[](Socket &S, const std::string &) {
    sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\n"
                "id: 4\ndata: x\n\n");
    return true;
  }};
  FrontFixture Front;
};

} // namespace

// Guards against a request that does not go on at the proof that it waits for.
Test(UnnamedStream, goesOnOnceTheListsAreProven, .timeout = 20) {
  ProvenFront F;
  auto Response = F.takeUp();
  std::this_thread::sleep_for(300ms);
  cr_assert_eq(F.Server.requests().size(), 0U);
  F.Front.proveLists(0s);
  const std::string Text = Response.get();
  cr_assert(Text.starts_with("HTTP/1.1 200"), "%s", Text.c_str());
}

// Guards against a stream that began at a version which other routers have seen
// shortly before this one.
Test(UnnamedStream, isRefusedIfTheProofShowsAnotherVersion, .timeout = 20) {
  ProvenFront F;
  auto Response = F.takeUp();
  std::this_thread::sleep_for(100ms);
  ServerList List = F.Front.servers();
  GatewayServer Other = List.at("s0");
  Other.Id = "s1";
  Other.Version = "v2";
  List.emplace(Other.Id, Other);
  F.Front.setServers(std::move(List));
  F.expectRefused(Response.get(), /*MayComeBack=*/false);
}

// Guards against a request that waits without a bound while no proof comes, and
// against one that goes on without it.
Test(UnnamedStream, isRefusedWithoutAProofInTime, .timeout = 20) {
  ProvenFront F;
  const auto Start = std::chrono::steady_clock::now();
  F.expectRefused(F.takeUp().get(), /*MayComeBack=*/true);
  const auto Elapsed = std::chrono::steady_clock::now() - Start;
  cr_assert_geq(Elapsed, 1200ms);
  cr_assert_lt(Elapsed, 1600ms);
}

// Guards against a request that is sent although its caller has left or its
// deadline has passed while it waited.
Test(UnnamedStream, endsWithItsCallerOrDeadline, .timeout = 20) {
  ProvenFront F;
  std::string Request =
      FrontFixture::request("/stream/x", "Last-Event-Id: 3\r\n");
  {
    Socket Leaving = F.Front.connect();
    sendText(Leaving, Request);
    std::this_thread::sleep_for(100ms);
  }
  Request.replace(Request.find("2000"), 4, "300");
  const std::string Text = F.Front.call(Request);
  F.Front.proveLists(0s);
  F.expectRefused(Text, /*MayComeBack=*/true);
  const std::string Metrics = F.Front.metrics();
  for (const char *Outcome :
       {"outcome=\"caller_left\"} 1", "reason=\"time-is-over\"} 1"})
    cr_assert_neq(Metrics.find(Outcome), std::string::npos, "%s", Outcome);
}
