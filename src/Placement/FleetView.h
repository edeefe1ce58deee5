#ifndef PARSLEYWING_PLACEMENT_FLEETVIEW_H
#define PARSLEYWING_PLACEMENT_FLEETVIEW_H

#include "Placement/MessageFormat.h"
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

/// How often a request may run, and how it is responded to.
enum class RequestKind {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// The response is an event stream. Like `AtMostOnce`, unless the route is
  /// resumable.
  Stream,
};

inline constexpr EnumNames<RequestKind, 3> RequestKindNames{{
    {RequestKind::Idempotent, "safe"},
    {RequestKind::AtMostOnce, "unsafe"},
    {RequestKind::Stream, "stream"},
}};

/// A target service of a route and its share of the route's requests.
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
  RequestKind Kind = RequestKind::AtMostOnce;
  std::vector<RouteTarget> Targets;
  /// The maximum time until the caller has the complete response.
  Duration Timeout{};
  /// The target time until the first chunk of the response. Later responses are
  /// worth less.
  Duration LatencyObjective{};
  /// The maximum number of attempts that may run the request. Attempts that
  /// provably did not run it do not count.
  std::uint32_t MaxRuns = 1;
  /// Requests need no account key.
  bool Public = false;
  /// Requests name the parts of their prompt, and servers cache these parts.
  bool Sticky = false;
  /// Another server can continue a stream after the last received event.
  bool Resumable = false;

  /// Whether the request may run on more than one server.
  bool repeatable() const {
    return this->Kind == RequestKind::Idempotent ||
           (this->Kind == RequestKind::Stream && this->Resumable);
  }
};

/// Settings that all servers of a service share.
struct GatewayService {
  std::string Name;
  std::string HealthPath;
  /// The maximum number of connections to one server, from all routers
  /// together.
  std::uint32_t MaxConnections = 0;
  /// The KV cache capacity of one engine in tokens, shared by cached prompts
  /// and running requests; 0 for services that are not engines.
  std::uint64_t KvCapacityTokens = 0;
  /// The KV cache size of one token, and the bandwidth of an engine's link; 0
  /// if engines cannot fetch cached parts from each other.
  double KvBytesPerToken = 0;
  double LinkBytesPerMs = 0;
  /// The load that a server can take right after its start.
  WarmUpLoad WarmUp;
};

/// Limits for callers, and the capacity of the fleet.
struct GatewayLimits {
  std::size_t MaxHeaderBytes = 16U << 10U;
  std::size_t MaxBodyBytes = 4U << 20U;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
  /// The token throughput of all engines together, as stated by the operators;
  /// 0 if not configured. Allocators use it as the engines' prefill speed.
  std::uint64_t TokensPerSecond = 0;
};

/// One version of the configuration.
struct GatewayConfiguration {
  std::int64_t Version = 0;
  std::vector<GatewayRoute> Routes;
  std::map<std::string, GatewayService> Services;
  GatewayLimits Limits;
  /// Maps each API key to the name of its client account.
  std::unordered_map<std::string, std::string> AccountOfKey;
  /// Whether accounts are configured, so that requests need a key.
  bool HasAccounts = false;

  /// The route of the host with the longest prefix that matches the path, or
  /// null.
  const GatewayRoute *findRoute(std::string_view Host,
                                std::string_view Path) const;
};

/// A listed backend server.
struct GatewayServer {
  std::string Id;
  std::string Service;
  Poco::Net::SocketAddress Address;
  std::string Zone;
  std::uint32_t Slots = 1;
  /// The version of the server's software; empty if unknown. Servers of several
  /// versions may serve side by side.
  std::string Version{};
  /// The server is about to stop and takes no new requests.
  bool Draining = false;
  /// When the server's process started, in milliseconds since 1970 by its own
  /// clock; 0 if unknown. The same identity with a later start is a new process
  /// without any state of the earlier one.
  std::int64_t StartedMs = 0;
  /// The remaining warm-up when the entry was written, if the entry states it.
  std::optional<Duration> WarmUpLeft{};
  /// The end of the warm-up, from `WarmUpLeft` and everything else known of the
  /// server, on the clock that includes suspended time. Set when the entry
  /// becomes active.
  TimePoint WarmUpEndsAt{};
  /// The operators have evacuated the server's availability zone.
  bool Evacuated = false;

  /// Whether new requests may be sent to the server.
  bool acceptsRequests() const { return !this->Draining && !this->Evacuated; }
};

using ServerList = std::map<std::string, GatewayServer>;

/// Where a router receives datagrams from other routers, and its CPU cores.
struct RouterEndpoint {
  std::string Address;
  double Cores = 1;
  /// The revision of the router's entry in the store. A router that was removed
  /// from the list and listed again has another revision.
  std::int64_t ListedRevision = 0;
  std::string Zone{};
  /// The newest message format that the router reads.
  MessageFormat Format = NewestMessageFormat;
};

class FleetHistory;

using RouterList = std::map<std::string, RouterEndpoint>;

/// An immutable snapshot of the router's view of the fleet. The control thread
/// creates a new snapshot for each change, and the traffic thread reads it.
/// Parts that did not change are shared between snapshots.
struct FleetView {
  std::shared_ptr<const GatewayConfiguration> Configuration;
  std::shared_ptr<const ServerList> Servers;
  /// The number of routers that share the servers, including this one.
  std::uint32_t RouterCount = 1;
  /// The listed routers, including this one.
  std::shared_ptr<const RouterList> RouterEndpoints;
  /// The latest time at which the configuration is known to have been the
  /// newest: when the request was sent whose response confirmed it. On the
  /// clock that includes suspended time.
  TimePoint ProvenAt{};
  /// The revision of the configuration in the store.
  std::int64_t ConfigurationRevision = 0;
  /// The lists contain all changes of servers and routers up to this revision.
  std::int64_t SeenRevision = 0;
  /// The latest time at which the lists are known to have been complete, on the
  /// same clock.
  TimePoint ListsProvenAt{};
  /// Evacuated availability zones, each with the revision of its evacuation.
  std::shared_ptr<const std::map<std::string, std::int64_t>> EvacuatedZones;
  /// Recent changes of the lists, for routers that use this one as their relay.
  std::shared_ptr<const FleetHistory> History;
};

} // namespace parsleywing

#endif
