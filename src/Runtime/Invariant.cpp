#include "Runtime/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace parsleywing::internal {

void reportBrokenInvariant(const char *Condition, const char *Assumption,
                           const char *File, int Line) {
  std::fprintf(stderr, "invariant broken: %s (%s) at %s:%d\n", Assumption,
               Condition, File, Line);
  std::abort();
}

} // namespace parsleywing::internal
