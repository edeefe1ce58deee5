#include "Gateway/GatewayFront.h"

#include "Gateway/FleetHistory.h"
#include "Gateway/GatewayRequest.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

namespace parsleywing {

void GatewayFront::startCachedPartsQueries() {
  this->PartsReader.setPartsCallback(
      [this](const GatewayServer &Server, const CachedParts &Cached) {
        log(LogPart::Backend, LogLevel::Info,
            "server=" + Server.Id + " keeps " +
                std::to_string(Cached.Parts.size()) + " parts");
        this->Agent.recordCached(hashName(Server.Id), Cached);
      });
  // A query names no server, so its response does not prove which one leaves.
  this->PartsReader.setPauseCallback(
      [this](const GatewayServer &Server, Duration Pause) {
        this->Signals.onPause({Server.Id, Server.StartedMs}, Pause);
      });
  this->Agent.setUnknownCacheCallback([this](std::uint64_t Server) {
    const GatewayServer *Listed = this->Servers.find(Server);
    if (Listed != nullptr &&
        !this->Servers.isAvoided(Server, this->Loop.clock().now()))
      this->PartsReader.query(*Listed);
  });
}

/// Ending one request may end others and change `ActiveRequests`, so all are
/// kept alive until the loop is done.
void GatewayFront::endRequests(void (GatewayRequest::*End)()) {
  std::vector<std::shared_ptr<GatewayRequest>> Active;
  for (GatewayRequest *Each : this->Context.ActiveRequests)
    Active.push_back(Each->shared_from_this());
  for (const auto &Each : Active)
    ((*Each).*End)();
}

/// An idle connection to a process that has ended, or to an address that its
/// server has left, would lose the next request. A request that may run only
/// once could then neither be retried nor be reported as not run.
void GatewayFront::closeStaleConnections(const ServerList &NewServers) {
  for (const auto &[Id, Server] : NewServers) {
    const GatewayServer *Known = this->Servers.find(hashName(Id));
    if (Known == nullptr)
      continue;
    if (Server.Draining && !Known->Draining)
      log(LogPart::Backend, LogLevel::Info,
          "server=" + Id + " leaves: source=store");
    const bool Restarted =
        Server.StartedMs > this->Servers.startOf(hashName(Id));
    if (!Restarted && Known->Address == Server.Address)
      continue;
    log(LogPart::Backend, LogLevel::Info,
        "server=" + Id + (Restarted ? " restarted" : " moved") +
            ": started-ms=" + std::to_string(Server.StartedMs) +
            " before=" + std::to_string(Known->StartedMs) +
            " address=" + Server.Address.toString());
    this->Pool.closeIdle(Id);
  }
}

/// Only the newest view is queued for the loop: otherwise a loop that was
/// blocked would have to apply every view since, and keep the lists of each in
/// memory.
void GatewayFront::updateView(std::shared_ptr<const FleetView> View) {
  if (this->PendingView.exchange(std::move(View)) != nullptr)
    return;
  this->Loop.post([this] {
    if (const auto Newest = this->PendingView.exchange(nullptr))
      this->applyView(Newest);
  });
}

void GatewayFront::applyView(const std::shared_ptr<const FleetView> &View) {
  const FleetView &Before = *this->Context.View;
  // The server table also reads the service parameters in the configuration.
  if (View->Servers != nullptr &&
      (View->Servers != Before.Servers ||
       View->Configuration != Before.Configuration)) {
    this->closeStaleConnections(*View->Servers);
    this->Servers.setServers(
        View->Servers, View->Configuration.get(), nullptr,
        {this->Loop.clock().now(), this->Context.BootClock.now()});
    this->Agent.setServers(*View);
    this->Crashes.updateServers(*View->Servers);
    this->endRequests(&GatewayRequest::endIfUnavailable);
  }
  if (View->RouterEndpoints != nullptr &&
      View->RouterEndpoints != Before.RouterEndpoints) {
    this->Routers.setRouters(*View->RouterEndpoints);
    this->Crashes.updateRouters();
    this->PartCrashes.updateRouters();
    this->Streams.setRouters(*View->RouterEndpoints);
  }
  if (View->Configuration != nullptr &&
      View->Configuration != Before.Configuration)
    for (const auto &[Key, Session] : this->CallerSessions)
      Session->setLimits(View->Configuration->Limits);
  this->Agent.updateView(*View);
  this->SlackShare.updateView(*View, this->Context.BootClock.now());
  this->Fleet.updateView(View);
  this->updateVersions(*View);
  this->Context.View = View;
  this->notifyAwaitingProof();
}

/// The loop skips views while it is blocked, and views hold many changes at
/// once, so that a server may have been listed in none of them.
void GatewayFront::updateVersions(const FleetView &View) {
  const TimePoint Now = this->Context.BootClock.now();
  const FleetView &Before = *this->Context.View;
  if (View.History != nullptr && View.Servers != Before.Servers)
    for (const auto &Each : View.History->changes())
      if (const auto *Stored = std::get_if<StoredServer>(Each.get());
          Stored != nullptr && Stored->ModRevision > Before.SeenRevision)
        this->Versions.recordListed(Stored->Server, Now);
  this->Versions.update(View, Now);
}

/// A request that begins or is refused leaves the set.
void GatewayFront::notifyAwaitingProof() {
  std::vector<std::shared_ptr<GatewayRequest>> Waiting;
  for (GatewayRequest *Each : this->Context.AwaitingProof)
    Waiting.push_back(Each->shared_from_this());
  for (const auto &Each : Waiting)
    Each->onListsProven();
}

void GatewayFront::onRouterMessage(const RouterMessage &Message,
                                   const Poco::Net::SocketAddress &From) {
  if (const auto *Request = std::get_if<FleetStatusRequest>(&Message))
    this->Fleet.onStatusRequest(*Request, From);
  else if (const auto *Status = std::get_if<FleetStatus>(&Message))
    this->Fleet.onStatus(*Status, From);
  else if (const auto *Update = std::get_if<FleetUpdate>(&Message))
    this->Fleet.onUpdate(*Update);
  else if (const auto *Report = std::get_if<CrashReport>(&Message))
    this->Crashes.onReport(*Report, From);
  else if (const auto *PartReport = std::get_if<PartCrashReport>(&Message))
    this->PartCrashes.onReport(*PartReport, From);
  else if (isAboutStreams(Message))
    this->Streams.onMessage(Message, From);
  else
    this->Agent.onMessage(Message, From);
}

} // namespace parsleywing
