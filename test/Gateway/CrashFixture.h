#ifndef PARSLEYWING_TEST_GATEWAY_CRASHFIXTURE_H
#define PARSLEYWING_TEST_GATEWAY_CRASHFIXTURE_H

#include "Gateway/FrontFixture.h"

#include <atomic>
#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace parsleywing::test {

/// Routers of one fleet before servers that crash where a body says so.
class CrashFixture {
public:
  /// A server that crashes stays away for so long.
  CrashFixture(std::size_t Routers, std::size_t Servers,
               std::chrono::milliseconds BackAfter);

  /// Starts all routers, or the first so many; the others with `startRouter`.
  void start(std::size_t Routers = std::numeric_limits<std::size_t>::max());
  void startRouter(std::size_t Number);

  /// All servers have been started anew, and the routers have heard of it.
  void restartServers();

  /// One attempt of a caller at a router; the whole answer.
  std::string call(std::size_t Router, const std::string &Path,
                   const std::string &Body);

  /// Servers that have crashed, each time counted.
  std::size_t crashCount() const;
  /// How often the body has reached a server.
  std::size_t receivedCount(const std::string &Body) const;

  FrontFixture &router(std::size_t Number) {
    return *this->RouterFixtures.at(Number);
  }
  ScriptedServer &server(std::size_t Number) {
    return *this->Servers.at(Number);
  }

  /// Begins the body of a request that crashes its server, unless its
  /// connection ends before.
  static constexpr const char *CrashPrefix = "crash";
  /// Begins the body of one that takes 300 ms at a server.
  static constexpr const char *SlowPrefix = "slow";
  /// Begins the body of one whose connection its server resets, three times.
  static constexpr const char *ResetPrefix = "reset";

  /// From the begin of an answer to the crash.
  std::atomic<std::chrono::milliseconds> CrashDelay{
      std::chrono::milliseconds(20)};

private:
  bool serve(std::size_t Server, Poco::Net::StreamSocket &Connection,
             const std::string &Request);

  std::chrono::milliseconds Downtime;
  std::atomic<int> ResetsLeft{3};
  std::int64_t StartedMs = 0;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  std::vector<std::unique_ptr<FrontFixture>> RouterFixtures;
};

} // namespace parsleywing::test

#endif
