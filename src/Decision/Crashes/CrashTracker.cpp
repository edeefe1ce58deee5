#include "Decision/Crashes/CrashTracker.h"

#include <Poco/JSON/Array.h>
#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// A connection that a server accepts this long after the loss of another shows
/// that its process is alive.
constexpr Duration SettlingTime = std::chrono::milliseconds(100);

/// How often due checks are started.
constexpr Duration CheckRoundInterval = std::chrono::milliseconds(50);

/// Time between two checks of an unreachable server.
constexpr Duration RecheckInterval = std::chrono::seconds(1);

/// A check without a result after this time is repeated.
constexpr Duration CheckTimeout = std::chrono::seconds(2);

/// How long a loss at an unreachable server may still be found to be a crash.
constexpr Duration SuspicionLifetime = std::chrono::seconds(6);

/// How often facts are gossiped to one other router, chosen at random.
constexpr Duration GossipInterval = std::chrono::milliseconds(500);

/// Facts in a gossip message: about 1 KB per second while there are any.
constexpr std::size_t FactsPerGossip = 12;

/// Facts that fit into one datagram.
constexpr std::size_t FactsPerDatagram = 25;

/// Facts in the reply to a router that has just started, 82 KB.
constexpr std::size_t MaxFactsInReply = 2000;

/// Routers to which a new fact is forwarded. Four reach 98 of 100 routers; the
/// others get it by gossip.
constexpr std::size_t ForwardFanOut = 4;

/// Facts about requests that were not seen for longer are not forwarded: the
/// other routers know them.
constexpr std::uint32_t MaxForwardAgeSeconds = 2;

/// Routers that a starting router asks for facts: one of them may have just
/// started as well, and a datagram may be lost.
constexpr std::size_t RoutersToAsk = 3;

} // namespace

std::vector<CrashAction> CrashTracker::handle(TimePoint At,
                                              const CrashEvent &Event) {
  this->Now = At;
  std::visit([this](const auto &E) { this->on(E); }, Event);
  return std::exchange(this->PendingActions, {});
}

bool CrashTracker::open(TimePoint At, RequestId Request,
                        const RequestIdentity &Content) {
  if (Content == RequestIdentity{})
    return true;
  this->Now = At;
  const bool IsRefused = this->Registry.isRefused(Content);
  if (IsRefused && !this->acquireProbe(Content)) {
    this->Registry.recordRefusedAgain(Content, At);
    return false;
  }
  this->OpenRequests[Request] = {Content, IsRefused, false};
  return true;
}

void CrashTracker::close(RequestId Request) {
  this->OpenRequests.erase(Request);
}

bool CrashTracker::acquireStart(RequestId Request) {
  const auto Found = this->OpenRequests.find(Request);
  if (Found == this->OpenRequests.end() ||
      !this->Registry.isRefused(Found->second.Content))
    return true;
  return Found->second.IsProbe && !std::exchange(Found->second.Started, true);
}

/// Only one router of the fleet may send a refused request again, so that it
/// crashes at most one more server.
bool CrashTracker::acquireProbe(const RequestIdentity &Content) {
  if (ownerOf(this->CurrentView, Content.Low) != this->CurrentView.Self ||
      !this->Registry.mayProbe(Content, this->Now))
    return false;
  this->Registry.recordProbe(Content, this->Now);
  return true;
}

void CrashTracker::on(const AttemptEnded &Event) {
  const auto Found = this->OpenRequests.find(Event.Request);
  if (Found == this->OpenRequests.end())
    return;
  const RequestIdentity &Content = Found->second.Content;
  if (Event.Outcome == AttemptOutcome::Completed)
    this->forward(this->Registry.clear(Content, this->Now));
  else if (Event.Lost && this->mayCrash(Event.Lost->Server))
    this->suspect(Content, *Event.Lost);
}

bool CrashTracker::mayCrash(ServerId Server) const {
  return this->ActiveDeclarations->Servers.contains(Server) &&
         !this->LeavingServers.contains(Server);
}

ServerProcess CrashTracker::processOf(const LostConnection &Lost) const {
  const auto Known = this->KnownCrashes.find(Lost.Server.Value);
  if (Known == this->KnownCrashes.end())
    return {Lost.Server.Value, 1};
  const KnownCrash &Latest = Known->second;
  const bool IsLater = Lost.OpenedAt >= Latest.LearnedAt;
  return {Lost.Server.Value, Latest.Number + (IsLater ? 1 : 0)};
}

void CrashTracker::suspect(const RequestIdentity &Content,
                           const LostConnection &Lost) {
  const ServerProcess Process = this->processOf(Lost);
  const auto [Found, IsNew] = this->Suspects.try_emplace(Process);
  Found->second.LostAt[Content] = this->Now;
  if (Lost.Check == ConnectOutcome::Refused)
    this->confirm(Process);
  else if (IsNew)
    Found->second.CheckDueAt =
        Lost.Check ? this->Now + SettlingTime : this->Now;
}

void CrashTracker::on(const ServerChecked &Event) {
  const auto Found = this->Suspects.find(Event.Process);
  if (Found == this->Suspects.end() || !Found->second.CheckStartedAt)
    return;
  Suspect &Suspected = Found->second;
  const TimePoint StartedAt = *std::exchange(Suspected.CheckStartedAt, {});
  switch (Event.Outcome) {
  case ConnectOutcome::Refused:
    this->confirm(Event.Process);
    return;
  case ConnectOutcome::Listening:
    std::erase_if(Suspected.LostAt, [StartedAt](const auto &Each) {
      return Each.second + SettlingTime <= StartedAt;
    });
    Suspected.CheckDueAt = this->Now + SettlingTime;
    break;
  case ConnectOutcome::Unknown:
    Suspected.CheckDueAt = this->Now + RecheckInterval;
    break;
  }
  if (Suspected.LostAt.empty())
    this->Suspects.erase(Found);
}

void CrashTracker::confirm(const ServerProcess &Process) {
  const auto Suspected = this->Suspects.extract(Process);
  std::vector<CrashFact> Facts;
  for (const auto &[Content, LostAt] : Suspected.mapped().LostAt)
    Facts.push_back({Content, Process, false, 0});
  this->emit(ServerCrashed{ServerId{Process.Server}, Facts.size()});
  this->recordFacts(Facts);
}

void CrashTracker::on(const CrashFactsReceived &Event) {
  this->recordFacts(Event.Message.Facts);
  if (!Event.Message.WantsReply)
    return;
  std::vector<CrashFact> Facts = this->Registry.allFacts(this->Now);
  Facts.resize(std::min(Facts.size(), MaxFactsInReply));
  if (!Facts.empty())
    this->emit(SendCrashFacts{Event.From,
                              {false, std::move(Facts)},
                              false,
                              /*Bulk=*/true});
}

void CrashTracker::recordFacts(const std::vector<CrashFact> &Facts) {
  std::vector<CrashFact> NewFacts;
  bool MoreRefused = false;
  for (const CrashFact &Each : Facts) {
    KnownCrash &Latest = this->KnownCrashes[Each.Process.Server];
    if (Each.Process.Start > Latest.Number)
      Latest = {Each.Process.Start, this->Now};
    const bool WasRefused = this->Registry.isRefused(Each.Request);
    if (!this->Registry.record(Each, this->Now))
      continue;
    if (Each.AgeSeconds <= MaxForwardAgeSeconds)
      NewFacts.push_back(Each);
    if (WasRefused || !this->Registry.isRefused(Each.Request))
      continue;
    MoreRefused = true;
    this->emit(
        ContentRefused{Each.Request, this->Registry.crashCount(Each.Request)});
  }
  this->forward(NewFacts);
  if (MoreRefused)
    this->refuseOpenRequests();
}

void CrashTracker::refuseOpenRequests() {
  for (const auto &[Request, Open] : this->OpenRequests)
    if (!Open.IsProbe && this->Registry.isRefused(Open.Content))
      this->emit(RefuseRequest{Request});
}

void CrashTracker::forward(const std::vector<CrashFact> &Facts) {
  if (Facts.empty())
    return;
  const std::vector<RouterId> Receivers = this->randomPeers(ForwardFanOut);
  for (std::size_t First = 0; First < Facts.size(); First += FactsPerDatagram) {
    const std::size_t Last = std::min(First + FactsPerDatagram, Facts.size());
    const CrashFacts Message{
        false,
        {Facts.begin() + static_cast<std::ptrdiff_t>(First),
         Facts.begin() + static_cast<std::ptrdiff_t>(Last)}};
    for (const RouterId Receiver : Receivers)
      this->emit(SendCrashFacts{Receiver, Message, /*Urgent=*/true, false});
  }
}

void CrashTracker::on(const ServerConditionChanged &Event) {
  if (Event.Condition != ServerCondition::Leaving) {
    this->LeavingServers.erase(Event.Server);
    return;
  }
  this->LeavingServers.insert(Event.Server);
  this->dismissStopped();
}

void CrashTracker::on(const DeclarationsChanged &Event) {
  this->ActiveDeclarations = Event.Active;
  this->dismissStopped();
}

void CrashTracker::dismissStopped() {
  std::erase_if(this->Suspects, [this](const auto &Each) {
    return !this->mayCrash(ServerId{Each.first.Server});
  });
}

void CrashTracker::on(const ViewChanged &Event) {
  this->CurrentView = Event.Current;
  if (this->FactsRequested)
    return;
  for (const RouterId Peer : this->randomPeers(RoutersToAsk)) {
    this->FactsRequested = true;
    this->emit(SendCrashFacts{Peer, {/*WantsReply=*/true, {}}, false, false});
  }
}

void CrashTracker::on(const Tick &) {
  if (this->Now >= this->NextCheckRound) {
    this->NextCheckRound = this->Now + CheckRoundInterval;
    this->runDueChecks();
  }
  if (this->Now >= this->NextGossip) {
    this->NextGossip = this->Now + GossipInterval;
    this->gossip();
  }
}

void CrashTracker::runDueChecks() {
  for (auto &[Process, Suspected] : this->Suspects) {
    std::erase_if(Suspected.LostAt, [this](const auto &Each) {
      return Each.second + SuspicionLifetime < this->Now;
    });
    const bool IsChecked = Suspected.CheckStartedAt &&
                           *Suspected.CheckStartedAt + CheckTimeout > this->Now;
    if (IsChecked || Suspected.LostAt.empty() ||
        Suspected.CheckDueAt > this->Now)
      continue;
    Suspected.CheckStartedAt = this->Now;
    this->emit(CheckServer{Process});
  }
  std::erase_if(this->Suspects,
                [](const auto &Each) { return Each.second.LostAt.empty(); });
}

void CrashTracker::gossip() {
  this->Registry.removeExpired(this->Now);
  const std::vector<RouterId> Receiver = this->randomPeers(1);
  if (Receiver.empty())
    return;
  std::vector<CrashFact> Facts =
      this->Registry.nextFacts(FactsPerGossip, this->Now);
  if (!Facts.empty())
    this->emit(SendCrashFacts{
        Receiver.front(), {false, std::move(Facts)}, false, false});
}

std::vector<RouterId> CrashTracker::randomPeers(std::size_t Count) {
  std::vector<RouterId> Peers;
  for (const Member &Each : this->CurrentView.Members)
    if (Each.Router != this->CurrentView.Self)
      Peers.push_back(Each.Router);
  std::shuffle(Peers.begin(), Peers.end(), this->Random);
  Peers.resize(std::min(Peers.size(), Count));
  return Peers;
}

Poco::JSON::Object::Ptr CrashTracker::dump() const {
  Poco::JSON::Array::Ptr Contents = new Poco::JSON::Array;
  this->Registry.visit([&Contents](const RequestIdentity &Content,
                                   std::size_t Crashes, bool Refused) {
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("content", textOf(Content));
    Entry->set("crashes", static_cast<Poco::UInt64>(Crashes));
    Entry->set("refused", Refused);
    Contents->add(Entry);
  });
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("contents", Contents);
  Dump->set("refused",
            static_cast<Poco::UInt64>(this->Registry.refusedCount()));
  Dump->set("processes-in-doubt",
            static_cast<Poco::UInt64>(this->Suspects.size()));
  Dump->set("servers-that-crashed",
            static_cast<Poco::UInt64>(this->KnownCrashes.size()));
  return Dump;
}

} // namespace parsleywing
