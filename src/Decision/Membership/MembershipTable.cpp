#include "Decision/Membership/MembershipTable.h"

#include "Runtime/Invariant.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <bit>

namespace parsleywing {
namespace {

/// Records go along with news of a life that is not older than this; by then
/// a whole State has told those that missed it.
constexpr Duration RecordsFresh = std::chrono::seconds(30);

/// Estimated bytes of news in one message, so that it fits a datagram.
constexpr std::size_t NewsBytes = 900;
constexpr std::size_t RumourBytes = 22;
constexpr std::size_t RecordFixedBytes = 23;

/// Bounds on what the platform's lists may make this router remember.
constexpr std::size_t MostContacts = 64;
constexpr std::size_t MostRelays = 64;

/// The number of a request for a State without records. A router of an earlier
/// version sends the records all the same.
constexpr std::uint32_t RumoursSuffice = 1;

/// How long the router that asked for a ping is remembered.
constexpr Duration RelayMemory = std::chrono::seconds(2);

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

/// How often each router passes on a piece of news. Where all n routers send it
/// to k others at random, about n / e^k never hear it; with k = log2(n) + 2
/// that is less than one router in ten changes up to 400 routers. Those hear it
/// by the repair of views that differ.
unsigned timesToSpread(std::size_t Members) {
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

/// Notes a direct sign of life, and turns away processes that were replaced.
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
    // A process that was paused while another took its name. Unless told, it
    // would believe for ever that it is the router of that name.
    if (!Event.Address.empty()) {
      MembershipMessage Told =
          this->makeMessage(Now, MembershipKind::Gossip, 0);
      Told.Rumours = {rumourOf(*Known)};
      this->PendingActions.push_back(
          ContactAddress{Event.Address, std::move(Told)});
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
  const bool HeardLately =
      Known != nullptr && Known->EverReceived &&
      Known->Record.IncarnationNumber == Rumour.IncarnationNumber &&
      Now - Known->LastReceivedAt <= this->Settings.DirectTrust;
  // When two halves of a fleet meet, each believes the other dead. Were that
  // taken over, all would vanish from all views at once; as a suspicion it
  // leaves each the time to contradict.
  const bool Doubtful = FromState || HeardLately;
  if (Known != nullptr && Rumour.Status == MemberStatus::Dead && Doubtful &&
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
  const bool Wrong = Rumour.Status != MemberStatus::Alive ||
                     Rumour.Draining != this->SelfDraining;
  if (!Wrong || Rumour.Refutation < this->SelfRefutation)
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

/// Views that stay different show that news was lost; then one router's whole
/// state is asked for.
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

/// Gossip evens out what it can first: after a partition that takes longer in a
/// large fleet, and whole states then would cost more than they bring.
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
        this->ForwardedPings.size() >= MostRelays)
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

/// News of the sender's start was lost on its way here. A ping that introduces
/// this router is answered by an ack that introduces the other.
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
  const auto Asked = this->ForwardedPings.find(Number);
  if (Asked == this->ForwardedPings.end())
    return;
  const ForwardedPing Answered = Asked->second;
  this->ForwardedPings.erase(Asked);
  this->send(Answered.Requester,
             this->makeMessage(Now, MembershipKind::Ack, Answered.Number),
             true);
}

void MembershipTable::on(TimePoint, const VmListChanged &Event) {
  for (const PlatformRouter &Hint : Event.Live)
    this->applyHint(Hint);
  for (const PlatformRouter &Hint : Event.Leaving) {
    const KnownMember *Known = this->Members.find(Hint.Router);
    // The list lags: it may tell of a life long replaced, and it never
    // decides. A ping does.
    if (Known != nullptr && Known->Status == MemberStatus::Alive &&
        (Hint.IncarnationNumber == 0 ||
         Hint.IncarnationNumber >= Known->Record.IncarnationNumber) &&
        this->PriorityProbes.size() < MostContacts)
      this->PriorityProbes.push_back(Hint.Router);
  }
}

void MembershipTable::on(TimePoint, const LeaseListed &Event) {
  for (const PlatformRouter &Hint : Event.Holders) {
    // Only a process of this name registers under it. A process that was
    // frozen, and is cut off from all others, learns of its successor here
    // alone; else both would serve under one name.
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
  const bool News = Known == nullptr ||
                    Hint.IncarnationNumber > Known->Record.IncarnationNumber;
  const bool Listed = std::find(this->Contacts.begin(), this->Contacts.end(),
                                Hint.PeerAddress) != this->Contacts.end();
  if (News && !Listed && this->Contacts.size() < MostContacts)
    this->Contacts.push_back(Hint.PeerAddress);
}

void MembershipTable::on(TimePoint Now, const DrainRequested &) {
  if (this->SelfDraining)
    return;
  this->SelfDraining = true;
  ++this->SelfRefutation;
  this->spreadRumour(this->Settings.Self.Router);
  for (RouterId Peer : this->pickRandom(this->Settings.DrainPeers, {})) {
    MembershipMessage Told = this->makeMessage(Now, MembershipKind::Gossip, 0);
    Told.Rumours.push_back(this->selfRumour());
    this->send(Peer, std::move(Told), true);
  }
}

// Time.

void MembershipTable::on(TimePoint Now, const MembershipTick &) {
  // Stopped and woken, or starved of the processor: the acks that did not
  // come in that time say nothing about the others.
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
  std::erase_if(this->ForwardedPings, [&](const auto &Asked) {
    return Now - Asked.second.StartedAt > RelayMemory;
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
  const RouterId Silent = this->PendingProbe->Target;
  this->PendingProbe.reset();
  if (!this->Members.suspect(Now, Silent))
    return;
  ++this->Suspicions;
  this->spreadRumour(Silent);
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
    const RouterId Doubted = this->PriorityProbes.back();
    this->PriorityProbes.pop_back();
    if (this->recordOf(Doubted) != nullptr)
      return Doubted;
  }
  // Each member once a round, in an order of its own for each router and
  // round, so that no member is left out for longer than two rounds.
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
    const bool Fresh = IsSelf || (Known->Status != MemberStatus::Dead &&
                                  Now - Known->FirstSeenAt < RecordsFresh);
    if (!Fresh || Bytes + encodedSize(Record) > NewsBytes)
      continue;
    Message.Records.push_back(Record);
    Bytes += encodedSize(Record);
  }
}

/// Whoever is doubted must hear of it first, or it could not contradict.
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
                                const MembershipMessageReceived &Asked) {
  if (this->Members.find(Asked.From) == nullptr)
    return;
  const bool WithRecords = Asked.Message.Number != RumoursSuffice;
  MembershipMessage State = this->makeMessage(Now, MembershipKind::State, 0);
  this->introduceSelf(State);
  for (const auto &[Router, Known] : this->Members.all()) {
    State.Rumours.push_back(rumourOf(Known));
    if (WithRecords && Known.Status != MemberStatus::Dead)
      State.Records.push_back(Known.Record);
  }
  ++this->StatesSent;
  this->send(Asked.From, std::move(State), false);
}

/// After a partition all know each other's names and addresses from before:
/// the rumours alone, with fewer bytes, even the views out. Where some router
/// is new here, or that was not enough, all is asked for.
void MembershipTable::requestState(TimePoint Now, RouterId From) {
  if (this->Members.find(From) == nullptr)
    return;
  const bool AnyNew =
      std::ranges::any_of(this->Members.all(), [Now](const auto &Each) {
        return Now - Each.second.FirstSeenAt < RecordsFresh;
      });
  const bool RumoursDo =
      this->Joined && this->DisagreementSince && !AnyNew &&
      Now - *this->DisagreementSince <
          this->maxDisagreement() + this->Settings.StateInterval;
  const Duration Pause =
      this->Joined ? this->Settings.StateInterval : this->Settings.Period * 2;
  this->NextStateRequest = Now + Pause;
  MembershipMessage Request = this->makeMessage(
      Now, MembershipKind::StateRequest, RumoursDo ? RumoursSuffice : 0);
  this->introduceSelf(Request);
  this->send(From, std::move(Request), true);
}

void MembershipTable::spreadRumour(RouterId Router) {
  this->Rumours.add(Router, timesToSpread(this->Members.all().size()));
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
  const auto Place =
      std::lower_bound(Next.Members.begin(), Next.Members.end(), Own,
                       [](const Member &Left, const Member &Right) {
                         return Left.Router < Right.Router;
                       });
  PARSLEYWING_INVARIANT(Place == Next.Members.end() ||
                            Place->Router != Self.Router,
                        "the list of others does not hold the router itself");
  Next.Members.insert(Place, Own);
  if (Next == this->CurrentView)
    return;
  this->CurrentView = std::move(Next);
  this->PendingActions.push_back(ViewChanged{this->CurrentView});
}

Poco::JSON::Object::Ptr MembershipTable::dump() const {
  Poco::JSON::Array::Ptr Listed = new Poco::JSON::Array;
  for (const auto &[Router, Known] : this->Members.all()) {
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("name", Known.Record.Name);
    Entry->set("life", Known.Record.IncarnationNumber);
    Entry->set("refutation", Known.Refutation);
    Entry->set("status", std::string(nameOf(MemberStatusNames, Known.Status)));
    Entry->set("draining", Known.Draining);
    Entry->set("peer_address", Known.Record.PeerAddress);
    Entry->set("caller_address", Known.Record.CallerAddress);
    Entry->set("returns", Known.ReturnCount);
    Listed->add(Entry);
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
  Dump->set("members", Listed);
  return Dump;
}

} // namespace parsleywing
