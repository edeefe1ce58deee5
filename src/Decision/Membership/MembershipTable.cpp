#include "Decision/Membership/MembershipTable.h"

#include "Runtime/Invariant.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <bit>

namespace parsleywing {
namespace {

/// Records are attached to rumours about an incarnation that became known
/// within this time. After that, routers that missed the record have received
/// it in a State message.
constexpr Duration MaxRecordAge = std::chrono::seconds(30);

/// Estimated size of the rumours and records in one message, so that it fits
/// into a datagram.
constexpr std::size_t MaxRumourBytes = 900;
constexpr std::size_t RumourBytes = 22;
constexpr std::size_t RecordFixedBytes = 23;

/// Limits on the stored addresses and suspicions from the platform's lists, and
/// on the pings that are forwarded for other routers.
constexpr std::size_t MaxContacts = 64;
constexpr std::size_t MaxForwardedPings = 64;

/// The number in a StateRequest that requests a State without records. Routers
/// of an earlier version ignore it and send the records.
constexpr std::uint32_t WithoutRecords = 1;

/// How long the requester of a forwarded ping is remembered.
constexpr Duration ForwardedPingLifetime = std::chrono::seconds(2);

std::size_t encodedSize(const RouterRecord &Record) {
  return RecordFixedBytes + Record.Name.size() + Record.PeerAddress.size() +
         Record.CallerAddress.size();
}

const RouterRecord *recordIn(const MembershipMessage &Message, RouterId Router,
                             Incarnation IncarnationNumber) {
  for (const RouterRecord &Record : Message.Records)
    if (Record.Router == Router &&
        Record.IncarnationNumber == IncarnationNumber)
      return &Record;
  return nullptr;
}

/// How often each router passes on a rumour. If all n routers send it to k
/// random others, about n / e^k never receive it. With k = log2(n) + 2, that is
/// less than one router in ten changes for up to 400 routers. These learn of
/// the change when differing views are repaired.
unsigned transmissionCount(std::size_t Members) {
  return 2U + static_cast<unsigned>(std::bit_width(Members + 1));
}

} // namespace

MembershipTable::MembershipTable(MembershipSettings S)
    : Settings(std::move(S)),
      Members(this->Settings.Self.Router, this->Settings.Damping),
      Random(this->Settings.RandomSeed) {
  const RouterRecord &Self = this->Settings.Self;
  this->CurrentView.Self = Self.Router;
  this->CurrentView.Members = {
      {Self.Router, Self.IncarnationNumber, false, Self.Zone}};
}

std::vector<MembershipAction>
MembershipTable::handle(TimePoint Now, const MembershipEvent &Event) {
  if (this->IsSuperseded)
    return {};
  std::visit([&](const auto &Value) { this->on(Now, Value); }, Event);
  if (!this->IsSuperseded)
    this->publishView(Now);
  return std::move(this->PendingActions);
}

const RouterRecord *MembershipTable::recordOf(RouterId Router) const {
  if (Router == this->Settings.Self.Router)
    return &this->Settings.Self;
  const KnownMember *Known = this->Members.find(Router);
  if (Known == nullptr || Known->Status == MemberStatus::Dead)
    return nullptr;
  return &Known->Record;
}

// Receiving.

void MembershipTable::on(TimePoint Now,
                         const MembershipMessageReceived &Event) {
  if (!this->acceptSender(Now, Event))
    return;
  this->applyRumours(Now, Event.Message);
  if (this->IsSuperseded)
    return;
  this->compareViews(Now, Event);
  this->respond(Now, Event);
}

/// Records a message received directly, and rejects processes that have been
/// replaced.
bool MembershipTable::acceptSender(TimePoint Now,
                                   const MembershipMessageReceived &Event) {
  if (Event.From == this->Settings.Self.Router) {
    if (Event.IncarnationNumber > this->Settings.Self.IncarnationNumber)
      this->supersede(Event.IncarnationNumber);
    return false;
  }
  const KnownMember *Known = this->Members.find(Event.From);
  if (Known == nullptr ||
      Event.IncarnationNumber > Known->Record.IncarnationNumber)
    return true;
  if (Event.IncarnationNumber < Known->Record.IncarnationNumber) {
    // The sender is a process that was paused while another one took its name.
    // Unless it is notified, it continues to act under that name.
    if (!Event.Address.empty()) {
      MembershipMessage Notification =
          this->makeMessage(Now, MembershipKind::Gossip, 0);
      Notification.Rumours = {rumourOf(*Known)};
      this->PendingActions.push_back(
          ContactAddress{Event.Address, std::move(Notification)});
    }
    return false;
  }
  this->Members.heard(Now, Event.From);
  return true;
}

void MembershipTable::applyRumours(TimePoint Now,
                                   const MembershipMessage &Message) {
  const bool FromState = Message.Kind == MembershipKind::State;
  for (const MemberRumour &Rumour : Message.Rumours) {
    this->applyRumour(
        Now, Rumour, recordIn(Message, Rumour.Router, Rumour.IncarnationNumber),
        FromState);
    if (this->IsSuperseded)
      return;
  }
  if (FromState)
    this->Joined = true;
}

void MembershipTable::applyRumour(TimePoint Now, MemberRumour Rumour,
                                  const RouterRecord *Record, bool FromState) {
  const KnownMember *Known = this->Members.find(Rumour.Router);
  const bool HeardRecently =
      Known != nullptr && Known->EverReceived &&
      Known->Record.IncarnationNumber == Rumour.IncarnationNumber &&
      Now - Known->LastReceivedAt <= this->Settings.DirectTrust;
  // After a partition, each side believes the other one dead. If that were
  // adopted, all routers would disappear from all views at once; as a
  // suspicion, it leaves each router time to refute it.
  const bool OnlySuspect = FromState || HeardRecently;
  if (Known != nullptr && Rumour.Status == MemberStatus::Dead && OnlySuspect &&
      Known->Status != MemberStatus::Dead)
    Rumour.Status = MemberStatus::Suspect;

  const RumourOutcome Outcome = this->Members.apply(Now, Rumour, Record);
  if (Outcome == RumourOutcome::AboutSelf)
    return this->refute(Rumour);
  if (Outcome != RumourOutcome::Adopted)
    return;
  this->spreadRumour(Rumour.Router);
  Known = this->Members.find(Rumour.Router);
  if (Record != nullptr)
    this->PendingActions.push_back(
        PeerAddressLearned{Rumour.Router, Known->Record.PeerAddress});
}

void MembershipTable::refute(const MemberRumour &Rumour) {
  if (Rumour.IncarnationNumber > this->Settings.Self.IncarnationNumber)
    return this->supersede(Rumour.IncarnationNumber);
  if (Rumour.IncarnationNumber < this->Settings.Self.IncarnationNumber) {
    this->spreadRumour(this->Settings.Self.Router);
    return;
  }
  const bool MustRefute = Rumour.Status != MemberStatus::Alive ||
                          Rumour.Draining != this->SelfDraining;
  if (!MustRefute || Rumour.Refutation < this->SelfRefutation)
    return;
  this->SelfRefutation = Rumour.Refutation + 1;
  ++this->Refutations;
  this->spreadRumour(this->Settings.Self.Router);
}

void MembershipTable::supersede(Incarnation By) {
  PARSLEYWING_INVARIANT(!this->IsSuperseded, "a router is superseded once");
  this->IsSuperseded = true;
  this->PendingActions.clear();
  this->PendingActions.push_back(Superseded{By});
}

/// Views that differ for a long time indicate lost rumours, so the complete
/// state of one router is requested.
void MembershipTable::compareViews(TimePoint Now,
                                   const MembershipMessageReceived &Event) {
  if (Event.Message.Kind == MembershipKind::State)
    return;
  if (Event.Message.ViewHash == this->viewHash()) {
    this->DisagreementSince.reset();
    this->Joined = true;
    return;
  }
  if (!this->DisagreementSince)
    this->DisagreementSince = Now;
  const bool Lasting =
      Now - *this->DisagreementSince >= this->maxDisagreement();
  if ((Lasting || !this->Joined) && Now >= this->NextStateRequest)
    this->requestState(Now, Event.From);
}

/// Gossip is given time to repair the views first. After a partition, this
/// takes longer in a large fleet, and State messages sent earlier would cost
/// more than they bring.
Duration MembershipTable::maxDisagreement() const {
  return this->Settings.MaxDisagreement +
         this->Settings.MaxDisagreementPerMember *
             static_cast<Duration::rep>(this->Members.all().size());
}

void MembershipTable::respond(TimePoint Now,
                              const MembershipMessageReceived &Event) {
  const MembershipMessage &Message = Event.Message;
  const KnownMember *Sender = this->Members.find(Event.From);
  if (Sender == nullptr ||
      Sender->Record.IncarnationNumber < Event.IncarnationNumber)
    this->requestIntroduction(Now, Event.Address);
  switch (Message.Kind) {
  case MembershipKind::Ping: {
    MembershipMessage Ack =
        this->makeMessage(Now, MembershipKind::Ack, Message.Number);
    const bool Introduced =
        recordIn(Message, Event.From, Event.IncarnationNumber) != nullptr;
    if (Introduced)
      this->introduceSelf(Ack);
    if (this->Members.find(Event.From) != nullptr)
      this->send(Event.From, std::move(Ack), true);
    return;
  }
  case MembershipKind::Ack:
    return this->onAck(Now, Event);
  case MembershipKind::PingRequest: {
    if (this->recordOf(Message.Target) == nullptr ||
        this->ForwardedPings.size() >= MaxForwardedPings)
      return;
    MembershipMessage Ping =
        this->makeMessage(Now, MembershipKind::Ping, ++this->LastNumber);
    this->ForwardedPings[Ping.Number] = {Event.From, Message.Number, Now};
    this->send(Message.Target, std::move(Ping), true);
    return;
  }
  case MembershipKind::StateRequest:
    return this->sendState(Now, Event);
  case MembershipKind::Gossip:
  case MembershipKind::State:
    return;
  }
}

/// Sends a ping that introduces this router, since the record of the router at
/// this address is missing here. The router introduces itself in its ack.
void MembershipTable::requestIntroduction(TimePoint Now,
                                          const std::string &Address) {
  if (Address.empty())
    return;
  MembershipMessage Ping =
      this->makeMessage(Now, MembershipKind::Ping, ++this->LastNumber);
  this->introduceSelf(Ping);
  this->PendingActions.push_back(ContactAddress{Address, std::move(Ping)});
}

void MembershipTable::introduceSelf(MembershipMessage &Message) const {
  Message.Rumours.push_back(this->selfRumour());
  Message.Records.push_back(this->Settings.Self);
}

void MembershipTable::onAck(TimePoint Now,
                            const MembershipMessageReceived &Event) {
  const std::uint32_t Number = Event.Message.Number;
  if (this->PendingProbe && this->PendingProbe->Number == Number)
    this->PendingProbe.reset();
  const auto Found = this->ForwardedPings.find(Number);
  if (Found == this->ForwardedPings.end())
    return;
  const ForwardedPing Forwarded = Found->second;
  this->ForwardedPings.erase(Found);
  this->send(Forwarded.Requester,
             this->makeMessage(Now, MembershipKind::Ack, Forwarded.Number),
             true);
}

void MembershipTable::on(TimePoint, const VmListChanged &Event) {
  for (const PlatformRouter &Hint : Event.Live)
    this->applyHint(Hint);
  for (const PlatformRouter &Hint : Event.Leaving) {
    const KnownMember *Known = this->Members.find(Hint.Router);
    // The list lags behind and may name an incarnation that was replaced long
    // ago. It only triggers a ping, which decides.
    if (Known != nullptr && Known->Status == MemberStatus::Alive &&
        (Hint.IncarnationNumber == 0 ||
         Hint.IncarnationNumber >= Known->Record.IncarnationNumber) &&
        this->PriorityProbes.size() < MaxContacts)
      this->PriorityProbes.push_back(Hint.Router);
  }
}

void MembershipTable::on(TimePoint, const LeaseListed &Event) {
  for (const PlatformRouter &Hint : Event.Holders) {
    // Only a process of this name registers under it. For a process that was
    // paused and is disconnected from all other routers, this is the only way
    // to learn of its successor; otherwise, both would act under one name.
    if (Hint.Router == this->Settings.Self.Router &&
        Hint.IncarnationNumber > this->Settings.Self.IncarnationNumber)
      return this->supersede(Hint.IncarnationNumber);
    this->applyHint(Hint);
  }
}

void MembershipTable::applyHint(const PlatformRouter &Hint) {
  if (Hint.Router == this->Settings.Self.Router || Hint.PeerAddress.empty())
    return;
  const KnownMember *Known = this->Members.find(Hint.Router);
  const bool IsNew = Known == nullptr ||
                     Hint.IncarnationNumber > Known->Record.IncarnationNumber;
  const bool Queued = std::find(this->Contacts.begin(), this->Contacts.end(),
                                Hint.PeerAddress) != this->Contacts.end();
  if (IsNew && !Queued && this->Contacts.size() < MaxContacts)
    this->Contacts.push_back(Hint.PeerAddress);
}

void MembershipTable::on(TimePoint Now, const DrainRequested &) {
  if (this->SelfDraining)
    return;
  this->SelfDraining = true;
  ++this->SelfRefutation;
  this->spreadRumour(this->Settings.Self.Router);
  for (RouterId Peer : this->pickRandom(this->Settings.DrainPeers, {})) {
    MembershipMessage Notification =
        this->makeMessage(Now, MembershipKind::Gossip, 0);
    Notification.Rumours.push_back(this->selfRumour());
    this->send(Peer, std::move(Notification), true);
  }
}

// Timers.

void MembershipTable::on(TimePoint Now, const MembershipTick &) {
  // This process was paused, or starved of CPU time. Acks missing since then
  // say nothing about the other routers.
  if (this->LastTick && Now - *this->LastTick > this->Settings.MaxTickGap) {
    this->PendingProbe.reset();
    this->Members.restartSuspicions(Now);
  }
  this->LastTick = Now;
  this->probeIndirectly(Now);
  for (RouterId Dead :
       this->Members.expireSuspects(Now, this->Settings.SuspicionTimeout)) {
    ++this->Deaths;
    this->spreadRumour(Dead);
  }
  if (Now >= this->NextPeriod)
    this->startPeriod(Now);
  this->gossip(Now);
}

void MembershipTable::startPeriod(TimePoint Now) {
  this->NextPeriod = Now + this->Settings.Period;
  this->concludeProbe(Now);
  this->Members.forgetDead(Now, this->Settings.DeadMemory);
  std::erase_if(this->ForwardedPings, [&](const auto &Entry) {
    return Now - Entry.second.StartedAt > ForwardedPingLifetime;
  });
  this->probeDead(Now);
  this->contactSeeds(Now);
  const auto Target = this->nextToProbe();
  if (!Target)
    return;
  MembershipMessage Ping =
      this->makeMessage(Now, MembershipKind::Ping, ++this->LastNumber);
  this->PendingProbe = Probe{*Target, Ping.Number, Now, false};
  this->send(*Target, std::move(Ping), true);
}

void MembershipTable::concludeProbe(TimePoint Now) {
  if (!this->PendingProbe)
    return;
  const RouterId Target = this->PendingProbe->Target;
  this->PendingProbe.reset();
  if (!this->Members.suspect(Now, Target))
    return;
  ++this->Suspicions;
  this->spreadRumour(Target);
}

void MembershipTable::probeIndirectly(TimePoint Now) {
  if (!this->PendingProbe || this->PendingProbe->Indirect ||
      Now - this->PendingProbe->SentAt < this->Settings.DirectTimeout)
    return;
  this->PendingProbe->Indirect = true;
  for (RouterId Helper : this->pickRandom(this->Settings.IndirectProbes,
                                          this->PendingProbe->Target)) {
    MembershipMessage Request = this->makeMessage(
        Now, MembershipKind::PingRequest, this->PendingProbe->Number);
    Request.Target = this->PendingProbe->Target;
    this->send(Helper, std::move(Request), true);
  }
}

void MembershipTable::probeDead(TimePoint Now) {
  if (Now < this->NextDeadProbe)
    return;
  this->NextDeadProbe = Now + this->Settings.DeadProbeInterval;
  const std::vector<RouterId> Dead = this->Members.dead();
  if (Dead.empty())
    return;
  const RouterId Target = Dead[this->Random() % Dead.size()];
  MembershipMessage Ping =
      this->makeMessage(Now, MembershipKind::Ping, ++this->LastNumber);
  this->introduceSelf(Ping);
  this->send(Target, std::move(Ping), false);
}

void MembershipTable::contactSeeds(TimePoint Now) {
  std::string Address;
  if (!this->Contacts.empty()) {
    Address = std::move(this->Contacts.back());
    this->Contacts.pop_back();
  } else if (!this->Settings.Seeds.empty() &&
             (!this->Joined || Now >= this->NextSeedContact)) {
    this->NextSeedContact = Now + this->Settings.SeedInterval;
    Address =
        this->Settings.Seeds[this->NextSeed++ % this->Settings.Seeds.size()];
  }
  if (Address.empty() || Address == this->Settings.Self.PeerAddress ||
      this->Members.knowsAliveAt(Address))
    return;
  this->requestIntroduction(Now, Address);
}

void MembershipTable::gossip(TimePoint Now) {
  if (this->Rumours.empty() || Now < this->NextGossip)
    return;
  this->NextGossip = Now + this->Settings.GossipInterval;
  for (RouterId Peer : this->pickRandom(this->Settings.GossipPeers, {}))
    this->send(Peer, this->makeMessage(Now, MembershipKind::Gossip, 0), false);
}

std::optional<RouterId> MembershipTable::nextToProbe() {
  if (!this->PriorityProbes.empty()) {
    const RouterId Suspected = this->PriorityProbes.back();
    this->PriorityProbes.pop_back();
    if (this->recordOf(Suspected) != nullptr)
      return Suspected;
  }
  // Probes each member once per round, in an order that is shuffled for each
  // router and round, so that no member is left out for longer than two rounds.
  for (int Round = 0; Round < 2; ++Round) {
    while (!this->ProbeOrder.empty()) {
      const RouterId Next = this->ProbeOrder.back();
      this->ProbeOrder.pop_back();
      if (this->recordOf(Next) != nullptr)
        return Next;
    }
    this->ProbeOrder = this->Members.notDead();
    std::shuffle(this->ProbeOrder.begin(), this->ProbeOrder.end(),
                 this->Random);
  }
  return std::nullopt;
}

// Sending.

MembershipMessage MembershipTable::makeMessage(TimePoint Now,
                                               MembershipKind Kind,
                                               std::uint32_t Number) {
  MembershipMessage Message;
  Message.Kind = Kind;
  Message.Number = Number;
  Message.ViewHash = this->viewHash();
  if (Kind != MembershipKind::State)
    this->attachRumours(Now, Message);
  return Message;
}

void MembershipTable::attachRumours(TimePoint Now, MembershipMessage &Message) {
  std::size_t Bytes = 0;
  for (RouterId Router : this->Rumours.take(this->Settings.RumoursPerMessage)) {
    const bool IsSelf = Router == this->Settings.Self.Router;
    const KnownMember *Known = IsSelf ? nullptr : this->Members.find(Router);
    if (!IsSelf && Known == nullptr)
      continue;
    Message.Rumours.push_back(IsSelf ? this->selfRumour() : rumourOf(*Known));
    Bytes += RumourBytes;
    const RouterRecord &Record = IsSelf ? this->Settings.Self : Known->Record;
    const bool AttachRecord =
        IsSelf || (Known->Status != MemberStatus::Dead &&
                   Now - Known->FirstSeenAt < MaxRecordAge);
    if (!AttachRecord || Bytes + encodedSize(Record) > MaxRumourBytes)
      continue;
    Message.Records.push_back(Record);
    Bytes += encodedSize(Record);
  }
}

/// A suspected router must learn of the suspicion first, so that it can refute
/// it.
void MembershipTable::attachSuspicion(RouterId To,
                                      MembershipMessage &Message) const {
  const KnownMember *Known = this->Members.find(To);
  if (Known != nullptr && Known->Status != MemberStatus::Alive &&
      Message.Kind != MembershipKind::State)
    Message.Rumours.push_back(rumourOf(*Known));
}

void MembershipTable::send(RouterId To, MembershipMessage Message,
                           bool Urgent) {
  this->attachSuspicion(To, Message);
  const bool Bulk = Message.Kind == MembershipKind::State;
  this->PendingActions.push_back(
      SendMembershipMessage{To, std::move(Message), Urgent, Bulk});
}

void MembershipTable::sendState(TimePoint Now,
                                const MembershipMessageReceived &Request) {
  if (this->Members.find(Request.From) == nullptr)
    return;
  const bool WithRecords = Request.Message.Number != WithoutRecords;
  MembershipMessage State = this->makeMessage(Now, MembershipKind::State, 0);
  this->introduceSelf(State);
  for (const auto &[Router, Known] : this->Members.all()) {
    State.Rumours.push_back(rumourOf(Known));
    if (WithRecords && Known.Status != MemberStatus::Dead)
      State.Records.push_back(Known.Record);
  }
  ++this->StatesSent;
  this->send(Request.From, std::move(State), false);
}

/// After a partition, the routers know each other's names and addresses from
/// before, so that rumours alone, which are smaller, are enough to make the
/// views equal. Records are requested too if a router is new here or if rumours
/// were not enough.
void MembershipTable::requestState(TimePoint Now, RouterId From) {
  if (this->Members.find(From) == nullptr)
    return;
  const bool AnyNew =
      std::ranges::any_of(this->Members.all(), [Now](const auto &Each) {
        return Now - Each.second.FirstSeenAt < MaxRecordAge;
      });
  const bool RumoursSuffice =
      this->Joined && this->DisagreementSince && !AnyNew &&
      Now - *this->DisagreementSince <
          this->maxDisagreement() + this->Settings.StateInterval;
  const Duration Interval =
      this->Joined ? this->Settings.StateInterval : this->Settings.Period * 2;
  this->NextStateRequest = Now + Interval;
  MembershipMessage Request = this->makeMessage(
      Now, MembershipKind::StateRequest, RumoursSuffice ? WithoutRecords : 0);
  this->introduceSelf(Request);
  this->send(From, std::move(Request), true);
}

void MembershipTable::spreadRumour(RouterId Router) {
  this->Rumours.add(Router, transmissionCount(this->Members.all().size()));
}

std::vector<RouterId> MembershipTable::pickRandom(std::size_t Count,
                                                  RouterId Except) {
  std::vector<RouterId> Candidates;
  for (const auto &[Router, Known] : this->Members.all())
    if (Known.Status == MemberStatus::Alive && Router != Except)
      Candidates.push_back(Router);
  std::vector<RouterId> Picked;
  while (Picked.size() < Count && !Candidates.empty()) {
    const std::size_t Index = this->Random() % Candidates.size();
    Picked.push_back(Candidates[Index]);
    Candidates[Index] = Candidates.back();
    Candidates.pop_back();
  }
  return Picked;
}

MemberRumour MembershipTable::selfRumour() const {
  return {this->Settings.Self.Router, this->Settings.Self.IncarnationNumber,
          this->SelfRefutation, MemberStatus::Alive, this->SelfDraining};
}

std::uint64_t MembershipTable::viewHash() const {
  return this->Members.hash() +
         memberHash(this->Settings.Self.Router,
                    this->Settings.Self.IncarnationNumber, this->SelfDraining);
}

void MembershipTable::publishView(TimePoint Now) {
  const bool SelfChanged = this->SelfDraining != this->PublishedDraining;
  if (!this->Members.takeVisibleChanged(Now) && !SelfChanged)
    return;
  this->PublishedDraining = this->SelfDraining;
  const RouterRecord &Self = this->Settings.Self;
  View Next{Self.Router, this->Members.visible(Now)};
  const Member Own{Self.Router, Self.IncarnationNumber, this->SelfDraining,
                   Self.Zone};
  const auto Position =
      std::lower_bound(Next.Members.begin(), Next.Members.end(), Own,
                       [](const Member &Left, const Member &Right) {
                         return Left.Router < Right.Router;
                       });
  PARSLEYWING_INVARIANT(
      Position == Next.Members.end() || Position->Router != Self.Router,
      "the list of other members does not contain this router");
  Next.Members.insert(Position, Own);
  if (Next == this->CurrentView)
    return;
  this->CurrentView = std::move(Next);
  this->PendingActions.push_back(ViewChanged{this->CurrentView});
}

Poco::JSON::Object::Ptr MembershipTable::dump() const {
  Poco::JSON::Array::Ptr MemberItems = new Poco::JSON::Array;
  for (const auto &[Router, Known] : this->Members.all()) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("name", Known.Record.Name);
    Item->set("life", Known.Record.IncarnationNumber);
    Item->set("refutation", Known.Refutation);
    Item->set("status", std::string(nameOf(MemberStatusNames, Known.Status)));
    Item->set("draining", Known.Draining);
    Item->set("peer_address", Known.Record.PeerAddress);
    Item->set("caller_address", Known.Record.CallerAddress);
    Item->set("returns", Known.ReturnCount);
    MemberItems->add(Item);
  }
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("name", this->Settings.Self.Name);
  Dump->set("life", this->Settings.Self.IncarnationNumber);
  Dump->set("draining", this->SelfDraining);
  Dump->set("superseded", this->IsSuperseded);
  Dump->set("view_size", this->CurrentView.Members.size());
  Dump->set("news_waiting", this->Rumours.size());
  Dump->set("suspicions", this->Suspicions);
  Dump->set("deaths", this->Deaths);
  Dump->set("refutations", this->Refutations);
  Dump->set("states_sent", this->StatesSent);
  Dump->set("members", MemberItems);
  return Dump;
}

} // namespace parsleywing
