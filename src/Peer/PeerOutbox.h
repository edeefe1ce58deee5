#ifndef PARSLEYWING_PEER_PEEROUTBOX_H
#define PARSLEYWING_PEER_PEEROUTBOX_H

#include "Peer/ByteBudget.h"
#include "Peer/PeerCounters.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleywing {

/// The maximum size of a datagram, small enough that no path fragments it.
inline constexpr std::size_t DatagramBytes = 1200;

/// The number of bytes of a datagram available for parts.
inline constexpr std::size_t DatagramPartBytes =
    DatagramBytes - PeerHeaderBytes;

/// A batch of encoded parts that is ready to be sent to one destination.
struct OutgoingBatch {
  std::string Destination;
  std::string Parts;
  bool Urgent = false;
};

/// Collects parts into batches by destination and schedules when each batch is
/// sent. Deterministic, without locks or I/O; the transport synchronizes
/// access.
///
/// Batches that the budget does not allow yet wait, urgent ones first and then
/// in order of age, and are dropped once older than `BatchingInterval` plus
/// `MaxWait`. A short wait smooths bursts; a late digest would only be sent
/// after the newer one that replaces it.
class PeerOutbox {
public:
  PeerOutbox(Duration BatchingInterval, Duration MaxWait, ByteBudget Budget,
             PeerCounters &Counters)
      : BatchingInterval(BatchingInterval), MaxWait(MaxWait), Budget(Budget),
        Counters(Counters) {}

  /// Adds an encoded part. A part that exceeds `DatagramPartBytes` is dropped
  /// and counted.
  void add(TimePoint Now, const std::string &Destination,
           const std::string &Part, bool Urgent);

  /// Removes and returns the next batch to send now, or nothing.
  std::optional<OutgoingBatch> take(TimePoint Now);

  /// The time at which to call `take` again; nothing if no part is queued.
  std::optional<TimePoint> nextDue(TimePoint Now) const;

private:
  struct Batch {
    OutgoingBatch Content;
    TimePoint Due;
    TimePoint Created;
  };

  Batch &batchFor(TimePoint Now, const std::string &Destination,
                  std::size_t Bytes);
  void dropStale(TimePoint Now);

  Duration BatchingInterval;
  Duration MaxWait;
  ByteBudget Budget;
  PeerCounters &Counters;
  std::vector<Batch> Batches; ///< In order of creation.
};

} // namespace parsleywing

#endif
