#ifndef PARSLEYWING_TEST_GATEWAY_FRONTFIXTURE_H
#define PARSLEYWING_TEST_GATEWAY_FRONTFIXTURE_H

#include "FreeAddress.h"
#include "Gateway/GatewayFront.h"
#include "Gateway/ScriptedServer.h"
#include "platform/HeadFormat.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// A router's front in this process, in front of scripted servers, with a fleet
/// view that the test defines.
class FrontFixture {
public:
  FrontFixture();
  ~FrontFixture();
  FrontFixture(const FrontFixture &) = delete;
  FrontFixture &operator=(const FrontFixture &) = delete;

  /// The slots of servers that are added from now on.
  std::uint32_t Slots = 4;

  /// Adds a server of the service "plain", which serves all routes.
  void addServer(const ScriptedServer &Server) {
    this->addServer(Server.address());
  }
  void addServer(const std::string &Address);

  /// Starts the router, publishes the view and waits until it is active.
  void start(Duration ProofAge = Duration::zero());

  /// Publishes a new start time of the server's process.
  void restartServer(const std::string &Id, std::int64_t StartedMs);

  /// Publishes a list without the server.
  void removeServer(const std::string &Id);

  /// The published list of servers.
  const ServerList &servers() const { return *this->Servers; }
  /// Publishes another list of servers, and waits until it is active.
  void setServers(ServerList List);

  /// Publishes a proof that lists and configuration were complete at this age.
  void proveLists(Duration Age);

  /// Publishes another list of routers.
  void setRouters(std::shared_ptr<const RouterList> List);

  /// Sends the bytes of a request and returns the bytes received until the
  /// response was complete or the connection ended. Sets `ConnectionReset` if
  /// the connection was reset.
  std::string call(const std::string &Request);
  bool ConnectionReset = false;

  Poco::Net::StreamSocket connect() const;

  /// A request to /safe/, /unsafe/, /stream/ (resumable) or /once/ (a stream
  /// that is not), with the key of the account "acc".
  static std::string request(const std::string &Path,
                             const std::string &Fields = "");

  GatewayConfiguration Configuration;
  GatewaySettings Settings;
  /// The listed routers including this one; null if there are no others.
  std::shared_ptr<const RouterList> Routers;
  GatewayFront &front() { return *this->Front; }
  /// Whether the router has stopped serving, as it does at the end of a drain.
  bool hasEnded() const { return this->LoopEnded; }
  /// The router's metrics in text form.
  std::string metrics() const { return this->MetricsRegistry.render(); }

  /// Blocks the router's loop for this time while it renders the metrics for
  /// operators. Call once, before `start`.
  void blockLoopOnMetrics(Duration Time);

private:
  void publish(Duration ProofAge);

  WireFormat Format = platformWireFormat();
  Metrics MetricsRegistry;
  std::shared_ptr<ServerList> Servers = std::make_shared<ServerList>();
  TimePoint ListsProvenAt{};
  std::unique_ptr<GatewayFront> Front;
  std::atomic<bool> LoopEnded{false};
  std::thread LoopThread;
};

} // namespace parsleywing::test

#endif
