#ifndef PARSLEYWING_GATEWAY_GATEWAYFRONT_H
#define PARSLEYWING_GATEWAY_GATEWAYFRONT_H

#include "Gateway/CachedPartsReader.h"
#include "Gateway/CallerSession.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/FleetDistributor.h"
#include "Gateway/GatewayContext.h"
#include "Overload/AcceptGate.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleywing {

/// Serves callers, the load balancer's readiness checks and operators on one
/// event loop. Used on the thread that calls `run`; `updateView` and `drain`
/// are thread-safe. `GatewayFrontFleet.cpp` handles updates of the fleet's
/// state.
class GatewayFront {
public:
  GatewayFront(GatewaySettings S, const WireFormat &F, Metrics &M);
  ~GatewayFront();
  GatewayFront(const GatewayFront &) = delete;
  GatewayFront &operator=(const GatewayFront &) = delete;

  /// Opens the listening sockets. Fails with `Unreachable` if an address is in
  /// use.
  Result<void> open();

  /// Serves until a drain has finished.
  void run() { this->Loop.run(); }

  /// Ends `run` immediately, without a drain. Thread-safe.
  void stop() { this->Loop.stop(); }

  /// Applies a new view of the fleet on the loop's thread. Thread-safe.
  void updateView(std::shared_ptr<const FleetView> View);

  /// Starts a drain: reports not ready, closes connections after their
  /// responses, and ends the loop when no connection is left or the drain times
  /// out. Thread-safe.
  void drain();

  /// Starts receiving fleet updates from a relay. Call before `run`.
  void subscribeToRelay(FleetDistributor::MessageCallback OnMessage) {
    this->Fleet.start(std::move(OnMessage));
  }
  RelayRole relayRole() const { return this->Fleet.role(); }
  /// Uses another relay for a while. Thread-safe.
  void switchRelay() {
    this->Loop.post([this] { this->Fleet.switchRelay(); });
  }

  /// Whether the load balancer may send callers to this router.
  bool ready() const;

private:
  using Handler = CallerSession::Handler;
  using Sessions = std::map<CallerSession *, std::shared_ptr<CallerSession>>;

  Result<void> listenOn(const std::string &Address, Handler OnRequest,
                        bool FromCallers);
  /// Starts or stops to accept connections of callers, as processor time
  /// permits.
  void updateAcceptGate();
  void closeCallerListener();
  void reopenCallerListener();
  void acceptPending(Poco::Net::ServerSocket &Listening,
                     const Handler &OnRequest, bool FromCallers);
  void serveConnection(Poco::Net::StreamSocket &Accepted,
                       const Handler &OnRequest, bool FromCallers);
  void serveSession(std::shared_ptr<ByteChannel> Channel,
                    const Handler &OnRequest, bool FromCallers);
  /// Counts and logs the bytes that a caller connection lost when it ended.
  void recordLoss(const ChannelLoss &Loss);
  void pauseAccepting(const Poco::Net::ServerSocket &Listening);
  static void closeIdleSessions(const Sessions &Candidates);
  void serveCaller(const std::shared_ptr<CallerSession> &Session,
                   IncomingRequest Request);
  void serveReadiness(const std::shared_ptr<CallerSession> &Session) const;
  void serveOperator(const std::shared_ptr<CallerSession> &Session,
                     const IncomingRequest &Request);
  std::string dumpState() const;
  Poco::JSON::Object::Ptr dumpRetryBudgets() const;
  Poco::JSON::Array::Ptr dumpPartCrashes() const;
  Poco::JSON::Object::Ptr dumpOverload() const;
  void acceptPart(const std::shared_ptr<CallerSession> &Session,
                  const HttpHead &Request);
  void startDrain(TimePoint RequestedAt);
  void checkDrain();
  void stopSessions();
  void abortUnsentChannels();
  /// The caller connections that hold buffered bytes.
  std::vector<BufferHolder> bufferHolders();
  void addBufferGauges();
  void recordEviction(std::size_t Bytes);
  void housekeeping();
  /// Logs what took the processor time of the last second, and whose requests
  /// were refused.
  void logLoad();
  Poco::JSON::Object::Ptr dumpAccounts() const;
  void startCachedPartsQueries();
  /// Ends the active requests for which `End` finds a reason.
  void endRequests(void (GatewayRequest::*End)());
  /// Closes idle connections to servers that have restarted or moved.
  void closeStaleConnections(const ServerList &NewServers);
  void applyView(const std::shared_ptr<const FleetView> &View);
  void updateVersions(const FleetView &View);
  void notifyAwaitingProof();
  void onRouterMessage(const RouterMessage &Message,
                       const Poco::Net::SocketAddress &From);
  void addGauges();
  /// The largest number of versions among the servers of one service.
  std::size_t mostVersions() const;

  GatewaySettings Settings;
  Metrics &MetricsRegistry;
  /// Outlives the connections that count their buffers in it.
  BufferBudget Buffers;
  EventLoop Loop;
  GatewayCounters Counters;
  ServerTable Servers;
  UpstreamPool Pool;
  RouterMessenger Routers;
  FleetDistributor Fleet;
  AllocationAgent Agent;
  CachedPartsReader PartsReader;
  PartCrashGuard PartCrashes;
  CrashDetector Crashes;
  ServerSignals Signals;
  FleetShare SlackShare;
  StreamAgent Streams;
  VersionHistory Versions;
  GatewayContext Context;
  std::vector<Poco::Net::ServerSocket> Listeners;
  /// None while connections of callers are refused.
  std::optional<Poco::Net::ServerSocket> CallerListener;
  Handler OnCallerRequest;
  AcceptGate Gate;
  /// The listener could not be opened again.
  bool ListenFailed = false;
  Sessions CallerSessions;
  /// Sessions of the load balancer's readiness checks and of operators.
  Sessions InternalSessions;
  /// Open caller connections, including those whose session has ended and that
  /// are still sending the last response.
  std::set<std::shared_ptr<ByteChannel>> CallerChannels;
  /// The newest view, until the loop applies it.
  std::atomic<std::shared_ptr<const FleetView>> PendingView;
  TimePoint DrainStartedAt{};
  /// Counts at the last `logLoad`.
  struct LoadCounts {
    std::clock_t ProcessTime = 0;
    std::uint64_t Accepted = 0;
    std::uint64_t Requests = 0;
    std::uint64_t Refused = 0;
    std::uint64_t Served = 0;
    std::uint64_t Events = 0;
    std::uint64_t ListenerClosed = 0;
  };
  LoadCounts loadCounts() const;
  LoadCounts LastLoad;
  std::uint64_t AcceptedConnections = 0;
  bool WasReady = false;
  bool Overloaded = false;
};

} // namespace parsleywing

#endif
