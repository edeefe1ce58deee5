#include "Gateway/RetryCharge.h"

namespace parsleywing {

RetryCharge::~RetryCharge() {
  this->release();
  if (this->State == ChargeState::Sent)
    this->Allowance.settle(this->Time.now());
}

void RetryCharge::release() {
  if (this->State != ChargeState::Reserved)
    return;
  this->Allowance.cancel();
  this->State = ChargeState::None;
}

bool RetryCharge::tryReserve() {
  if (!this->isNeeded())
    return true;
  if (!this->Allowance.tryReserve(this->Time.now(), this->Share))
    return false;
  this->State = ChargeState::Reserved;
  return true;
}

bool RetryCharge::confirm() {
  if (this->State != ChargeState::Reserved)
    return true;
  if (!this->Allowance.isWithinBound(this->Time.now(), this->Share)) {
    this->Allowance.cancel();
    this->State = ChargeState::None;
    return false;
  }
  this->State = ChargeState::Sent;
  return true;
}

void RetryCharge::onServerReached() {
  this->ServerReached = true;
  if (this->State != ChargeState::Sent)
    return;
  this->Allowance.settle(this->Time.now());
  this->State = ChargeState::None;
}

void RetryCharge::onNotSent() {
  if (this->State == ChargeState::Sent)
    this->State = ChargeState::Reserved;
}

} // namespace parsleywing
