#ifndef PARSLEYWING_DECISION_FAIRNESS_FAIRNESSSETTINGS_H
#define PARSLEYWING_DECISION_FAIRNESS_FAIRNESSSETTINGS_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace parsleywing {

/// Nothing is shared: each router has its own queues and an equal part of the
/// slots of each server. The baseline.
struct LocalOnlyPolicy {};

/// Slots move between routers, and account positions are those of the fleet.
struct SharedPolicy {};

using FairnessPolicy = std::variant<LocalOnlyPolicy, SharedPolicy>;

/// What may be set about fairness. The defaults weigh the gap and utilisation
/// alike; docs/FAIRNESS.md shows both ends.
struct FairnessSettings {
  FairnessPolicy Policy = SharedPolicy{};
  /// Seed of every random choice inside.
  std::uint64_t Seed = 1;
  /// How often digests go out.
  Duration DigestInterval = std::chrono::seconds(1);
  /// Peers that get a digest at each interval, in turn.
  std::size_t DigestFanout = 3;
  /// Peers told at once when requests begin, or cease, to wait here.
  std::size_t DigestBurst = 16;
  /// A router where requests wait and nothing of the service runs says so this
  /// often, to so many of those where requests wait as well: these have slots
  /// to free.
  Duration StarvedDigestInterval = std::chrono::milliseconds(250);
  std::size_t StarvedDigestFanout = 4;
  /// How long a new process listens before it tells its own, still empty,
  /// virtual time to others.
  Duration StartupQuietPeriod = std::chrono::milliseconds(500);
  /// A digest is not used when older than this.
  Duration DigestLifetime = std::chrono::seconds(4);
  /// How often contributions go to the homes, where the budget allows.
  Duration ContributionInterval = std::chrono::seconds(1);
  /// Bytes a second that contributions and answers may use at this router;
  /// the interval is stretched to stay below.
  double ContributionBytesPerSecond = 2500;
  /// How long what is not urgent waits to share a datagram.
  Duration FlushInterval = std::chrono::milliseconds(250);
  /// What was not acknowledged for this long is sent again.
  Duration ResendInterval = std::chrono::seconds(1);
  /// How long a new owner lets holders report before it gives slots away.
  Duration TakeoverWait = std::chrono::milliseconds(500);
  /// How long a new home raises its total to what entry routers report.
  Duration HomeTakeover = std::chrono::seconds(5);
  /// Free slots are kept this long while nobody is known to wait.
  Duration IdleHold = std::chrono::milliseconds(500);
  /// Other routers whose digests are compared for each slot.
  std::size_t SampleSize = 3;
  /// Requests' worth of tokens a share that a router may be ahead of the
  /// others and still reuse its slot. Smaller: a smaller gap, more moves.
  double ReturnSlack = 16;
  /// The same for a slot that just arrived, which travelled on older news.
  double GrantSlack = 32;
  /// Tokens a share that one account may have in flight at this router while
  /// others wait; one request is always allowed.
  double InFlightCap = 4096;
  /// A hint is taken as at most, and at least, this many times the mean cost.
  double HintFactor = 4;
  /// The mean cost of a request before any has ended, in tokens.
  double FirstMeanCost = 256;
  /// Tokens a share that an account may owe, or be owed. The time in which the
  /// gap is restored after a fault grows with it.
  double MaxDebt = 12288;
  /// Requests the engine's own queue may hold.
  std::uint32_t EngineQueueTarget = 1;
  /// Without a report for this long the window grows by one, up to what is
  /// declared.
  Duration ReportLifetime = std::chrono::seconds(5);
  /// The least time between two cuts of a window: reports are late.
  Duration WindowSettle = std::chrono::seconds(1);
  /// Payload bytes of the largest datagram.
  std::size_t MaxMessageBytes = 1200;
};

/// Bytes of the headers of IP and UDP that each datagram adds.
inline constexpr std::size_t DatagramHeaderBytes = 28;

/// What the scheduler did since its start.
struct FairnessCounters {
  std::uint64_t Admitted = 0;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  /// With the headers of each datagram.
  std::uint64_t BytesSent = 0;
  std::uint64_t SlotsGranted = 0;
  std::uint64_t SlotsReturned = 0;
};

} // namespace parsleywing

#endif
