#ifndef PARSLEYWING_DECISION_FAIRNESS_DIGESTTABLE_H
#define PARSLEYWING_DECISION_FAIRNESS_DIGESTTABLE_H

#include "Decision/Fairness/FairMessage.h"
#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace parsleywing {

/// Set in `ServiceDigest::Waiting` where requests wait while none of the
/// service runs at that router. The count takes the other bits.
inline constexpr std::uint16_t StarvedBit = 0x8000;

/// What this router knows of the queues of others: for each service, those
/// routers where requests wait. Copies are advanced as slots are given, so
/// that the same router does not look the neediest until its next digest.
class DigestTable {
public:
  explicit DigestTable(Duration TimeToLive) : Lifetime(TimeToLive) {}

  void update(TimePoint Now, RouterId From, const ServiceDigest &Digest);

  /// Forgets routers that are not in the view.
  void dropGone(const View &Current);
  /// Forgets what is too old. Costs a pass over all digests.
  void dropOld(TimePoint Now);

  struct Candidate {
    RouterId Router;
    double Tag = 0;
    bool Starved = false;
  };
  /// The lowest tag among Count routers drawn at random, and among all where
  /// nothing runs: these are few, and have no slot of their own to wait for.
  std::optional<Candidate> sample(ServiceId Service, std::size_t Count,
                                  std::mt19937_64 &Random) const;

  /// The router was given a slot, or one was left to it.
  void advance(ServiceId Service, RouterId Router, double Step);

  /// The routers where requests wait.
  std::vector<RouterId> waitingAt(ServiceId Service) const;
  bool anyWaiting(ServiceId Service) const;
  /// The lowest and the median tag of routers where requests wait. One router
  /// with a false tag, such as after an empty restart, hardly moves the median.
  std::optional<double> lowest(ServiceId Service) const;
  std::optional<double> median(ServiceId Service) const;
  /// The highest virtual time of any router where nothing waited.
  double idleTime(ServiceId Service) const;
  /// Whether any router ever said anything of the service.
  bool knows(ServiceId Service) const {
    return this->DigestsByService.contains(Service);
  }

private:
  struct Entry {
    RouterId Router;
    double Tag = 0;
    std::uint32_t Waiting = 0;
    bool Starved = false;
    TimePoint Taken;
  };
  struct ServiceDigests {
    std::vector<Entry> Waiting;
    double IdleTime = 0;
  };

  const ServiceDigests *find(ServiceId Service) const;

  Duration Lifetime;
  std::map<ServiceId, ServiceDigests> DigestsByService;
};

} // namespace parsleywing

#endif
