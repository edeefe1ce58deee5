#ifndef PARSLEYWING_PLACEMENT_FLEETVIEW_H
#define PARSLEYWING_PLACEMENT_FLEETVIEW_H

#include "Placement/WarmUp.h"
#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <Poco/Net/SocketAddress.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// What may be done with a request again.
enum class RequestKind {
  Safe,   ///< Idempotent: may run more than once.
  Unsafe, ///< Runs once at most.
  Stream, ///< Answered by an event stream; as `Unsafe` unless resumable.
};

inline constexpr EnumNames<RequestKind, 3> RequestKindNames{{
    {RequestKind::Safe, "safe"},
    {RequestKind::Unsafe, "unsafe"},
    {RequestKind::Stream, "stream"},
}};

/// A service that a route sends to, with its part of the route's requests.
struct RouteTarget {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// One route of the configuration.
struct GatewayRoute {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  RequestKind Kind = RequestKind::Unsafe;
  std::vector<RouteTarget> Targets;
  /// The longest time that a caller is kept waiting.
  Duration Timeout{};
  /// The time within which an answer earns all it can (for streams: its first
  /// event).
  Duration LatencyObjective{};
  /// Servers that one request may run on.
  std::uint32_t MaxRuns = 1;
  /// Served without an account's key.
  bool Public = false;
  /// Requests carry the parts of their prompt, and servers cache them.
  bool Sticky = false;
  /// A stream may go on at another server behind the last event.
  bool Resumable = false;

  /// Whether a second server may run the same request.
  bool repeatable() const {
    return this->Kind == RequestKind::Safe ||
           (this->Kind == RequestKind::Stream && this->Resumable);
  }
};

/// What the servers of a service have in common.
struct GatewayService {
  std::string Name;
  std::string HealthPath;
  /// Connections that one server takes from all routers together.
  std::uint32_t MaxConnections = 0;
  /// Tokens that one engine keeps, cache and running requests together; 0 for
  /// services that are no engines.
  std::uint64_t KvCapacityTokens = 0;
  /// Bytes of a kept token, and what the link of an engine carries of them in a
  /// millisecond; 0 where engines cannot fetch from each other.
  double KvBytesPerToken = 0;
  double LinkBytesPerMs = 0;
  /// What a server bears behind its start.
  WarmUpLoad WarmUp;
};

/// Bounds on what a caller may send.
struct GatewayLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
  /// What all engines together produce in a second; 0 where it is not stated.
  std::uint64_t TokensPerSecond = 0;
};

/// A version of the configuration.
struct GatewayConfiguration {
  std::int64_t Version = 0;
  std::vector<GatewayRoute> Routes;
  std::map<std::string, GatewayService> Services;
  GatewayLimits Limits;
  /// Keys to the name of the client account.
  std::unordered_map<std::string, std::string> AccountOfKey;
  /// Whether requests need a key at all.
  bool HasAccounts = false;

  /// The route of the longest prefix that begins the path, or null.
  const GatewayRoute *findRoute(std::string_view Host,
                                std::string_view Path) const;
};

/// A backend server of the list.
struct GatewayServer {
  std::string Id;
  std::string Service;
  Poco::Net::SocketAddress Address;
  std::string Zone;
  std::uint32_t Slots = 1;
  /// It leaves: no new requests.
  bool Draining = false;
  /// When its process started, in milliseconds since 1970 by its own clock; 0
  /// where it does not say. The same identity with a later start is a process
  /// that knows nothing of what the earlier one did.
  std::int64_t StartedMs = 0;
  /// How long its warm-up goes on, as its entry said when it was written;
  /// nothing where it does not say.
  std::optional<Duration> WarmUpLeft{};
  /// By that, and by all else that is known of it: it warms up until then, on
  /// the clock that counts suspended time. Set where the entry is put in force.
  TimePoint WarmUpEndsAt{};
  /// The operators have asked that nothing be sent to its availability zone.
  bool Evacuated = false;

  /// Whether new requests may be sent to it.
  bool acceptsRequests() const { return !this->Draining && !this->Evacuated; }
};

using ServerList = std::map<std::string, GatewayServer>;

/// Where a router takes datagrams of the others, and how many cores it has.
struct RouterEndpoint {
  std::string Address;
  double Cores = 1;
  /// The revision of its entry: another one after a gap in the list.
  std::int64_t ListedRevision = 0;
  std::string Zone{};
};

struct FleetHistory;

using RouterList = std::map<std::string, RouterEndpoint>;

/// What the router believes of the fleet, as one immutable whole. The control
/// thread makes a new one at each change; the traffic thread reads it. What has
/// not changed is the same object in both.
struct FleetView {
  std::shared_ptr<const GatewayConfiguration> Configuration;
  std::shared_ptr<const ServerList> Servers;
  /// Routers that share the servers, this one included.
  std::uint32_t RouterCount = 1;
  /// The listed routers, this one included.
  std::shared_ptr<const RouterList> RouterEndpoints;
  /// The configuration was the newest one at this moment (a clock that counts
  /// suspended time), the moment of the question.
  TimePoint ProvenAt{};
  /// The configuration's revision in the store.
  std::int64_t ConfigurationRevision = 0;
  /// All changes of servers and routers up to this revision are in the lists.
  std::int64_t SeenRevision = 0;
  /// The lists lacked no change of the store at this moment, on the same clock.
  TimePoint ListsProvenAt{};
  /// Availability zones that the operators have asked to be left, and the
  /// revision at which they did.
  std::shared_ptr<const std::map<std::string, std::int64_t>> EvacuatedZones;
  /// The latest of these changes, for routers that hear of them from this one.
  std::shared_ptr<const FleetHistory> History;
};

} // namespace parsleywing

#endif
