#ifndef PARSLEYWING_TEST_GATEWAY_SIGNALFIXTURE_H
#define PARSLEYWING_TEST_GATEWAY_SIGNALFIXTURE_H

#include "Gateway/FrontFixture.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace parsleywing::test {

/// How a server of a `SignalFixture` responds.
struct ServerBehavior {
  /// The status line without the version, such as "200 OK".
  std::string Status = "200 OK";
  /// More header fields, each with its line end.
  std::string Fields;
  std::chrono::milliseconds Delay{0};
};

/// Responds normally and states that the server leaves.
ServerBehavior leaving();
/// Refuses requests and asks for a pause.
ServerBehavior refusing(const std::string &RetryAfter);

/// Routers of one fleet in front of servers whose responses state that they
/// leave or want a pause. What reaches the servers is counted there.
class SignalFixture {
public:
  /// With `Allocated`, one of the routers allocates the servers for all.
  SignalFixture(std::size_t Routers, std::size_t Servers, bool Allocated);

  void start();
  void setBehavior(std::size_t Server, const ServerBehavior &Behavior);

  /// Sends a request to a router, and returns its response.
  std::string call(std::size_t Router, const std::string &Path = "/safe/x");
  /// Sends requests one after the other; all must be served.
  void callServed(std::size_t Router, int Count);

  /// The server that gets the next request of an idle fleet.
  std::size_t preferredServer(std::size_t Router);
  /// How many requests have reached the server.
  std::size_t received(std::size_t Server);

  FrontFixture &router(std::size_t Number) {
    return *this->RouterFixtures.at(Number);
  }

private:
  bool serve(std::size_t Server, Poco::Net::StreamSocket &Connection,
             const std::string &Request);

  std::mutex Mutex;
  std::vector<ServerBehavior> Behaviors;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  std::vector<std::unique_ptr<FrontFixture>> RouterFixtures;
};

bool isServed(const std::string &Response);
bool isRefused(const std::string &Response);

} // namespace parsleywing::test

#endif
