#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONKEEPER_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONKEEPER_H

#include "Decision/Configuration/ConfigurationTypes.h"
#include "Decision/Events.h"
#include "Decision/Membership/View.h"

#include <Poco/JSON/Object.h>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace parsleywing {

/// The events that the keeper handles.
using ConfigurationEvent =
    std::variant<ManifestRead, PartsRead, StoreFailed,
                 ConfigurationMessageReceived, ViewChanged, Tick>;

using ConfigurationAction =
    std::variant<WatchManifest, StopWatching, ReadManifest, ReadParts,
                 SendConfigurationMessage, ActivateConfiguration>;

using ConfigurationActions = std::vector<ConfigurationAction>;

struct ConfigurationKeeperSettings {
  /// Routers of each availability zone that watch the store.
  std::size_t RelaysPerZone = 2;
  /// Routers of the own zone to which a new generation is announced
  /// immediately.
  std::size_t FanOut = 3;
  /// Interval at which the active generation is announced to a random router.
  Duration AnnounceEvery = std::chrono::seconds(1);
  /// Interval at which a relay reads the manifest in addition to its watch.
  Duration ReadEvery = std::chrono::seconds(10);
  /// Without a message from any other router for this long, the store is read.
  Duration Isolation = std::chrono::seconds(10);
  /// How long a starting router waits to learn the highest generation that
  /// other routers know.
  Duration JoinWait = std::chrono::milliseconds(1500);
  /// Time for a peer to respond to a request for steps.
  Duration RequestTimeout = std::chrono::seconds(1);
  /// Time for a peer to respond if the complete text is needed.
  Duration SnapshotTimeout = std::chrono::seconds(5);
  /// Failed requests to other routers before the store is read instead.
  int MaxPeerAttempts = 2;
  /// Number of steps retained for other routers, and their total size in bytes.
  std::size_t KeepSteps = 256;
  std::size_t KeepStepBytes = 1U << 20U;
  /// The largest message that is sent as a datagram.
  std::size_t DatagramBytes = 1200;
  /// Minimum time between two complete texts sent to other routers.
  Duration MinSnapshotInterval = std::chrono::milliseconds(500);
  /// Must equal the part size that the operators' tool uses when it splits the
  /// text.
  std::size_t MaxPartBytes = 256U << 10U;
  std::uint64_t Seed = 1;
};

/// Decides which generation of the configuration is active at one router. The
/// generation only increases: old, late and reordered updates change nothing. A
/// router that starts without state first queries other routers and the store,
/// and activates nothing lower than the highest generation it has learned of,
/// so that a restart does not revert to an older configuration. Performs no I/O
/// and has no clock of its own.
///
/// One or two routers per zone watch the store. The others learn of a
/// generation from random routers and request the steps from the router that
/// announced it.
class ConfigurationKeeper {
public:
  explicit ConfigurationKeeper(ConfigurationKeeperSettings S)
      : Settings(S), Random(S.Seed) {}

  ConfigurationActions handle(TimePoint Now, const ConfigurationEvent &Event);

  /// The active generation; zero before the first one.
  std::uint64_t generation() const { return this->ActiveGeneration; }
  const ConfigurationText &text() const { return this->Text; }

  Poco::JSON::Object::Ptr dump() const;

private:
  enum class Source { None, Store, Peers };
  /// A request for newer steps, and the router it was sent to.
  struct SentRequest {
    RouterId Peer;
    TimePoint Deadline;
  };

  void on(const ManifestRead &Event);
  void on(const PartsRead &Event);
  void on(const StoreFailed &Event);
  void on(const ConfigurationMessageReceived &Event);
  void on(const ViewChanged &Event);
  void on(const Tick &Event);

  void receive(RouterId From, const ConfigurationAnnounce &Message);
  void receive(RouterId From, const ConfigurationRequest &Message);
  void receive(RouterId From, const ConfigurationSteps &Message);
  void receive(RouterId From, const ConfigurationSnapshot &Message);

  bool isJoining() const;
  void recordGeneration(std::uint64_t Generation);
  void requestFrom(RouterId Peer);
  void retryRequest();
  void scheduleStoreRead();
  void readStoreIfDue();
  bool prefersPeers() const;
  void requestParts();
  void assemble(const std::map<std::string, std::string> &PartTexts);
  void adoptStep(const ConfigurationStep &Step, Source From);
  void adoptSnapshot(ConfigurationText NewText, std::uint64_t Generation,
                     const TextHash &Hash, Source From);
  void activate(std::uint64_t Generation, ConfigurationDelta Changes,
                Source From);
  void retainStep(ConfigurationStep Step);
  void announce();
  void announceNow();
  void updateRelayRole();
  bool isRelay() const;
  std::vector<RouterId> otherRouters(bool OwnZone) const;
  std::optional<RouterId> randomOtherRouter(bool OwnZone);
  void send(RouterId To, ConfigurationMessage Message, bool Urgent);

  ConfigurationKeeperSettings Settings;
  std::mt19937_64 Random;
  TimePoint Now;
  ConfigurationActions PendingActions;

  View CurrentView;
  std::uint64_t ActiveGeneration = 0;
  ConfigurationText Text;
  Source ActiveSource = Source::None;
  bool ActivatedWithoutStore = false;
  std::deque<ConfigurationStep> Steps;
  std::size_t StepBytes = 0;

  /// The highest generation that any source has reported.
  std::uint64_t HighestKnown = 0;
  std::optional<RouterId> HighestHolder;
  std::optional<TimePoint> JoinUntil;
  std::optional<SentRequest> CurrentRequest;
  int FailedRequests = 0;

  bool Watching = false;
  bool StoreReachable = false;
  bool ReadPending = false;
  TimePoint ReadPendingSince;
  std::optional<TimePoint> NextRead;
  Duration ReadBackoff{};
  std::optional<ConfigurationManifest> Loading;
  std::vector<TextHash> LoadingParts;
  TimePoint LoadingSince;

  std::optional<TimePoint> NextAnnounce;
  TimePoint LastReceivedAt;
  std::optional<TimePoint> LastSnapshotSentAt;

  std::uint64_t StaleUpdates = 0;
  std::uint64_t WrongHashes = 0;
  std::uint64_t SnapshotsSent = 0;
};

} // namespace parsleywing

#endif
