#include "Runtime/SentBytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace parsleywing {

std::optional<int> unacknowledgedBytes(int Descriptor) {
  int Count = 0;
  if (::ioctl(Descriptor, SIOCOUTQ, &Count) != 0)
    return std::nullopt;
  return Count;
}

} // namespace parsleywing
