#ifndef PARSLEYWING_PLACEMENT_HEADROOMMESSAGES_H
#define PARSLEYWING_PLACEMENT_HEADROOMMESSAGES_H

#include "Placement/CorrelationId.h"

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace parsleywing {

// Messages of earlier releases, which redirected and relayed the work of
// routers that lack processor time. They are neither sent nor replied to, and
// keep their places among the kinds of messages.

/// Asks a router for its spare processor time.
struct HeadroomQuery {
  CorrelationId Id;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Id); }
};

/// The reply to a `HeadroomQuery`.
struct HeadroomReport {
  /// As in the query.
  CorrelationId Id;
  /// The processor time that the router has left, in milliseconds per second.
  /// Zero if its event loop lags, or if it cannot serve requests at present.
  std::uint32_t SpareMsPerSecond = 0;
  std::uint32_t LagMs = 0;
  /// The router's listener for callers, to which connections may be relayed:
  /// numeric IP and port.
  std::string CallerAddress{};

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->SpareMsPerSecond, this->LagMs, this->CallerAddress);
  }
};

/// Sent by a router that drains to the targets of its relays: the receiver
/// closes the connections that the sender relays to it, as it closes those of
/// its own callers in its own drain. Sent again until the relays are gone.
struct RelayedConnectionsClose {
  CorrelationId Id;
  /// Set from the point of the drain on at which idle connections are closed;
  /// before, responses only announce the close.
  bool IdleToo = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->IdleToo);
  }
};

} // namespace parsleywing

#endif
