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

/// Datagrams are never larger than this, so that no path fragments them.
inline constexpr std::size_t DatagramBytes = 1200;

/// The bytes of a datagram left for parts.
inline constexpr std::size_t DatagramPartBytes =
    DatagramBytes - PeerHeaderBytes;

/// A batch of encoded parts that is ready to go to one destination.
struct OutgoingBatch {
  std::string Destination;
  std::string Parts;
  bool Urgent = false;
};

/// Gathers parts by destination and says which batches may leave when.
/// Deterministic and without locks or I/O; the transport guards it.
///
/// A batch that the budget does not allow waits, urgent ones first and then
/// the longest waiting, and is dropped once it is older than `LongestWait`: a
/// short wait evens out bursts, while a late digest would be sent after the
/// newer one that replaces it.
class PeerOutbox {
public:
  PeerOutbox(Duration BatchingInterval, Duration LongestWait, ByteBudget Budget,
             PeerCounters &Counters)
      : BatchingInterval(BatchingInterval), LongestWait(LongestWait),
        Budget(Budget), Counters(Counters) {}

  /// Adds an encoded part. Too large ones are dropped and counted.
  void add(TimePoint Now, const std::string &Destination,
           const std::string &Part, bool Urgent);

  /// The next batch to send now, or nothing.
  std::optional<OutgoingBatch> take(TimePoint Now);

  /// When `take` should be asked again; nothing where no part waits.
  std::optional<TimePoint> nextDue(TimePoint Now) const;

private:
  struct Batch {
    OutgoingBatch Content;
    TimePoint Due;
    TimePoint Started;
  };

  Batch &openBatch(TimePoint Now, const std::string &Destination,
                   std::size_t Bytes);
  void dropStale(TimePoint Now);

  Duration BatchingInterval;
  Duration LongestWait;
  ByteBudget Budget;
  PeerCounters &Counters;
  std::vector<Batch> Batches; ///< In the order in which they were started.
};

} // namespace parsleywing

#endif
