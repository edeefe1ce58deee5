#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRNESSSETTINGS_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRNESSSETTINGS_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace parsleywing {

/// Routers share nothing: each has its own queues and an equal part of the
/// slots of each server. The baseline for comparison.
struct LocalOnlyPolicy {};

/// Slots move between routers, and virtual times cover the charges of all
/// routers.
struct SharedPolicy {};

using FairnessPolicy = std::variant<LocalOnlyPolicy, SharedPolicy>;

/// The settings of the scheduler. The defaults give the fairness gap and the
/// utilisation equal weight; docs/FAIRNESS.md shows the extremes.
struct FairnessSettings {
  FairnessPolicy Policy = SharedPolicy{};
  /// Seed of all random choices of the scheduler.
  std::uint64_t Seed = 1;
  /// Interval at which digests are sent.
  Duration DigestInterval = std::chrono::seconds(1);
  /// Peers that receive a digest in each interval, in round-robin order.
  std::size_t DigestFanout = 3;
  /// Peers that are notified immediately when requests start or cease to be
  /// queued here.
  std::size_t DigestBurst = 16;
  /// Interval at which a router sends digests if it has queued requests but
  /// runs none of the service, and the number of receivers. The receivers have
  /// queued requests too, so that they have slots that become free.
  Duration StarvedDigestInterval = std::chrono::milliseconds(250);
  std::size_t StarvedDigestFanout = 4;
  /// How long a new process waits before it sends its own virtual time, which
  /// is still zero, to other routers.
  Duration StartupQuietPeriod = std::chrono::milliseconds(500);
  /// Digests older than this are not used.
  Duration DigestLifetime = std::chrono::seconds(4);
  /// Interval at which contributions are sent to the homes, if the bandwidth
  /// limit permits.
  Duration ContributionInterval = std::chrono::seconds(1);
  /// Bytes per second that contributions and their replies may use at this
  /// router. The interval is extended to stay below this limit.
  double ContributionBytesPerSecond = 2500;
  /// How long data that is not urgent waits to share a datagram.
  Duration FlushInterval = std::chrono::milliseconds(250);
  /// Data that has not been acknowledged for this long is sent again.
  Duration ResendInterval = std::chrono::seconds(1);
  /// How long a new owner waits for the reports of slot holders before it
  /// grants slots.
  Duration TakeoverWait = std::chrono::milliseconds(500);
  /// How long a new home raises its total to the totals that entry routers
  /// report.
  Duration HomeTakeover = std::chrono::seconds(5);
  /// How long free slots are retained while no request is known to be queued.
  Duration IdleHold = std::chrono::milliseconds(500);
  /// The number of other routers whose digests are compared for each slot.
  std::size_t SampleSize = 3;
  /// How far a router may be ahead of the others and still reuse its slot, as a
  /// multiple of the tokens per share of an average request. A smaller value
  /// reduces the fairness gap and causes more slot moves.
  double ReturnSlack = 16;
  /// Like `ReturnSlack`, for a slot that has just been granted: the grant was
  /// based on older digests.
  double GrantSlack = 32;
  /// Tokens per share that one account may have in flight at this router while
  /// others are queued. One request is always permitted.
  double InFlightCap = 4096;
  /// The token estimate of a request is clamped to the mean cost divided and
  /// multiplied by this factor.
  double HintFactor = 4;
  /// The mean cost of a request in tokens, until the first request has ended.
  double FirstMeanCost = 256;
  /// Tokens per share by which an account may be ahead of or behind the others.
  /// The time to restore the fairness gap after a fault grows with it.
  double MaxDebt = 12288;
  /// Requests that the engine's own queue may hold.
  std::uint32_t EngineQueueTarget = 1;
  /// Without a load report for this long, the window grows by one, up to the
  /// declared concurrency.
  Duration ReportLifetime = std::chrono::seconds(5);
  /// Minimum time between two reductions of a window, because load reports are
  /// delayed.
  Duration WindowSettle = std::chrono::seconds(1);
  /// Maximum payload of a datagram in bytes.
  std::size_t MaxMessageBytes = 1200;
};

/// The size of the IP and UDP headers of each datagram in bytes.
inline constexpr std::size_t DatagramHeaderBytes = 28;

/// Counters since the start of the scheduler.
struct FairnessCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  /// Includes the headers of each datagram.
  std::uint64_t BytesSent = 0;
  std::uint64_t SlotsGranted = 0;
  std::uint64_t SlotsReturned = 0;
};

} // namespace parsleywing

#endif
