#include "lab/Simulation.h"

#include "Runtime/Id.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <functional>
#include <numeric>
#include <queue>
#include <set>

namespace parsleywing::lab {

namespace {

/// The share of the payoff that a late response earns, the weights of the fixed
/// and the size-dependent term of the payoff, and the maximum relative size in
/// the latter. See `OutcomeTotals`.
constexpr double LatePayoffShare = 0.3;
constexpr double FixedPayoff = 0.3;
constexpr double SizePayoff = 0.7;
constexpr double MaxRelativeSize = 4;

constexpr Milliseconds TickInterval = 5;
constexpr Milliseconds ReportInterval = 250;
/// As in the router (GatewayRequestAttempt.cpp): a request that is already late
/// waits for at most a quarter of its remaining time, and no longer than half a
/// second.
constexpr double LateWaitShare = 0.25;
constexpr Milliseconds MaxLateWait = 500;
/// Minimum time that a request needs. A refused caller that has less time left
/// does not retry.
constexpr Milliseconds MinAttemptTime = 50;

constexpr const char *ServiceName = "engines";

TimePoint toTimePoint(Milliseconds Time) {
  return TimePoint(Duration(static_cast<Duration::rep>(Time * 1000)));
}

std::string engineName(std::size_t Index) {
  return "e" + std::to_string(Index);
}

/// The payoff of a call, which depends on its prompt size relative to the mean
/// of its class.
double payoffOf(const CallClass &Class, const Call &TheCall) {
  double Mean = Class.MeanOwnTokens;
  for (const SharedPartLevel &Level : Class.SharedLevels)
    Mean += Level.MeanTokens;
  const double Size = std::min(TheCall.PromptTokens / Mean, MaxRelativeSize);
  return FixedPayoff + SizePayoff * Size;
}

/// A discrete event simulation of one policy.
class Simulation {
public:
  Simulation(const Scenario &S, std::uint64_t Seed, const Policy &P)
      : TheScenario(S), SelectedPolicy(P), Calls(generateCalls(S, Seed)),
        Random(Seed), Engines(S.Engines, Engine(S.Parameters)),
        OpenRequests(S.Engines, 0) {
    this->States.resize(this->Calls.size());
    if (const auto *AllocatorSettings =
            std::get_if<AllocatorPolicy>(&this->SelectedPolicy))
      this->makeAllocator(*AllocatorSettings);
  }

  SimulationResult run() {
    for (std::size_t CallIndex = 0; CallIndex < this->Calls.size(); ++CallIndex)
      this->schedule(this->Calls[CallIndex].At,
                     [this, CallIndex] { this->startAttempt(CallIndex); });
    if (this->FleetAllocator) {
      this->schedule(TickInterval, [this] { this->tick(); });
      this->schedule(ReportInterval, [this] { this->reportActiveGrants(); });
    }
    while (!this->Events.empty()) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Action();
    }
    return this->result();
  }

private:
  enum class CallOutcome { InProgress, OnTime, Late, Refused, Disconnected };

  struct CallState {
    std::uint32_t Attempts = 0;
    CallOutcome Outcome = CallOutcome::InProgress;
    std::optional<std::size_t> EngineIndex;
    std::optional<Milliseconds> TimeToFirstToken;
    Milliseconds StartedAt = 0;
  };

  struct Event {
    Milliseconds At = 0;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    friend bool operator<(const Event &Left, const Event &Right) {
      return std::tie(Left.At, Left.Order) > std::tie(Right.At, Right.Order);
    }
  };

  void schedule(Milliseconds Time, std::function<void()> Action) {
    this->Events.push({Time, ++this->LastOrder, std::move(Action)});
  }

  void makeAllocator(const AllocatorPolicy &AllocatorSettings) {
    auto Servers = std::make_shared<ServerList>();
    for (std::size_t EngineIndex = 0; EngineIndex < this->Engines.size();
         ++EngineIndex) {
      GatewayServer Server;
      Server.Id = engineName(EngineIndex);
      Server.Service = ServiceName;
      Server.Slots = this->TheScenario.Parameters.Slots;
      Servers->emplace(Server.Id, Server);
      this->EngineByHash[hashName(Server.Id)] = EngineIndex;
    }
    GatewayService Service;
    Service.Name = ServiceName;
    Service.KvCapacityTokens = this->TheScenario.Parameters.MemoryTokens;
    Service.KvBytesPerToken = 1;
    Service.LinkBytesPerMs = this->TheScenario.Parameters.FetchTokensPerMs;
    this->Configuration.Services[ServiceName] = Service;
    this->Configuration.Limits.TokensPerSecond =
        this->TheScenario.StatedTokensPerSecond;
    this->FleetAllocator =
        std::make_unique<Allocator>(AllocatorSettings.Options);
    this->FleetAllocator->setServers(Servers, &this->Configuration,
                                     ServerGroups(*Servers));
  }

  const CallClass &classOf(std::size_t CallIndex) const {
    return this->TheScenario.Classes[this->Calls[CallIndex].Class];
  }
  Milliseconds elapsed(std::size_t CallIndex) const {
    return this->Now - this->Calls[CallIndex].At;
  }
  static CorrelationId correlationIdOf(std::size_t CallIndex,
                                       std::uint32_t Attempt) {
    return {Attempt, CallIndex};
  }

  /// Starts the first or the second attempt of a call.
  void startAttempt(std::size_t CallIndex) {
    CallState &State = this->States[CallIndex];
    ++State.Attempts;
    State.StartedAt = this->Now;
    const Milliseconds TimeLeft =
        this->classOf(CallIndex).TimeLimit - this->elapsed(CallIndex);
    if (State.Attempts == 1)
      this->schedule(this->Now + TimeLeft,
                     [this, CallIndex] { this->disconnect(CallIndex); });
    std::visit(
        Overloaded{
            [this, CallIndex](const AllocatorPolicy &) {
              this->requestAllocation(CallIndex);
            },
            [this, CallIndex](const LeastLoadedPolicy &) {
              const auto LeastLoaded = std::min_element(
                  this->OpenRequests.begin(), this->OpenRequests.end());
              this->sendToEngine(CallIndex,
                                 LeastLoaded - this->OpenRequests.begin(), 0);
            },
            [this, CallIndex](const TwoChoicesPolicy &) {
              const std::size_t First = this->randomEngine();
              const std::size_t Second = this->randomEngine();
              this->sendToEngine(CallIndex,
                                 this->OpenRequests[Second] <
                                         this->OpenRequests[First]
                                     ? Second
                                     : First,
                                 0);
            },
            [this, CallIndex](const HomePolicy &) {
              const PromptPart *Part = sharedPart(this->Calls[CallIndex].Parts);
              const std::uint64_t Key = Part == nullptr ? CallIndex : Part->Id;
              this->sendToEngine(
                  CallIndex, rendezvousScore(Key, 0) % this->Engines.size(), 0);
            },
        },
        this->SelectedPolicy);
  }

  std::size_t randomEngine() {
    boost::random::uniform_int_distribution<std::size_t> Distribution(
        0, this->Engines.size() - 1);
    return Distribution(this->Random);
  }

  void requestAllocation(std::size_t CallIndex) {
    const Call &TheCall = this->Calls[CallIndex];
    AllocationRequest Request;
    Request.Id = correlationIdOf(CallIndex, this->States[CallIndex].Attempts);
    Request.Group = hashName(ServiceName);
    Request.Account = TheCall.Account + 1;
    Request.Parts = TheCall.Parts;
    Request.PromptTokens = TheCall.PromptTokens;
    Request.MaxOutputTokens = TheCall.OutputTokens;
    const Milliseconds ObjectiveLeft =
        this->classOf(CallIndex).Objective - this->elapsed(CallIndex);
    const Milliseconds TimeLeft =
        this->classOf(CallIndex).TimeLimit - this->elapsed(CallIndex);
    Request.ObjectiveLeftMs = static_cast<std::int32_t>(ObjectiveLeft);
    Request.MaxWaitMs = static_cast<std::int32_t>(
        ObjectiveLeft > 0 ? ObjectiveLeft
                          : std::min(TimeLeft * LateWaitShare, MaxLateWait));
    this->schedule(this->Now + this->TheScenario.OneWayDelay, [this, Request] {
      this->FleetAllocator->handle(Request, toTimePoint(this->Now));
      this->processReplies();
    });
  }

  void processReplies() {
    for (const RouterMessage &Each : this->FleetAllocator->takeReplies())
      std::visit(Overloaded{
                     [this](const AllocationGrant &M) { this->onGrant(M); },
                     [this](const AllocationRefusal &M) { this->onRefusal(M); },
                     [](const auto &) {},
                 },
                 Each);
  }

  void onGrant(const AllocationGrant &Grant) {
    const std::size_t CallIndex = Grant.Id.Number;
    if (this->States[CallIndex].Outcome != CallOutcome::InProgress) {
      this->FleetAllocator->handle(GrantEnded{Grant.Id, ServerVerdict::Healthy},
                                   toTimePoint(this->Now));
      return;
    }
    std::uint64_t Fetchable = 0;
    if (Grant.FetchSource != 0)
      Fetchable =
          this->Engines[this->EngineByHash.at(Grant.FetchSource)].cachedTokens(
              this->Calls[CallIndex].Parts);
    this->sendToEngine(CallIndex, this->EngineByHash.at(Grant.Server),
                       Fetchable);
  }

  void onRefusal(const AllocationRefusal &Refusal) {
    const std::size_t CallIndex = Refusal.Id.Number;
    CallState &State = this->States[CallIndex];
    if (State.Outcome != CallOutcome::InProgress)
      return;
    this->RefusalTimes.push_back(this->Now + this->TheScenario.OneWayDelay -
                                 State.StartedAt);
    const Milliseconds TimeLeft =
        this->classOf(CallIndex).TimeLimit - this->elapsed(CallIndex);
    // The caller waits for at most a third of its remaining time.
    const Milliseconds Wait =
        std::min<Milliseconds>(Refusal.RetryAfterMs, TimeLeft / 3);
    if (State.Attempts > 1 || TimeLeft < MinAttemptTime) {
      State.Outcome = CallOutcome::Refused;
      return;
    }
    this->schedule(this->Now + Wait, [this, CallIndex] {
      if (this->States[CallIndex].Outcome == CallOutcome::InProgress)
        this->startAttempt(CallIndex);
    });
  }

  void sendToEngine(std::size_t CallIndex, std::size_t EngineIndex,
                    std::uint64_t Fetchable) {
    this->States[CallIndex].EngineIndex = EngineIndex;
    ++this->OpenRequests[EngineIndex];
    const Call &TheCall = this->Calls[CallIndex];
    const EngineRequest Request{
        correlationIdOf(CallIndex, this->States[CallIndex].Attempts),
        TheCall.Parts, TheCall.PromptTokens, TheCall.OutputTokens, Fetchable};
    this->ActiveCalls.insert(CallIndex);
    this->schedule(
        this->Now + this->TheScenario.OneWayDelay,
        [this, CallIndex, EngineIndex, Request] {
          if (this->States[CallIndex].Outcome != CallOutcome::InProgress)
            return;
          const bool WasIdle = !this->Engines[EngineIndex].nextStepAt();
          this->Engines[EngineIndex].submit(Request, this->Now);
          if (WasIdle)
            this->scheduleStep(EngineIndex);
        });
  }

  void scheduleStep(std::size_t EngineIndex) {
    const auto Next = this->Engines[EngineIndex].nextStepAt();
    if (!Next)
      return;
    this->schedule(*Next, [this, EngineIndex] {
      for (const EngineEvent &Each : this->Engines[EngineIndex].step())
        this->onEngineEvent(Each);
      this->scheduleStep(EngineIndex);
    });
  }

  void onEngineEvent(const EngineEvent &Progress) {
    const std::size_t CallIndex = Progress.Id.Number;
    CallState &State = this->States[CallIndex];
    if (State.Outcome != CallOutcome::InProgress)
      return;
    if (Progress.IsFirstToken) {
      State.TimeToFirstToken =
          this->elapsed(CallIndex) + this->TheScenario.OneWayDelay;
      if (this->FleetAllocator)
        this->FleetAllocator->handle(GrantStarted{Progress.Id},
                                     toTimePoint(this->Now));
      return;
    }
    const bool OnTime =
        *State.TimeToFirstToken <= this->classOf(CallIndex).Objective;
    this->finish(CallIndex, OnTime ? CallOutcome::OnTime : CallOutcome::Late);
  }

  void disconnect(std::size_t CallIndex) {
    CallState &State = this->States[CallIndex];
    if (State.Outcome != CallOutcome::InProgress)
      return;
    if (State.EngineIndex)
      this->Engines[*State.EngineIndex].cancel(
          correlationIdOf(CallIndex, State.Attempts));
    if (this->FleetAllocator)
      this->FleetAllocator->handle(
          AllocationCancelled{correlationIdOf(CallIndex, State.Attempts)},
          toTimePoint(this->Now));
    this->finish(CallIndex, CallOutcome::Disconnected);
  }

  void finish(std::size_t CallIndex, CallOutcome Outcome) {
    CallState &State = this->States[CallIndex];
    State.Outcome = Outcome;
    this->ActiveCalls.erase(CallIndex);
    if (!State.EngineIndex)
      return;
    --this->OpenRequests[*State.EngineIndex];
    if (!this->FleetAllocator)
      return;
    this->FleetAllocator->handle(
        GrantEnded{correlationIdOf(CallIndex, State.Attempts),
                   ServerVerdict::Healthy},
        toTimePoint(this->Now));
    this->FleetAllocator->tick(toTimePoint(this->Now));
    this->processReplies();
  }

  void tick() {
    this->FleetAllocator->tick(toTimePoint(this->Now));
    this->processReplies();
    if (!this->isDone())
      this->schedule(this->Now + TickInterval, [this] { this->tick(); });
  }

  /// Reports the active grants to the allocator, as the routers do.
  void reportActiveGrants() {
    for (const std::size_t CallIndex : this->ActiveCalls) {
      const CallState &State = this->States[CallIndex];
      const std::uint32_t PrefillTokens = State.TimeToFirstToken ? 0 : 1;
      this->FleetAllocator->handle(
          GrantActive{correlationIdOf(CallIndex, State.Attempts),
                      hashName(engineName(*State.EngineIndex)), PrefillTokens,
                      this->Calls[CallIndex].OutputTokens},
          toTimePoint(this->Now));
    }
    if (!this->isDone())
      this->schedule(this->Now + ReportInterval,
                     [this] { this->reportActiveGrants(); });
  }

  bool isDone() const {
    return this->Now > this->TheScenario.Length && this->ActiveCalls.empty() &&
           this->FleetAllocator->queuedRequests() == 0;
  }

  SimulationResult result() const {
    SimulationResult Result;
    for (std::size_t CallIndex = 0; CallIndex < this->Calls.size();
         ++CallIndex) {
      const Call &TheCall = this->Calls[CallIndex];
      const CallClass &Class = this->classOf(CallIndex);
      this->count(CallIndex, Result.Total);
      this->count(CallIndex, Result.ByClass[Class.Name]);
      this->count(CallIndex, Result.ByAccount[TheCall.Account]);
      if (this->isLargest(CallIndex))
        this->count(CallIndex, Result.LargestByClass[Class.Name]);
      const CallState &State = this->States[CallIndex];
      if (State.Outcome == CallOutcome::OnTime ||
          State.Outcome == CallOutcome::Late)
        Result.FirstTokens.push_back(*State.TimeToFirstToken);
    }
    std::sort(Result.FirstTokens.begin(), Result.FirstTokens.end());
    Result.RefusalTimes = this->RefusalTimes;
    std::sort(Result.RefusalTimes.begin(), Result.RefusalTimes.end());
    for (const Engine &Each : this->Engines) {
      Result.Engines.PrefilledTokens += Each.counts().PrefilledTokens;
      Result.Engines.CachedTokens += Each.counts().CachedTokens;
      Result.Engines.FetchedTokens += Each.counts().FetchedTokens;
      Result.Engines.GeneratedTokens += Each.counts().GeneratedTokens;
      Result.Engines.BusyTime += Each.counts().BusyTime;
    }
    Result.Utilisation =
        Result.Engines.BusyTime /
        (static_cast<double>(this->Engines.size()) * this->Now);
    return Result;
  }

  /// Whether the call is in the tenth of its class with the largest prompts.
  bool isLargest(std::size_t CallIndex) const {
    const auto Found = this->LargeThresholds.find(this->Calls[CallIndex].Class);
    if (Found != this->LargeThresholds.end())
      return this->Calls[CallIndex].PromptTokens >= Found->second;
    std::vector<std::uint32_t> Sizes;
    for (const Call &Each : this->Calls)
      if (Each.Class == this->Calls[CallIndex].Class)
        Sizes.push_back(Each.PromptTokens);
    std::sort(Sizes.begin(), Sizes.end());
    this->LargeThresholds[this->Calls[CallIndex].Class] =
        Sizes[Sizes.size() * 9 / 10];
    return this->isLargest(CallIndex);
  }

  void count(std::size_t CallIndex, OutcomeTotals &Totals) const {
    const double Payoff =
        payoffOf(this->classOf(CallIndex), this->Calls[CallIndex]);
    ++Totals.Calls;
    Totals.PossiblePayoff += Payoff;
    switch (this->States[CallIndex].Outcome) {
    case CallOutcome::OnTime:
      ++Totals.OnTime;
      Totals.EarnedPayoff += Payoff;
      return;
    case CallOutcome::Late:
      ++Totals.Late;
      Totals.EarnedPayoff += Payoff * LatePayoffShare;
      return;
    case CallOutcome::Refused:
      ++Totals.Refused;
      return;
    // `InProgress` does not occur here: each call ends at its time limit at the
    // latest.
    case CallOutcome::InProgress:
    case CallOutcome::Disconnected:
      ++Totals.CallerDisconnected;
      return;
    }
  }

  const Scenario &TheScenario;
  const Policy &SelectedPolicy;
  std::vector<Call> Calls;
  boost::random::mt19937_64 Random;
  std::vector<Engine> Engines;
  /// Number of requests that were sent to each engine and have not ended.
  std::vector<std::uint32_t> OpenRequests;
  std::vector<CallState> States;
  std::set<std::size_t> ActiveCalls;
  std::vector<Milliseconds> RefusalTimes;
  GatewayConfiguration Configuration;
  std::unique_ptr<Allocator> FleetAllocator;
  std::map<std::uint64_t, std::size_t> EngineByHash;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  Milliseconds Now = 0;
  mutable std::map<std::size_t, std::uint32_t> LargeThresholds;
};

} // namespace

double SimulationResult::worstAccountsPayoffShare() const {
  std::vector<double> Shares;
  for (const auto &[Account, Totals] : this->ByAccount)
    Shares.push_back(Totals.payoffShare());
  std::sort(Shares.begin(), Shares.end());
  const std::size_t WorstCount = std::max<std::size_t>(Shares.size() / 10, 1);
  if (Shares.empty())
    return 1;
  return std::accumulate(
             Shares.begin(),
             Shares.begin() + static_cast<std::ptrdiff_t>(WorstCount), 0.0) /
         static_cast<double>(WorstCount);
}

namespace {

/// The quantile `Fraction` of ascending times.
Milliseconds quantileOf(const std::vector<Milliseconds> &Times,
                        double Fraction) {
  if (Times.empty())
    return 0;
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Times.size() - 1));
  return Times[Index];
}

} // namespace

Milliseconds SimulationResult::firstTokenQuantile(double Fraction) const {
  return quantileOf(this->FirstTokens, Fraction);
}

Milliseconds SimulationResult::refusalTimeQuantile(double Fraction) const {
  return quantileOf(this->RefusalTimes, Fraction);
}

SimulationResult simulate(const Scenario &TheScenario, std::uint64_t Seed,
                          const Policy &SelectedPolicy) {
  return Simulation(TheScenario, Seed, SelectedPolicy).run();
}

double payoffShareUpperBound(const Scenario &TheScenario, std::uint64_t Seed) {
  struct CallCost {
    double Payoff = 0;
    double EngineTime = 0;
  };
  std::vector<CallCost> Costs;
  double PossiblePayoff = 0;
  for (const Call &TheCall : generateCalls(TheScenario, Seed)) {
    const CallClass &Class = TheScenario.Classes[TheCall.Class];
    const double OwnTokens = TheCall.Parts.back().Tokens;
    const double Payoff = payoffOf(Class, TheCall);
    Costs.push_back(
        {Payoff,
         OwnTokens / TheScenario.Parameters.PrefillTokensPerMs +
             TheCall.OutputTokens * TheScenario.Parameters.StepTimePerRequest});
    PossiblePayoff += Payoff;
  }
  std::sort(Costs.begin(), Costs.end(),
            [](const CallCost &Left, const CallCost &Right) {
              return Left.Payoff * Right.EngineTime >
                     Right.Payoff * Left.EngineTime;
            });
  double TimeLeft = TheScenario.Engines * TheScenario.Length;
  double EarnedPayoff = 0;
  for (const CallCost &Each : Costs) {
    const double Fraction = std::min(1.0, TimeLeft / Each.EngineTime);
    EarnedPayoff += Each.Payoff * Fraction;
    TimeLeft -= Each.EngineTime * Fraction;
    if (TimeLeft <= 0)
      break;
  }
  return EarnedPayoff / PossiblePayoff;
}

} // namespace parsleywing::lab
