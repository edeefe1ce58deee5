#ifndef PARSLEYWING_TEST_DECISION_CRASHFLEET_H
#define PARSLEYWING_TEST_DECISION_CRASHFLEET_H

#include "Decision/Crashes/CrashTracker.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace parsleywing::test {

/// The crash trackers of several routers, connected by a simulated network with
/// simulated time. Messages arrive at once unless they are lost.
class CrashFleet {
public:
  /// Starts routers 1 to `Routers` before servers 1 to `Servers`.
  CrashFleet(std::size_t Routers, std::size_t Servers, unsigned Seed = 1);

  /// Replaces the router by a new process that knows nothing.
  void restart(std::uint64_t Router);
  /// Changes the servers that a router has declared.
  void declare(std::uint64_t Router, std::size_t Servers);

  /// A request starts at a router and loses its connection to a server, which
  /// was opened at `OpenedAt`. Returns whether the router accepted it.
  bool lose(std::uint64_t Router, std::uint64_t Content, std::uint64_t Server,
            std::optional<ConnectOutcome> Check, TimePoint OpenedAt);
  /// The same for a server that has crashed and refuses connections.
  bool crash(std::uint64_t Router, std::uint64_t Content, std::uint64_t Server);
  /// A request with this content gets a complete response.
  void complete(std::uint64_t Router, std::uint64_t Content);

  void handle(std::uint64_t Router, const CrashEvent &Event);
  /// Advances the time in steps of a tick.
  void run(Duration Time);

  bool accepts(std::uint64_t Router, std::uint64_t Content);
  /// Whether all routers refuse this content.
  bool allRefuse(std::uint64_t Content);
  std::size_t crashCount(std::uint64_t Router, std::uint64_t Content) const;

  TimePoint Now;
  /// The state of servers that do not accept connections.
  std::map<std::uint64_t, ConnectOutcome> ServerStates;
  /// Routers that can exchange no messages.
  std::set<std::uint64_t> Disconnected;
  double LossProbability = 0;
  /// The sizes of the sent messages, in facts.
  std::vector<std::size_t> SentFacts;
  /// Requests that were refused while open.
  std::vector<RequestId> Refused;
  std::size_t Checks = 0;

private:
  void execute(std::uint64_t Router, const SendCrashFacts &Sent);
  void execute(std::uint64_t Router, const CheckServer &Check);
  void execute(std::uint64_t Router, const RefuseRequest &Refusal);
  template <typename OtherAction>
  void execute(std::uint64_t, const OtherAction &) {}

  std::map<std::uint64_t, std::unique_ptr<CrashTracker>> Trackers;
  View Members;
  std::size_t ServerCount;
  std::uint64_t LastRequest = 0;
  std::mt19937 Random;
};

/// The identity of the content with this number.
RequestIdentity contentOf(std::uint64_t Number);

} // namespace parsleywing::test

#endif
