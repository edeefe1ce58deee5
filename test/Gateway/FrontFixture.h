#ifndef PARSLEYWING_TEST_GATEWAY_FRONTFIXTURE_H
#define PARSLEYWING_TEST_GATEWAY_FRONTFIXTURE_H

#include "FreeAddress.h"
#include "Gateway/GatewayFront.h"
#include "Gateway/ScriptedServer.h"
#include "platform/HeadFormat.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// A router's traffic in this process, before scripted servers, with a view of
/// the fleet that the test makes.
class FrontFixture {
public:
  FrontFixture();
  ~FrontFixture();
  FrontFixture(const FrontFixture &) = delete;
  FrontFixture &operator=(const FrontFixture &) = delete;

  /// Adds a server of the service "plain" (also behind /stream/).
  void addServer(ScriptedServer &Server);

  /// Puts the view in force and waits until the router serves it.
  void start(Duration ProofAge = Duration::zero());

  /// The server's entry tells of a new start of its process.
  void restartServer(const std::string &Id, std::int64_t StartedMs);

  /// The server is listed no more.
  void removeServer(const std::string &Id);

  /// Other routers are listed from now on.
  void setRouters(std::shared_ptr<const RouterList> Listed);

  /// The whole answer's bytes to a request's bytes; what came until the router
  /// closed the connection or the answer was whole. `Reset` is set where the
  /// connection broke.
  std::string call(const std::string &Request);
  bool ConnectionReset = false;

  Poco::Net::StreamSocket connect() const;

  /// A request to /safe/, /unsafe/, /stream/ (resumable) or /once/ (a stream
  /// that is not), with the key of the account "acc".
  static std::string request(const std::string &Path,
                             const std::string &Fields = "");

  GatewayConfiguration Configuration;
  GatewaySettings Settings;
  /// The listed routers, this one included; null where it is alone.
  std::shared_ptr<const RouterList> Routers;
  GatewayFront &front() { return *this->Front; }
  /// What the router's metrics show now.
  std::string metrics() const { return this->MetricsRegistry.render(); }

  /// The router stands still for so long as it answers its operators next.
  /// Before `start`, once.
  void blockLoopOnMetrics(Duration Time);

private:
  void publish(Duration ProofAge);

  WireFormat Format = platformWireFormat();
  Metrics MetricsRegistry;
  std::shared_ptr<ServerList> Servers = std::make_shared<ServerList>();
  std::unique_ptr<GatewayFront> Front;
  std::thread LoopThread;
};

} // namespace parsleywing::test

#endif
