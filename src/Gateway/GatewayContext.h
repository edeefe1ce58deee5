#ifndef PARSLEYWING_GATEWAY_GATEWAYCONTEXT_H
#define PARSLEYWING_GATEWAY_GATEWAYCONTEXT_H

#include "Gateway/AllocationAgent.h"
#include "Gateway/CrashDetector.h"
#include "Gateway/RefusalReason.h"
#include "Gateway/RelayTimes.h"
#include "Gateway/ServerSignals.h"
#include "Gateway/StreamAgent.h"
#include "Gateway/TerminationReason.h"
#include "Gateway/UpstreamPool.h"
#include "Placement/AdmissionShare.h"
#include "Placement/FleetShare.h"
#include "Placement/RetryAllowance.h"
#include "Placement/ServerTable.h"
#include "Placement/VersionHistory.h"
#include "Runtime/AccountCounts.h"
#include "Runtime/Log.h"
#include "Runtime/Metrics.h"

#include <algorithm>
#include <map>
#include <set>

namespace parsleywing {

/// Settings of one router's request traffic.
struct GatewaySettings {
  std::string Name;
  std::string Zone;
  /// Numeric IP and port of the listener for callers.
  std::string CallerAddress;
  /// Listener for the load balancer's readiness checks.
  std::string ReadyAddress;
  /// Listener for metrics and the state dump.
  std::string OperatorAddress;
  /// Receives datagrams from other routers; empty to receive none.
  std::string PeerAddress;
  /// CPU cores of this router. Routers with more cores do a larger part of the
  /// work that routers share.
  double Cores = 1;
  RetryBounds Retries;
  /// Bounds on what the fleet may send to a server that is warming up.
  WarmUpBounds WarmUps;
  /// Slots of a plain service with fewer slots than routers are granted by an
  /// allocator, instead of each router choosing servers alone.
  bool ShareSlots = false;
  /// See `AllocatorOptions`.
  bool WeighCachedPrompts = false;
  Duration RereadInterval = AllocatorOptions().RereadInterval;
  /// A revoked key must stop working within this time.
  Duration RevocationBound = std::chrono::seconds(5);
  /// An accepted configuration must be active within this time.
  Duration ConfigurationBound = std::chrono::seconds(2);
  /// A server that announces its removal must receive no more requests after
  /// this time.
  Duration RemovalBound = std::chrono::seconds(2);
  /// The servers of an evacuated availability zone must receive no more
  /// requests this long after the evacuation was requested.
  Duration EvacuationBound = std::chrono::seconds(5);
  /// Time from the stop signal to the end of the process.
  Duration DrainTimeout = std::chrono::seconds(8);
  /// Max simultaneously open caller connections.
  std::uint32_t MaxCallerConnections = 1500;
  /// Max memory of the buffers of all connections.
  std::size_t MaxBufferBytes = BufferBudget::Unlimited;
  LogLevel MinLogLevel = LogLevel::Info;
  std::string LogTarget = "stdout";

  AllocatorOptions allocatorOptions() const {
    AllocatorOptions Options;
    Options.WeighCachedPrompts = this->WeighCachedPrompts;
    Options.RereadInterval = this->RereadInterval;
    return Options;
  }
  FleetBounds fleetBounds() const {
    return {this->RevocationBound, this->ConfigurationBound,
            std::min(this->RemovalBound, this->EvacuationBound)};
  }
};

/// Metrics of the retry budget of one service.
struct RetryCounters {
  /// Retries that the budget has permitted.
  Counter &Charged;
  /// Retries that were possible, but not permitted.
  Counter &Denied;
  /// Permitted retries that were not sent.
  Counter &Returned;
};

/// Metrics of requests and connections.
struct GatewayCounters {
  explicit GatewayCounters(Metrics &M);

  Counter &Requests;
  Counter &Served;
  /// Answered with 503 by this router: the request has not run.
  Counter &Refused;
  /// Requests refused for this reason.
  Counter &refusedBy(RefusalReason Reason) const {
    return *this->RefusedByReason.at(Reason);
  }
  /// Requests that ended for this reason.
  Counter &terminatedBy(TerminationReason Reason) const {
    return *this->TerminatedByReason.at(Reason);
  }
  /// Answered with 502 or 504 by this router: the request may have run.
  Counter &Failed;
  /// The server's response was forwarded, with a status other than success.
  Counter &FailedByServer;
  /// Answered with a 4xx status by this router: the request is invalid, or its
  /// route or key is unknown.
  Counter &Denied;
  Counter &Truncated;
  Counter &CallersDisconnected;
  Counter &CallersOverLimit;
  /// How often connections of callers were refused for some time, since this
  /// router lacked processor time.
  Counter &ListenerClosed;
  /// Caller connections that ended with unsent response bytes.
  Counter &ClosedWithUnsent;
  /// Caller connections that ended with unread input.
  Counter &ClosedWithUnread;
  /// Caller connections that received bytes after the router had finished
  /// them.
  Counter &ClosedWithDiscarded;
  /// Caller connections that were ended since the buffers of the process
  /// exceeded their limit.
  Counter &EndedForBuffers;
  Counter &Attempts;
  Counter &Retries;
  Counter &Resumed;
  /// Attempts whose server stopped responding, so that another one was asked.
  Counter &Unresponsive;
  /// Of these, how they ended: the server responded again, another server
  /// continued the request, or the server ended the connection.
  Counter &UnresponsiveRecovered;
  Counter &UnresponsiveSuperseded;
  Counter &UnresponsiveLost;
  /// Requests of callers that take up a stream, and those of them whose
  /// stream goes on.
  Counter &Resumptions;
  Counter &ResumptionsContinued;
  Counter &NewConnections;
  Counter &StreamEvents;
  LatencyHistogram &TimeToFirstChunk;
  LatencyHistogram &RequestDuration;

  RetryCounters &retriesOf(const std::string &Service);

private:
  Metrics &Registry;
  std::map<RefusalReason, Counter *> RefusedByReason;
  std::map<TerminationReason, Counter *> TerminatedByReason;
  std::map<std::string, RetryCounters> RetriesByService;
};

class GatewayRequest;

/// State shared by the requests of one router. Used only on the event loop's
/// thread.
struct GatewayContext {
  EventLoop &Loop;
  const WireFormat &Format;
  const GatewaySettings &Settings;
  ServerTable &Servers;
  UpstreamPool &Pool;
  AllocationAgent &Agent;
  GatewayCounters &Counters;
  CrashDetector &Crashes;
  PartCrashGuard &PartCrashes;
  ServerSignals &Signals;
  /// This router's share of the slack of all retry allowances.
  FleetShare &SlackShare;
  /// Which software streams are bound to.
  StreamAgent &Streams;
  /// Which software may have begun a stream of unknown origin.
  VersionHistory &Versions;
  /// What connections hold for callers and servers that read slowly.
  BufferBudget &Buffers;
  /// Includes time in which the VM was suspended, which the age of a proof must
  /// include.
  Clock BootClock = Clock::sinceBoot();
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  /// Requests that have not ended yet.
  std::set<GatewayRequest *> ActiveRequests{};
  /// Those of them that wait for a proof of the lists.
  std::set<GatewayRequest *> AwaitingProof{};
  /// By service. Their times are on `BootClock`.
  std::map<std::string, RetryAllowance> RetryAllowances{};
  /// The longest timeout that callers have sent, by route name. A request with
  /// a shorter timeout is taken for a caller's retry: the difference has passed
  /// since the caller's first attempt.
  std::map<std::string, Duration> MaxTimeoutByRoute{};
  /// A stop signal was received: connections are closed after their
  /// responses.
  bool Draining = false;
  /// More caller connections are open than `MaxCallerConnections`, so the
  /// request that just arrived is refused.
  bool CallerLimitExceeded = false;
  /// New requests are refused, since too little time of the drain is left to
  /// serve them.
  bool RefusingNewRequests = false;

  /// Who is admitted while this router lacks processor time.
  AdmissionShare Admissions{};
  /// What became of each account's requests at this router.
  AccountCounts Accounts{};

  RetryAllowance &retryAllowance(const std::string &Service) {
    return this->RetryAllowances.try_emplace(Service, this->Settings.Retries)
        .first->second;
  }

  /// Age of the proof that the configuration is the newest one.
  Duration proofAge() const {
    return this->BootClock.now() - this->View->ProvenAt;
  }

  /// Age of the proof that the lists of servers, routers and zones are
  /// complete.
  Duration listsAge() const {
    return this->BootClock.now() - this->View->ListsProvenAt;
  }
};

} // namespace parsleywing

#endif
