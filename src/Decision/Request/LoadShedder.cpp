#include "Decision/Request/LoadShedder.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

LimitDecision LoadShedder::decide(AccountId Account) const {
  const auto Found = this->Accounts.find(Account);
  const auto Declared = this->InForce->Accounts.find(Account);
  if (Found != this->Accounts.end()) {
    if (Found->second.Open >= this->Settings.MaxOpenPerAccount)
      return {ResponseReason::AccountQueueFull, {}};
    if (Declared != this->InForce->Accounts.end() &&
        Found->second.Waits.size() >= Declared->second.MaxQueued)
      return {ResponseReason::AccountQueueFull, {}};
  }
  if (this->Waiting >= this->Settings.MaxWaiting)
    return this->makeRoom(Account, ResponseReason::RouterQueueFull);
  if (this->Open >= this->Settings.MaxOpen)
    return this->makeRoom(Account, ResponseReason::Overloaded);
  return {};
}

LimitDecision LoadShedder::makeRoom(AccountId Arriving,
                                    ResponseReason Reason) const {
  if (this->Ranked.empty())
    return {Reason, {}};
  const auto &[Load, Heaviest] = *this->Ranked.rbegin();
  const auto Found = this->Accounts.find(Arriving);
  const std::size_t Own =
      Found == this->Accounts.end() ? 0 : Found->second.Waits.size();
  if (Heaviest == Arriving || this->loadOf(Arriving, Own + 1) >= Load)
    return {Reason, {}};
  return {{}, this->Accounts.at(Heaviest).Waits.rbegin()->second};
}

void LoadShedder::add(AccountId Account, RequestId Request) {
  auto &Held = this->Accounts[Account];
  ++Held.Open;
  ++this->Open;
  ++this->Waiting;
  const std::uint64_t Arrival = this->NextArrival++;
  this->Arrivals.emplace(Request, Arrival);
  Held.Waits.emplace(Arrival, Request);
  this->rank(Account, Held.Waits.size() - 1, Held.Waits.size());
}

void LoadShedder::stopWaiting(AccountId Account, RequestId Request) {
  auto Found = this->Arrivals.find(Request);
  if (Found == this->Arrivals.end())
    return;
  auto &Held = this->Accounts.at(Account);
  Held.Waits.erase({Found->second, Request});
  this->Arrivals.erase(Found);
  --this->Waiting;
  this->rank(Account, Held.Waits.size() + 1, Held.Waits.size());
}

void LoadShedder::remove(AccountId Account, RequestId Request) {
  this->stopWaiting(Account, Request);
  auto Found = this->Accounts.find(Account);
  PARSLEYWING_INVARIANT(Found != this->Accounts.end() && Found->second.Open > 0,
                        "a removed request was counted as open");
  --this->Open;
  if (--Found->second.Open == 0)
    this->Accounts.erase(Found);
}

void LoadShedder::setDeclarations(DeclarationsPtr Declared) {
  this->InForce = std::move(Declared);
  this->Ranked.clear();
  for (const auto &[Account, Held] : this->Accounts)
    this->rank(Account, 0, Held.Waits.size());
}

double LoadShedder::loadOf(AccountId Account, std::size_t Waits) const {
  const auto Found = this->InForce->Accounts.find(Account);
  const double Share =
      Found == this->InForce->Accounts.end() ? 1 : Found->second.Share;
  return static_cast<double>(Waits) / Share;
}

void LoadShedder::rank(AccountId Account, std::size_t Before,
                       std::size_t After) {
  this->Ranked.erase({this->loadOf(Account, Before), Account});
  if (After > 0)
    this->Ranked.emplace(this->loadOf(Account, After), Account);
}

} // namespace parsleywing
