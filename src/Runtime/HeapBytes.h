#ifndef PARSLEYWING_RUNTIME_HEAPBYTES_H
#define PARSLEYWING_RUNTIME_HEAPBYTES_H

#include <cstddef>
#include <string>

namespace parsleywing {

/// The heap memory of a text.
inline std::size_t heapBytes(const std::string &Text) {
  static const std::size_t InlineCapacity = std::string().capacity();
  return Text.capacity() > InlineCapacity ? Text.capacity() : 0;
}

} // namespace parsleywing

#endif
