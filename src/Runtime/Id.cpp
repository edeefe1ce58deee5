#include "Runtime/Id.h"

#include <array>
#include <xxhash.h>

namespace parsleywing {

std::uint64_t hashName(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

std::uint64_t rendezvousScore(std::uint64_t Holder, std::uint64_t Key) {
  const std::array<std::uint64_t, 2> Pair{Holder, Key};
  return XXH3_64bits(Pair.data(), sizeof(Pair));
}

} // namespace parsleywing
