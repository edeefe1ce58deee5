#ifndef PARSLEYWING_GATEWAY_FLEETFEED_H
#define PARSLEYWING_GATEWAY_FLEETFEED_H

#include "Gateway/FleetBook.h"
#include "Runtime/Metrics.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace parsleywing {

/// Counts of the calls that keep the view.
struct FleetFeedCounters {
  explicit FleetFeedCounters(Metrics &Into);

  Counter &Calls;
  Counter &FailedCalls;
  Counter &Reloads;
  Counter &ConfigurationsTaken;
};

/// Keeps the router's view of the fleet current, on two threads of its own: one
/// waits for changes, the other proves by a plain read, about once a second,
/// that the configuration is the newest one, and renews this router's entry. A
/// waiting call proves nothing while it waits, and one that hangs shows nothing
/// at all; so the proof never rests on it.
class FleetFeed {
public:
  struct Options {
    std::string RouterName;
    std::string RouterAddress;
    /// Cores that this router has.
    double RouterCapacity = 1;
    std::uint64_t Seed = 1;
    /// Says whether other routers take their proofs from this one.
    std::function<bool()> IsRelay;
  };

  /// Called with each new view, on one of the feed's threads.
  using Report = std::function<void(std::shared_ptr<const FleetView>)>;

  FleetFeed(Options O, std::function<FleetSource()> NewSource, Metrics &Into,
            Report R);
  ~FleetFeed();
  FleetFeed(const FleetFeed &) = delete;
  FleetFeed &operator=(const FleetFeed &) = delete;

  void stop();

  /// This router stops soon: its entry is removed now, so that others ask
  /// nothing of it any more, and is not written again.
  void leave();

  /// What another router has told of its view. A proof counts only where both
  /// have the same configuration; where the other knows more, this one reads.
  void takePeerProof(TimePoint ProvenAt, Revision ConfigurationAt,
                     Revision ServersAt);

private:
  void watch();
  bool load(FleetSource &Source, Revision &After);
  void prove();
  void proveOnce(FleetSource &Source);
  void compareServers(FleetSource &Source);
  void keepRegistered(FleetSource &Source);

  /// Counts and logs the outcome of a call; true where it went well.
  bool note(bool Reached, const std::string &Call, const Error *Problem);
  void publish();
  bool stopping();
  /// Waits, or less where the feed stops. False where it stops.
  bool rest(Duration Wait);
  Duration jittered(Duration Whole);

  Options Chosen;
  std::function<FleetSource()> MakeSource;
  FleetFeedCounters Counters;
  Report Tell;
  Clock Time = Clock::sinceBoot();
  std::mutex Guard;
  std::condition_variable Woken;
  FleetBook Book;
  bool Reached = true;
  bool Stopping = false;
  bool Leaving = false;
  /// Since when another router has known a newer configuration or server.
  std::optional<TimePoint> BehindSince;
  std::mt19937_64 Random;
  LeaseId Lease = 0;
  std::thread Watcher;
  std::thread Prover;
};

} // namespace parsleywing

#endif
