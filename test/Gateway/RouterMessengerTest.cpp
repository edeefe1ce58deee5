#include "Gateway/LoopbackRouters.h"

#include <criterion/criterion.h>
#include <set>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

void ignore(const RouterMessage &, const Poco::Net::SocketAddress &) {}

/// A key whose first router is not the given one.
std::uint64_t keyOfOtherRouter(RouterMessenger &Messenger) {
  std::uint64_t Key = 1;
  while (Messenger.firstFor(Key) == Messenger.self())
    ++Key;
  return Key;
}

} // namespace

Test(RouterMessenger, allRoutersAgreeOnTheFirst) {
  LoopbackRouters Fleet(Clock::paused());
  for (const char *Name : {"r1", "r2", "r3"})
    cr_assert(Fleet.add(Name, 1).open(ignore));
  Fleet.publishList();
  for (std::uint64_t Key = 1; Key < 100; ++Key)
    for (const auto &Each : Fleet.Messengers)
      cr_assert_eq(Each->firstFor(Key), Fleet.Messengers[0]->firstFor(Key));
}

Test(RouterMessenger, largerVmsAreFirstMoreOften) {
  LoopbackRouters Fleet(Clock::paused());
  cr_assert(Fleet.add("small", 0.25).open(ignore));
  cr_assert(Fleet.add("large", 1).open(ignore));
  Fleet.publishList();
  int Large = 0;
  constexpr int Keys = 1000;
  for (std::uint64_t Key = 1; Key <= Keys; ++Key)
    Large += Fleet.Messengers[0]->firstFor(Key) == "large" ? 1 : 0;
  // 4096 of 4097 by the sixth power of the cores.
  cr_expect_gt(Large, Keys * 99 / 100);
}

// Guards against a cached first router that is not recomputed when a router is
// skipped or used again: requests would wait for an allocator that has stopped,
// or a router that was briefly slow would no longer allocate.
Test(RouterMessenger, aSkippedRouterIsUsedAgainAfterAWhile) {
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
  // The router is still skipped after a new list.
  Fleet.publishList();
  cr_expect_neq(Self.firstFor(Key), First);
  Time.advance(2s);
  cr_expect_eq(Self.firstFor(Key), First);
}

Test(RouterMessenger, aLeavingRouterIsFirstForNoKey) {
  LoopbackRouters Fleet(Clock::paused());
  RouterMessenger &Self = Fleet.add("r1", 1);
  cr_assert(Self.open(ignore));
  cr_assert(Fleet.add("r2", 1).open(ignore));
  Fleet.publishList();
  Self.leave();
  for (std::uint64_t Key = 1; Key < 50; ++Key)
    cr_assert_eq(Self.firstFor(Key), "r2");
}

Test(RouterMessenger, datagramsReachTheNamedRouter) {
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

// Guards against datagrams that a router of the release before drops whole,
// since they hold a kind of message that it does not know.
Test(RouterMessenger, aRouterOfTheReleaseBeforeGetsOnlyWhatItReads) {
  LoopbackRouters Fleet(Clock::steady());
  RouterMessenger &Self = Fleet.add("r1", 1);
  RouterMessenger &Older = Fleet.add("r2", 1);
  std::vector<RouterMessage> Received;
  cr_assert(Self.open(ignore));
  cr_assert(Older.open(
      [&](const RouterMessage &Message, const Poco::Net::SocketAddress &) {
        Received.push_back(Message);
      }));
  Fleet.Endpoints.at("r2").Format = MessageFormat::WithoutStreams;
  Fleet.publishList();
  Self.send("r2", StreamQuery{{1, 1}, {7}});
  Self.send("r2", AllocationQueued{{1, 2}});
  Fleet.Loop.after(300ms, [&] { Fleet.Loop.stop(); });
  Fleet.Loop.run();
  cr_assert_eq(Received.size(), 1U);
  cr_assert(std::holds_alternative<AllocationQueued>(Received[0]));
}

// Guards against a router of this release that is never told of streams, since
// its entry came from a relay of the release before.
Test(RouterMessenger, aRouterThatSendsTheNewFormatGetsIt) {
  LoopbackRouters Fleet(Clock::steady());
  RouterMessenger &Self = Fleet.add("r1", 1);
  RouterMessenger &Other = Fleet.add("r2", 1);
  std::size_t Answers = 0;
  cr_assert(Self.open(
      [&](const RouterMessage &Message, const Poco::Net::SocketAddress &From) {
        if (const auto *Query = std::get_if<StreamQuery>(&Message))
          Self.send(From, StreamAnswer{Query->Id});
      }));
  cr_assert(
      Other.open([&](const RouterMessage &, const Poco::Net::SocketAddress &) {
        ++Answers;
        Fleet.Loop.stop();
      }));
  Fleet.publishList();
  RouterList Outdated = Fleet.Endpoints;
  Outdated.at("r2").Format = MessageFormat::WithoutStreams;
  Self.setRouters(Outdated);
  Other.send("r1", StreamQuery{{1, 1}, {7}});
  Fleet.Loop.after(5s, [&] { Fleet.Loop.stop(); });
  Fleet.Loop.run();
  cr_assert_eq(Answers, 1U);
}

// Guards against a second router at an address in use, which would get some of
// the datagrams for the first one.
Test(RouterMessenger, anAddressInUseIsAnError) {
  LoopbackRouters Fleet(Clock::paused());
  cr_assert(Fleet.add("r1", 1).open(ignore));
  Metrics Registry;
  RouterMessenger Second(Fleet.Loop,
                         {"r2", Fleet.Endpoints.at("r1").Address, 1}, Registry);
  cr_assert_not(Second.open(ignore).has_value());
}

// Guards against reading a limited number of datagrams per iteration:
// iterations of a busy loop are up to 0.1 s apart, so replies would be read too
// late or lost, and their allocators skipped as unreachable. Fails with 64
// datagrams per iteration.
Test(RouterMessenger, readsAllPendingDatagramsInOneIteration) {
  constexpr int Datagrams = 150;
  LoopbackRouters Fleet(Clock::steady());
  RouterMessenger &Self = Fleet.add("r1", 1);
  RouterMessenger &Other = Fleet.add("r2", 1);
  int Received = 0;
  int Iteration = 0;
  std::set<int> IterationsWithDatagrams;
  std::function<void()> CountIteration = [&] {
    ++Iteration;
    Fleet.Loop.after(Duration::zero(), CountIteration);
  };
  cr_assert(Self.open(ignore));
  cr_assert(
      Other.open([&](const RouterMessage &, const Poco::Net::SocketAddress &) {
        IterationsWithDatagrams.insert(Iteration);
        if (++Received == Datagrams)
          Fleet.Loop.stop();
      }));
  Fleet.publishList();
  // One message of this kind fills a datagram.
  FleetUpdate Large;
  Large.Items.resize(1);
  for (int Number = 0; Number < Datagrams; ++Number)
    Self.send("r2", Large);
  CountIteration();
  Fleet.Loop.after(5s, [&] { Fleet.Loop.stop(); });
  Fleet.Loop.run();
  cr_assert_eq(Received, Datagrams);
  cr_expect_eq(IterationsWithDatagrams.size(), 1);
}
