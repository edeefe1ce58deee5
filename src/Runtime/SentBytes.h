#ifndef PARSLEYWING_RUNTIME_SENTBYTES_H
#define PARSLEYWING_RUNTIME_SENTBYTES_H

#include <optional>

namespace parsleywing {

/// The number of bytes in the send queue of a TCP connection that the peer has
/// not acknowledged. Nothing if the descriptor is not a connection. Costs one
/// system call.
std::optional<int> unacknowledgedBytes(int Descriptor);

} // namespace parsleywing

#endif
