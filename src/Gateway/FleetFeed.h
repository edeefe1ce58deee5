#ifndef PARSLEYWING_GATEWAY_FLEETFEED_H
#define PARSLEYWING_GATEWAY_FLEETFEED_H

#include "Gateway/FleetDistributor.h"
#include "Gateway/FleetState.h"
#include "Gateway/RelayTrust.h"
#include "Runtime/Metrics.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <stop_token>
#include <thread>
#include <utility>

namespace parsleywing {

/// The purpose of a call on the store. Calls are counted by purpose, since each
/// costs money. A list of several pages counts as one call here.
enum class StoreCallPurpose {
  List,          ///< All servers, routers or evacuated zones, at the start or
                 ///< after a gap.
  Compare,       ///< All servers and evacuated zones, to find changes that no
                 ///< watch reported.
  Configuration, ///< The content of a configuration.
  Proof,         ///< Whether the configuration is the newest one.
  Watch,         ///< Changes.
  Registration,  ///< This router's own entry.
  Renewal,       ///< The lease of that entry.
};

inline constexpr EnumNames<StoreCallPurpose, 7> StoreCallPurposeNames{{
    {StoreCallPurpose::List, "list"},
    {StoreCallPurpose::Compare, "compare"},
    {StoreCallPurpose::Configuration, "configuration"},
    {StoreCallPurpose::Proof, "proof"},
    {StoreCallPurpose::Watch, "watch"},
    {StoreCallPurpose::Registration, "registration"},
    {StoreCallPurpose::Renewal, "renewal"},
}};

/// Counts of the calls on the store that keep the view current.
struct FleetFeedCounters {
  explicit FleetFeedCounters(Metrics &Into);

  std::map<StoreCallPurpose, Counter *> Calls;
  /// Stale reads and lease renewals: a tenth of the price.
  Counter &CheapCalls;
  Counter &FailedCalls;
  Counter &Reloads;
  Counter &InvalidEntries;
  Counter &ConfigurationsApplied;
};

/// Keeps the router's view of the fleet current, with two threads of its own.
///
/// How old the lists of servers, routers and zones are is stated by one time,
/// `FleetState::listsProvenAt`: the latest time at which they are known to have
/// been complete, from this router's calls or a relay's. At the age of
/// `RelayTimes::MaxListsAge` the prover reads what they lack, whatever relays
/// and the watch report, so that a removal is known within its bound if any of
/// these is silent, slow or wrong.
///
/// The watcher waits for changes. The prover reads the configuration about once
/// per `RelayTimes::ProofInterval` to prove that it is the newest one, and
/// renews this router's entry. The proof does not rely on the watch: a pending
/// watch call proves nothing, and one that hangs looks the same.
///
/// A router that is not a relay gets changes and proofs from its relay. At the
/// start, and for a new configuration, it uses stale reads at a tenth of the
/// price: their revision states what is missing, the relay sends that, and the
/// relay's proof is valid for exactly one revision. It uses linearizable reads
/// only if the relays' messages are not enough, since these cost ten times as
/// much. 85 routers that all watched and read the store made 201 calls per
/// second on a day with an outage; 195 routers that used linearizable reads
/// throughout made 17 to 44 calls each on a day.
///
/// Implemented in three files: the relay's messages and what both threads use,
/// the watcher (`FleetFeedWatch.cpp`), and the prover with this router's entry
/// (`FleetFeedProver.cpp`).
class FleetFeed {
public:
  struct Options {
    std::string RouterName;
    std::string RouterAddress;
    double RouterCores = 1;
    std::string RouterZone;
    std::uint64_t Seed = 1;
    FleetBounds Bounds;
    /// Returns this router's current role. Without it the router is a relay.
    std::function<RelayRole()> Role;
    /// Called if this router has reached the store and its relay has not.
    std::function<void()> SwitchRelay;
  };

  /// Called with each new view, on one of the feed's threads.
  using ViewCallback = std::function<void(std::shared_ptr<const FleetView>)>;

  FleetFeed(Options O, std::function<FleetSource()> NewSource, Metrics &Into,
            ViewCallback OnNewView);
  ~FleetFeed();
  FleetFeed(const FleetFeed &) = delete;
  FleetFeed &operator=(const FleetFeed &) = delete;

  void stop();

  /// Removes this router's entry and does not write it again. Called when the
  /// drain of the router starts, so that others send it no more requests.
  void leave();

  /// Handles a message of a relay. A proof counts only if both routers have the
  /// same configuration; if the relay has a newer one, this router reads it.
  void onRelayMessage(const RelayMessage &Message);

private:
  /// A call on the store that has been sent.
  struct StoreCall {
    StoreCallPurpose Purpose;
    ReadConsistency Consistency;
    TimePoint SentAt{};
  };

  static constexpr Duration InitialListsRetryDelay =
      std::chrono::milliseconds(250);
  static constexpr Duration MaxListsRetryDelay = std::chrono::seconds(1);

  /// The delay before a call is retried, doubled with each failure in a row.
  struct Backoff {
    Duration InitialDelay;
    Duration MaxDelay;
    Duration NextDelay = InitialDelay;

    /// `MaxDelay` may have changed since the last failure.
    Duration nextDelay() {
      const Duration Delay = std::min(this->NextDelay, this->MaxDelay);
      this->NextDelay = std::min(Delay * 2, this->MaxDelay);
      return Delay;
    }
    void reset() { this->NextDelay = this->InitialDelay; }
  };

  void apply(const RelayStatus &Status);
  void apply(const RelayUpdate &Update);
  void applyRelayChanges(const RelayUpdate &Update);
  void reportInvalidEntry(const InvalidServerEntry &Entry);
  void checkOwnRemoval(const FleetChange &Change);
  void reportInvalidEntries(const StoredServers &List);
  RelayRole role() const;
  bool hasRelay() const { return followsRelay(this->role()); }
  bool acceptsOutageReport(TimePoint Now) const;
  bool relayIsFresh() const;
  bool reliesOnRelays();
  void followRelay();
  Duration proofInterval() const;

  void runWatcher();
  std::stop_token startWatch();
  void finishWatch();
  void endWatch();
  void scheduleReload();
  bool reloadIsDue();
  void recordRecovery();
  bool waitToRetry(Backoff &Retry);
  bool waitForStore();
  ReadConsistency nextListConsistency();
  bool readLists(FleetSource &Source, Revision &After);
  bool load(FleetSource &Source, Revision &After);
  void readEarlierChanges(FleetSource &Source, Revision &After);
  void adoptLease(const StoredRouters &Listed);
  bool knowsOtherRouters();
  void wakeProver();

  void runProver();
  bool proveOnce(FleetSource &Source);
  void applyRelayProof(const RelayStatus &Status);
  bool isProofDue(TimePoint Now);
  void renewProof(FleetSource &Source);
  void recordReportedOutage(TimePoint Now);
  void scheduleConfigurationRead(TimePoint Now);
  void checkBehindRelay(const RelayStatus &Status);
  void checkHistoryOfRelay(const RelayStatus &Status);
  bool relayHasNewerConfiguration() const;
  void readAnnouncedConfiguration(FleetSource &Source);
  bool readConfiguration(FleetSource &Source, Revision Known,
                         ReadConsistency Consistency);
  Duration nextProofRetryDelay();
  void applyConfiguration(const StoredConfiguration &Stored,
                          ReadConsistency Consistency);
  void applyChanges(const FleetChanges &Changes,
                    std::optional<TimePoint> CompleteAt = std::nullopt);
  void checkWatchLag(Revision StoreRevision);
  std::optional<TimePoint> listsReadDueAt(TimePoint Now) const;
  bool mustCatchUp(TimePoint Now) const;
  void catchUp(FleetSource &Source);
  Revision seenRevision();
  void compareServers(FleetSource &Source);
  void maintainRegistration(FleetSource &Source);

  StoreCall startCall(StoreCallPurpose Purpose,
                      ReadConsistency Consistency) const {
    return {Purpose, Consistency, this->BootClock.now()};
  }
  /// Counts and logs the outcome of a call; returns whether it succeeded.
  bool recordCall(const StoreCall &Call, const Error *Problem);
  template <typename Value>
  bool recordCall(const StoreCall &Call, const Result<Value> &Outcome) {
    return this->recordCall(Call, Outcome ? nullptr : &Outcome.error());
  }
  std::string listsText(TimePoint Now) const;
  void publish();
  /// Publishes changes of the lists, at a limited rate.
  void publishChanges();
  /// The time until changes may be published; zero if they may be now. Requires
  /// `Mutex` to be held.
  Duration publishDelay();
  bool changesAreDue();
  bool stopping();
  /// Sleeps until the time is over or the feed stops. Returns false if the feed
  /// stops.
  bool sleepUnlessStopped(Duration Wait);
  /// The same for the prover, which may also be woken earlier.
  bool sleepUntilWoken(Duration Wait);
  Duration proverInterval();
  Duration jittered(Duration Whole);
  /// A random number from 0 to 1. Requires `Mutex` to be held.
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
  /// Whether the lists were read, so that other routers may send requests to
  /// this one.
  bool ListsRead = false;
  /// Whether `load` has finished, after which views are published: the lists
  /// were read, and read again if no other router was listed.
  bool Loaded = false;
  /// Whether the lists were read again since no other router was listed at
  /// first.
  bool ListsRetried = false;
  bool ProverWakeRequested = false;
  /// Whether changes of the lists are not published yet, and when changes were
  /// last published.
  bool ChangesPending = false;
  TimePoint ChangesPublishedAt{};
  /// Whether the lists must be read again: the changes that this router lacks
  /// come too late or are no longer in the relay's or the store's history.
  bool ReloadDue = false;
  /// Ends the watch call that is in progress, if there is one.
  std::stop_source WatchEnd;
  bool WatchInProgress = false;
  /// When the lists may be read again after a failed read.
  TimePoint NextListsReadAt{};
  Backoff ListsRetry{InitialListsRetryDelay, MaxListsRetryDelay};
  /// Number of times that the store was regained.
  std::uint64_t Recoveries = 0;
  /// When the store answered last.
  TimePoint AnsweredAt{};
  /// Whether relays reached the store when the last call failed.
  bool FailedAlone = false;
  /// Whether a relay has reached the store since the last failed call.
  bool StoreRecovered = false;
  /// Whether the last linearizable read of the configuration failed.
  bool LastProofFailed = false;
  /// Whether an entry of this router's earlier process was looked up.
  bool LeaseLookedUp = false;
  /// Whether this router's entry was removed though the router has not left.
  bool EntryLost = false;
  /// Number of lists in a row that may have been stale.
  int StaleListReads = 0;
  /// Number of own proofs since the relay's last one.
  int OwnProofs = 0;
  TimePoint LoadedAt{};
  TimePoint ListsReadAt{};
  /// A revision of the store that the watch has not reported, and since when.
  Revision UnseenRevision = 0;
  TimePoint UnseenSince{};
  RelayTrust Relays;
  /// The relay of an earlier release that this router follows, where that
  /// relay's history began, and whether changes must be read from the store
  /// before its changes are applied.
  std::uint64_t OlderRelay = 0;
  Revision OlderHistoryBegin = 0;
  bool OlderHistoryLacksChanges = false;
  /// The newest status of any relay.
  RelayStatus LastStatus;
  /// Since when a relay has a newer configuration, and when to read it next.
  std::optional<TimePoint> NewerConfigurationSince;
  TimePoint NextConfigurationReadAt{};
  /// When this router tries the store itself in an outage reported by relays.
  std::optional<TimePoint> OwnAttemptAt;
  /// Since when the relay has known changes that this router has not received.
  std::optional<TimePoint> BehindSince;
  std::mt19937_64 Random;
  /// When the last call failed, and when the configuration may be read again,
  /// which is sooner if a relay has reached the store since.
  TimePoint FailedAt{};
  TimePoint NextProofAt{};
  Backoff ProofRetry;
  LeaseId Lease = 0;
  /// The revision of the last invalid entry that was logged for each server.
  std::map<std::string, Revision> ReportedInvalid;
  std::thread Watcher;
  std::thread Prover;
};

} // namespace parsleywing

#endif
