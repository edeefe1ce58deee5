#include "Decision/Fairness/FairScheduler.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

FairnessActions FairScheduler::handle(TimePoint, const FairnessEvent &Event) {
  std::visit([this](const auto &E) { this->on(E); }, Event);
  FairnessActions Actions;
  for (const auto &[Service, Declared] : this->InForce->Services)
    while (this->admitOne(Service, Actions))
      continue;
  return Actions;
}

void FairScheduler::on(const RequestQueued &Event) {
  ServiceQueue &Service = this->Services[Event.Service];
  AccountQueue &Account = Service.Accounts[Event.Account];
  if (Account.Requests.empty())
    Account.VirtualTime = std::max(Account.VirtualTime, Service.VirtualNow);
  Account.Requests.push_back({Event.Request, Event.EstimatedTokens});
}

void FairScheduler::on(const RequestWithdrawn &Event) {
  for (auto &[Service, Queue] : this->Services)
    for (auto &[Account, Waits] : Queue.Accounts)
      std::erase_if(Waits.Requests, [&](const Waiting &W) {
        return W.Request == Event.Request;
      });
}

void FairScheduler::on(const RequestCharged &Event) {
  auto Found = this->Running.find(Event.Request);
  if (Found != this->Running.end())
    this->charge(Found->second, Event.Tokens);
}

void FairScheduler::on(const RequestReleased &Event) {
  auto Found = this->Running.find(Event.Request);
  if (Found == this->Running.end())
    return;
  Admitted &Request = Found->second;
  this->charge(Request, Event.Tokens);
  PARSLEYWING_INVARIANT(this->InUse[Request.Server] > 0,
                        "a released slot was in use");
  --this->InUse[Request.Server];
  this->Running.erase(Found);
}

void FairScheduler::on(const ServerConditionChanged &Event) {
  this->Conditions[Event.Server] = Event.Condition;
}

void FairScheduler::on(const DeclarationsChanged &Event) {
  this->InForce = Event.InForce;
}

void FairScheduler::on(const ViewChanged &Event) {
  this->Current = Event.Current;
}

void FairScheduler::charge(Admitted &Request, std::uint64_t Tokens) {
  const auto Account = this->InForce->Accounts.find(Request.Account);
  const double Share =
      Account == this->InForce->Accounts.end() ? 1 : Account->second.Share;
  const double Change =
      static_cast<double>(Tokens) - static_cast<double>(Request.ChargedTokens);
  this->Services[Request.Service].Accounts[Request.Account].VirtualTime +=
      Change / Share;
  Request.ChargedTokens = Tokens;
}

std::uint32_t FairScheduler::slotsHere(ServerId Server) const {
  const auto Declared = this->InForce->Servers.find(Server);
  if (Declared == this->InForce->Servers.end())
    return 0;
  const auto Routers = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, this->Current.Members.size()));
  return std::max(1U, Declared->second.MaxConcurrent / Routers);
}

ServerId
FairScheduler::findFreeServer(const ServiceDeclaration &Service) const {
  ServerId Best;
  std::uint32_t BestFree = 0;
  for (ServerId Server : Service.Servers) {
    const auto Condition = this->Conditions.find(Server);
    if (Condition != this->Conditions.end() &&
        Condition->second != ServerCondition::Usable)
      continue;
    const auto Used = this->InUse.find(Server);
    const std::uint32_t Busy = Used == this->InUse.end() ? 0 : Used->second;
    const std::uint32_t Slots = this->slotsHere(Server);
    if (Busy >= Slots || Slots - Busy <= BestFree)
      continue;
    BestFree = Slots - Busy;
    Best = Server;
  }
  return Best;
}

bool FairScheduler::admitOne(ServiceId Service, FairnessActions &Actions) {
  auto Found = this->Services.find(Service);
  if (Found == this->Services.end())
    return false;
  AccountQueue *Next = nullptr;
  AccountId NextAccount;
  for (auto &[Account, Queue] : Found->second.Accounts) {
    if (Queue.Requests.empty())
      continue;
    if (Next != nullptr && Queue.VirtualTime >= Next->VirtualTime)
      continue;
    Next = &Queue;
    NextAccount = Account;
  }
  if (Next == nullptr)
    return false;
  const ServerId Server =
      this->findFreeServer(this->InForce->Services.at(Service));
  if (Server == ServerId{})
    return false;
  const Waiting First = Next->Requests.front();
  Next->Requests.pop_front();
  Found->second.VirtualNow =
      std::max(Found->second.VirtualNow, Next->VirtualTime);
  Admitted &Request = this->Running[First.Request];
  Request = Admitted{NextAccount, Service, Server, 0};
  ++this->InUse[Server];
  this->charge(Request, First.EstimatedTokens);
  Actions.emplace_back(AdmitRequest{First.Request, Server});
  return true;
}

} // namespace parsleywing
