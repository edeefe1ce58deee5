#include "Gateway/GatewayFront.h"

#include "Gateway/GatewayRequest.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

namespace parsleywing {

void GatewayFront::startCachedPartsQueries() {
  this->PartsReader.start(
      [this](const GatewayServer &Server, const CachedParts &Told) {
        log(LogPart::Backend, LogLevel::Info,
            "server=" + Server.Id + " keeps " +
                std::to_string(Told.Parts.size()) + " parts");
        this->Agent.recordCached(hashName(Server.Id), Told);
      });
  this->Agent.onUnknownCache([this](std::uint64_t Server) {
    if (const GatewayServer *Listed = this->Servers.find(Server))
      this->PartsReader.query(*Listed);
  });
}

/// Another end may follow from each, so all are kept while the last is told.
void GatewayFront::endRefusedRequests() {
  std::vector<std::shared_ptr<GatewayRequest>> Open;
  for (GatewayRequest *Each : this->Context.ActiveRequests)
    Open.push_back(Each->shared_from_this());
  for (const auto &Each : Open)
    Each->endIfRefused();
}

/// A kept connection to a process that is gone, or to an address that its
/// server has left, would lose the next request: one that may run once could
/// then neither be sent again nor be called not run.
void GatewayFront::closeStaleConnections(const ServerList &New) {
  for (const auto &[Id, Server] : New) {
    const GatewayServer *Known = this->Servers.find(hashName(Id));
    if (Known == nullptr)
      continue;
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

/// Only the newest view waits for the loop: one that stood still would else
/// work through all that came meanwhile, and hold the lists of each.
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
  // What engines state stands in the configuration.
  if (View->Servers != nullptr &&
      (View->Servers != Before.Servers ||
       View->Configuration != Before.Configuration)) {
    this->closeStaleConnections(*View->Servers);
    this->Servers.setServers(
        View->Servers, View->Configuration.get(), nullptr,
        {this->Loop.clock().now(), this->Context.BootClock.now()});
    this->Agent.setServers(*View);
    this->Crashes.updateServers(*View->Servers);
  }
  if (View->RouterEndpoints != nullptr &&
      View->RouterEndpoints != Before.RouterEndpoints) {
    this->Routers.setRouters(*View->RouterEndpoints);
    this->Crashes.updateRouters();
  }
  this->Agent.updateView(*View);
  this->Fleet.updateView(View);
  this->Context.View = View;
}

void GatewayFront::onRouterMessage(const RouterMessage &Message,
                                   const Poco::Net::SocketAddress &From) {
  if (const auto *Asked = std::get_if<FleetStatusRequest>(&Message))
    this->Fleet.onStatusRequest(*Asked, From);
  else if (const auto *Told = std::get_if<FleetStatus>(&Message))
    this->Fleet.onStatus(*Told, From);
  else if (const auto *News = std::get_if<FleetUpdate>(&Message))
    this->Fleet.onUpdate(*News);
  else if (const auto *Crashed = std::get_if<CrashReport>(&Message))
    this->Crashes.onReport(*Crashed, From);
  else
    this->Agent.onMessage(Message, From);
}

} // namespace parsleywing
