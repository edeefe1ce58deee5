#include "Gateway/CachedPartsReader.h"

#include "Gateway/ScriptedServer.h"
#include "platform/HeadFormat.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

void answer(Socket &To, const std::string &Status, const std::string &Body) {
  sendText(To, "HTTP/1.1 " + Status + "\r\nContent-Length: " +
                   std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

GatewayServer listed(const std::string &Id, const std::string &Address) {
  GatewayServer Made;
  Made.Id = Id;
  Made.Address = Poco::Net::SocketAddress(Address);
  return Made;
}

/// A reader on a loop of its own.
struct Fixture {
  Fixture()
      : Loop(Clock::steady()), Pool(Loop),
        Subject(Loop, Format, Pool, Measured) {
    this->Subject.start(
        [this](const GatewayServer &From, const CachedParts &K) {
          this->Told[From.Id] = K.Parts.size();
        });
  }

  void run(Duration For) {
    this->Loop.after(For, [this] { this->Loop.stop(); });
    this->Loop.run();
  }

  EventLoop Loop;
  WireFormat Format = platformWireFormat();
  Metrics Measured;
  UpstreamPool Pool;
  CachedPartsReader Subject;
  std::map<std::string, std::size_t> Told;
};

const std::string Two = R"({"held":[["","a",10,"m"],["","b",20,"m"]]})";

} // namespace

Test(KeptPartsReader, asksOneEngineAfterTheOtherAndEachOnce) {
  ScriptedServer Engine([](Socket &S, const std::string &) {
    answer(S, "200 OK", Two);
    return true;
  });
  Fixture F;
  F.Subject.query(listed("e1", Engine.address()));
  F.Subject.query(listed("e1", Engine.address()));
  F.Subject.query(listed("e2", Engine.address()));
  F.run(300ms);
  cr_assert_eq(F.Told.size(), 2U);
  cr_assert_eq(F.Told["e1"], 2U);
  cr_assert_eq(Engine.requests().size(), 2U);
}

// Symptom: an allocator never learns what its engines keep. Sequence: one of
// them is silent, refuses, or tells nonsense. Cause: the others waited behind
// it.
Test(KeptPartsReader, anEngineThatDoesNotTellHoldsNoOtherUp) {
  ScriptedServer Silent([](Socket &, const std::string &) { return true; });
  ScriptedServer Refusing([](Socket &S, const std::string &) {
    answer(S, "429 Too Many Requests", "");
    return true;
  });
  ScriptedServer Nonsense([](Socket &S, const std::string &) {
    answer(S, "200 OK", "{\"held\"");
    return true;
  });
  ScriptedServer Breaking([](Socket &, const std::string &) { return false; });
  ScriptedServer Good([](Socket &S, const std::string &) {
    answer(S, "200 OK", Two);
    return true;
  });
  Fixture F;
  F.Subject.query(listed("silent", Silent.address()));
  F.Subject.query(listed("refusing", Refusing.address()));
  F.Subject.query(listed("nonsense", Nonsense.address()));
  F.Subject.query(listed("breaking", Breaking.address()));
  F.Subject.query(listed("gone", "127.0.0.1:1"));
  F.Subject.query(listed("good", Good.address()));
  F.run(1500ms);
  cr_assert_eq(F.Told.size(), 1U);
  cr_assert_eq(F.Told["good"], 2U);
}
