#include "Decision/Servers/ServerConditions.h"

#include <Poco/JSON/Array.h>
#include <algorithm>

namespace parsleywing {

ServerConditions::ServerConditions(const ServerConditionsSettings &S,
                                   Incarnation L)
    : Settings(S), Life(L), Random(S.Seed) {}

std::vector<ServersAction> ServerConditions::handle(TimePoint At,
                                                    const ServersEvent &Event) {
  this->Now = At;
  std::visit([this](const auto &E) { this->on(E); }, Event);
  if (At >= this->NextRound)
    this->tellNew();
  if (At >= this->NextDigest)
    this->repeatHeld();
  return std::exchange(this->Pending, {});
}

ServerCondition ServerConditions::conditionOf(ServerId Server) const {
  const auto Found = this->Conditions.find(Server);
  return Found == this->Conditions.end() ? ServerCondition::Usable
                                         : Found->second.Condition;
}

bool ServerConditions::mayAdmit(TimePoint At, ServerId Server) const {
  const auto Found = this->Conditions.find(Server);
  return Found == this->Conditions.end() ||
         Found->second.Condition != ServerCondition::Leaving ||
         At <= Found->second.Since + this->Settings.AdmissionBound;
}

void ServerConditions::on(const ServerConditionChanged &Probed) {
  const Key SaysLeaving{Probed.Server, ServerFact::ReportsLeaving};
  const Key Unreachable{Probed.Server, ServerFact::Unreachable};
  switch (Probed.Condition) {
  case ServerCondition::Failed:
    this->saw(Unreachable); // It says nothing on whether the server leaves.
    return;
  case ServerCondition::Leaving:
    this->sawNot(Unreachable, this->Settings.ProbeMargin);
    this->saw(SaysLeaving);
    return;
  case ServerCondition::Usable:
    this->sawNot(Unreachable, this->Settings.ProbeMargin);
    this->sawNot(SaysLeaving, this->Settings.ProbeMargin);
    return;
  }
}

void ServerConditions::on(const LoadReported &Reported) {
  // A server that leaves reports no load.
  this->on(ServerConditionChanged{Reported.Server, ServerCondition::Usable});
}

void ServerConditions::on(const ServersListed &Listed) {
  for (const ServerId Server : Listed.Leaving)
    this->saw({Server, ServerFact::ListedLeaving});
  for (const ServerId Server : Listed.Live)
    this->sawNot({Server, ServerFact::ListedLeaving},
                 this->Settings.ListMargin);
}

void ServerConditions::on(const ServerNoticesReceived &Received) {
  for (const ServerNotice &Notice : Received.Message.Notices) {
    const ServerId Server{Notice.Server};
    // A later version may know more facts. Servers that are not declared here
    // would let a stranger's notices take memory without bound; where they are
    // declared later, the repeated notices tell of them again.
    if (Notice.Fact >= ServerFactCount ||
        !this->InForce->Servers.contains(Server))
      continue;
    const Key Fact{Server, static_cast<ServerFact>(Notice.Fact)};
    const auto Found = this->Facts.find(Fact);
    if (Found == this->Facts.end() || Notice.isNewerThan(Found->second.Newest))
      this->learn(Fact, Notice);
  }
}

void ServerConditions::on(const ViewChanged &Changed) {
  this->Current = Changed.Current;
  // Whose word counts on a failure follows from who owns the server.
  std::vector<ServerId> Failed;
  for (const Key &Fact : this->Held)
    if (Fact.second == ServerFact::Unreachable)
      Failed.push_back(Fact.first);
  for (const ServerId Server : Failed)
    this->merge(Server);
}

void ServerConditions::on(const DeclarationsChanged &Changed) {
  this->InForce = Changed.Active;
  std::set<ServerId> Gone;
  for (const auto &[Fact, Stands] : this->Facts)
    if (!this->InForce->Servers.contains(Fact.first))
      Gone.insert(Fact.first);
  for (const ServerId Server : Gone) {
    const auto IsGone = [Server](const Key &Fact) {
      return Fact.first == Server;
    };
    std::erase_if(this->Facts, [&](const auto &E) { return IsGone(E.first); });
    std::erase_if(this->ToTell,
                  [&](const auto &E) { return IsGone(E.second); });
    std::erase_if(this->Held, IsGone);
    this->merge(Server);
  }
}

void ServerConditions::on(const Tick &) {
  if (this->Now < this->NextExpiry)
    return;
  this->NextExpiry = this->Now + this->Settings.GossipInterval;
  this->expireFailures();
}

/// This router's own source says that the fact holds.
void ServerConditions::saw(const Key &Fact) {
  if (!this->InForce->Servers.contains(Fact.first))
    return;
  const auto Found = this->Facts.find(Fact);
  const bool Stands = Found != this->Facts.end() && Found->second.Newest.Holds;
  // A failure ends unless it is said again.
  const bool IsRenewed =
      Stands && Fact.second == ServerFact::Unreachable &&
      this->Now >= Found->second.LearntAt + this->Settings.FailureLifetime / 3;
  if (!Stands || IsRenewed)
    this->claim(Fact, true);
  this->Facts.at(Fact).Confirmed = true;
}

/// This router's own source says that the fact does not hold. It may have
/// looked before the router that said otherwise: then believing it would give
/// a leaving server new work until the next look.
void ServerConditions::sawNot(const Key &Fact, Duration Margin) {
  const auto Found = this->Facts.find(Fact);
  if (Found == this->Facts.end() || !Found->second.Newest.Holds)
    return;
  if (Found->second.Confirmed || this->Now >= Found->second.LearntAt + Margin)
    this->claim(Fact, false);
}

void ServerConditions::claim(const Key &Fact, bool Holds) {
  const auto Found = this->Facts.find(Fact);
  const std::uint32_t Counter =
      Found == this->Facts.end() ? 0 : Found->second.Newest.Counter;
  this->learn(Fact, {Fact.first.Value, static_cast<std::uint8_t>(Fact.second),
                     Holds, Counter + 1, this->Current.Self.Value, this->Life});
}

void ServerConditions::learn(const Key &Fact, const ServerNotice &Notice) {
  Known &Stands = this->Facts[Fact];
  this->ToTell.erase({this->Settings.Transmissions - Stands.TellsLeft, Fact});
  Stands = {Notice, this->Now, false, this->Settings.Transmissions};
  this->ToTell.emplace(0, Fact);
  if (Notice.Holds)
    this->Held.insert(Fact);
  else
    this->Held.erase(Fact);
  this->merge(Fact.first);
}

bool ServerConditions::holds(const Key &Fact) const {
  const auto Found = this->Facts.find(Fact);
  if (Found == this->Facts.end() || !Found->second.Newest.Holds)
    return false;
  if (Fact.second != ServerFact::Unreachable)
    return true;
  const RouterId Origin{Found->second.Newest.Origin};
  return this->Now < Found->second.LearntAt + this->Settings.FailureLifetime &&
         (Origin == this->Current.Self ||
          Origin == ownerOf(this->Current, Fact.first.Value));
}

void ServerConditions::merge(ServerId Server) {
  ServerCondition Next = ServerCondition::Usable;
  if (this->holds({Server, ServerFact::ListedLeaving}) ||
      this->holds({Server, ServerFact::ReportsLeaving}))
    Next = ServerCondition::Leaving;
  else if (this->holds({Server, ServerFact::Unreachable}))
    Next = ServerCondition::Failed;
  if (Next == this->conditionOf(Server))
    return;
  if (Next == ServerCondition::Usable)
    this->Conditions.erase(Server);
  else
    this->Conditions[Server] = {Next, this->Now};
  this->Pending.emplace_back(ServerConditionChanged{Server, Next});
}

void ServerConditions::expireFailures() {
  std::vector<Key> Ended;
  for (const Key &Fact : this->Held)
    if (Fact.second == ServerFact::Unreachable &&
        this->Now >=
            this->Facts.at(Fact).LearntAt + this->Settings.FailureLifetime)
      Ended.push_back(Fact);
  for (const Key &Fact : Ended) {
    this->Held.erase(Fact);
    this->merge(Fact.first);
  }
}

std::optional<RouterId> ServerConditions::anyOther() {
  const std::vector<Member> &Members = this->Current.Members;
  if (Members.size() < 2)
    return std::nullopt;
  const std::size_t Start = this->Random() % Members.size();
  const Member &Chosen = Members[Start];
  if (Chosen.Router != this->Current.Self)
    return Chosen.Router;
  return Members[(Start + 1) % Members.size()].Router;
}

/// What is new goes to a few others at once, and again in later rounds, so that
/// lost messages and others' equal choices leave nobody out.
void ServerConditions::tellNew() {
  if (this->ToTell.empty() || this->Current.Members.size() < 2)
    return;
  this->NextRound = this->Now + this->Settings.GossipInterval;
  std::vector<Key> Chosen;
  for (const auto &[Times, Fact] : this->ToTell)
    if (Chosen.size() < this->Settings.MaxNotices)
      Chosen.push_back(Fact);
    else
      break;
  ServerNotices Message;
  for (const Key &Fact : Chosen) {
    Known &Stands = this->Facts.at(Fact);
    Message.Notices.push_back(Stands.Newest);
    this->ToTell.erase({this->Settings.Transmissions - Stands.TellsLeft, Fact});
    if (--Stands.TellsLeft > 0)
      this->ToTell.emplace(this->Settings.Transmissions - Stands.TellsLeft,
                           Fact);
  }
  for (std::size_t Told = 0; Told < this->Settings.FanOut; ++Told)
    this->Pending.emplace_back(SendServerNotices{*this->anyOther(), Message});
}

/// A router that started or came back after the rounds of a notice learns it
/// from these: each is told by one other in each interval, on average.
void ServerConditions::repeatHeld() {
  this->NextDigest = this->Now + this->Settings.DigestInterval;
  const std::optional<RouterId> To = this->anyOther();
  if (!To || this->Held.empty())
    return;
  const std::size_t Count =
      std::min(this->Held.size(), this->Settings.MaxNotices);
  ServerNotices Message;
  auto Next = this->Held.upper_bound(this->LastRepeated);
  while (Message.Notices.size() < Count) {
    if (Next == this->Held.end())
      Next = this->Held.begin();
    this->LastRepeated = *Next;
    Message.Notices.push_back(this->Facts.at(*Next++).Newest);
  }
  this->Pending.emplace_back(SendServerNotices{*To, std::move(Message)});
}

Poco::JSON::Object::Ptr ServerConditions::dump() const {
  Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
  for (const auto &[Server, Stands] : this->Conditions) {
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("server", Server.Value);
    Row->set("condition",
             std::string(nameOf(ServerConditionNames, Stands.Condition)));
    List->add(Row);
  }
  Poco::JSON::Object::Ptr Whole = new Poco::JSON::Object;
  Whole->set("not_usable", List);
  Whole->set("notices_to_tell", static_cast<Poco::UInt64>(this->ToTell.size()));
  return Whole;
}

} // namespace parsleywing
