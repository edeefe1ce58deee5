#ifndef PARSLEYWING_TEST_DECISION_FAIRNESSFLEET_H
#define PARSLEYWING_TEST_DECISION_FAIRNESSFLEET_H

#include "Decision/Fairness/FairScheduler.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace parsleywing::test {

/// The parameters of a simulation of schedulers that exchange messages over a
/// lossy network and use simulated engines.
struct FleetSetup {
  std::uint64_t Seed = 1;
  std::size_t Routers = 8;
  std::size_t Servers = 16;
  std::size_t Accounts = 16;
  /// The number of requests that an engine runs at a time, and the declared
  /// concurrency.
  std::uint32_t Concurrency = 6;
  std::uint32_t MaxConcurrent = 8;
  double TokensPerSecond = 200;
  double MaxCost = 448;
  double MinCost = 64;
  /// Token estimates are wrong by up to this factor, in either direction.
  double HintError = 100;
  double Loss = 0.02;
  double Duplication = 0.02;
  FairnessSettings Fairness;
};

/// Simulates several schedulers with a paused clock, in steps of 10 ms.
class FairnessFleet {
public:
  explicit FairnessFleet(const FleetSetup &Setup);

  void run(Duration Length);

  /// Starts the measurement and discards earlier figures.
  void startMeasurement();
  /// For any two accounts that are backlogged during the measurement, and over
  /// any interval within it: the largest difference of the tokens per share
  /// that they received.
  double gap() const;
  double utilisation() const;
  double bytesPerSecond() const;
  double slotMovesPerSecond() const;
  /// Tokens per share that each backlogged account received during the
  /// measurement.
  std::vector<double> served() const;
  /// The bound on the gap for this setup, as derived in docs/FAIRNESS.md.
  double bound() const;
  /// The largest number of requests above the declared concurrency at any
  /// engine.
  std::uint32_t maxAboveDeclared() const { return this->MaxAbove; }
  std::size_t waiting() const;

  // Faults.
  void setDisconnected(std::size_t Router, bool Disconnected);
  void restart(std::size_t Router);
  void setCondition(std::size_t Server, ServerCondition Condition);
  void setQueueLength(std::size_t Account, std::size_t Requests);
  /// Lets all requests of all accounts enter at one router.
  void enterOnlyAt(std::size_t Router);

  std::size_t routers() const { return this->Routers.size(); }

private:
  struct SimulatedRequest {
    std::size_t Account = 0;
    std::size_t Router = 0;
    double Cost = 0;
    double CompletedTokens = 0;
    double ReportedTokens = 0;
    std::optional<std::size_t> Server;
  };
  struct SimulatedRouter {
    RouterId Name;
    Incarnation IncarnationNumber = 1;
    bool Disconnected = false;
    std::optional<FairScheduler> Scheduler;
    /// Queued requests of each account.
    std::vector<std::size_t> Waiting;
    std::map<ServerId, ServerCondition> Conditions;
  };
  struct SimulatedServer {
    ServerId Name;
    std::vector<std::uint64_t> Requests; ///< In order of arrival.
    ServerCondition Condition = ServerCondition::Usable;
    std::deque<std::pair<std::uint32_t, std::uint32_t>> PendingReports;
  };
  struct SimulatedAccount {
    AccountId Name;
    double Share = 1;
    std::size_t TargetQueueLength = 0;
    std::vector<std::size_t> EntryRouters;
    double Served = 0;
    double ServedAtStart = 0;
    bool Measured = true;
  };
  struct Datagram {
    TimePoint Due;
    std::size_t To;
    FairMessageReceived Content;
  };

  void step();
  void handleEvent(std::size_t Router, const FairnessEvent &Event);
  void sendMessage(std::size_t From, const SendFairMessage &Message);
  void deliver();
  void generateRequests();
  void runEngine(std::size_t Server);
  void reportLoads();
  void deliverViews();
  void measure();
  View viewOf(std::size_t Router) const;
  bool drawBool(double Probability);
  double drawUniform(double Low, double High);
  std::size_t drawIndex(std::size_t Count);

  FleetSetup Setup;
  std::mt19937_64 Random;
  Clock Time = Clock::paused();
  DeclarationsPtr ActiveDeclarations;
  std::vector<SimulatedRouter> Routers;
  std::vector<SimulatedServer> Servers;
  std::vector<SimulatedAccount> Accounts;
  std::map<std::uint64_t, SimulatedRequest> Requests;
  std::uint64_t NextRequest = 1;
  std::multimap<TimePoint, Datagram> Network;
  std::map<std::size_t, TimePoint> ViewDue;
  std::uint64_t Steps = 0;

  TimePoint MeasurementStart;
  double CapacitySteps = 0;
  double BusySteps = 0;
  std::uint64_t BytesAtStart = 0;
  std::uint64_t MovesAtStart = 0;
  std::uint64_t EndedBytes = 0;
  std::uint64_t EndedMoves = 0;
  std::uint32_t MaxAbove = 0;
  /// Lowest and highest difference of each pair of accounts so far.
  std::vector<std::pair<double, double>> Differences;

  std::uint64_t bytes() const;
  std::uint64_t moves() const;
};

} // namespace parsleywing::test

#endif
