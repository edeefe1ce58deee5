#include "Gateway/RelayTrust.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

RelayStatus status(std::uint64_t Sender, TimePoint ProvenAt) {
  RelayStatus Status;
  Status.SenderHash = Sender;
  Status.ProvenAt = ProvenAt;
  Status.ReadsStore = true;
  return Status;
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
  Trust.recordStatus(status(1, Start), Start);
  for (const std::uint64_t Sender : {2U, 3U, 4U})
    Trust.recordStatus(status(Sender, Start), Start + 2s);
  cr_expect_not(Trust.isFresh(Start + 2s));
  cr_expect(Trust.storeSeemsUnreachable(Start + 2s) == false,
            "the first relay has sent no recent status");
  Trust.recordStatus(status(1, Start), Start + 2s);
  cr_expect(Trust.storeSeemsUnreachable(Start + 2s));
  Trust.recordStatus(status(5, Start + 2s), Start + 2s);
  cr_expect(Trust.isFresh(Start + 2s));
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 2s));
}

// Guards against taking the report of the only relay for an outage: the routers
// of a small fleet would send requests to a removed server.
Test(RelayTrust, oneRelayAloneIndicatesNoOutage) {
  RelayTrust Trust(RelayTimes::of({}));
  Trust.recordStatus(status(1, Start), Start + 3s);
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 3s));
}

// Guards against taking two reports for an outage: if the store rejects a third
// of a fleet including both relays, the other routers would use a configuration
// for over 3 s too long.
Test(RelayTrust, theRelaysOfASmallFleetAloneIndicateNoOutage) {
  RelayTrust Trust(RelayTimes::of({}));
  for (const std::uint64_t Sender : {1U, 2U, 3U})
    Trust.recordStatus(status(Sender, Start), Start + 3s);
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 3s));
}

Test(RelayTrust, reportsOfFollowersIndicateNoOutage) {
  RelayTrust Trust(RelayTimes::of({}));
  for (const std::uint64_t Sender : {1U, 2U, 3U, 4U, 5U}) {
    RelayStatus Follower = status(Sender, Start);
    Follower.ReadsStore = false;
    Trust.recordStatus(Follower, Start + 3s);
  }
  cr_expect_not(Trust.storeSeemsUnreachable(Start + 3s));
}
