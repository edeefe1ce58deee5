#include "Runtime/Id.h"

#include <array>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace parsleywing {

std::uint64_t hashName(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

std::uint64_t rendezvousScore(std::uint64_t Node, std::uint64_t Key) {
  const std::array<std::uint64_t, 2> NodeAndKey{Node, Key};
  return XXH3_64bits(NodeAndKey.data(), sizeof(NodeAndKey));
}

double weightedRendezvousScore(std::uint64_t Node, std::uint64_t Key,
                               double Weight) {
  constexpr double MaxScore =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double Uniform =
      (static_cast<double>(rendezvousScore(Node, Key)) + 1) / (MaxScore + 2);
  return Weight / -std::log(Uniform);
}

} // namespace parsleywing
