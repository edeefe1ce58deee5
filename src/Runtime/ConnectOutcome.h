#ifndef PARSLEYWING_RUNTIME_CONNECTOUTCOME_H
#define PARSLEYWING_RUNTIME_CONNECTOUTCOME_H

#include "Runtime/EnumNames.h"

namespace parsleywing {

/// What a connection attempt shows about the remote host.
enum class ConnectOutcome {
  Listening, ///< The connection was accepted.
  Refused,   ///< The host is up, but no process listens on the port.
  Unknown,   ///< Neither was observed within the time limit.
};

inline constexpr EnumNames<ConnectOutcome, 3> ConnectOutcomeNames{{
    {ConnectOutcome::Listening, "listening"},
    {ConnectOutcome::Refused, "refused"},
    {ConnectOutcome::Unknown, "unknown"},
}};

} // namespace parsleywing

#endif
