#ifndef PARSLEYWING_PEER_REPLAYWINDOW_H
#define PARSLEYWING_PEER_REPLAYWINDOW_H

#include "Decision/Membership/View.h"

#include <cstdint>

namespace parsleywing {

/// Detects duplicate datagrams of one sender. The network may duplicate a
/// datagram; without this check an account would be charged twice for it.
/// Remembers the last 64 sequence numbers; an older number counts as received.
/// A new incarnation of the sender resets the window. Datagrams of an older
/// incarnation pass unchecked, since membership must inform that process of its
/// successor; other readers of a part compare the incarnation number.
class ReplayWindow {
public:
  bool accept(Incarnation SenderIncarnation, std::uint32_t Sequence) {
    if (SenderIncarnation < this->IncarnationNumber)
      return true;
    if (SenderIncarnation > this->IncarnationNumber) {
      this->IncarnationNumber = SenderIncarnation;
      this->HighestSequence = Sequence;
      this->ReceivedMask = 1;
      return true;
    }
    // As a signed number, the difference is correct across wraparound.
    const auto Ahead =
        static_cast<std::int32_t>(Sequence - this->HighestSequence);
    if (Ahead > 0) {
      this->ReceivedMask = Ahead < 64 ? (this->ReceivedMask << Ahead) | 1 : 1;
      this->HighestSequence = Sequence;
      return true;
    }
    const std::int64_t Age = -std::int64_t{Ahead};
    if (Age >= 64 || ((this->ReceivedMask >> Age) & 1) != 0)
      return false;
    this->ReceivedMask |= std::uint64_t{1} << Age;
    return true;
  }

private:
  Incarnation IncarnationNumber = 0;
  std::uint32_t HighestSequence = 0;
  std::uint64_t ReceivedMask = 0;
};

} // namespace parsleywing

#endif
