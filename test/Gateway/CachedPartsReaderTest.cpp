#include "Gateway/CachedPartsReader.h"

#include "Gateway/ScriptedServer.h"
#include "platform/HeadFormat.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

void respond(Socket &S, const std::string &Status, const std::string &Body) {
  sendText(S, "HTTP/1.1 " + Status + "\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

GatewayServer makeServer(const std::string &Id, const std::string &Address) {
  GatewayServer Server;
  Server.Id = Id;
  Server.Address = Poco::Net::SocketAddress(Address);
  return Server;
}

/// A reader with its own event loop.
struct Fixture {
  Fixture()
      : Loop(Clock::steady()), Pool(Loop),
        Subject(Loop, Format, Pool, MetricsRegistry) {
    this->Subject.setPartsCallback(
        [this](const GatewayServer &Server, const CachedParts &Cached) {
          this->PartCounts[Server.Id] = Cached.Parts.size();
        });
  }

  void run(Duration Time) {
    this->Loop.after(Time, [this] { this->Loop.stop(); });
    this->Loop.run();
  }

  EventLoop Loop;
  WireFormat Format = platformWireFormat();
  Metrics MetricsRegistry;
  UpstreamPool Pool;
  CachedPartsReader Subject;
  std::map<std::string, std::size_t> PartCounts;
};

const std::string TwoParts = R"({"held":[["","a",10,"m"],["","b",20,"m"]]})";

} // namespace

Test(CachedPartsReader, queriesEachEngineOnce) {
  ScriptedServer Engine([](Socket &S, const std::string &) {
    respond(S, "200 OK", TwoParts);
    return true;
  });
  Fixture F;
  F.Subject.query(makeServer("e1", Engine.address()));
  F.Subject.query(makeServer("e1", Engine.address()));
  F.Subject.query(makeServer("e2", Engine.address()));
  F.run(300ms);
  cr_assert_eq(F.PartCounts.size(), 2U);
  cr_assert_eq(F.PartCounts["e1"], 2U);
  cr_assert_eq(Engine.requests().size(), 2U);
}

// Guards against an allocator that never learns the contents of its engines'
// caches, because an engine that is silent, refuses the query or sends invalid
// data blocks the queries to the others.
Test(CachedPartsReader, failedQueryDoesNotBlockOthers) {
  ScriptedServer Silent([](Socket &, const std::string &) { return true; });
  ScriptedServer Refusing([](Socket &S, const std::string &) {
    respond(S, "429 Too Many Requests", "");
    return true;
  });
  ScriptedServer Nonsense([](Socket &S, const std::string &) {
    respond(S, "200 OK", "{\"held\"");
    return true;
  });
  ScriptedServer Breaking([](Socket &, const std::string &) { return false; });
  ScriptedServer Good([](Socket &S, const std::string &) {
    respond(S, "200 OK", TwoParts);
    return true;
  });
  Fixture F;
  F.Subject.query(makeServer("silent", Silent.address()));
  F.Subject.query(makeServer("refusing", Refusing.address()));
  F.Subject.query(makeServer("nonsense", Nonsense.address()));
  F.Subject.query(makeServer("breaking", Breaking.address()));
  F.Subject.query(makeServer("gone", "127.0.0.1:1"));
  F.Subject.query(makeServer("good", Good.address()));
  F.run(1500ms);
  cr_assert_eq(F.PartCounts.size(), 1U);
  cr_assert_eq(F.PartCounts["good"], 2U);
}

// Guards against further requests to an engine that asks for a pause in its
// response to a query.
Test(CachedPartsReader, reportsPauses) {
  ScriptedServer Engine([](Socket &S, const std::string &) {
    sendText(S, "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\n"
                "Content-Length: 0\r\n\r\n");
    return true;
  });
  Fixture F;
  std::map<std::string, Duration> Pauses;
  F.Subject.setPauseCallback(
      [&Pauses](const GatewayServer &Server, Duration Pause) {
        Pauses[Server.Id] = Pause;
      });
  F.Subject.query(makeServer("e1", Engine.address()));
  F.run(300ms);
  cr_assert_eq(Pauses.size(), 1U);
  cr_assert(Pauses.at("e1") == Duration(2s));
}
