#ifndef PARSLEYWING_RUNTIME_INVARIANT_H
#define PARSLEYWING_RUNTIME_INVARIANT_H

namespace parsleywing::internal {

/// Prints the broken assumption with its place and ends the process by abort.
[[noreturn]] void reportBrokenInvariant(const char *Condition,
                                        const char *Assumption,
                                        const char *File, int Line);

} // namespace parsleywing::internal

/// Stops the process when an assumption of the program itself does not hold.
/// On in every build. Not for bad input or failed I/O: those are outcomes,
/// returned as values.
#define PARSLEYWING_INVARIANT(Condition, Assumption)                           \
  do {                                                                         \
    if (!(Condition))                                                          \
      ::parsleywing::internal::reportBrokenInvariant(#Condition, Assumption,   \
                                                     __FILE__, __LINE__);      \
  } while (false)

#endif
