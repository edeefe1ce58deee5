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

/// Set in `ServiceDigest::Waiting` if requests are queued at a router that runs
/// no request of the service. The other bits hold the number of queued
/// requests.
inline constexpr std::uint16_t StarvedBit = 0x8000;

/// The queues of other routers as this router knows them: for each service, the
/// routers at which requests are queued. An entry is advanced when its router
/// is granted a slot, so that the router is not selected again and again until
/// its next digest arrives.
class DigestTable {
public:
  explicit DigestTable(Duration TimeToLive) : Lifetime(TimeToLive) {}

  void update(TimePoint Now, RouterId From, const ServiceDigest &Digest);

  /// Removes routers that are not in the view.
  void dropGone(const View &Current);
  /// Removes expired digests. Costs a pass over all digests.
  void dropOld(TimePoint Now);

  struct Candidate {
    RouterId Router;
    double Tag = 0;
    bool Starved = false;
  };
  /// Returns the router with the lowest tag among `Count` routers drawn at
  /// random and all starved routers. Starved routers are few, and have no slot
  /// of their own that could become free.
  std::optional<Candidate> sample(ServiceId Service, std::size_t Count,
                                  std::mt19937_64 &Random) const;

  /// Advances the entry of a router after a slot was granted or left to it.
  void advance(ServiceId Service, RouterId Router, double Step);

  /// The routers at which requests are queued.
  std::vector<RouterId> waitingAt(ServiceId Service) const;
  bool anyWaiting(ServiceId Service) const;
  /// The lowest and the median tag of the routers at which requests are queued.
  /// One router with a wrong tag, such as after a restart without state, hardly
  /// changes the median.
  std::optional<double> lowest(ServiceId Service) const;
  std::optional<double> median(ServiceId Service) const;
  /// The highest virtual time reported by a router without queued requests.
  double idleTime(ServiceId Service) const;
  /// Whether any router has sent a digest for the service.
  bool knows(ServiceId Service) const {
    return this->DigestsByService.contains(Service);
  }

private:
  struct Entry {
    RouterId Router;
    double Tag = 0;
    std::uint32_t Waiting = 0;
    bool Starved = false;
    TimePoint ReceivedAt;
  };
  struct ServiceDigests {
    std::vector<Entry> Entries;
    double IdleVirtualTime = 0;
  };

  const ServiceDigests *find(ServiceId Service) const;

  Duration Lifetime;
  std::map<ServiceId, ServiceDigests> DigestsByService;
};

} // namespace parsleywing

#endif
