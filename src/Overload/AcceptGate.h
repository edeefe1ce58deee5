#ifndef PARSLEYWING_OVERLOAD_ACCEPTGATE_H
#define PARSLEYWING_OVERLOAD_ACCEPTGATE_H

#include "Runtime/Clock.h"

namespace parsleywing {

/// Whether a router that lacks processor time accepts connections of callers.
/// To accept a connection, read its request and refuse it takes a tenth or more
/// of the time that serving one takes, so that a flood can leave a router no
/// time to serve anything. A connection that the kernel refuses costs the
/// router nothing, and its caller tries another router at once.
class AcceptGate {
public:
  /// Above the first lag of the event loop connections are refused, below the
  /// second one they are accepted again.
  static constexpr Duration CloseLag = std::chrono::milliseconds(40);
  static constexpr Duration OpenLag = std::chrono::milliseconds(20);
  /// How often the lag is looked at while connections are refused.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(5);

  /// Returns whether connections are accepted at this lag.
  bool update(Duration Lag) {
    this->Open = Lag <= (this->Open ? CloseLag : OpenLag);
    return this->Open;
  }

  bool isOpen() const { return this->Open; }

private:
  bool Open = true;
};

} // namespace parsleywing

#endif
