#ifndef PARSLEYWING_GATEWAY_FLEETFEED_H
#define PARSLEYWING_GATEWAY_FLEETFEED_H

#include "Gateway/FleetExchange.h"
#include "Gateway/FleetState.h"
#include "Gateway/RelayTrust.h"
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

/// What a call on the store is for. Each costs; a list of several pages counts
/// as one call here.
enum class StoreCallCause {
  List,          ///< All servers or routers, at a start or behind a gap.
  Compare,       ///< All servers, against a change that no watch told of.
  Configuration, ///< The content of a configuration.
  Proof,         ///< That the configuration is the newest one.
  Watch,         ///< Changes.
  Registration,  ///< This router's own entry.
  Renewal,       ///< The lease of that entry.
};

inline constexpr EnumNames<StoreCallCause, 7> StoreCallCauseNames{{
    {StoreCallCause::List, "list"},
    {StoreCallCause::Compare, "compare"},
    {StoreCallCause::Configuration, "configuration"},
    {StoreCallCause::Proof, "proof"},
    {StoreCallCause::Watch, "watch"},
    {StoreCallCause::Registration, "registration"},
    {StoreCallCause::Renewal, "renewal"},
}};

/// Counts of the calls that keep the view.
struct FleetFeedCounters {
  explicit FleetFeedCounters(Metrics &Into);

  /// By what they are for.
  std::map<StoreCallCause, Counter *> Calls;
  /// Those that may be stale, or only renew a lease: a tenth of the price.
  Counter &CheapCalls;
  Counter &FailedCalls;
  Counter &Reloads;
  Counter &UnusableEntries;
  Counter &ConfigurationsApplied;
};

/// Keeps the router's view of the fleet current, on two threads of its own: one
/// waits for changes, the other proves by a plain read, about once a second,
/// that the configuration is the newest one, and renews this router's entry. A
/// waiting call proves nothing while it waits, and one that hangs shows nothing
/// at all; so the proof never rests on it.
///
/// A router that is no relay hears both from its relay. At its start, and for a
/// new configuration, it makes stale reads at a tenth of the price: their
/// revisions say what they lack, the relay tells that, and its proof holds for
/// no other revision. It reads the newest state only where the relays' words
/// are not enough. 85 routers that each watched and read for themselves made
/// 201 calls a second on a day with an outage; 195 that made plain reads for
/// all of this 17 to 44 each on a day.
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
    double RouterCores = 1;
    std::string RouterZone;
    std::uint64_t Seed = 1;
    FleetBounds Bounds;
    /// Says what this router does for others; a relay where there is no such
    /// function.
    std::function<RelayRole()> Role;
    /// This router has reached the store, and its relay has not.
    std::function<void()> SwitchRelay;
  };

  /// Called with each new view, on one of the feed's threads.
  using ViewCallback = std::function<void(std::shared_ptr<const FleetView>)>;

  FleetFeed(Options O, std::function<FleetSource()> NewSource, Metrics &Into,
            ViewCallback R);
  ~FleetFeed();
  FleetFeed(const FleetFeed &) = delete;
  FleetFeed &operator=(const FleetFeed &) = delete;

  void stop();

  /// This router stops soon: its entry is removed now, so that others ask
  /// nothing of it any more, and is not written again.
  void leave();

  /// What the relay has told. A proof counts only where both have the same
  /// configuration; where the relay has a newer one, this router reads it.
  void onRelayMessage(const RelayMessage &Told);

private:
  /// The wait before a call is made again, doubled with each failure in a row.
  struct Backoff {
    Duration InitialDelay;
    Duration MaxDelay;
    Duration NextDelay = InitialDelay;

    Duration nextDelay() {
      return std::exchange(this->NextDelay,
                           std::min(this->NextDelay * 2, this->MaxDelay));
    }
    void reset() { this->NextDelay = this->InitialDelay; }
  };

  void apply(const RelayStatus &Word);
  void apply(const RelayUpdate &News);
  /// Another router reads the store for this one.
  void reportUnusable(const UnusableServer &Written);
  void checkOwnRemoval(const FleetChange &Change);
  void applyServerList(const StoredServers &Read);
  RelayRole role() const;
  bool hasRelay() const { return followsRelay(this->role()); }
  bool acceptsOutageReport(TimePoint Now) const;
  bool relayIsFresh() const;
  bool reliesOnRelays();
  void followRelay();
  Duration proofInterval() const;

  void runWatcher();
  bool waitForStore();
  ReadConsistency nextListConsistency();
  bool readLists(FleetSource &Source, Revision &After);
  bool load(FleetSource &Source, Revision &After);
  void adoptLease(const StoredRouters &Listed);
  bool knowsOtherRouters();
  void wakeProver();

  void runProver();
  bool proveOnce(FleetSource &Source);
  void applyRelayProof(const RelayStatus &Word);
  bool isProofDue(TimePoint Now);
  void renewProof(FleetSource &Source);
  void recordReportedOutage(TimePoint Now);
  void scheduleFetch(TimePoint Now);
  void checkBehindRelay(const RelayStatus &Word);
  bool relayHasNewerConfiguration() const;
  void fetchConfiguration(FleetSource &Source);
  bool readConfiguration(FleetSource &Source, Revision Known,
                         ReadConsistency Age);
  Duration nextProofRetryDelay();
  void applyConfiguration(const StoredConfiguration &Read, ReadConsistency Age);
  void applyChanges(const FleetChanges &Read);
  void checkWatchLag(Revision StoreAt);
  void catchUp(FleetSource &Source);
  Revision seenRevision();
  void compareServers(FleetSource &Source);
  void maintainRegistration(FleetSource &Source);

  /// Counts and logs the outcome of a call; true where it went well.
  bool recordCall(StoreCallCause Call, ReadConsistency Age,
                  const Error *Problem);
  template <typename Value>
  bool recordCall(StoreCallCause Call, ReadConsistency Age,
                  const Result<Value> &Read) {
    return this->recordCall(Call, Age, Read ? nullptr : &Read.error());
  }
  void publish();
  /// The same for changes of the lists, at most once in a while.
  void publishChanges();
  /// With `Mutex` held: until changes may be published; zero where they may
  /// now.
  Duration publishDelay();
  bool changesAreDue();
  bool stopping();
  /// Waits, or less where the feed stops. False where it stops.
  bool sleepUnlessStopped(Duration Wait);
  /// The same for the prover, or less where it is wanted sooner.
  bool sleepUntilWoken(Duration Wait);
  Duration proverInterval();
  Duration jittered(Duration Whole);
  /// With `Mutex` held: a number from 0 to 1.
  double randomFraction();

  Options Settings;
  RelayTimes Times;
  std::function<FleetSource()> MakeSource;
  FleetFeedCounters Counters;
  ViewCallback OnView;
  Clock BootClock = Clock::sinceBoot();
  std::mutex PublishMutex;
  std::mutex Mutex;
  std::condition_variable Wakeup;
  FleetState State;
  bool StoreReachable = true;
  bool Stopping = false;
  bool Leaving = false;
  /// The lists were read once, so that others may ask this router.
  bool ListsRead = false;
  /// Everything was read once.
  bool Loaded = false;
  /// No other router was found at first, and the lists were read once more.
  bool ListsRetried = false;
  /// The prover has something to do that it did not have before.
  bool ProverWakeRequested = false;
  /// Changes of the lists that are not published yet, and the last time that
  /// any were.
  bool ChangesPending = false;
  TimePoint ChangesPublishedAt{};
  /// The relay cannot tell all that this router lacks.
  bool ReloadDue = false;
  /// The watch has not told for too long what the store has.
  bool CatchUpDue = false;
  /// Relays reached the store when the last call failed.
  bool FailedAlone = false;
  /// A relay has reached the store since.
  bool StoreRecovered = false;
  /// The last plain read of the configuration failed.
  bool LastProofFailed = false;
  /// The entry of this router's earlier process was looked for.
  bool LeaseLookedUp = false;
  /// This router's entry has gone, though it has not left.
  bool EntryLost = false;
  /// Lists in a row that may have been stale.
  int StaleListReads = 0;
  /// Own proofs since the relay's last one.
  int OwnProofs = 0;
  TimePoint LoadedAt{};
  TimePoint ListsReadAt{};
  /// A revision that the store has and the watch has not told, and since when.
  Revision UnseenRevision = 0;
  TimePoint UnseenSince{};
  RelayTrust Relays;
  /// The newest of the relays' words.
  RelayStatus LastStatus;
  /// A relay has a newer configuration, since when, and when it is read next.
  std::optional<TimePoint> NewerConfigurationSince;
  TimePoint NextFetchAt{};
  /// In an outage that the relays tell of: when this router tries for itself.
  std::optional<TimePoint> OwnAttemptAt;
  /// Since when the relay has known changes that did not come.
  std::optional<TimePoint> BehindSince;
  std::mt19937_64 Random;
  /// The last call that failed, and when the configuration may be read again;
  /// sooner where a relay has reached the store since.
  TimePoint FailedAt{};
  TimePoint NextProofAt{};
  Backoff ProofRetry;
  LeaseId Lease = 0;
  /// The last unusable writing of each key that was logged.
  std::map<std::string, Revision> ReportedUnusable;
  std::thread Watcher;
  std::thread Prover;
};

} // namespace parsleywing

#endif
