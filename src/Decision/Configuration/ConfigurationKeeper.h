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

/// What the keeper is told.
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
  /// Members of the own zone told at once of a new generation.
  std::size_t FanOut = 3;
  /// A random member is told the generation in force so often.
  Duration AnnounceEvery = std::chrono::seconds(1);
  /// A relay reads the manifest so often beside its watch.
  Duration ReadEvery = std::chrono::seconds(10);
  /// Without a word from any other router for so long, the store is read.
  Duration Isolation = std::chrono::seconds(10);
  /// A start listens so long for the highest generation that others know.
  Duration JoinWait = std::chrono::milliseconds(1500);
  /// Time for a peer to deliver what was wanted of it.
  Duration RequestTimeout = std::chrono::seconds(1);
  /// The same where the whole text is wanted.
  Duration SnapshotTimeout = std::chrono::seconds(5);
  /// Tries with other routers before the store is read instead.
  int MaxPeerAttempts = 2;
  /// Steps kept for others, and their bytes in all.
  std::size_t KeepSteps = 256;
  std::size_t KeepStepBytes = 1U << 20U;
  /// The largest message for a datagram.
  std::size_t DatagramBytes = 1200;
  /// At most one whole text is sent to others in this time.
  Duration MinSnapshotInterval = std::chrono::milliseconds(500);
  /// As the operators' side cuts the text.
  std::size_t MaxPartBytes = 256U << 10U;
  std::uint64_t Seed = 1;
};

/// Decides which generation of the configuration is in force at one router.
/// The generation only rises: old, late and reordered news change nothing. A
/// router that starts without memory first asks others and the store, and puts
/// in force nothing lower than what it heard of, lest it go back behind what
/// it had before its restart. Does no I/O and reads no clock.
///
/// One or two routers a zone watch the store; the others learn of a generation
/// from random members and fetch the steps from whoever told them.
class ConfigurationKeeper {
public:
  explicit ConfigurationKeeper(ConfigurationKeeperSettings S)
      : Settings(S), Random(S.Seed) {}

  ConfigurationActions handle(TimePoint Now, const ConfigurationEvent &Event);

  /// The generation in force; zero before the first.
  std::uint64_t generation() const { return this->ActiveGeneration; }
  const ConfigurationText &text() const { return this->Text; }

  Poco::JSON::Object::Ptr dump() const;

private:
  enum class Source { None, Store, Peers };
  /// A wanted generation, and the router it is wanted from.
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

  bool joining() const;
  void recordGeneration(std::uint64_t Generation);
  void requestFrom(RouterId Peer);
  void retryRequest();
  void readStoreSoon();
  void readStoreIfDue();
  bool peersComeFirst() const;
  void requestParts();
  void assemble(const std::map<std::string, std::string> &Read);
  void adoptStep(const ConfigurationStep &Step, Source From);
  void adoptSnapshot(ConfigurationText Whole, std::uint64_t Generation,
                     const TextHash &Hash, Source From);
  void activate(std::uint64_t Generation, ConfigurationDelta Changes,
                Source From);
  void keepStep(ConfigurationStep Step);
  void announce();
  void announceNow();
  void checkRelay();
  bool isRelay() const;
  std::vector<RouterId> others(bool OwnZone) const;
  std::optional<RouterId> randomOther(bool OwnZone);
  void send(RouterId To, ConfigurationMessage Message, bool Urgent);

  ConfigurationKeeperSettings Settings;
  std::mt19937_64 Random;
  TimePoint Now;
  ConfigurationActions Out;

  View Current;
  std::uint64_t ActiveGeneration = 0;
  ConfigurationText Text;
  Source ActiveSource = Source::None;
  bool ActivatedWithoutStore = false;
  std::deque<ConfigurationStep> Steps;
  std::size_t StepBytes = 0;

  /// The highest generation heard of, from whomever.
  std::uint64_t Highest = 0;
  std::optional<RouterId> HighestHolder;
  std::optional<TimePoint> JoinUntil;
  std::optional<SentRequest> CurrentRequest;
  int Tries = 0;

  bool Watching = false;
  bool StoreAnswers = false;
  bool ReadPending = false;
  TimePoint ReadPendingSince;
  std::optional<TimePoint> NextRead;
  Duration ReadBackoff{};
  std::optional<ConfigurationManifest> Loading;
  std::vector<TextHash> LoadingParts;
  TimePoint LoadingSince;

  std::optional<TimePoint> NextAnnounce;
  TimePoint LastHeard;
  std::optional<TimePoint> LastWholeSent;

  std::uint64_t StaleNews = 0;
  std::uint64_t WrongHashes = 0;
  std::uint64_t WholesSent = 0;
};

} // namespace parsleywing

#endif
