#ifndef PARSLEYWING_OPERATOR_PEERFAULTORDER_H
#define PARSLEYWING_OPERATOR_PEERFAULTORDER_H

#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <string>
#include <vector>

namespace parsleywing {

/// The faults between this router and others that a test asks for. An order
/// takes the place of the one before; an empty one ends all faults.
struct PeerFaultOrder {
  /// Names of routers from which nothing comes and to which nothing goes.
  std::vector<std::string> CutFrom;
  /// Of the datagrams received.
  unsigned LossPercent = 0;
  /// Added to each datagram received.
  Duration Delay = Duration::zero();
};

/// Reads the body of `POST /faults`, such as
/// `{"cutFrom":["r2"],"lossPercent":10,"delayMs":50}`. `InvalidInput` for
/// anything else, unknown fields among it.
Result<PeerFaultOrder> readPeerFaultOrder(const std::string &Text);

} // namespace parsleywing

#endif
