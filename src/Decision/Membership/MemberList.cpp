#include "Decision/Membership/MemberList.h"

#include "Runtime/Invariant.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace parsleywing {
namespace {

bool takesPrecedence(const MemberRumour &Rumour, const KnownMember &Known) {
  return std::tie(Rumour.Refutation, Rumour.Status) >
         std::tie(Known.Refutation, Known.Status);
}

} // namespace

MemberRumour rumourOf(const KnownMember &Member) {
  return {Member.Record.Router, Member.Record.IncarnationNumber,
          Member.Refutation, Member.Status, Member.Draining};
}

std::uint64_t memberHash(RouterId Router, Incarnation IncarnationNumber,
                         bool Draining) {
  return rendezvousScore(Router.Value,
                         IncarnationNumber * 2 + (Draining ? 1 : 0));
}

RumourOutcome MemberList::apply(TimePoint Now, const MemberRumour &Rumour,
                                const RouterRecord *Record) {
  if (Rumour.Router == this->Self)
    return RumourOutcome::AboutSelf;
  KnownMember *Known = this->mutableFind(Rumour.Router);
  if (Known == nullptr ||
      Rumour.IncarnationNumber > Known->Record.IncarnationNumber)
    return this->introduce(Now, Rumour, Record);
  if (Rumour.IncarnationNumber < Known->Record.IncarnationNumber ||
      !takesPrecedence(Rumour, *Known))
    return RumourOutcome::Stale;
  PARSLEYWING_INVARIANT(
      Known->Status != MemberStatus::Dead ||
          Rumour.Refutation > Known->Refutation,
      "a dead member returns only with a higher refutation number");
  const bool Returned = Known->Status == MemberStatus::Dead &&
                        Rumour.Status != MemberStatus::Dead;
  Known->Refutation = Rumour.Refutation;
  Known->Draining = Rumour.Draining;
  this->setStatus(Now, *Known, Rumour.Status);
  if (Returned)
    this->recordReturn(Now, *Known);
  this->onChange();
  return RumourOutcome::Adopted;
}

RumourOutcome MemberList::introduce(TimePoint Now, const MemberRumour &Rumour,
                                    const RouterRecord *Record) {
  KnownMember *Known = this->mutableFind(Rumour.Router);
  if (Rumour.Status == MemberStatus::Dead) {
    // An incarnation that has already ended is relevant only if it supersedes a
    // known one.
    if (Known == nullptr)
      return RumourOutcome::Stale;
  } else if (Record == nullptr) {
    return RumourOutcome::MissingRecord;
  } else if (!this->claimAddress(Now, *Record)) {
    return RumourOutcome::Stale;
  }
  KnownMember NewMember;
  if (Known != nullptr) {
    PARSLEYWING_INVARIANT(Rumour.IncarnationNumber >
                              Known->Record.IncarnationNumber,
                          "incarnation numbers never decrease");
    NewMember = *Known;
    NewMember.EverReceived = false;
  }
  if (Record != nullptr)
    NewMember.Record = *Record;
  NewMember.Record.IncarnationNumber = Rumour.IncarnationNumber;
  NewMember.Refutation = Rumour.Refutation;
  NewMember.Draining = Rumour.Draining;
  NewMember.FirstSeenAt = Now;
  this->setStatus(Now, NewMember, Rumour.Status);
  if (Known != nullptr)
    this->recordReturn(Now, NewMember);
  this->Members[Rumour.Router] = std::move(NewMember);
  this->onChange();
  return RumourOutcome::Adopted;
}

/// Assigns an address to the latest incarnation seen there. Otherwise, a router
/// that had the address before would be considered alive as long as its
/// successor responds at that address.
bool MemberList::claimAddress(TimePoint Now, const RouterRecord &Record) {
  for (auto &[Router, Other] : this->Members) {
    if (Router == Record.Router || Other.Status == MemberStatus::Dead ||
        Other.Record.PeerAddress != Record.PeerAddress)
      continue;
    if (Other.Record.IncarnationNumber > Record.IncarnationNumber)
      return false;
    this->setStatus(Now, Other, MemberStatus::Dead);
  }
  return true;
}

void MemberList::recordReturn(TimePoint Now, KnownMember &Member) {
  if (Member.ReturnCount > 0 && Now - Member.LastReturn > this->Damping.Window)
    Member.ReturnCount = 0;
  ++Member.ReturnCount;
  Member.LastReturn = Now;
  if (Member.ReturnCount < 2)
    return;
  Duration Hold = this->Damping.FirstHold;
  for (unsigned Step = 2;
       Step < Member.ReturnCount && Hold < this->Damping.MaxHold; ++Step)
    Hold *= 2;
  Member.HiddenUntil = Now + std::min(Hold, this->Damping.MaxHold);
  this->NextUnhide = this->NextUnhide
                         ? std::min(*this->NextUnhide, Member.HiddenUntil)
                         : Member.HiddenUntil;
}

void MemberList::setStatus(TimePoint Now, KnownMember &Member,
                           MemberStatus Status) {
  Member.Status = Status;
  Member.StatusSince = Now;
}

void MemberList::onChange() {
  this->VisibleChanged = true;
  this->Hash = 0;
  this->Suspects = 0;
  for (const auto &[Router, Known] : this->Members) {
    if (Known.Status != MemberStatus::Dead)
      this->Hash +=
          memberHash(Router, Known.Record.IncarnationNumber, Known.Draining);
    if (Known.Status == MemberStatus::Suspect)
      ++this->Suspects;
  }
}

bool MemberList::takeVisibleChanged(TimePoint Now) {
  if (this->NextUnhide && *this->NextUnhide <= Now) {
    this->VisibleChanged = true;
    this->NextUnhide.reset();
    for (const auto &[Router, Known] : this->Members)
      if (Known.HiddenUntil > Now)
        this->NextUnhide = this->NextUnhide
                               ? std::min(*this->NextUnhide, Known.HiddenUntil)
                               : Known.HiddenUntil;
  }
  return std::exchange(this->VisibleChanged, false);
}

bool MemberList::suspect(TimePoint Now, RouterId Router) {
  KnownMember *Known = this->mutableFind(Router);
  if (Known == nullptr || Known->Status != MemberStatus::Alive)
    return false;
  this->setStatus(Now, *Known, MemberStatus::Suspect);
  this->onChange();
  return true;
}

void MemberList::heard(TimePoint Now, RouterId Router) {
  KnownMember *Known = this->mutableFind(Router);
  PARSLEYWING_INVARIANT(Known != nullptr,
                        "messages are recorded for known members only");
  Known->LastReceivedAt = Now;
  Known->EverReceived = true;
  if (Known->Status == MemberStatus::Suspect)
    Known->StatusSince = Now;
}

std::vector<RouterId> MemberList::expireSuspects(TimePoint Now,
                                                 Duration Timeout) {
  std::vector<RouterId> Expired;
  if (this->Suspects == 0)
    return Expired;
  for (auto &[Router, Member] : this->Members) {
    if (Member.Status != MemberStatus::Suspect ||
        Now - Member.StatusSince < Timeout)
      continue;
    this->setStatus(Now, Member, MemberStatus::Dead);
    Expired.push_back(Router);
  }
  if (!Expired.empty())
    this->onChange();
  return Expired;
}

void MemberList::restartSuspicions(TimePoint Now) {
  for (auto &[Router, Member] : this->Members)
    if (Member.Status == MemberStatus::Suspect)
      Member.StatusSince = Now;
}

void MemberList::forgetDead(TimePoint Now, Duration Age) {
  std::erase_if(this->Members, [&](const auto &Known) {
    return Known.second.Status == MemberStatus::Dead &&
           Now - Known.second.StatusSince > Age;
  });
}

KnownMember *MemberList::mutableFind(RouterId Router) {
  const auto Known = this->Members.find(Router);
  return Known == this->Members.end() ? nullptr : &Known->second;
}

const KnownMember *MemberList::find(RouterId Router) const {
  const auto Known = this->Members.find(Router);
  return Known == this->Members.end() ? nullptr : &Known->second;
}

bool MemberList::knowsAliveAt(const std::string &PeerAddress) const {
  return std::any_of(this->Members.begin(), this->Members.end(),
                     [&](const auto &Known) {
                       return Known.second.Status != MemberStatus::Dead &&
                              Known.second.Record.PeerAddress == PeerAddress;
                     });
}

std::vector<RouterId> MemberList::notDead() const {
  std::vector<RouterId> Routers;
  for (const auto &[Router, Member] : this->Members)
    if (Member.Status != MemberStatus::Dead)
      Routers.push_back(Router);
  return Routers;
}

std::vector<RouterId> MemberList::dead() const {
  std::vector<RouterId> Routers;
  for (const auto &[Router, Member] : this->Members)
    if (Member.Status == MemberStatus::Dead)
      Routers.push_back(Router);
  return Routers;
}

std::vector<Member> MemberList::visible(TimePoint Now) const {
  std::vector<Member> Visible;
  for (const auto &[Router, Known] : this->Members)
    if (Known.Status != MemberStatus::Dead && Known.HiddenUntil <= Now)
      Visible.push_back({Router, Known.Record.IncarnationNumber, Known.Draining,
                         Known.Record.Zone});
  return Visible;
}

} // namespace parsleywing
