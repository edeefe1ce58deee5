#ifndef PARSLEYWING_GATEWAY_FLEETDISTRIBUTOR_H
#define PARSLEYWING_GATEWAY_FLEETDISTRIBUTOR_H

#include "Gateway/FleetHistory.h"
#include "Gateway/FleetSource.h"
#include "Gateway/RelayClusters.h"
#include "Gateway/RelayTimes.h"
#include "Gateway/RouterMessenger.h"

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

/// The state of a relay's view, as the relay reported it.
struct RelayStatus {
  /// The relay's configuration was the newest one at this time, on the
  /// boot-time clock.
  TimePoint ProvenAt{};
  Revision ConfigurationRevision = 0;
  Revision SeenRevision = 0;
  /// The relay can send all changes after this revision.
  Revision CompactRevision = 0;
  /// Whether the relay reads the store itself.
  bool ReadsStore = false;
  /// Whether the sender is the relay that the receiving router follows now,
  /// possibly a substitute.
  bool IsCurrentRelay = true;
  /// Identifies the router that sent the status.
  std::uint64_t SenderHash = 0;
  /// The relay's lists were complete at this time, on the same clock.
  TimePoint ListsProvenAt{};
  /// See `FleetStatus::HistoryIsComplete`.
  bool HistoryIsComplete = true;
};

/// Changes that a relay sent: all after `AfterRevision` and up to `ToRevision`.
struct RelayUpdate {
  Revision AfterRevision = 0;
  Revision ToRevision = 0;
  std::vector<FleetChange> Changes;
  FleetUpdateSource Source = FleetUpdateSource::Watch;

  /// Whether it has what a router of this revision lacks, up to `ToRevision`.
  bool appliesTo(Revision Seen) const {
    if (this->Source == FleetUpdateSource::Lists && Seen != this->AfterRevision)
      return false;
    return this->AfterRevision <= Seen && Seen < this->ToRevision;
  }
};

using RelayMessage = std::variant<RelayStatus, RelayUpdate>;

/// The part that a router takes in distributing changes of the fleet.
enum class RelayRole {
  Unknown,  ///< The list of routers is not known yet.
  Relay,    ///< Reads the store and serves followers.
  Follower, ///< Receives changes from a relay.
  Verifier, ///< A follower which reads the store itself once the relays' proofs
            ///< are old, whatever they report, and answers status requests.
};

/// Whether a router of this role receives changes from a relay.
inline bool followsRelay(RelayRole Role) {
  return Role == RelayRole::Follower || Role == RelayRole::Verifier;
}

/// Lets a few routers, the relays, read the store for the others. Relays prove
/// that the configuration is the newest one, and forward the changes of servers
/// and routers, so the number of calls on the store grows with the number of
/// relays and not with the fleet. Each router follows one relay, the first in
/// its cluster's rendezvous order, or the next one if that does not answer.
///
/// If the proof of a router's relay grows old, the router also asks the relays
/// of the other clusters and the verifiers, and one that has reached the store
/// substitutes for its relay for a while. Without this, when the store rejected
/// a third of 195 routers, the others made 1,000 calls of their own in 9 s.
///
/// The store may reject all relays and serve other routers. When it rejected
/// both relays of 63 routers, the followers took that for an outage and used an
/// old configuration for 3 s too long. Up to eight other routers, the
/// verifiers, therefore check for themselves.
///
/// A relay pushes proofs and changes to the routers that asked it recently, and
/// resends changes with each of their requests until they have them.
///
/// Used on the event loop's thread only.
class FleetDistributor {
public:
  using MessageCallback = std::function<void(const RelayMessage &)>;

  /// `RouterProcess` distinguishes this process from earlier ones of the same
  /// router name.
  FleetDistributor(EventLoop &L, RouterMessenger &R,
                   std::uint64_t RouterProcess, const RelayTimes &T)
      : Loop(L), Routers(R), RouterProcess(RouterProcess), Times(T) {}

  /// Sets the view that is served to followers.
  void updateView(const std::shared_ptr<const FleetView> &New);

  /// Starts following a relay.
  void start(MessageCallback Callback);

  /// Thread-safe.
  RelayRole role() const { return this->Role; }

  /// Switches to another relay for a while. Called if the relay answers but is
  /// disconnected from the store and this router is not.
  void switchRelay();

  void onStatusRequest(const FleetStatusRequest &Request,
                       const Poco::Net::SocketAddress &From);
  void onStatus(const FleetStatus &Message,
                const Poco::Net::SocketAddress &From);
  void onUpdate(const FleetUpdate &Message);

private:
  /// A router that follows this one.
  struct Follower {
    /// Its last status request, and when that was received.
    CorrelationId RequestId;
    TimePoint RequestedAt{};
    /// The revision that it has, or has been sent.
    Revision SeenRevision = 0;
    /// When changes were last resent to it.
    TimePoint ResentAt{};
  };

  /// A status request sent by this router.
  struct SentRequest {
    std::uint64_t Number = 0;
    TimePoint SentAt{};
  };

  void tick();
  void checkRelay();
  void requestStatus();
  void requestOtherStatuses();
  CorrelationId newRequestId();
  void requestIfBehind(Revision RelayRevision);
  void recordStatus(const RelayStatus &Status,
                    const Poco::Net::SocketAddress &From);
  void updateClusters();
  void updateVerifiers(const RouterList &Listed);
  RelayRole determineRole();
  /// Whether the router at this address is currently a relay.
  bool isRelay(const Poco::Net::SocketAddress &Address);
  std::string relayOf(const RelayCluster &Cluster);
  bool updateRelay();
  void sendStatus(const Poco::Net::SocketAddress &To, const Follower &Receiver);
  void sendUpdates(const Poco::Net::SocketAddress &To, Follower &Receiver);

  EventLoop &Loop;
  RouterMessenger &Routers;
  std::uint64_t RouterProcess;
  RelayTimes Times;
  MessageCallback OnMessage;
  Clock BootClock = Clock::sinceBoot();
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  /// The numbers of routers that the clusters were made for.
  RouterCounts ClusteredCounts;
  std::vector<RelayCluster> Clusters;
  std::vector<std::string> Verifiers;
  std::map<Poco::Net::SocketAddress, Follower> Followers;
  /// The last requests, the newest first.
  std::deque<SentRequest> SentRequests;
  std::uint64_t LastNumber = 0;
  /// All changes up to this revision have been received, though the view may
  /// not include them yet.
  Revision ReceivedRevision = 0;
  /// When the relay's last status was received.
  TimePoint StatusReceivedAt{};
  std::string CurrentRelay;
  /// When the first request was sent that the relay has not answered.
  std::optional<TimePoint> UnansweredSince;
  /// The proof in the relay's last status, and the newest one of any relay.
  TimePoint RelayProvenAt{};
  TimePoint NewestProvenAt{};
  /// A relay of another cluster or a verifier that replaces the router's own
  /// relay, and until when.
  std::string SubstituteRelay;
  TimePoint SubstituteUntil{};
  TimePoint OthersRequestedAt{};
  std::atomic<RelayRole> Role{RelayRole::Unknown};
};

} // namespace parsleywing

#endif
