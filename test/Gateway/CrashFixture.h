#ifndef PARSLEYWING_TEST_GATEWAY_CRASHFIXTURE_H
#define PARSLEYWING_TEST_GATEWAY_CRASHFIXTURE_H

#include "Gateway/FrontFixture.h"

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

  /// Puts the fleet in force at all routers, or at all but one, which does not
  /// hear of the others.
  void start();

  /// One attempt of a caller at a router; the whole answer.
  std::string call(std::size_t Router, const std::string &Path,
                   const std::string &Body);

  /// Servers that have crashed, each time counted.
  std::size_t crashes() const;
  /// How often the body has reached a server.
  std::size_t arrivals(const std::string &Body) const;

  FrontFixture &router(std::size_t Number) { return *this->Fronts.at(Number); }
  ScriptedServer &server(std::size_t Number) {
    return *this->Servers.at(Number);
  }

  /// Begins the body of a request that crashes its server.
  static constexpr const char *CrashMark = "crash";
  /// Begins the body of one that takes 300 ms at a server.
  static constexpr const char *SlowMark = "slow";

private:
  bool serve(std::size_t Server, Poco::Net::StreamSocket &Connection,
             const std::string &Request);

  std::chrono::milliseconds Away;
  std::vector<std::unique_ptr<ScriptedServer>> Servers;
  std::vector<std::unique_ptr<FrontFixture>> Fronts;
};

} // namespace parsleywing::test

#endif
