#ifndef PARSLEYWING_RUNTIME_SENTBYTES_H
#define PARSLEYWING_RUNTIME_SENTBYTES_H

#include <optional>

namespace parsleywing {

/// Bytes of a TCP connection that the system has taken and the peer's system
/// has not confirmed. Nothing where the descriptor is of no connection. Costs a
/// call of the system.
std::optional<int> unacknowledgedBytes(int Descriptor);

} // namespace parsleywing

#endif
