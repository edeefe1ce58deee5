#ifndef PARSLEYWING_GATEWAY_FLEETFEED_H
#define PARSLEYWING_GATEWAY_FLEETFEED_H

#include "Gateway/FleetBook.h"
#include "Gateway/FleetExchange.h"
#include "Runtime/Metrics.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace parsleywing {

/// Counts of the calls that keep the view.
struct FleetFeedCounters {
  explicit FleetFeedCounters(Metrics &Into);

  Counter &Calls;
  Counter &FailedCalls;
  Counter &Reloads;
  Counter &Unusable;
  Counter &ConfigurationsTaken;
};

/// Keeps the router's view of the fleet current, on two threads of its own: one
/// waits for changes, the other proves by a plain read, about once a second,
/// that the configuration is the newest one, and renews this router's entry. A
/// waiting call proves nothing while it waits, and one that hangs shows nothing
/// at all; so the proof never rests on it.
///
/// A router that is no relay hears both from its relay, and reads the store
/// only at its start, for a new configuration, and where the relay's word is
/// not enough: 85 routers that each watched and read for themselves made 201
/// calls a second on a day with an outage.
///
/// In three files: the relay's word and what both threads use, the watch
/// (`FleetFeedWatch.cpp`), proofs and this router's entry
/// (`FleetFeedProver.cpp`).
class FleetFeed {
public:
  struct Options {
    std::string RouterName;
    std::string RouterAddress;
    /// Cores that this router has.
    double RouterCapacity = 1;
    std::uint64_t Seed = 1;
    /// How old a proof may be, and how late a configuration may come in force.
    Duration RevocationBound = std::chrono::seconds(5);
    Duration ConfigurationBound = std::chrono::seconds(2);
    /// Says whether this router reads the store for others; always where there
    /// is no such function.
    std::function<bool()> IsRelay;
    /// This router has reached the store, and its relay has not.
    std::function<void()> DistrustRelay;
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

  /// What the relay has told. A proof counts only where both have the same
  /// configuration; where the relay has a newer one, this router reads it.
  void takeRelayTold(const RelayTold &Told);

private:
  /// The wait before a call is made again, doubled with each failure in a row.
  struct Backoff {
    Duration First;
    Duration Longest;
    Duration Next = First;

    Duration take() {
      return std::exchange(this->Next, std::min(this->Next * 2, this->Longest));
    }
    void reset() { this->Next = this->First; }
  };

  void take(const RelayWord &Word);
  void take(const RelayNews &News);
  /// Another router reads the store for this one.
  void noteUnusable(const UnusableServer &Written);
  void takeList(const StoredServers &Read);
  bool hasRelay() const;
  bool relayIsFresh() const;
  /// The relay's word is enough at present.
  bool follows();
  void followRelay();
  Duration proofInterval() const;
  void watch();
  bool load(FleetSource &Source, Revision &After);
  void prove();
  bool proveOnce(FleetSource &Source);
  enum class ReadReason { None, OldProof, NewConfiguration };
  ReadReason proofDue(TimePoint Now);
  /// Reads the configuration where the proof of it has grown old.
  void renewProof(FleetSource &Source);
  void takeChanges(const FleetChanges &Read);
  void noteStoreRevision(Revision StoreAt);
  void catchUp(FleetSource &Source);
  Revision seenRevision();
  void compareServers(FleetSource &Source);
  void keepRegistered(FleetSource &Source);

  /// Counts and logs the outcome of a call; true where it went well.
  bool note(bool Reached, const std::string &Call, const Error *Problem);
  void publish();
  bool stopping();
  /// Waits, or less where the feed stops. False where it stops.
  bool rest(Duration Wait);
  /// The same, or less where the relay has a newer configuration.
  bool restUnlessReadDue(Duration Wait);
  Duration jittered(Duration Whole);

  Options Chosen;
  std::function<FleetSource()> MakeSource;
  FleetFeedCounters Counters;
  Report Tell;
  Clock Time = Clock::sinceBoot();
  std::mutex PublishGuard;
  std::mutex Guard;
  std::condition_variable Woken;
  FleetBook Book;
  bool Reached = true;
  bool Stopping = false;
  bool Leaving = false;
  /// Everything was read once.
  bool Loaded = false;
  /// The relay cannot tell all that this router lacks.
  bool LoadDue = false;
  /// A revision that the store has and the watch has not told, since when, and
  /// whether that has been too long.
  Revision UnseenAt = 0;
  TimePoint UnseenSince{};
  bool CatchUpDue = false;
  /// What the relay's last word proves.
  TimePoint RelayProvenAt{};
  /// The relay has a newer configuration.
  bool ReadDue = false;
  /// Since when the relay has known changes that did not come.
  std::optional<TimePoint> BehindSince;
  /// Own proofs since the relay's last one.
  int OwnProofs = 0;
  std::mt19937_64 Random;
  /// The last call that failed, and when the configuration may be read again;
  /// sooner where a relay has reached the store since.
  TimePoint FailedAt{};
  /// The last unusable writing of each key that was logged.
  std::map<std::string, Revision> UnusableAt;
  TimePoint NextProof{};
  bool StoreBack = false;
  Backoff ProofRetry;
  LeaseId Lease = 0;
  std::thread Watcher;
  std::thread Prover;
};

} // namespace parsleywing

#endif
