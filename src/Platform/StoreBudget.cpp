#include "Platform/StoreBudget.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace parsleywing {

namespace {
constexpr double MicrosecondsPerSecond = 1e6;
} // namespace

double StoreBudget::tokensAt(TimePoint Now) const {
  if (Now <= this->RefilledAt)
    return this->Tokens;
  const auto Elapsed = static_cast<double>((Now - this->RefilledAt).count());
  return std::min(this->Burst, this->Tokens + Elapsed / MicrosecondsPerSecond *
                                                  this->PerSecond);
}

Duration StoreBudget::timeToNextToken(double Available) const {
  if (Available >= 1)
    return Duration::zero();
  const double Missing =
      (1 - Available) / this->PerSecond * MicrosecondsPerSecond;
  return Duration(static_cast<Duration::rep>(std::ceil(Missing)) + 1);
}

Duration StoreBudget::tryAcquire(StoreCall Kind, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Tokens = this->tokensAt(Now);
  this->RefilledAt = std::max(this->RefilledAt, Now);
  const Duration Wait = this->timeToNextToken(this->Tokens);
  if (Wait > Duration::zero()) {
    ++this->WaitCount;
    return Wait;
  }
  this->Tokens -= 1;
  ++this->CallCounts[static_cast<std::size_t>(Kind)];
  return Duration::zero();
}

Duration StoreBudget::timeUntilAvailable(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->timeToNextToken(this->tokensAt(Now));
}

std::uint64_t StoreBudget::callCount(StoreCall Kind) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->CallCounts[static_cast<std::size_t>(Kind)];
}

Poco::JSON::Object::Ptr StoreBudget::dump() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Poco::JSON::Object::Ptr Calls = new Poco::JSON::Object;
  for (const auto &[Kind, Name] : StoreCallNames)
    Calls->set(std::string(Name),
               this->CallCounts[static_cast<std::size_t>(Kind)]);
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("calls", Calls);
  Dump->set("waits", this->WaitCount);
  Dump->set("perSecond", this->PerSecond);
  return Dump;
}

} // namespace parsleywing
