#include "Platform/StoreBudget.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace parsleywing {

Duration StoreBudget::take(StoreCall Kind, TimePoint Now) {
  constexpr double Second = 1e6;
  std::lock_guard<std::mutex> Lock(this->Guard);
  if (Now > this->Filled) {
    const double Passed = static_cast<double>((Now - this->Filled).count());
    this->Tokens =
        std::min(this->Burst, this->Tokens + Passed / Second * this->PerSecond);
    this->Filled = Now;
  }
  if (this->Tokens < 1) {
    ++this->Waits;
    const double Missing = (1 - this->Tokens) / this->PerSecond * Second;
    return Duration(static_cast<Duration::rep>(std::ceil(Missing)) + 1);
  }
  this->Tokens -= 1;
  ++this->Counts[static_cast<std::size_t>(Kind)];
  return Duration::zero();
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
