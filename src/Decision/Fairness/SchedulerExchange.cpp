// The part of FairScheduler that exchanges messages with other routers.
#include "Decision/Fairness/FairScheduler.h"

#include "Runtime/Invariant.h"

#include <algorithm>
#include <array>

namespace parsleywing {

namespace {

/// Each key selects one router that sends its digests to a new router.
constexpr std::array<std::uint64_t, 3> NewRouterKeys{
    0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9, 0x94d049bb133111eb};

/// Digests per tick and service that a change between queued requests and none
/// may cause.
constexpr std::size_t MaxBurstPerTick = 8;

std::uint32_t lowHalf(Incarnation IncarnationNumber) {
  return static_cast<std::uint32_t>(IncarnationNumber);
}

} // namespace

const Member *FairScheduler::memberOf(RouterId Router) const {
  const auto Found = std::lower_bound(
      this->CurrentView.Members.begin(), this->CurrentView.Members.end(),
      Router, [](const Member &M, RouterId Key) { return M.Router < Key; });
  return Found == this->CurrentView.Members.end() || Found->Router != Router
             ? nullptr
             : &*Found;
}

Incarnation FairScheduler::ownIncarnation() const {
  const Member *Self = this->memberOf(this->CurrentView.Self);
  return Self == nullptr ? 0 : Self->IncarnationNumber;
}

std::vector<RouterId> FairScheduler::peers() const {
  std::vector<RouterId> All;
  for (const Member &M : this->CurrentView.Members)
    if (M.Router != this->CurrentView.Self)
      All.push_back(M.Router);
  return All;
}

RouterId FairScheduler::homeOf(PairId Pair) {
  auto [Found, IsNew] = this->HomeCache.try_emplace(Pair);
  if (IsNew)
    Found->second = ownerOf(this->CurrentView, Pair);
  return Found->second;
}

bool FairScheduler::maySendDigest(ServiceId Id) const {
  return this->Digests.knows(Id) ||
         this->Now >= *this->StartedAt + this->Settings.StartupQuietPeriod;
}

ServiceDigest FairScheduler::digestOf(ServiceId Id) const {
  const ServiceState &Service = this->Services.at(Id);
  const std::size_t Waiting =
      std::min<std::size_t>(Service.Queue.size(), StarvedBit - 1);
  const bool Starved = Waiting > 0 && Service.Running == 0;
  const double IdleVirtualTime =
      std::max(Service.VirtualTime, this->Digests.idleTime(Id));
  return {Id.Value, Service.Queue.lowestTag().value_or(IdleVirtualTime),
          static_cast<std::uint16_t>(Waiting | (Starved ? StarvedBit : 0))};
}

void FairScheduler::queueDigests(RouterId Peer, bool Urgent) {
  for (const auto &[Id, Service] : this->Services)
    if (this->maySendDigest(Id))
      this->Outgoing.to(this->Now, Peer, Urgent).Digests.insert(Id);
}

void FairScheduler::sendDigestsToNew(const View &PreviousView) {
  if (!this->shared())
    return;
  for (const Member &M : this->CurrentView.Members) {
    if (M.Router == this->CurrentView.Self ||
        std::ranges::count(PreviousView.Members, M))
      continue;
    for (std::uint64_t Key : NewRouterKeys)
      if (ownerOf(this->CurrentView, M.Router.Value ^ Key) ==
          this->CurrentView.Self)
        this->queueDigests(M.Router, true);
  }
}

void FairScheduler::updateBurst(ServiceId Id, ServiceState &Service) {
  const bool Waiting = !Service.Queue.empty();
  if (Waiting == Service.ReportedWaiting || !this->shared() ||
      !this->maySendDigest(Id))
    return;
  // A queue that alternates between empty and not empty is left to the periodic
  // digests.
  if (this->Now < Service.LastBurst + this->Settings.DigestInterval &&
      Service.LastBurst != TimePoint{})
    return;
  Service.ReportedWaiting = Waiting;
  Service.LastBurst = this->Now;
  Service.RemainingBurst = this->Settings.DigestBurst;
}

void FairScheduler::sendStarvedDigest(ServiceId Id, ServiceState &Service) {
  if (Service.Queue.empty() || Service.Running > 0 ||
      !this->maySendDigest(Id) ||
      this->Now <
          Service.LastStarvedDigest + this->Settings.StarvedDigestInterval)
    return;
  Service.LastStarvedDigest = this->Now;
  const std::vector<RouterId> All = this->Digests.waitingAt(Id);
  const std::size_t Count =
      std::min(this->Settings.StarvedDigestFanout, All.size());
  for (std::size_t Sent = 0; Sent < Count; ++Sent)
    this->Outgoing.to(this->Now, All[this->DigestCursor++ % All.size()], true)
        .Digests.insert(Id);
}

void FairScheduler::sendBursts() {
  for (auto &[Id, Service] : this->Services) {
    this->updateBurst(Id, Service);
    this->sendStarvedDigest(Id, Service);
    if (Service.RemainingBurst == 0)
      continue;
    const std::vector<RouterId> All = this->peers();
    Service.RemainingBurst = std::min(Service.RemainingBurst, All.size());
    const std::size_t Count = std::min(MaxBurstPerTick, Service.RemainingBurst);
    for (std::size_t Sent = 0; Sent < Count; ++Sent)
      this->Outgoing.to(this->Now, All[this->DigestCursor++ % All.size()], true)
          .Digests.insert(Id);
    Service.RemainingBurst -= Count;
  }
}

void FairScheduler::sendDigests() {
  this->NextDigests = this->Now + this->Settings.DigestInterval;
  this->Digests.dropOld(this->Now);
  this->boundDebts();
  const std::vector<RouterId> All = this->peers();
  const std::size_t Count = std::min(this->Settings.DigestFanout, All.size());
  for (std::size_t Sent = 0; Sent < Count; ++Sent)
    this->queueDigests(All[this->DigestCursor++ % All.size()], true);
}

void FairScheduler::boundDebts() {
  for (auto &[Id, Service] : this->Services) {
    const std::optional<double> Median = this->Digests.median(Id);
    if (!Median)
      continue;
    for (PairId Pair : Service.Queue.pairs()) {
      this->Ledger.bound(Pair, *Median, this->Settings.MaxDebt);
      this->reposition(Pair);
    }
  }
}

void FairScheduler::sendContributions() {
  std::set<PairId> Due = this->Ledger.takeChanged();
  for (const auto &[Id, Service] : this->Services)
    for (PairId Pair : Service.Queue.pairs())
      Due.insert(Pair);
  std::set<RouterId> Homes;
  for (PairId Pair : Due) {
    this->contribute(Pair, false);
    if (this->homeOf(Pair) != this->CurrentView.Self)
      Homes.insert(this->homeOf(Pair));
  }
  // Covers both directions, since this router sends about as many replies as
  // contributions.
  const double Bytes =
      static_cast<double>(Due.size()) * 44 +
      static_cast<double>(Homes.size()) * 2 *
          static_cast<double>(DatagramHeaderBytes + FairMessage{}.bytes());
  const double Seconds = Bytes / this->Settings.ContributionBytesPerSecond;
  this->ContributionCycle =
      std::max(this->Settings.ContributionInterval,
               Duration(static_cast<Duration::rep>(Seconds * 1e6)));
  this->NextContributions = this->Now + this->ContributionCycle;
}

void FairScheduler::contribute(PairId Pair, bool Urgent) {
  const RouterId PairHome = this->homeOf(Pair);
  if (PairHome != this->CurrentView.Self) {
    this->Outgoing.to(this->Now, PairHome, Urgent).Contributions.insert(Pair);
    return;
  }
  const std::uint32_t Version = ++this->Sequence;
  const ContributionReply Reply =
      this->Home.applyContribution(this->Now, PairHome, this->ownIncarnation(),
                                   Version, this->Ledger.contributionOf(Pair));
  this->applyReply(PairHome, this->ownIncarnation(), Version, Reply);
}

void FairScheduler::resend() {
  this->NextResend = this->Now + this->Settings.ResendInterval / 4;
  this->recall();
  const Duration After = this->Settings.ResendInterval;
  for (ServerId Server : this->Slots.unacknowledged(this->Now, After)) {
    const RouterId To = this->Slots.find(Server)->Owner;
    if (To != this->CurrentView.Self)
      this->Outgoing.to(this->Now, To, false).Reports.insert(Server);
  }
  for (const SlotOwner::Due &Due : this->Owner.unacknowledged(this->Now, After))
    if (Due.Holder != this->CurrentView.Self)
      this->Outgoing.to(this->Now, Due.Holder, true).Grants.insert(Due.Server);
}

void FairScheduler::flush() {
  for (const auto &[To, Content] : this->Outgoing.takeDue(this->Now))
    if (this->memberOf(To) != nullptr)
      this->fill(To, Content);
}

void FairScheduler::fill(RouterId To, const Outbox::PendingMessage &Content) {
  FairMessage Message;
  const auto SendIfFull = [&] {
    if (Message.bytes() < this->Settings.MaxMessageBytes - 24)
      return;
    this->send(To, Content.Urgent, std::move(Message));
    Message = FairMessage{};
  };
  for (ServiceId Id : Content.Digests) {
    Message.Digests.push_back(this->digestOf(Id));
    SendIfFull();
  }
  for (PairId Pair : Content.Contributions) {
    Message.Contributions.push_back(this->Ledger.contributionOf(Pair));
    SendIfFull();
  }
  for (const auto &[Pair, Reply] : Content.Replies) {
    Message.Replies.push_back(Reply);
    SendIfFull();
  }
  for (ServerId Server : Content.Grants) {
    if (!this->Owner.owns(Server))
      continue;
    Message.Grants.push_back(this->Owner.grantOf(this->Now, Server, To));
    SendIfFull();
  }
  for (ServerId Server : Content.Reports) {
    Message.Reports.push_back(this->Slots.reportOf(this->Now, Server));
    SendIfFull();
  }
  if (Message.bytes() > FairMessage{}.bytes())
    this->send(To, Content.Urgent, std::move(Message));
}

void FairScheduler::send(RouterId To, bool Urgent, FairMessage Message) {
  Message.Sequence = ++this->Sequence;
  Message.ToIncarnation = lowHalf(this->memberOf(To)->IncarnationNumber);
  ++this->Counters.MessagesSent;
  this->Counters.BytesSent += Message.bytes() + DatagramHeaderBytes;
  this->PendingActions.emplace_back(
      SendFairMessage{To, Urgent, std::move(Message)});
}

void FairScheduler::on(const FairMessageReceived &Event) {
  PeerState &Peer = this->Peers[Event.From];
  if (!this->shared() || Event.IncarnationNumber < Peer.IncarnationNumber)
    return;
  if (Event.IncarnationNumber > Peer.IncarnationNumber)
    Peer = {Event.IncarnationNumber, 0};
  ++this->Counters.MessagesReceived;
  const FairMessage &Message = Event.Message;
  for (const Contribution &Received : Message.Contributions)
    this->Outgoing.to(this->Now, Event.From, false).Replies[Received.Pair] =
        this->Home.applyContribution(this->Now, Event.From,
                                     Event.IncarnationNumber, Message.Sequence,
                                     Received);
  for (const ContributionReply &Reply : Message.Replies)
    this->applyReply(Event.From, Event.IncarnationNumber, Message.Sequence,
                     Reply);
  // Slots and digests of a message that was overtaken by a newer one are
  // outdated.
  if (Message.Sequence <= Peer.LastSequence)
    return;
  Peer.LastSequence = Message.Sequence;
  for (const ServiceDigest &Digest : Message.Digests)
    this->applyDigest(Event.From, Digest);
  if (Message.ToIncarnation != lowHalf(this->ownIncarnation()))
    return;
  for (const SlotReport &Report : Message.Reports)
    this->applyReport(Event, Report);
  for (const SlotGrant &Grant : Message.Grants)
    this->applyGrant(Event, Grant);
}

void FairScheduler::applyDigest(RouterId From, const ServiceDigest &Digest) {
  if (this->memberOf(From) == nullptr)
    return;
  const ServiceId Id{Digest.Service};
  const bool First = !this->Digests.knows(Id);
  this->Digests.update(this->Now, From, Digest);
  this->DirtyServices.insert(Id);
  if (!First)
    return;
  // A process that starts without state adopts the virtual time of the other
  // routers. Otherwise, its accounts would seem to be the most underserved of
  // the fleet.
  ServiceState &Service = this->Services[Id];
  for (PairId Pair : Service.Queue.pairs()) {
    this->Ledger.raiseTo(Pair, Digest.LowestTag);
    this->reposition(Pair);
  }
}

void FairScheduler::applyReply(RouterId From, Incarnation IncarnationNumber,
                               std::uint32_t Sequence,
                               const ContributionReply &Reply) {
  const LedgerEntry *Entry = this->Ledger.find(Reply.Pair);
  const bool WasUnconfirmed = Entry != nullptr && !Entry->Confirmed;
  if (!this->Ledger.applyReply(this->Now, From, IncarnationNumber, Sequence,
                               Reply))
    return;
  if (WasUnconfirmed)
    this->Ledger.raiseTo(
        Reply.Pair,
        this->virtualTime(Entry->Service, this->Services[Entry->Service]));
  this->reposition(Reply.Pair);
}

void FairScheduler::applyGrant(const FairMessageReceived &Event,
                               const SlotGrant &Grant) {
  const ServerId Id{Grant.Server};
  if (!this->Servers.contains(Id))
    return;
  this->Slots.applyGrant(this->Now, Event.From, Event.IncarnationNumber, Grant,
                         2 * this->Settings.ResendInterval);
  const SlotLease &Lease = *this->Slots.find(Id);
  while (Lease.idle() > 0 && this->mustReturnSlot(Id, Lease))
    this->returnSlot(Id, true);
  // Several owners may have granted a slot to this router because of the same
  // outdated digest.
  for (ServiceId Service : this->Servers[Id].Services)
    if (Lease.idle() > 0 && this->isAhead(Service, this->Services[Service],
                                          this->Settings.GrantSlack))
      this->returnToOwner(Id, Service);
  this->refreshServer(Id);
}

void FairScheduler::applyReport(const FairMessageReceived &Event,
                                const SlotReport &Report) {
  const ServerId Id{Report.Server};
  if (!this->Owner.owns(Id))
    return;
  const bool SlotsReturned =
      this->Owner.applyReport(Event.From, Event.IncarnationNumber, Report);
  if (SlotsReturned || !this->Owner.agrees(Event.From, Report))
    this->Outgoing.to(this->Now, Event.From, false).Grants.insert(Id);
  this->refreshServer(Id);
}

} // namespace parsleywing
