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

/// Settings of the transport between this router and the others.
struct PeerSettings {
  RouterId Self;
  Incarnation Life = 0;
  /// IP:port for UDP and TCP. Port 0 selects a port that is free for both.
  std::string BindAddress;
  /// The same on all routers of a fleet, and different between fleets.
  std::string FleetSecret;
  /// How long a part waits for further parts to the same peer.
  Duration BatchingInterval = std::chrono::milliseconds(100);
  /// The byte budget of datagrams, including IP and UDP headers.
  std::int64_t BytesPerSecond = 4096;
  std::int64_t BurstBytes = 16384;
  /// Datagrams that have waited longer than this for the budget are outdated
  /// and dropped.
  Duration MaxWait = std::chrono::seconds(1);
  std::size_t BulkLimitBytes = std::size_t{8} << 20;
  /// For a complete bulk message: connecting, sending and its acknowledgement.
  Duration BulkDeadline = std::chrono::seconds(5);
  /// Allows `setBlockedPeers` and `setFaults`. For tests only.
  bool FaultInjectionAllowed = false;
};

/// Faults to inject, for tests.
struct PeerFaults {
  unsigned LossPercent = 0; ///< Percentage of received datagrams to drop.
  Duration Delay = Duration::zero(); ///< Added to each datagram received.
};

/// Transports parts between routers: small ones batched in UDP datagrams under
/// a byte budget, bulk ones over TCP. Delivery is not guaranteed; senders must
/// repeat what matters. Owns three threads and the thread pool of a small TCP
/// server. All member functions are thread safe, and none blocks on the
/// network. Not used for the traffic of callers.
class PeerTransport {
public:
  /// Receives incoming parts; called on the transport's threads, must not
  /// block.
  using Sink = std::function<void(PeerPartReceived)>;

  /// Binds both sockets and starts the threads. Fails if the address cannot be
  /// bound.
  static Result<std::unique_ptr<PeerTransport>>
  start(PeerSettings Settings, Sink Received,
        const Clock &Time = Clock::steady());

  ~PeerTransport();
  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Queues a part for a router with a known address. Parts that cannot be sent
  /// are dropped and counted, since all of them carry soft state.
  void send(const SendToPeer &Outgoing);

  /// Queues a part for whichever router listens on this IP:port.
  void sendToAddress(const std::string &Address, const PeerPart &Part);

  /// Sets the address of a router. Fails if it is not an IP:port.
  Result<void> setAddress(RouterId Peer, const std::string &Address);

  /// Removes the address of a router; parts for it are dropped.
  void removeAddress(RouterId Peer);

  /// Drops all traffic to and from these routers. Fails with `Denied` unless
  /// the settings allow fault injection.
  Result<void> setBlockedPeers(std::set<RouterId> Peers);

  /// Drops and delays received datagrams. Fails with `Denied` unless the
  /// settings allow fault injection.
  Result<void> setFaults(PeerFaults Faults);

  const PeerCounters &counters() const;

  /// The bound IP:port.
  std::string address() const;

  /// The active settings, the known addresses and the counters.
  Poco::JSON::Object::Ptr dump() const;

private:
  class Impl;
  explicit PeerTransport(std::unique_ptr<Impl> State);

  std::unique_ptr<Impl> State;
};

} // namespace parsleywing

#endif
