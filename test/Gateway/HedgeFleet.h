#ifndef PARSLEYWING_TEST_GATEWAY_HEDGEFLEET_H
#define PARSLEYWING_TEST_GATEWAY_HEDGEFLEET_H

#include "Gateway/FrontFixture.h"
#include "Gateway/ReactingServer.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace parsleywing::test {

/// A router before servers that react to requests in the order in which these
/// reach any of them. Requests beyond the planned ones are rejected.
class HedgeFleet {
public:
  explicit HedgeFleet(std::vector<PlannedReaction> R, std::size_t Count = 2);

  /// Sends a request with this time and returns its response.
  std::string call(const std::string &Path,
                   std::chrono::milliseconds Timeout = std::chrono::seconds(6));
  /// The same, on a connection that stays open.
  Poco::Net::StreamSocket
  open(const std::string &Path,
       std::chrono::milliseconds Timeout = std::chrono::seconds(6));

  /// Waits until servers are done with so many requests; fails the test if they
  /// are not.
  std::vector<ServerArrival> waitForArrivals(std::size_t Count);
  /// Waits until the first request has reached a server, and returns the ID of
  /// that server.
  std::string firstServer();

  /// The value of a series of the router's metrics.
  std::uint64_t metric(const std::string &Series) const;

private:
  PlannedReaction reactionTo(std::size_t Server);

  const std::vector<PlannedReaction> Reactions;
  std::atomic<std::size_t> Requests{0};
  std::atomic<int> FirstServer{-1};
  ArrivalLog Log;

public:
  std::vector<std::unique_ptr<ReactingServer>> Servers;
  FrontFixture Front;
};

} // namespace parsleywing::test

#endif
