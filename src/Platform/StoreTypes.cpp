#include "Platform/StoreTypes.h"

namespace parsleywing {

std::string prefixRangeEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    const auto Last = static_cast<unsigned char>(Prefix.back());
    if (Last != 0xFF) {
      Prefix.back() = static_cast<char>(Last + 1);
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0');
}

} // namespace parsleywing
