#ifndef PARSLEYWING_GATEWAY_RETRYCHARGE_H
#define PARSLEYWING_GATEWAY_RETRYCHARGE_H

#include "Placement/RetryAllowance.h"
#include "Runtime/Clock.h"

namespace parsleywing {

/// What the attempts of one request are charged to the retry allowance of its
/// service. The first attempt that may reach a server is free; each further one
/// needs a charge, which is kept until such an attempt has been sent.
class RetryCharge {
public:
  RetryCharge(RetryAllowance &A, FleetShare &S, const Clock &C)
      : Allowance(A), Share(S), Time(C) {}
  RetryCharge(const RetryCharge &) = delete;
  RetryCharge &operator=(const RetryCharge &) = delete;
  /// An attempt that is still in progress may have reached its server.
  ~RetryCharge();

  /// Whether the next attempt needs a charge that has not been reserved yet.
  bool isNeeded() const {
    return this->ServerReached && this->State == ChargeState::None;
  }
  /// Whether a charge is reserved that no attempt has used.
  bool isUnused() const { return this->State == ChargeState::Reserved; }
  /// Reserves the charge for the next attempt.
  bool tryReserve();

  /// Gives back a charge that no attempt has used.
  void release();

  /// Called right before an attempt is sent; false if it must not be sent,
  /// since the allowance has shrunk since the charge was reserved.
  bool confirm();
  /// The attempt that was sent last has reached its server.
  void onServerReached();
  /// No byte of that attempt has left this router.
  void onNotSent();

private:
  enum class ChargeState { None, Reserved, Sent };

  RetryAllowance &Allowance;
  FleetShare &Share;
  const Clock &Time;
  bool ServerReached = false;
  ChargeState State = ChargeState::None;
};

} // namespace parsleywing

#endif
