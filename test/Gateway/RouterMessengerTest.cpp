#include "Gateway/LoopbackRouters.h"

#include <criterion/criterion.h>
#include <set>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

void ignore(const RouterMessage &, const Poco::Net::SocketAddress &) {}

/// A key whose first router is not the given one.
std::uint64_t keyOfOtherRouter(RouterMessenger &Exchange) {
  std::uint64_t Key = 1;
  while (Exchange.firstFor(Key) == Exchange.self())
    ++Key;
  return Key;
}

} // namespace

Test(RouterExchange, allRoutersAgreeOnTheFirst) {
  LoopbackRouters Fleet(Clock::paused());
  for (const char *Name : {"r1", "r2", "r3"})
    cr_assert(Fleet.add(Name, 1).open(ignore));
  Fleet.publishList();
  for (std::uint64_t Key = 1; Key < 100; ++Key)
    for (const auto &Each : Fleet.Messengers)
      cr_assert_eq(Each->firstFor(Key), Fleet.Messengers[0]->firstFor(Key));
}

Test(RouterExchange, largerVmsAreFirstMoreOften) {
  LoopbackRouters Fleet(Clock::paused());
  cr_assert(Fleet.add("small", 0.25).open(ignore));
  cr_assert(Fleet.add("large", 1).open(ignore));
  Fleet.publishList();
  int Large = 0;
  constexpr int Keys = 1000;
  for (std::uint64_t Key = 1; Key <= Keys; ++Key)
    Large += Fleet.Messengers[0]->firstFor(Key) == "large" ? 1 : 0;
  // 64 of 65 by the third power of the cores.
  cr_expect_gt(Large, Keys * 95 / 100);
}

// Requests must not wait for an allocator that has stopped, and a router that
// was briefly slow must allocate again. The cached first router was not
// recomputed when a suspicion started, or ended after two seconds.
Test(RouterExchange, aSuspicionEndsAfterAWhile) {
  Clock Time = Clock::paused();
  LoopbackRouters Fleet(Time);
  RouterMessenger &Self = Fleet.add("r1", 1);
  cr_assert(Self.open(ignore));
  for (const char *Name : {"r2", "r3"})
    cr_assert(Fleet.add(Name, 1).open(ignore));
  Fleet.publishList();
  const std::uint64_t Key = keyOfOtherRouter(Self);
  const std::string First = Self.firstFor(Key);
  Self.skip(First);
  cr_expect_neq(Self.firstFor(Key), First);
  // A new list does not end the suspicion.
  Fleet.publishList();
  cr_expect_neq(Self.firstFor(Key), First);
  Time.advance(2s);
  cr_expect_eq(Self.firstFor(Key), First);
}

Test(RouterExchange, aLeavingRouterIsFirstForNoKey) {
  LoopbackRouters Fleet(Clock::paused());
  RouterMessenger &Self = Fleet.add("r1", 1);
  cr_assert(Self.open(ignore));
  cr_assert(Fleet.add("r2", 1).open(ignore));
  Fleet.publishList();
  Self.leave();
  for (std::uint64_t Key = 1; Key < 50; ++Key)
    cr_assert_eq(Self.firstFor(Key), "r2");
}

Test(RouterExchange, datagramsReachTheNamedRouter) {
  LoopbackRouters Fleet(Clock::steady());
  RouterMessenger &Self = Fleet.add("r1", 1);
  RouterMessenger &Other = Fleet.add("r2", 1);
  std::vector<RouterMessage> Received;
  cr_assert(Self.open(ignore));
  cr_assert(Other.open(
      [&](const RouterMessage &Message, const Poco::Net::SocketAddress &) {
        Received.push_back(Message);
        if (Received.size() == 7)
          Fleet.Loop.stop();
      }));
  Fleet.publishList();
  for (std::uint64_t Number = 1; Number <= 7; ++Number)
    Self.send("r2", AllocationQueued{{1, Number}});
  Self.send("gone", AllocationQueued{{1, 8}});
  Fleet.Loop.after(5s, [&] { Fleet.Loop.stop(); });
  Fleet.Loop.run();
  cr_assert_eq(Received.size(), 7);
  cr_expect_eq(std::get<AllocationQueued>(Received[6]).Id.Number, 7U);
}

// The requests of the busiest router must not be allocated for 10 s by routers
// that know no engine. Under a flood its event loop had few turns, each of
// which read a limited number of replies. The rest were read 0.5 s late or
// lost, so the router considered their allocators unreachable. Fails with 64
// datagrams per turn.
Test(RouterExchange, readsAllPendingDatagramsInOneTurn) {
  constexpr int Datagrams = 150;
  LoopbackRouters Fleet(Clock::steady());
  RouterMessenger &Self = Fleet.add("r1", 1);
  RouterMessenger &Other = Fleet.add("r2", 1);
  int Received = 0;
  int Turn = 0;
  std::set<int> TurnsWithDatagrams;
  std::function<void()> CountTurn = [&] {
    ++Turn;
    Fleet.Loop.after(Duration::zero(), CountTurn);
  };
  cr_assert(Self.open(ignore));
  cr_assert(
      Other.open([&](const RouterMessage &, const Poco::Net::SocketAddress &) {
        TurnsWithDatagrams.insert(Turn);
        if (++Received == Datagrams)
          Fleet.Loop.stop();
      }));
  Fleet.publishList();
  // One message of this kind fills a datagram.
  FleetUpdate Large;
  Large.Items.resize(1);
  for (int Number = 0; Number < Datagrams; ++Number)
    Self.send("r2", Large);
  CountTurn();
  Fleet.Loop.after(5s, [&] { Fleet.Loop.stop(); });
  Fleet.Loop.run();
  cr_assert_eq(Received, Datagrams);
  cr_expect_eq(TurnsWithDatagrams.size(), 1);
}
