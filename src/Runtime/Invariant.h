#ifndef PARSLEYWING_RUNTIME_INVARIANT_H
#define PARSLEYWING_RUNTIME_INVARIANT_H

namespace parsleywing::internal {

/// Prints the violated assumption with its source location and aborts the
/// process.
[[noreturn]] void reportBrokenInvariant(const char *Condition,
                                        const char *Assumption,
                                        const char *File, int Line);

} // namespace parsleywing::internal

/// Aborts the process if an internal assumption does not hold. Enabled in every
/// build type. Not for invalid input or failed I/O, which are returned as
/// `Result` values.
#define PARSLEYWING_INVARIANT(Condition, Assumption)                           \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::parsleywing::internal::reportBrokenInvariant(#Condition, Assumption,   \
                                                     __FILE__, __LINE__);      \
  } while (false)

#endif
