#include "Peer/PeerOutbox.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

struct OutboxFixture {
  PeerCounters Counters;
  PeerOutbox Waiting;
  TimePoint Now;

  explicit OutboxFixture(std::int64_t Rate = 4096, std::int64_t Burst = 16384)
      : Waiting(100ms, 1s, ByteBudget(Rate, Burst, TimePoint{}),
                this->Counters) {}

  std::optional<OutgoingBatch> takeAfter(Duration Step) {
    this->Now += Step;
    return this->Waiting.take(this->Now);
  }
};

} // namespace

Test(PeerOutbox, PartsOfOnePeerShareADatagram) {
  OutboxFixture Box;
  Box.Waiting.add(Box.Now, "a", "one", false);
  Box.Waiting.add(Box.Now, "b", "two", false);
  Box.Waiting.add(Box.Now, "a", "three", false);
  cr_assert_not(Box.takeAfter(99ms).has_value());
  cr_assert_eq(Box.takeAfter(1ms)->Parts, "onethree");
  cr_assert_eq(Box.takeAfter(0ms)->Parts, "two");
  cr_assert_not(Box.takeAfter(1s).has_value());
}

Test(PeerOutbox, FullDatagramLeavesAtOnce) {
  OutboxFixture Box;
  Box.Waiting.add(Box.Now, "a", std::string(700, 'x'), false);
  Box.Waiting.add(Box.Now, "a", std::string(700, 'y'), false);
  const auto First = Box.takeAfter(0ms);
  cr_assert_eq(First->Parts.size(), 700);
  cr_assert_not(Box.takeAfter(0ms).has_value());
}

Test(PeerOutbox, UrgentPartTakesItsBatchAlong) {
  OutboxFixture Box;
  Box.Waiting.add(Box.Now, "a", "slow", false);
  Box.Waiting.add(Box.Now, "a", "fast", true);
  const auto Batch = Box.takeAfter(2ms);
  cr_assert_eq(Batch->Parts, "slowfast");
  cr_assert(Batch->Urgent);
}

Test(PeerOutbox, PartLargerThanADatagramIsDropped) {
  OutboxFixture Box;
  Box.Waiting.add(Box.Now, "a", std::string(DatagramPartBytes + 1, 'x'), false);
  cr_assert_eq(Box.Counters.dropped(PeerDrop::TooLarge), 1);
  cr_assert_not(Box.takeAfter(1s).has_value());
}

// Symptom: control traffic takes more than the operators allow.
// Sequence: ten times the budget is offered for a minute.
// Cause: without a bucket each module sends what it wants.
// Fails without `ByteBudget::take`; see docs/PEERS.md, mutation 11.
Test(PeerOutbox, BytesStayWithinTheBudget) {
  OutboxFixture Box(4096, 4096);
  std::size_t Sent = 0;
  for (int Step = 0; Step < 6000; ++Step) {
    Box.Now += 10ms;
    Box.Waiting.add(Box.Now, std::to_string(Step % 50), std::string(400, 'x'),
                    false);
    while (const auto Batch = Box.Waiting.take(Box.Now))
      Sent += Batch->Parts.size() + PeerHeaderBytes + UdpOverheadBytes;
  }
  cr_assert_leq(Sent, std::size_t{61} * 4096);
  cr_assert_geq(Sent, std::size_t{58} * 4096);
  cr_assert_gt(Box.Counters.dropped(PeerDrop::OverBudget), 0);
}

// Symptom: routers suspect each other when there is much to tell.
// Sequence: batches fill the budget; then an urgent ping is due.
// Cause: the ping would wait behind the others until it is of no use.
// Fails without the debt of urgent parts; see docs/PEERS.md, mutation 12.
Test(PeerOutbox, UrgentPartsPassAnExhaustedBudget) {
  OutboxFixture Box(100, 1000);
  for (int Peer = 0; Peer < 20; ++Peer)
    Box.Waiting.add(Box.Now, std::to_string(Peer), std::string(400, 'x'),
                    false);
  Box.Now += 100ms;
  while (Box.Waiting.take(Box.Now)) {
  }
  const std::string Ping(200, 'p');
  Box.Waiting.add(Box.Now, "other", Ping, true);
  const auto Batch = Box.takeAfter(2ms);
  cr_assert(Batch.has_value());
  cr_assert_eq(Batch->Parts, Ping);
}
