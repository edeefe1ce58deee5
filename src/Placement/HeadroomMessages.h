#ifndef PARSLEYWING_PLACEMENT_HEADROOMMESSAGES_H
#define PARSLEYWING_PLACEMENT_HEADROOMMESSAGES_H

#include "Placement/CorrelationId.h"

#include <cstdint>

namespace parsleywing {

/// Asks a router for its spare processor time. Sent by a router that lacks it.
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

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->SpareMsPerSecond, this->LagMs);
  }
};

} // namespace parsleywing

#endif
