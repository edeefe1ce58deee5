#ifndef PARSLEYWING_GATEWAY_GATEWAYCONTEXT_H
#define PARSLEYWING_GATEWAY_GATEWAYCONTEXT_H

#include "Gateway/AllocationAgent.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/RefusalReason.h"
#include "Gateway/RelayTimes.h"
#include "Gateway/UpstreamPool.h"
#include "Placement/RetryAllowance.h"
#include "Placement/ServerTable.h"
#include "Runtime/Log.h"
#include "Runtime/Metrics.h"

#include <algorithm>
#include <map>
#include <set>

namespace parsleywing {

/// Settings of the traffic of one router.
struct GatewaySettings {
  std::string Name;
  std::string Zone;
  /// Numeric IP and port on which callers are served.
  std::string CallerAddress;
  /// Where the balancer asks whether this router is ready.
  std::string ReadyAddress;
  /// Where metrics and the dump of state are served.
  std::string OperatorAddress;
  /// Datagrams of other routers; empty for none.
  std::string PeerAddress;
  /// Cores that this router has. Those with more do more for the others.
  double Cores = 1;
  RetryBounds Retries;
  /// What the fleet may send to a server that warms up.
  WarmUpBounds WarmUps;
  /// A key that was taken away must not work for longer than this.
  Duration RevocationBound = std::chrono::seconds(5);
  /// A configuration is in force so long after it was accepted.
  Duration ConfigurationBound = std::chrono::seconds(2);
  /// A server that leaves gets no requests so long after it said so.
  Duration RemovalBound = std::chrono::seconds(2);
  /// The servers of an evacuated zone get no requests so long after it was
  /// asked for.
  Duration EvacuationBound = std::chrono::seconds(5);
  /// From the stop signal to the end of the process.
  Duration DrainTimeout = std::chrono::seconds(8);
  /// Connections of callers that are open at once.
  std::uint32_t MaxCallerConnections = 1500;
  LogLevel MinLogLevel = LogLevel::Info;
  std::string LogTarget = "stdout";

  FleetBounds fleetBounds() const {
    return {this->RevocationBound, this->ConfigurationBound,
            std::min(this->RemovalBound, this->EvacuationBound)};
  }
};

/// How requests ended, for the metrics.
struct GatewayCounters {
  explicit GatewayCounters(Metrics &Into);

  Counter &Requests;
  Counter &Served;
  Counter &Refused;
  /// How often each reason refused a request.
  Counter &refusedBy(RefusalReason Why) const {
    return *this->RefusedByReason.at(Why);
  }
  Counter &Failed;
  Counter &FailedByServer;
  Counter &Denied;
  Counter &Truncated;
  Counter &CallersDisconnected;
  Counter &CallersOverLimit;
  /// Connections of callers that ended with bytes of an answer not sent.
  Counter &ClosedWithUnsent;
  /// Those that ended with bytes of their caller not read.
  Counter &ClosedWithUnread;
  /// Those on which bytes came behind the end that the router had given them.
  Counter &ClosedWithDiscarded;
  Counter &Attempts;
  Counter &Retries;
  Counter &Resumed;
  Counter &NewConnections;
  Counter &StreamEvents;
  LatencyHistogram &TimeToFirstChunk;
  LatencyHistogram &RequestDuration;

private:
  std::map<RefusalReason, Counter *> RefusedByReason;
};

class GatewayRequest;

/// What the requests of one router share. All of it belongs to the thread of
/// the loop.
struct GatewayContext {
  EventLoop &Loop;
  const WireFormat &Format;
  const GatewaySettings &Settings;
  ServerTable &Servers;
  UpstreamPool &Pool;
  AllocationAgent &Agent;
  GatewayCounters &Counters;
  CrashDetector &Crashes;
  /// Counts suspended time, as the ages of proofs must.
  Clock BootClock = Clock::sinceBoot();
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  /// Requests that have not ended.
  std::set<GatewayRequest *> ActiveRequests{};
  std::map<std::string, RetryAllowance> RetryAllowances{};
  /// The longest time that callers of a route have given, by the route's name:
  /// what one has left less than this has passed since its first attempt.
  std::map<std::string, Duration> MaxTimeoutByRoute{};
  /// A stop signal came: connections are closed behind their answers.
  bool Draining = false;
  /// More callers are connected than are served; the newest is refused.
  bool CallerLimitExceeded = false;
  /// New requests are refused: too little of the drain is left for them.
  bool RefusingNewRequests = false;

  RetryAllowance &retryAllowance(const std::string &Service) {
    return this->RetryAllowances.try_emplace(Service, this->Settings.Retries)
        .first->second;
  }

  /// How old the proof is that the configuration is the newest one.
  Duration proofAge() const {
    return this->BootClock.now() - this->View->ProvenAt;
  }
};

} // namespace parsleywing

#endif
