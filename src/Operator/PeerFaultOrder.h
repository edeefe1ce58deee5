#ifndef PARSLEYWING_OPERATOR_PEERFAULTORDER_H
#define PARSLEYWING_OPERATOR_PEERFAULTORDER_H

#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <string>
#include <vector>

namespace parsleywing {

/// The faults to inject on the network between this router and the others, for
/// tests. Each order replaces the one before; an empty one ends all faults.
struct PeerFaultOrder {
  /// Names of routers from which and to which all traffic is dropped.
  std::vector<std::string> CutFrom;
  /// The percentage of received datagrams to drop.
  unsigned LossPercent = 0;
  /// The delay added to each received datagram.
  Duration Delay = Duration::zero();
};

/// Parses the body of `POST /faults`, such as
/// `{"cutFrom":["r2"],"lossPercent":10,"delayMs":50}`. Fails with
/// `InvalidInput` for anything else, including unknown fields.
Result<PeerFaultOrder> readPeerFaultOrder(const std::string &Text);

} // namespace parsleywing

#endif
