#include "Decision/Request/LoadShedder.h"

#include "Runtime/Invariant.h"

namespace parsleywing {

LimitDecision LoadShedder::decide(AccountId Account) const {
  const auto Found = this->Accounts.find(Account);
  const auto Declared = this->ActiveDeclarations->Accounts.find(Account);
  if (Found != this->Accounts.end()) {
    if (Found->second.Open >= this->Settings.MaxOpenPerAccount)
      return {ResponseReason::AccountQueueFull, {}};
    if (Declared != this->ActiveDeclarations->Accounts.end() &&
        Found->second.WaitingRequests.size() >= Declared->second.MaxQueued)
      return {ResponseReason::AccountQueueFull, {}};
  }
  if (this->Waiting >= this->Settings.MaxWaiting)
    return this->chooseShed(Account, ResponseReason::RouterQueueFull);
  if (this->Open >= this->Settings.MaxOpen)
    return this->chooseShed(Account, ResponseReason::Overloaded);
  return {};
}

LimitDecision LoadShedder::chooseShed(AccountId Arriving,
                                      ResponseReason Reason) const {
  if (this->Ranked.empty())
    return {Reason, {}};
  const auto &[HighestLoad, Heaviest] = *this->Ranked.rbegin();
  const auto Found = this->Accounts.find(Arriving);
  const std::size_t WaitingCount =
      Found == this->Accounts.end() ? 0 : Found->second.WaitingRequests.size();
  if (Heaviest == Arriving ||
      this->loadOf(Arriving, WaitingCount + 1) >= HighestLoad)
    return {Reason, {}};
  return {{}, this->Accounts.at(Heaviest).WaitingRequests.rbegin()->second};
}

void LoadShedder::add(AccountId Account, RequestId Request) {
  auto &State = this->Accounts[Account];
  ++State.Open;
  ++this->Open;
  ++this->Waiting;
  const std::uint64_t Arrival = this->NextArrival++;
  this->Arrivals.emplace(Request, Arrival);
  State.WaitingRequests.emplace(Arrival, Request);
  this->rank(Account, State.WaitingRequests.size() - 1,
             State.WaitingRequests.size());
}

void LoadShedder::stopWaiting(AccountId Account, RequestId Request) {
  auto Found = this->Arrivals.find(Request);
  if (Found == this->Arrivals.end())
    return;
  auto &State = this->Accounts.at(Account);
  State.WaitingRequests.erase({Found->second, Request});
  this->Arrivals.erase(Found);
  --this->Waiting;
  this->rank(Account, State.WaitingRequests.size() + 1,
             State.WaitingRequests.size());
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
  this->ActiveDeclarations = std::move(Declared);
  this->Ranked.clear();
  for (const auto &[Account, State] : this->Accounts)
    this->rank(Account, 0, State.WaitingRequests.size());
}

double LoadShedder::loadOf(AccountId Account, std::size_t WaitingCount) const {
  const auto Found = this->ActiveDeclarations->Accounts.find(Account);
  const double Share = Found == this->ActiveDeclarations->Accounts.end()
                           ? 1
                           : Found->second.Share;
  return static_cast<double>(WaitingCount) / Share;
}

void LoadShedder::rank(AccountId Account, std::size_t Before,
                       std::size_t After) {
  this->Ranked.erase({this->loadOf(Account, Before), Account});
  if (After > 0)
    this->Ranked.emplace(this->loadOf(Account, After), Account);
}

} // namespace parsleywing
