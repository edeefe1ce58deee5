#ifndef PARSLEYWING_PEER_PEERTRANSPORT_H
#define PARSLEYWING_PEER_PEERTRANSPORT_H

#include "Decision/PeerPart.h"
#include "Peer/PeerCounters.h"
#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <Poco/JSON/Object.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace parsleywing {

/// How a router talks to the others.
struct PeerSettings {
  RouterId Self;
  Incarnation Life = 0;
  /// IP:port for UDP and TCP. Port 0 takes any that is free for both.
  std::string BindAddress;
  /// Equal on all routers of a fleet, and on no other fleet.
  std::string FleetSecret;
  /// How long a part waits for others to the same peer.
  Duration BatchingInterval = std::chrono::milliseconds(100);
  /// For datagrams, IP and UDP headers included.
  std::int64_t BytesPerSecond = 4096;
  std::int64_t BurstBytes = 16384;
  /// A datagram that waited longer for the budget is stale: it is dropped.
  Duration LongestWait = std::chrono::seconds(1);
  std::size_t BulkLimitBytes = std::size_t{8} << 20;
  /// For a whole bulk message: connecting, sending and its receipt.
  Duration BulkDeadline = std::chrono::seconds(5);
  /// Allows `setBlockedPeers` and `setFaults`. For tests only.
  bool FaultInjectionAllowed = false;
};

/// Faults that a test asks for.
struct PeerFaults {
  unsigned LossPercent = 0;          ///< Of the datagrams received.
  Duration Delay = Duration::zero(); ///< Added to each datagram received.
};

/// Carries parts to and from other routers: small ones batched in UDP
/// datagrams under a byte budget, bulk ones over TCP. Nothing is delivered for
/// sure; whoever sends must repeat what matters. Owns three threads and the
/// threads of a small TCP server; every member function is safe from any
/// thread and none blocks on the network. Not for caller traffic.
class PeerTransport {
public:
  /// Takes what arrives; called on the transport's threads, must not block.
  using Sink = std::function<void(PeerPartReceived)>;

  /// Binds both sockets and starts. Fails where the address cannot be bound.
  static Result<std::unique_ptr<PeerTransport>>
  start(PeerSettings Settings, Sink Received,
        const Clock &Time = Clock::steady());

  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Queues a part for a router in the address book. Parts that cannot go are
  /// dropped and counted, as all of them are soft state.
  void send(const SendToPeer &Order);

  /// Queues a part for whichever router listens at this IP:port.
  void sendToAddress(const std::string &Address, const PeerPart &Part);

  /// Says where a router is reached. Fails where it is no IP:port.
  Result<void> setAddress(RouterId Peer, const std::string &Address);

  /// Forgets a router; parts for it are dropped.
  void removeAddress(RouterId Peer);

  /// Drops all traffic to and from these routers. Fails with `Denied` unless
  /// the settings allow fault injection.
  Result<void> setBlockedPeers(std::set<RouterId> Peers);

  /// Loses and delays datagrams. Fails with `Denied` unless allowed.
  Result<void> setFaults(PeerFaults Faults);

  const PeerCounters &counters() const;

  /// The bound IP:port.
  std::string address() const;

  /// Settings in force, address book and counters.
  Poco::JSON::Object::Ptr dump() const;

private:
  class Impl;
  explicit PeerTransport(std::unique_ptr<Impl> State);

  std::unique_ptr<Impl> State;
};

} // namespace parsleywing

#endif
