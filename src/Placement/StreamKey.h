#ifndef PARSLEYWING_PLACEMENT_STREAMKEY_H
#define PARSLEYWING_PLACEMENT_STREAMKEY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace parsleywing {

/// Identifies a stream to all routers, whichever of them began it.
struct StreamKey {
  std::uint64_t Value = 0;

  friend bool operator==(const StreamKey &, const StreamKey &) = default;
  friend bool operator<(const StreamKey &Left, const StreamKey &Right) {
    return Left.Value < Right.Value;
  }
};

/// The key of the stream whose first event was brought by the attempt with this
/// id: the first bytes of a SHA-256 digest over account and id, so that no
/// account can name the stream of another one. Takes about a microsecond.
StreamKey streamKeyOf(std::string_view Account, std::string_view RequestId);

} // namespace parsleywing

template <> struct std::hash<parsleywing::StreamKey> {
  std::size_t operator()(const parsleywing::StreamKey &Key) const noexcept {
    return static_cast<std::size_t>(Key.Value);
  }
};

#endif
