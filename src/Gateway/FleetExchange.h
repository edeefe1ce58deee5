#ifndef PARSLEYWING_GATEWAY_FLEETEXCHANGE_H
#define PARSLEYWING_GATEWAY_FLEETEXCHANGE_H

#include "Gateway/FleetSource.h"
#include "Gateway/RelayClusters.h"
#include "Gateway/RelayTimes.h"
#include "Gateway/RouterExchange.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// What a relay has told of its view.
struct RelayStatus {
  /// The relay's configuration was the newest one at this moment, on the clock
  /// that counts suspended time.
  TimePoint ProvenAt{};
  Revision ConfigurationRevision = 0;
  Revision SeenRevision = 0;
  /// The relay can tell of all changes behind this revision.
  Revision HistoryStartRevision = 0;
  /// It reads the store itself.
  bool ReadsStore = false;
  /// It is the one that this router hears of changes from.
  bool IsOwnRelay = true;
  /// Tells the routers apart that such words come from.
  std::uint64_t SenderHash = 0;
  /// The relay's lists lacked no change at this moment, on the same clock.
  TimePoint ListsProvenAt{};
};

/// Changes that a relay has told: all behind `From` and up to `To`.
struct RelayUpdate {
  Revision AfterRevision = 0;
  Revision ToRevision = 0;
  std::vector<FleetChange> Changes;
};

using RelayMessage = std::variant<RelayStatus, RelayUpdate>;

/// What a router does for others where changes of the fleet are concerned.
enum class RelayRole {
  Unknown,  ///< It has not seen the list of routers yet.
  Relay,    ///< It reads the store, and others hear from it.
  Follower, ///< It hears from a relay.
  Verifier, ///< As a follower; but where the relays' proofs grow old it reads
            ///< the store whatever they say, and tells who asks.
};

/// Whether a router of this role hears of the fleet from another one.
inline bool followsRelay(RelayRole Role) {
  return Role == RelayRole::Follower || Role == RelayRole::Verifier;
}

/// Lets a few routers, the relays, read the store for the others: they prove
/// that the configuration is the newest one, and pass on the changes of servers
/// and routers. So the calls on the store grow with the relays. Each router has
/// one relay, the first of its cluster's order; where that does not answer, the
/// next. Where a relay's proof grows old, the relays of the other clusters are
/// asked as well, and the one that has reached the store takes its place for a
/// while: with a third of 195 routers turned away by the store, the others made
/// 1,000 calls of their own in 9 s before they had left their relays.
///
/// The relays of a fleet may all be turned away where the others are not: both
/// of 63 routers' were, with a third of all, and their words looked like an
/// outage, in which the rest used a configuration for 3 s too long. So eight
/// more, the scouts, do not take their word for it.
///
/// A relay sends proofs and changes at once to the routers that asked it
/// lately, and changes again with each of their questions until they have them.
///
/// Belongs to the loop's thread.
class FleetExchange {
public:
  using MessageCallback = std::function<void(const RelayMessage &)>;

  /// `Process` tells this process from earlier ones of the router's name.
  FleetExchange(EventLoop &L, RouterExchange &R, std::uint64_t Process,
                const RelayTimes &T)
      : Loop(L), Routers(R), Process(Process), Times(T) {}

  /// What this router knows, for those whose relay it is.
  void updateView(const std::shared_ptr<const FleetView> &New);

  /// Asks a relay from now on.
  void start(MessageCallback Told);

  /// Safe from any thread.
  RelayRole role() const { return this->Role; }

  /// The relay answers, and is cut off from the store where this router is not:
  /// another one is asked for a while.
  void switchRelay();

  void onStatusRequest(const FleetStatusRequest &Asked,
                       const Poco::Net::SocketAddress &From);
  void onStatus(const FleetStatus &Told, const Poco::Net::SocketAddress &From);
  void onUpdate(const FleetUpdate &News);

private:
  /// A router that hears of the fleet from this one.
  struct Follower {
    /// Its last question, and when that was received here.
    CorrelationId RequestId;
    TimePoint RequestedAt{};
    /// What it has, or has been sent.
    Revision SeenRevision = 0;
    /// When changes were last sent to it once more.
    TimePoint ResentAt{};
  };

  /// A question of this router's.
  struct SentRequest {
    std::uint64_t Number = 0;
    TimePoint SentAt{};
  };

  void tick();
  void checkRelay();
  void requestStatus();
  void requestOtherStatuses();
  CorrelationId newRequestId();
  void requestIfBehind(Revision Told);
  void recordStatus(const RelayStatus &Word,
                    const Poco::Net::SocketAddress &From);
  void updateClusters();
  void updateVerifiers(const RouterList &Listed);
  RelayRole determineRole();
  /// Whether the router at this address is one of the relays of the moment.
  bool isRelay(const Poco::Net::SocketAddress &Address);
  std::string relayOf(const RelayCluster &Cluster);
  bool updateRelay();
  void sendStatus(const Poco::Net::SocketAddress &To, const Follower &Known);
  void sendUpdates(const Poco::Net::SocketAddress &To, Follower &Behind);

  EventLoop &Loop;
  RouterExchange &Routers;
  std::uint64_t Process;
  RelayTimes Times;
  MessageCallback OnMessage;
  Clock BootClock = Clock::sinceBoot();
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  /// The routers that the clusters were made for.
  RouterCounts ClusteredCounts;
  std::vector<RelayCluster> Clusters;
  std::vector<std::string> Verifiers;
  std::map<Poco::Net::SocketAddress, Follower> Followers;
  /// The last questions, the newest first.
  std::deque<SentRequest> SentRequests;
  std::uint64_t LastNumber = 0;
  /// All changes up to this revision have come, though the view may not show
  /// them yet.
  Revision ReceivedRevision = 0;
  /// When the relay's last word came.
  TimePoint StatusReceivedAt{};
  std::string CurrentRelay;
  /// The first question that it has not answered.
  std::optional<TimePoint> UnansweredSince;
  /// What its last word proved, and the newest proof of any relay.
  TimePoint RelayProvenAt{};
  TimePoint NewestProvenAt{};
  /// A relay of another cluster in its place, and until when.
  std::string SubstituteRelay;
  TimePoint SubstituteUntil{};
  TimePoint OthersRequestedAt{};
  std::atomic<RelayRole> Role{RelayRole::Unknown};
};

} // namespace parsleywing

#endif
