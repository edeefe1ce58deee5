#include "Platform/StoreBudget.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace parsleywing {

namespace {
constexpr double Second = 1e6;
} // namespace

double StoreBudget::tokensAt(TimePoint Now) const {
  if (Now <= this->Filled)
    return this->Tokens;
  const auto Passed = static_cast<double>((Now - this->Filled).count());
  return std::min(this->Burst,
                  this->Tokens + Passed / Second * this->PerSecond);
}

Duration StoreBudget::timeToNext(double Available) const {
  if (Available >= 1)
    return Duration::zero();
  const double Missing = (1 - Available) / this->PerSecond * Second;
  return Duration(static_cast<Duration::rep>(std::ceil(Missing)) + 1);
}

Duration StoreBudget::take(StoreCall Kind, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Guard);
  this->Tokens = this->tokensAt(Now);
  this->Filled = std::max(this->Filled, Now);
  const Duration Wait = this->timeToNext(this->Tokens);
  if (Wait > Duration::zero()) {
    ++this->Waits;
    return Wait;
  }
  this->Tokens -= 1;
  ++this->Counts[static_cast<std::size_t>(Kind)];
  return Duration::zero();
}

Duration StoreBudget::waitFor(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->timeToNext(this->tokensAt(Now));
}

std::uint64_t StoreBudget::taken(StoreCall Kind) const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Counts[static_cast<std::size_t>(Kind)];
}

Poco::JSON::Object::Ptr StoreBudget::dump() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  Poco::JSON::Object::Ptr Calls = new Poco::JSON::Object;
  for (const auto &[Kind, Name] : StoreCallNames)
    Calls->set(std::string(Name), this->Counts[static_cast<std::size_t>(Kind)]);
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("calls", Calls);
  Dump->set("waits", this->Waits);
  Dump->set("perSecond", this->PerSecond);
  return Dump;
}

} // namespace parsleywing
