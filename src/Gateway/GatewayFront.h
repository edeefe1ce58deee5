#ifndef PARSLEYWING_GATEWAY_GATEWAYFRONT_H
#define PARSLEYWING_GATEWAY_GATEWAYFRONT_H

#include "Gateway/CachedPartsReader.h"
#include "Gateway/CallerSession.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/FleetExchange.h"
#include "Gateway/GatewayContext.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleywing {

/// Serves callers, the balancer's question and operators on one loop. All of
/// it belongs to the thread that calls `run`; `takeView` and `drain` are safe
/// from any thread. What it hears of the fleet stands in
/// `GatewayFrontFleet.cpp`.
class GatewayFront {
public:
  GatewayFront(GatewaySettings S, const WireFormat &F, Metrics &M);
  ~GatewayFront();
  GatewayFront(const GatewayFront &) = delete;
  GatewayFront &operator=(const GatewayFront &) = delete;

  /// Opens the listening addresses. Fails with `Unreachable` where one is
  /// taken.
  Result<void> open();

  /// Serves until a drain has ended.
  void run() { this->Loop.run(); }

  /// Ends `run` at once, without a drain. Safe from any thread.
  void stop() { this->Loop.stop(); }

  void updateView(std::shared_ptr<const FleetView> View);

  /// Begins to stop: not ready from now on, connections are closed behind
  /// their answers, and the loop ends when none is left or at the drain limit.
  void drain();

  /// Hears of the fleet from a relay. Before `run`.
  void subscribeToRelay(FleetExchange::MessageCallback Told) {
    this->Fleet.start(std::move(Told));
  }
  RelayRole relayRole() const { return this->Fleet.role(); }
  /// Safe from any thread.
  void switchRelay() {
    this->Loop.post([this] { this->Fleet.switchRelay(); });
  }

  /// Whether the balancer may send callers here.
  bool ready() const;

private:
  using Handler = CallerSession::Handler;
  using Sessions = std::map<CallerSession *, std::shared_ptr<CallerSession>>;

  Result<void> listenOn(const std::string &Address, Handler Handle,
                        bool Callers);
  void acceptPending(Poco::Net::ServerSocket &Listening, const Handler &Handle,
                     bool Callers);
  void serveConnection(Poco::Net::StreamSocket &Accepted, const Handler &Handle,
                       bool Callers);
  /// Counts and logs what a caller's connection lost as it ended.
  void recordLoss(const ChannelLoss &Loss);
  void pauseAccepting(const Poco::Net::ServerSocket &Listening);
  static void closeIdleSessions(const Sessions &Among);
  void serveCaller(const std::shared_ptr<CallerSession> &Session,
                   IncomingRequest Request);
  void serveReadiness(const std::shared_ptr<CallerSession> &Session) const;
  void serveOperator(const std::shared_ptr<CallerSession> &Session,
                     const IncomingRequest &Request);
  std::string dumpState() const;
  void startDrain(TimePoint Asked);
  void checkDrain();
  void stopSessions();
  void abortUnsentChannels();
  void housekeeping();
  void startCachedPartsQueries();
  /// Ends what is in hand of requests that are refused by now.
  void endRefusedRequests();
  void closeStaleConnections(const ServerList &New);
  void applyView(const std::shared_ptr<const FleetView> &View);
  void onRouterMessage(const RouterMessage &Message,
                       const Poco::Net::SocketAddress &From);
  void addGauges();

  GatewaySettings Settings;
  Metrics &MetricsRegistry;
  EventLoop Loop;
  GatewayCounters Counters;
  ServerTable Servers;
  UpstreamPool Pool;
  RouterExchange Routers;
  FleetExchange Fleet;
  AllocationAgent Agent;
  CachedPartsReader PartsReader;
  CrashDetector Crashes;
  GatewayContext Context;
  std::vector<Poco::Net::ServerSocket> Listeners;
  Sessions CallerSessions;
  Sessions AdminSessions;
  /// Open connections of callers, with those that only send their last answer.
  std::set<std::shared_ptr<ByteChannel>> CallerChannels;
  /// What the feed has told last, until the loop takes it.
  std::atomic<std::shared_ptr<const FleetView>> PendingView;
  TimePoint DrainStartedAt{};
  bool WasReady = false;
  bool Overloaded = false;
};

} // namespace parsleywing

#endif
