#include "Gateway/SignalFixture.h"

#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// Longer than it takes to publish a list of servers.
constexpr auto Promptly = 200ms;

/// Lets the server that gets the next request tell both routers that it leaves,
/// and returns it.
std::size_t letPreferredServerLeave(SignalFixture &Fleet) {
  const std::size_t Server = Fleet.preferredServer(0);
  Fleet.setBehavior(Server, leaving());
  for (const std::size_t Router : {0U, 1U})
    Fleet.callServed(Router, 1);
  return Server;
}

/// Neither router sends another request to the server that has told both that
/// it leaves; all requests are served by the other one.
void expectNoRequestsAfterNotice(bool Allocated) {
  SignalFixture Fleet(2, 2, Allocated);
  Fleet.start();
  const std::size_t Server = letPreferredServerLeave(Fleet);
  const std::size_t Before = Fleet.received(Server);
  for (const std::size_t Router : {0U, 1U})
    Fleet.callServed(Router, 10);
  cr_assert_eq(Fleet.received(Server), Before);
}

} // namespace

// Guards against requests to a server that leaves while the store, which would
// tell the routers, is away.
Test(LeavingServer, getsNoRequestsOnceItsResponseSaysSo, .timeout = 60) {
  expectNoRequestsAfterNotice(/*Allocated=*/false);
}

// Guards against an allocator that grants the server to routers that know that
// it leaves.
Test(LeavingServer, isNotGrantedOnceItsResponseSaysSo, .timeout = 60) {
  expectNoRequestsAfterNotice(/*Allocated=*/true);
}

// Guards against a server that is used again since the store lists it as ready,
// or anew after its entry lapsed.
Test(LeavingServer, listDoesNotUndoItsNotice, .timeout = 60) {
  SignalFixture Fleet(2, 2, false);
  Fleet.start();
  const std::size_t Server = letPreferredServerLeave(Fleet);
  const std::size_t Before = Fleet.received(Server);
  const ServerList Listed = Fleet.router(0).servers();
  ServerList Rewritten = Listed;
  Rewritten.at("s" + std::to_string(Server)).Slots += 1;
  ServerList Without = Listed;
  Without.erase("s" + std::to_string(Server));
  for (const ServerList &Each : {Rewritten, Without, Listed}) {
    Fleet.router(0).setServers(Each);
    Fleet.callServed(0, 3);
  }
  cr_assert_eq(Fleet.received(Server), Before);
}

// Guards against a server that is avoided forever since an earlier process of
// it was leaving.
Test(LeavingServer, isUsedAgainAfterItsRestart, .timeout = 60) {
  SignalFixture Fleet(2, 2, false);
  Fleet.start();
  const std::size_t Server = letPreferredServerLeave(Fleet);
  Fleet.setBehavior(Server, {});
  Fleet.router(0).restartServer("s" + std::to_string(Server), 1);
  cr_assert_eq(Fleet.preferredServer(0), Server);
}

// Guards against avoiding a server because another one at its former address
// leaves.
Test(LeavingServer, responseOfAnotherServerIsNoNotice, .timeout = 60) {
  SignalFixture Fleet(1, 2, false);
  Fleet.start();
  const std::size_t Server = Fleet.preferredServer(0);
  Fleet.setBehavior(Server,
                    {"421 Misdirected Request", "Server-Leaving: 1\r\n"});
  Fleet.callServed(0, 1);
  Fleet.setBehavior(Server, {});
  // Longer than the router's own backoff.
  std::this_thread::sleep_for(1s);
  cr_assert_eq(Fleet.preferredServer(0), Server);
}

// Guards against holding a request for servers that all leave.
Test(LeavingServer, requestIsRefusedAtOnceIfAllServersLeave, .timeout = 60) {
  for (const bool Allocated : {false, true}) {
    SignalFixture Fleet(1, 2, Allocated);
    Fleet.start();
    for (const std::size_t Server : {0U, 1U})
      Fleet.setBehavior(Server, leaving());
    Fleet.callServed(0, 2);
    const auto Start = std::chrono::steady_clock::now();
    const std::string Response = Fleet.call(0, "/unsafe/x");
    cr_assert_lt(std::chrono::steady_clock::now() - Start, Promptly);
    cr_assert(isRefused(Response), "%s", Response.c_str());
    cr_assert_neq(fieldOf(Response, "Retry-After"), "");
    cr_assert_eq(Fleet.received(0) + Fleet.received(1), 2U);
  }
}
