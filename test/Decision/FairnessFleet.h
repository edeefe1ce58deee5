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

/// What a run of schedulers over a lossy exchange and toy engines is made of.
struct FleetSetup {
  std::uint64_t Seed = 1;
  std::size_t Routers = 8;
  std::size_t Servers = 16;
  std::size_t Accounts = 16;
  /// What an engine runs at a time, and what is declared of it.
  std::uint32_t Concurrency = 6;
  std::uint32_t MaxConcurrent = 8;
  double TokensPerSecond = 200;
  double LargestCost = 448;
  double SmallestCost = 64;
  /// Hints are wrong by up to this factor, either way.
  double HintError = 100;
  double Loss = 0.02;
  double Doubling = 0.02;
  FairnessSettings Fairness;
};

/// Several schedulers over one paused clock, in steps of 10 ms.
class FairnessFleet {
public:
  explicit FairnessFleet(const FleetSetup &Setup);

  void run(Duration Length);

  /// Begins to measure; what happened before is left out.
  void startMeasure();
  /// Largest difference, over all stretches of time since then, of the tokens
  /// a share that two accounts got which were backlogged all the time.
  double gap() const;
  double utilisation() const;
  double bytesPerSecond() const;
  double slotMovesPerSecond() const;
  /// Tokens a share that each backlogged account got in the measured time.
  std::vector<double> served() const;
  /// The bound that docs/FAIRNESS.md derives, for this setup.
  double bound() const;
  /// The most requests above the declared concurrency at any engine.
  std::uint32_t mostAboveDeclared() const { return this->MostAbove; }
  std::size_t waiting() const;

  // Faults.
  void cutOff(std::size_t Router, bool Cut);
  void restart(std::size_t Router);
  void setCondition(std::size_t Server, ServerCondition Condition);
  void setWaitingGoal(std::size_t Account, std::size_t Requests);
  /// All entries of all accounts at one router.
  void enterOnlyAt(std::size_t Router);

  std::size_t routers() const { return this->Routers.size(); }

private:
  struct ToyRequest {
    std::size_t Account = 0;
    std::size_t Router = 0;
    double Cost = 0;
    double Done = 0;
    double Reported = 0;
    std::optional<std::size_t> Server;
  };
  struct ToyRouter {
    RouterId Name;
    Incarnation Life = 1;
    bool Cut = false;
    std::optional<FairScheduler> Scheduler;
    /// Waiting requests of each account.
    std::vector<std::size_t> Waiting;
    std::map<ServerId, ServerCondition> Conditions;
  };
  struct ToyServer {
    ServerId Name;
    std::vector<std::uint64_t> Requests; ///< In order of arrival.
    ServerCondition Condition = ServerCondition::Usable;
    std::deque<std::pair<std::uint32_t, std::uint32_t>> OldLoads;
  };
  struct ToyAccount {
    AccountId Name;
    double Share = 1;
    std::size_t WaitingGoal = 0;
    std::vector<std::size_t> Entries;
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
  void give(std::size_t Router, const FairnessEvent &Event);
  void post(std::size_t From, const SendFairMessage &Message);
  void deliver();
  void arrive();
  void runEngine(std::size_t Server);
  void reportLoads();
  void tellViews();
  void measure();
  View viewOf(std::size_t Router) const;
  bool chance(double Probability);
  double between(double Low, double High);
  std::size_t pick(std::size_t Count);

  FleetSetup Setup;
  std::mt19937_64 Random;
  Clock Time = Clock::paused();
  DeclarationsPtr InForce;
  std::vector<ToyRouter> Routers;
  std::vector<ToyServer> Servers;
  std::vector<ToyAccount> Accounts;
  std::map<std::uint64_t, ToyRequest> Requests;
  std::uint64_t NextRequest = 1;
  std::multimap<TimePoint, Datagram> Network;
  std::map<std::size_t, TimePoint> ViewDue;
  std::uint64_t Steps = 0;

  TimePoint MeasuredFrom;
  double Slots = 0;
  double Busy = 0;
  std::uint64_t BytesAtStart = 0;
  std::uint64_t MovesAtStart = 0;
  std::uint64_t LostBytes = 0;
  std::uint64_t LostMoves = 0;
  std::uint32_t MostAbove = 0;
  /// Lowest and highest difference of each pair of accounts so far.
  std::vector<std::pair<double, double>> Differences;

  std::uint64_t bytes() const;
  std::uint64_t moves() const;
};

} // namespace parsleywing::test

#endif
