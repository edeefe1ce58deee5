#include "Gateway/RelayTrust.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

RelayStatus word(std::uint64_t Teller, TimePoint Proven) {
  RelayStatus Word;
  Word.SenderHash = Teller;
  Word.ProvenAt = Proven;
  Word.ReadsStore = true;
  return Word;
}

const TimePoint Start{1h};

} // namespace

Test(RelayTrust, timesFollowFromTheShortestBound) {
  const RelayTimes Narrow = RelayTimes::of({5s, 2s, 2s});
  cr_expect(Narrow.ProofInterval == 600ms);
  cr_expect(Narrow.MaxProofAge == 1350ms);
  const RelayTimes Wide = RelayTimes::of({5s, 4s, 4s});
  cr_expect(Wide.ProofInterval == 1200ms);
  cr_expect(Wide.MaxProofAge == 2700ms);
}

Test(RelayTrust, oneNewProofIsEnough) {
  RelayTrust Trust(RelayTimes::of({}));
  Trust.recordStatus(word(1, Start), Start);
  for (const std::uint64_t Teller : {2U, 3U, 4U})
    Trust.recordStatus(word(Teller, Start), Start + 2s);
  cr_expect_not(Trust.isFresh(Start + 2s));
  cr_expect(Trust.storeSeemsUnreachable(Start + 2s) == false,
            "the first relay was not heard of late");
  Trust.recordStatus(word(1, Start), Start + 2s);
  cr_expect(Trust.storeSeemsUnreachable(Start + 2s));
  Trust.recordStatus(word(5, Start + 2s), Start + 2s);
  cr_expect(Trust.isFresh(Start + 2s));
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 2s));
}

// Symptom: requests reach a server that left, at all routers of a small fleet.
// Sequence: its one relay is cut off from the store, and says so. Cause: one
// relay without the store was taken for an outage.
Test(RelayTrust, oneRelayAloneIsNoOutage) {
  RelayTrust Trust(RelayTimes::of({}));
  Trust.recordStatus(word(1, Start), Start + 3s);
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 3s));
}

// Symptom: routers use a configuration for over 3 s too long, though the store
// answers them. Sequence: the store turns a third of the fleet away, both
// relays among them. Cause: their two words were taken for an outage.
Test(RelayTrust, theRelaysOfASmallFleetAloneAreNoOutage) {
  RelayTrust Trust(RelayTimes::of({}));
  for (const std::uint64_t Teller : {1U, 2U, 3U})
    Trust.recordStatus(word(Teller, Start), Start + 3s);
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 3s));
}

Test(RelayTrust, whoHearsFromOthersIsNoWitness) {
  RelayTrust Trust(RelayTimes::of({}));
  for (const std::uint64_t Teller : {1U, 2U, 3U, 4U, 5U}) {
    RelayStatus Follower = word(Teller, Start);
    Follower.ReadsStore = false;
    Trust.recordStatus(Follower, Start + 3s);
  }
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 3s));
}
