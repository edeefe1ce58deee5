#include "Decision/Fairness/SlotOwner.h"

#include "Runtime/Invariant.h"

#include <algorithm>

namespace parsleywing {

void SlotOwner::add(ServerId Server, std::uint32_t MaxConcurrent,
                    TimePoint GrantsStartAt) {
  auto [Found, IsNew] = this->Owned.try_emplace(Server);
  if (IsNew) {
    Found->second.Window = AdmissionWindow(MaxConcurrent);
    Found->second.GrantsStartAt = GrantsStartAt;
    return;
  }
  Found->second.Window.setMax(MaxConcurrent);
}

void SlotOwner::dropGone(const View &Current) {
  for (auto &Entry : this->Owned) {
    OwnedServer &OwnedEntry = Entry.second;
    std::erase_if(OwnedEntry.Holders, [&](const auto &Holder) {
      const auto Same = [&](const Member &M) {
        return M.Router == Holder.first &&
               M.IncarnationNumber == Holder.second.IncarnationNumber;
      };
      const bool Gone = std::ranges::none_of(Current.Members, Same);
      if (Gone)
        OwnedEntry.GrantedSlots -= Holder.second.held();
      return Gone;
    });
  }
}

AdmissionWindow &SlotOwner::windowOf(ServerId Server) {
  const auto Found = this->Owned.find(Server);
  PARSLEYWING_INVARIANT(Found != this->Owned.end(),
                        "only owned servers have a window");
  return Found->second.Window;
}

std::uint32_t SlotOwner::freeSlots(TimePoint Now, ServerId Server) const {
  const auto Found = this->Owned.find(Server);
  if (Found == this->Owned.end() || Now < Found->second.GrantsStartAt)
    return 0;
  const std::uint32_t Size = Found->second.Window.size();
  return Size > Found->second.GrantedSlots ? Size - Found->second.GrantedSlots
                                           : 0;
}

void SlotOwner::grant(ServerId Server, RouterId To,
                      Incarnation IncarnationNumber) {
  OwnedServer &OwnedEntry = this->Owned.at(Server);
  PARSLEYWING_INVARIANT(OwnedEntry.GrantedSlots < OwnedEntry.Window.size(),
                        "no more slots are granted than the window permits");
  Holding &Holder = OwnedEntry.Holders[To];
  if (Holder.IncarnationNumber != IncarnationNumber) {
    OwnedEntry.GrantedSlots -= Holder.held();
    Holder = Holding{};
    Holder.IncarnationNumber = IncarnationNumber;
  }
  ++Holder.Granted;
  ++OwnedEntry.GrantedSlots;
  Holder.LastGrant = TimePoint{};
  this->Unacknowledged.emplace(Server, To);
}

bool SlotOwner::applyReport(RouterId From, Incarnation IncarnationNumber,
                            const SlotReport &Report) {
  const auto Found = this->Owned.find(ServerId{Report.Server});
  if (Found == this->Owned.end() || Report.Returned > Report.GrantedSeen)
    return false;
  OwnedServer &OwnedEntry = Found->second;
  Holding &Holder = OwnedEntry.Holders[From];
  if (IncarnationNumber < Holder.IncarnationNumber)
    return false;
  const std::uint32_t Before = Holder.held();
  if (IncarnationNumber > Holder.IncarnationNumber) {
    Holder = Holding{};
    Holder.IncarnationNumber = IncarnationNumber;
  }
  Holder.Granted = std::max(Holder.Granted, Report.GrantedSeen);
  Holder.Acknowledged = std::max(Holder.Acknowledged, Report.GrantedSeen);
  Holder.Returned = std::max(Holder.Returned, Report.Returned);
  OwnedEntry.GrantedSlots = OwnedEntry.GrantedSlots - Before + Holder.held();
  if (Holder.Acknowledged >= Holder.Granted)
    this->Unacknowledged.erase({ServerId{Report.Server}, From});
  return Holder.held() < Before;
}

bool SlotOwner::agrees(RouterId From, const SlotReport &Report) const {
  const auto Found = this->Owned.find(ServerId{Report.Server});
  if (Found == this->Owned.end())
    return true;
  const auto Holder = Found->second.Holders.find(From);
  return Holder == Found->second.Holders.end() ||
         (Holder->second.Granted == Report.GrantedSeen &&
          Holder->second.Returned == Report.Returned);
}

void SlotOwner::takeBackOwn(ServerId Server, RouterId Self) {
  const auto Found = this->Owned.find(Server);
  if (Found == this->Owned.end())
    return;
  Holding &Holder = Found->second.Holders[Self];
  if (Holder.held() == 0)
    return;
  ++Holder.Returned;
  --Found->second.GrantedSlots;
}

void SlotOwner::adoptOwn(ServerId Server, const Member &Self,
                         std::uint32_t Held) {
  OwnedServer &OwnedEntry = this->Owned.at(Server);
  Holding &Holder = OwnedEntry.Holders[Self.Router];
  OwnedEntry.GrantedSlots -= Holder.held();
  Holder = Holding{};
  Holder.IncarnationNumber = Self.IncarnationNumber;
  Holder.Granted = Held;
  Holder.Acknowledged = Held;
  OwnedEntry.GrantedSlots += Held;
}

SlotGrant SlotOwner::grantOf(TimePoint Now, ServerId Server, RouterId To) {
  const auto Found = this->Owned.find(Server);
  if (Found == this->Owned.end())
    return {};
  Holding &Holder = Found->second.Holders[To];
  Holder.LastGrant = Now;
  return {Server.Value, Holder.Granted, Holder.Returned, Holder.MaxHeld};
}

std::vector<SlotOwner::Due> SlotOwner::unacknowledged(TimePoint Now,
                                                      Duration After) const {
  std::vector<Due> All;
  for (const auto &[Server, Router] : this->Unacknowledged) {
    const auto Found = this->Owned.find(Server);
    if (Found == this->Owned.end())
      continue;
    const auto Holder = Found->second.Holders.find(Router);
    if (Holder == Found->second.Holders.end() ||
        Holder->second.Acknowledged >= Holder->second.Granted)
      continue;
    if (Now >= Holder->second.LastGrant + After)
      All.push_back({Server, Router});
  }
  return All;
}

std::vector<SlotOwner::Due> SlotOwner::recall() {
  constexpr auto NoLimit = std::numeric_limits<std::uint16_t>::max();
  std::vector<Due> All;
  for (auto &[Server, OwnedEntry] : this->Owned) {
    const std::uint32_t Size = OwnedEntry.Window.size();
    for (auto &[Router, Holder] : OwnedEntry.Holders) {
      const std::uint32_t Held = Holder.held();
      if (OwnedEntry.GrantedSlots <= Size || Held == 0) {
        Holder.MaxHeld = NoLimit;
        continue;
      }
      // Each holder returns its part of the excess, rounded up.
      const std::uint32_t Excess = OwnedEntry.GrantedSlots - Size;
      const std::uint32_t ReturnCount =
          (Held * Excess + OwnedEntry.GrantedSlots - 1) /
          OwnedEntry.GrantedSlots;
      Holder.MaxHeld = static_cast<std::uint16_t>(Held - ReturnCount);
      All.push_back({Server, Router});
    }
  }
  return All;
}

std::vector<ServerId> SlotOwner::servers() const {
  std::vector<ServerId> All;
  All.reserve(this->Owned.size());
  for (const auto &[Server, OwnedEntry] : this->Owned)
    All.push_back(Server);
  return All;
}

std::uint32_t SlotOwner::outAt(ServerId Server) const {
  const auto Found = this->Owned.find(Server);
  return Found == this->Owned.end() ? 0 : Found->second.GrantedSlots;
}

} // namespace parsleywing
