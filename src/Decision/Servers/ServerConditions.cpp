#include "Decision/Servers/ServerConditions.h"

#include <Poco/JSON/Array.h>
#include <algorithm>

namespace parsleywing {

ServerConditions::ServerConditions(const ServerConditionsSettings &S,
                                   Incarnation L)
    : Settings(S), IncarnationNumber(L), Random(S.Seed) {}

std::vector<ServersAction> ServerConditions::handle(TimePoint At,
                                                    const ServersEvent &Event) {
  this->Now = At;
  std::visit([this](const auto &E) { this->on(E); }, Event);
  if (At >= this->NextGossip)
    this->sendPending();
  if (At >= this->NextDigest)
    this->sendDigest();
  return std::exchange(this->PendingActions, {});
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
    // An unreachable server does not report whether it is leaving.
    this->observeHolds(Unreachable);
    return;
  case ServerCondition::Leaving:
    this->observeNotHolds(Unreachable, this->Settings.ProbeMargin);
    this->observeHolds(SaysLeaving);
    return;
  case ServerCondition::Usable:
    this->observeNotHolds(Unreachable, this->Settings.ProbeMargin);
    this->observeNotHolds(SaysLeaving, this->Settings.ProbeMargin);
    return;
  }
}

void ServerConditions::on(const LoadReported &Reported) {
  // A leaving server reports no load.
  this->on(ServerConditionChanged{Reported.Server, ServerCondition::Usable});
}

void ServerConditions::on(const ServersListed &Listed) {
  for (const ServerId Server : Listed.Leaving)
    this->observeHolds({Server, ServerFact::ListedLeaving});
  for (const ServerId Server : Listed.Live)
    this->observeNotHolds({Server, ServerFact::ListedLeaving},
                          this->Settings.ListMargin);
}

void ServerConditions::on(const ServerNoticesReceived &Received) {
  for (const ServerNotice &Notice : Received.Message.Notices) {
    const ServerId Server{Notice.Server};
    // A later version may define more facts. Notices on servers that are not
    // declared here could use unbounded memory and are dropped; if such a
    // server is declared later, the repeated notices mention it again.
    if (Notice.Fact >= ServerFactCount ||
        !this->ActiveDeclarations->Servers.contains(Server))
      continue;
    const Key Fact{Server, static_cast<ServerFact>(Notice.Fact)};
    const auto Found = this->Facts.find(Fact);
    if (Found == this->Facts.end() || Notice.isNewerThan(Found->second.Newest))
      this->applyNotice(Fact, Notice);
  }
}

void ServerConditions::on(const ViewChanged &Changed) {
  this->CurrentView = Changed.Current;
  // A failure reported by another router counts only if that router owns the
  // server, which depends on the view.
  std::vector<ServerId> Failed;
  for (const Key &Fact : this->ActiveFacts)
    if (Fact.second == ServerFact::Unreachable)
      Failed.push_back(Fact.first);
  for (const ServerId Server : Failed)
    this->updateCondition(Server);
}

void ServerConditions::on(const DeclarationsChanged &Changed) {
  this->ActiveDeclarations = Changed.Active;
  std::set<ServerId> Undeclared;
  for (const auto &[Fact, State] : this->Facts)
    if (!this->ActiveDeclarations->Servers.contains(Fact.first))
      Undeclared.insert(Fact.first);
  for (const ServerId Server : Undeclared) {
    const auto IsOfServer = [Server](const Key &Fact) {
      return Fact.first == Server;
    };
    std::erase_if(this->Facts,
                  [&](const auto &E) { return IsOfServer(E.first); });
    std::erase_if(this->PendingNotices,
                  [&](const auto &E) { return IsOfServer(E.second); });
    std::erase_if(this->ActiveFacts, IsOfServer);
    this->updateCondition(Server);
  }
}

void ServerConditions::on(const Tick &) {
  if (this->Now < this->NextExpiry)
    return;
  this->NextExpiry = this->Now + this->Settings.GossipInterval;
  this->expireFailures();
}

/// This router's own source reports that the fact holds.
void ServerConditions::observeHolds(const Key &Fact) {
  if (!this->ActiveDeclarations->Servers.contains(Fact.first))
    return;
  const auto Found = this->Facts.find(Fact);
  const bool IsActive =
      Found != this->Facts.end() && Found->second.Newest.Holds;
  // A failure expires unless it is renewed.
  const bool IsRenewed = IsActive && Fact.second == ServerFact::Unreachable &&
                         this->Now >= Found->second.ReceivedAt +
                                          this->Settings.FailureLifetime / 3;
  if (!IsActive || IsRenewed)
    this->publish(Fact, true);
  this->Facts.at(Fact).Confirmed = true;
}

/// This router's own source reports that the fact does not hold. Its
/// observation may be older than that of the router that reported the fact: if
/// this one won, a leaving server would receive new requests until the next
/// observation.
void ServerConditions::observeNotHolds(const Key &Fact, Duration Margin) {
  const auto Found = this->Facts.find(Fact);
  if (Found == this->Facts.end() || !Found->second.Newest.Holds)
    return;
  if (Found->second.Confirmed || this->Now >= Found->second.ReceivedAt + Margin)
    this->publish(Fact, false);
}

void ServerConditions::publish(const Key &Fact, bool Holds) {
  const auto Found = this->Facts.find(Fact);
  const std::uint32_t Counter =
      Found == this->Facts.end() ? 0 : Found->second.Newest.Counter;
  this->applyNotice(Fact,
                    {Fact.first.Value, static_cast<std::uint8_t>(Fact.second),
                     Holds, Counter + 1, this->CurrentView.Self.Value,
                     this->IncarnationNumber});
}

void ServerConditions::applyNotice(const Key &Fact,
                                   const ServerNotice &Notice) {
  FactState &State = this->Facts[Fact];
  this->PendingNotices.erase(
      {this->Settings.Transmissions - State.RemainingTransmissions, Fact});
  State = {Notice, this->Now, false, this->Settings.Transmissions};
  this->PendingNotices.emplace(0, Fact);
  if (Notice.Holds)
    this->ActiveFacts.insert(Fact);
  else
    this->ActiveFacts.erase(Fact);
  this->updateCondition(Fact.first);
}

bool ServerConditions::holds(const Key &Fact) const {
  const auto Found = this->Facts.find(Fact);
  if (Found == this->Facts.end() || !Found->second.Newest.Holds)
    return false;
  if (Fact.second != ServerFact::Unreachable)
    return true;
  const RouterId Origin{Found->second.Newest.Origin};
  return this->Now <
             Found->second.ReceivedAt + this->Settings.FailureLifetime &&
         (Origin == this->CurrentView.Self ||
          Origin == ownerOf(this->CurrentView, Fact.first.Value));
}

void ServerConditions::updateCondition(ServerId Server) {
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
  this->PendingActions.emplace_back(ServerConditionChanged{Server, Next});
}

void ServerConditions::expireFailures() {
  std::vector<Key> Expired;
  for (const Key &Fact : this->ActiveFacts)
    if (Fact.second == ServerFact::Unreachable &&
        this->Now >=
            this->Facts.at(Fact).ReceivedAt + this->Settings.FailureLifetime)
      Expired.push_back(Fact);
  for (const Key &Fact : Expired) {
    this->ActiveFacts.erase(Fact);
    this->updateCondition(Fact.first);
  }
}

std::optional<RouterId> ServerConditions::randomPeer() {
  const std::vector<Member> &Members = this->CurrentView.Members;
  if (Members.size() < 2)
    return std::nullopt;
  const std::size_t Start = this->Random() % Members.size();
  const Member &Candidate = Members[Start];
  if (Candidate.Router != this->CurrentView.Self)
    return Candidate.Router;
  return Members[(Start + 1) % Members.size()].Router;
}

/// Sends new notices to a few other routers at once and again in later rounds,
/// so that every router receives them in spite of lost messages and of senders
/// that choose the same receivers.
void ServerConditions::sendPending() {
  if (this->PendingNotices.empty() || this->CurrentView.Members.size() < 2)
    return;
  this->NextGossip = this->Now + this->Settings.GossipInterval;
  std::vector<Key> Selected;
  for (const auto &[SendCount, Fact] : this->PendingNotices)
    if (Selected.size() < this->Settings.MaxNotices)
      Selected.push_back(Fact);
    else
      break;
  ServerNotices Message;
  for (const Key &Fact : Selected) {
    FactState &State = this->Facts.at(Fact);
    Message.Notices.push_back(State.Newest);
    this->PendingNotices.erase(
        {this->Settings.Transmissions - State.RemainingTransmissions, Fact});
    if (--State.RemainingTransmissions > 0)
      this->PendingNotices.emplace(
          this->Settings.Transmissions - State.RemainingTransmissions, Fact);
  }
  for (std::size_t Sent = 0; Sent < this->Settings.FanOut; ++Sent)
    this->PendingActions.emplace_back(
        SendServerNotices{*this->randomPeer(), Message});
}

/// Sends the current facts to one router, for routers that started or
/// reconnected after the gossip rounds of a notice. On average, each router
/// receives one such message per interval.
void ServerConditions::sendDigest() {
  this->NextDigest = this->Now + this->Settings.DigestInterval;
  const std::optional<RouterId> To = this->randomPeer();
  if (!To || this->ActiveFacts.empty())
    return;
  const std::size_t Count =
      std::min(this->ActiveFacts.size(), this->Settings.MaxNotices);
  ServerNotices Message;
  auto Next = this->ActiveFacts.upper_bound(this->LastDigestFact);
  while (Message.Notices.size() < Count) {
    if (Next == this->ActiveFacts.end())
      Next = this->ActiveFacts.begin();
    this->LastDigestFact = *Next;
    Message.Notices.push_back(this->Facts.at(*Next++).Newest);
  }
  this->PendingActions.emplace_back(SendServerNotices{*To, std::move(Message)});
}

Poco::JSON::Object::Ptr ServerConditions::dump() const {
  Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
  for (const auto &[Server, State] : this->Conditions) {
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("server", Server.Value);
    Row->set("condition",
             std::string(nameOf(ServerConditionNames, State.Condition)));
    List->add(Row);
  }
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("not_usable", List);
  Dump->set("notices_to_tell",
            static_cast<Poco::UInt64>(this->PendingNotices.size()));
  return Dump;
}

} // namespace parsleywing
