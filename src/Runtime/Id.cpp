#include "Runtime/Id.h"

#include <array>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace parsleywing {

std::uint64_t hashName(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

std::uint64_t rendezvousScore(std::uint64_t Holder, std::uint64_t Key) {
  const std::array<std::uint64_t, 2> Pair{Holder, Key};
  return XXH3_64bits(Pair.data(), sizeof(Pair));
}

double weightedRendezvousScore(std::uint64_t Holder, std::uint64_t Key,
                               double Weight) {
  constexpr double Whole =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double Drawn =
      (static_cast<double>(rendezvousScore(Holder, Key)) + 1) / (Whole + 2);
  return Weight / -std::log(Drawn);
}

} // namespace parsleywing
