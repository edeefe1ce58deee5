#ifndef PARSLEYWING_PEER_REPLAYWINDOW_H
#define PARSLEYWING_PEER_REPLAYWINDOW_H

#include "Decision/Membership/View.h"

#include <cstdint>

namespace parsleywing {

/// Tells whether a datagram of one sender was seen before. The network may
/// double a datagram; the sign would be an account charged twice for it. Keeps
/// the last 64 sequence numbers; an older number counts as seen. A new life of
/// the sender starts afresh. Datagrams of an older life pass unchecked, since
/// membership must tell that process of its successor; whoever else reads a
/// part compares the life.
class ReplayWindow {
public:
  bool accept(Incarnation FromLife, std::uint32_t Sequence) {
    if (FromLife < this->Life)
      return true;
    if (FromLife > this->Life) {
      this->Life = FromLife;
      this->Highest = Sequence;
      this->Seen = 1;
      return true;
    }
    // Taken as signed, the difference stays right when the number wraps.
    const auto Ahead = static_cast<std::int32_t>(Sequence - this->Highest);
    if (Ahead > 0) {
      this->Seen = Ahead < 64 ? (this->Seen << Ahead) | 1 : 1;
      this->Highest = Sequence;
      return true;
    }
    const std::int64_t Behind = -std::int64_t{Ahead};
    if (Behind >= 64 || ((this->Seen >> Behind) & 1) != 0)
      return false;
    this->Seen |= std::uint64_t{1} << Behind;
    return true;
  }

private:
  Incarnation Life = 0;
  std::uint32_t Highest = 0;
  std::uint64_t Seen = 0;
};

} // namespace parsleywing

#endif
