#include "Gateway/ProofExchange.h"

#include "Runtime/Id.h"

namespace parsleywing {

namespace {

/// How often a router asks its relay for a proof.
constexpr Duration AskInterval = std::chrono::milliseconds(500);
/// Questions in a row without an answer, after which another relay is asked.
constexpr int MaxUnanswered = 3;
/// Routers for each relay of proofs, about.
constexpr std::size_t RoutersForRelay = 24;
/// The key of the order of relays.
constexpr std::uint64_t OrderKey = 0x70726F6F66;
/// An older proof is not told: it would only delay the other's own reading.
constexpr Duration OldestTold = std::chrono::milliseconds(2500);

} // namespace

void ProofExchange::takeView(const FleetView &View) {
  this->ProvenAt = View.ProvenAt;
  this->ConfigurationAt = View.ConfigurationAt;
  this->ServersAt = View.ServersAt;
}

void ProofExchange::start(Sink Proofs) {
  this->Tell = std::move(Proofs);
  this->ask();
}

/// Sets the relay of this router's cluster. True where this router is a relay
/// itself, of any cluster.
bool ProofExchange::findRelay() {
  const std::uint64_t Clusters =
      (this->Routers.routerCount() + RoutersForRelay - 1) / RoutersForRelay;
  const std::uint64_t Cluster =
      Clusters < 2 ? 0 : hashName(this->Routers.self()) % Clusters;
  this->ChosenRelay =
      this->Routers.firstFor(rendezvousScore(OrderKey, Cluster));
  bool Relays = this->ChosenRelay == this->Routers.self();
  for (std::uint64_t Each = 0; Each < Clusters && !Relays; ++Each)
    Relays = this->Routers.firstFor(rendezvousScore(OrderKey, Each)) ==
             this->Routers.self();
  return Relays;
}

void ProofExchange::ask() {
  this->Relay = this->findRelay();
  if (!this->Relay) {
    if (++this->Unanswered > MaxUnanswered)
      this->Routers.suspect(this->ChosenRelay);
    ++this->Number;
    this->AskedAt = this->SuspendClock.now();
    this->Routers.send(this->ChosenRelay,
                       ProofAsk{{this->Process, this->Number}});
  }
  this->Loop.after(AskInterval, [this] { this->ask(); });
}

void ProofExchange::onAsked(const ProofAsk &Asked,
                            const Poco::Net::SocketAddress &From) {
  const auto Age = std::chrono::ceil<std::chrono::milliseconds>(
      this->SuspendClock.now() - this->ProvenAt);
  if (Age > OldestTold)
    return;
  this->Routers.send(From, ProofTold{Asked.Id,
                                     static_cast<std::uint32_t>(Age.count()),
                                     this->ConfigurationAt, this->ServersAt});
}

void ProofExchange::onTold(const ProofTold &Told) {
  // An answer to an earlier question says nothing of this one's moment.
  if (Told.Id != AskId{this->Process, this->Number})
    return;
  this->Unanswered = 0;
  if (this->Tell)
    this->Tell(this->AskedAt - std::chrono::milliseconds(Told.AgeMs),
               Told.ConfigurationAt, Told.ServersAt);
}

} // namespace parsleywing
