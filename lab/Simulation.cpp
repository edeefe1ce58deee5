#include "lab/Play.h"

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

/// A late answer's part of the payoff, and what a size is worth.
constexpr double LatePart = 0.3;
constexpr double FixedPart = 0.3;
constexpr double SizePart = 0.7;
constexpr double MostTimesMean = 4;

constexpr Milliseconds TickInterval = 5;
constexpr Milliseconds TellInterval = 250;
/// As the router does it: what is late already waits a quarter of its time,
/// half a second at most.
constexpr double LateWaitPart = 0.25;
constexpr Milliseconds LongestLateWait = 500;
/// The least time that a request needs; who has less left does not come back.
constexpr Milliseconds LeastTime = 50;

constexpr const char *ServiceName = "engines";

TimePoint momentOf(Milliseconds Time) {
  return TimePoint(Duration(static_cast<Duration::rep>(Time * 1000)));
}

std::string engineName(std::size_t Index) {
  return "e" + std::to_string(Index);
}

/// What a call is worth beside the mean of its class.
double payoffOf(const RequestClass &Class, const Call &Made) {
  double Mean = Class.MeanOwnTokens;
  for (const SharedPartLevel &Link : Class.SharedLevels)
    Mean += Link.MeanTokens;
  const double Size = std::min(Made.PromptTokens / Mean, MostTimesMean);
  return FixedPart + SizePart * Size;
}

class Table {
public:
  Table(const Scenario &P, std::uint64_t Seed, const Policy &B)
      : Played(P), By(B), Calls(generateCalls(P, Seed)), Random(Seed),
        Engines(P.Engines, Engine(P.Parameters)), Loads(P.Engines, 0) {
    this->States.resize(this->Calls.size());
    if (const auto *Chosen = std::get_if<AllocatorPolicy>(&this->By))
      this->makeAllocator(*Chosen);
  }

  SimulationResult play() {
    for (std::size_t I = 0; I < this->Calls.size(); ++I)
      this->at(this->Calls[I].At, [this, I] { this->ask(I); });
    if (this->Shared) {
      this->at(TickInterval, [this] { this->tick(); });
      this->at(TellInterval, [this] { this->tell(); });
    }
    while (!this->Events.empty()) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Do();
    }
    return this->result();
  }

private:
  enum class End { None, OnTime, Late, Refused, Left };

  struct CallState {
    std::uint32_t Attempts = 0;
    End Ended = End::None;
    std::optional<std::size_t> AtEngine;
    std::optional<Milliseconds> FirstAfter;
    Milliseconds AskedAt = 0;
  };

  struct Event {
    Milliseconds At = 0;
    std::uint64_t Order = 0;
    std::function<void()> Do;
    friend bool operator<(const Event &Left, const Event &Right) {
      return std::tie(Left.At, Left.Order) > std::tie(Right.At, Right.Order);
    }
  };

  void at(Milliseconds When, std::function<void()> Do) {
    this->Events.push({When, ++this->LastOrder, std::move(Do)});
  }

  void makeAllocator(const AllocatorPolicy &Chosen) {
    auto Listed = std::make_shared<ServerList>();
    for (std::size_t I = 0; I < this->Engines.size(); ++I) {
      GatewayServer Server;
      Server.Id = engineName(I);
      Server.Service = ServiceName;
      Server.Slots = this->Played.Parameters.Slots;
      Listed->emplace(Server.Id, Server);
      this->IndexOf[hashName(Server.Id)] = I;
    }
    GatewayService Stated;
    Stated.Name = ServiceName;
    Stated.KvCapacityTokens = this->Played.Parameters.MemoryTokens;
    Stated.KvBytesPerToken = 1;
    Stated.LinkBytesPerMs = this->Played.Parameters.FetchTokensPerMs;
    this->Configuration.Services[ServiceName] = Stated;
    this->Configuration.Limits.TokensPerSecond =
        this->Played.StatedTokensPerSecond;
    this->Shared = std::make_unique<Allocator>(Chosen.Choices);
    this->Shared->setServers(Listed, &this->Configuration,
                             ServerGroups(*Listed));
  }

  const RequestClass &classOf(std::size_t I) const {
    return this->Played.Classes[this->Calls[I].Class];
  }
  Milliseconds age(std::size_t I) const {
    return this->Now - this->Calls[I].At;
  }
  static CorrelationId idOf(std::size_t I, std::uint32_t Attempt) {
    return {Attempt, I};
  }

  /// A caller sends its first or a further attempt.
  void ask(std::size_t I) {
    CallState &State = this->States[I];
    ++State.Attempts;
    State.AskedAt = this->Now;
    const Milliseconds Left = this->classOf(I).TimeLimit - this->age(I);
    if (State.Attempts == 1)
      this->at(this->Now + Left, [this, I] { this->leave(I); });
    std::visit(
        Overloaded{
            [this, I](const AllocatorPolicy &) { this->askAllocator(I); },
            [this, I](const LeastLoadedPolicy &) {
              const auto Least =
                  std::min_element(this->Loads.begin(), this->Loads.end());
              this->send(I, Least - this->Loads.begin(), 0);
            },
            [this, I](const TwoChoicesPolicy &) {
              const std::size_t One = this->drawEngine();
              const std::size_t Other = this->drawEngine();
              this->send(I, this->Loads[Other] < this->Loads[One] ? Other : One,
                         0);
            },
            [this, I](const HomePolicy &) {
              const PromptPart *Part = sharedPart(this->Calls[I].Parts);
              const std::uint64_t Key = Part == nullptr ? I : Part->Id;
              this->send(I, rendezvousScore(Key, 0) % this->Engines.size(), 0);
            },
        },
        this->By);
  }

  std::size_t drawEngine() {
    boost::random::uniform_int_distribution<std::size_t> Which(
        0, this->Engines.size() - 1);
    return Which(this->Random);
  }

  void askAllocator(std::size_t I) {
    const Call &Made = this->Calls[I];
    AllocationRequest Ask;
    Ask.Id = idOf(I, this->States[I].Attempts);
    Ask.Service = hashName(ServiceName);
    Ask.Account = Made.Account + 1;
    Ask.Parts = Made.Parts;
    Ask.PromptTokens = Made.PromptTokens;
    Ask.OutputTokens = Made.OutputTokens;
    const Milliseconds OnTime = this->classOf(I).Objective - this->age(I);
    const Milliseconds Left = this->classOf(I).TimeLimit - this->age(I);
    Ask.ObjectiveLeftMs = static_cast<std::int32_t>(OnTime);
    Ask.MaxWaitMs = static_cast<std::int32_t>(
        OnTime > 0 ? OnTime : std::min(Left * LateWaitPart, LongestLateWait));
    this->at(this->Now + this->Played.OneWayDelay, [this, Ask] {
      this->Shared->handle(Ask, momentOf(this->Now));
      this->takeAnswers();
    });
  }

  void takeAnswers() {
    for (const RouterMessage &Each : this->Shared->takeReplies())
      std::visit(Overloaded{
                     [this](const AllocationGrant &M) { this->onGranted(M); },
                     [this](const AllocationRefusal &M) { this->onRefused(M); },
                     [](const auto &) {},
                 },
                 Each);
  }

  void onGranted(const AllocationGrant &Granted) {
    const std::size_t I = Granted.Id.Number;
    if (this->States[I].Ended != End::None) {
      this->Shared->handle(GrantEnded{Granted.Id, ServerVerdict::Healthy},
                           momentOf(this->Now));
      return;
    }
    std::uint64_t Fetchable = 0;
    if (Granted.FetchSource != 0)
      Fetchable =
          this->Engines[this->IndexOf.at(Granted.FetchSource)].cachedTokens(
              this->Calls[I].Parts);
    this->send(I, this->IndexOf.at(Granted.Server), Fetchable);
  }

  void onRefused(const AllocationRefusal &Refused) {
    const std::size_t I = Refused.Id.Number;
    CallState &State = this->States[I];
    if (State.Ended != End::None)
      return;
    this->RefusalTimes.push_back(this->Now + this->Played.OneWayDelay -
                                 State.AskedAt);
    const Milliseconds Left = this->classOf(I).TimeLimit - this->age(I);
    const Milliseconds Wait =
        std::min<Milliseconds>(Refused.RetryAfterMs, Left / 3);
    if (State.Attempts > 1 || Left < LeastTime) {
      State.Ended = End::Refused;
      return;
    }
    this->at(this->Now + Wait, [this, I] {
      if (this->States[I].Ended == End::None)
        this->ask(I);
    });
  }

  void send(std::size_t I, std::size_t To, std::uint64_t Fetchable) {
    this->States[I].AtEngine = To;
    ++this->Loads[To];
    const Call &Made = this->Calls[I];
    const EngineRequest Work{idOf(I, this->States[I].Attempts), Made.Parts,
                             Made.PromptTokens, Made.OutputTokens, Fetchable};
    this->Sent.insert(I);
    this->at(this->Now + this->Played.OneWayDelay, [this, I, To, Work] {
      if (this->States[I].Ended != End::None)
        return;
      const bool WasIdle = !this->Engines[To].nextStepAt();
      this->Engines[To].submit(Work, this->Now);
      if (WasIdle)
        this->scheduleStep(To);
    });
  }

  void scheduleStep(std::size_t Which) {
    const auto Next = this->Engines[Which].nextStepAt();
    if (!Next)
      return;
    this->at(*Next, [this, Which] {
      for (const EngineEvent &Each : this->Engines[Which].step())
        this->onNews(Each);
      this->scheduleStep(Which);
    });
  }

  void onNews(const EngineEvent &News) {
    const std::size_t I = News.Id.Number;
    CallState &State = this->States[I];
    if (State.Ended != End::None)
      return;
    if (News.IsFirstToken) {
      State.FirstAfter = this->age(I) + this->Played.OneWayDelay;
      if (this->Shared)
        this->Shared->handle(GrantStarted{News.Id}, momentOf(this->Now));
      return;
    }
    const bool OnTime = *State.FirstAfter <= this->classOf(I).Objective;
    this->finish(I, OnTime ? End::OnTime : End::Late);
  }

  void leave(std::size_t I) {
    CallState &State = this->States[I];
    if (State.Ended != End::None)
      return;
    if (State.AtEngine)
      this->Engines[*State.AtEngine].cancel(idOf(I, State.Attempts));
    if (this->Shared)
      this->Shared->handle(AllocationCancelled{idOf(I, State.Attempts)},
                           momentOf(this->Now));
    this->finish(I, End::Left);
  }

  void finish(std::size_t I, End How) {
    CallState &State = this->States[I];
    State.Ended = How;
    this->Sent.erase(I);
    if (!State.AtEngine)
      return;
    --this->Loads[*State.AtEngine];
    if (!this->Shared)
      return;
    this->Shared->handle(
        GrantEnded{idOf(I, State.Attempts), ServerVerdict::Healthy},
        momentOf(this->Now));
    this->Shared->tick(momentOf(this->Now));
    this->takeAnswers();
  }

  void tick() {
    this->Shared->tick(momentOf(this->Now));
    this->takeAnswers();
    if (!this->over())
      this->at(this->Now + TickInterval, [this] { this->tick(); });
  }

  /// Routers tell of what they have at engines.
  void tell() {
    for (const std::size_t I : this->Sent) {
      const CallState &State = this->States[I];
      const std::uint32_t Unread = State.FirstAfter ? 0 : 1;
      this->Shared->handle(GrantActive{idOf(I, State.Attempts),
                                       hashName(engineName(*State.AtEngine)),
                                       Unread, this->Calls[I].OutputTokens},
                           momentOf(this->Now));
    }
    if (!this->over())
      this->at(this->Now + TellInterval, [this] { this->tell(); });
  }

  bool over() const {
    return this->Now > this->Played.Length && this->Sent.empty() &&
           this->Shared->queuedRequests() == 0;
  }

  SimulationResult result() const {
    SimulationResult Result;
    for (std::size_t I = 0; I < this->Calls.size(); ++I) {
      const Call &Made = this->Calls[I];
      const RequestClass &Class = this->classOf(I);
      this->count(I, Result.Total);
      this->count(I, Result.ByClass[Class.Name]);
      this->count(I, Result.ByAccount[Made.Account]);
      if (this->isLarge(I))
        this->count(I, Result.LargestByClass[Class.Name]);
      const CallState &State = this->States[I];
      if (State.Ended == End::OnTime || State.Ended == End::Late)
        Result.FirstTokens.push_back(*State.FirstAfter);
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

  /// Whether the call is of the largest tenth of its class.
  bool isLarge(std::size_t I) const {
    const auto Known = this->LargeFrom.find(this->Calls[I].Class);
    if (Known != this->LargeFrom.end())
      return this->Calls[I].PromptTokens >= Known->second;
    std::vector<std::uint32_t> Sizes;
    for (const Call &Each : this->Calls)
      if (Each.Class == this->Calls[I].Class)
        Sizes.push_back(Each.PromptTokens);
    std::sort(Sizes.begin(), Sizes.end());
    this->LargeFrom[this->Calls[I].Class] = Sizes[Sizes.size() * 9 / 10];
    return this->isLarge(I);
  }

  void count(std::size_t I, Outcomes &Into) const {
    const double Payoff = payoffOf(this->classOf(I), this->Calls[I]);
    ++Into.Calls;
    Into.PossiblePayoff += Payoff;
    switch (this->States[I].Ended) {
    case End::OnTime:
      ++Into.OnTime;
      Into.EarnedPayoff += Payoff;
      return;
    case End::Late:
      ++Into.Late;
      Into.EarnedPayoff += Payoff * LatePart;
      return;
    case End::Refused:
      ++Into.Refused;
      return;
    case End::None:
    case End::Left:
      ++Into.CallerDisconnected;
      return;
    }
  }

  const Scenario &Played;
  const Policy &By;
  std::vector<Call> Calls;
  boost::random::mt19937_64 Random;
  std::vector<Engine> Engines;
  /// Requests that were sent to each engine and have not ended.
  std::vector<std::uint32_t> Loads;
  std::vector<CallState> States;
  std::set<std::size_t> Sent;
  std::vector<Milliseconds> RefusalTimes;
  GatewayConfiguration Configuration;
  std::unique_ptr<Allocator> Shared;
  std::map<std::uint64_t, std::size_t> IndexOf;
  std::priority_queue<Event> Events;
  std::uint64_t LastOrder = 0;
  Milliseconds Now = 0;
  mutable std::map<std::size_t, std::uint32_t> LargeFrom;
};

} // namespace

double SimulationResult::worstAccountsWorth() const {
  std::vector<double> Worths;
  for (const auto &[Account, Had] : this->ByAccount)
    Worths.push_back(Had.worth());
  std::sort(Worths.begin(), Worths.end());
  const std::size_t Worst = std::max<std::size_t>(Worths.size() / 10, 1);
  if (Worths.empty())
    return 1;
  return std::accumulate(Worths.begin(),
                         Worths.begin() + static_cast<std::ptrdiff_t>(Worst),
                         0.0) /
         static_cast<double>(Worst);
}

namespace {

/// The time below which this part of sorted times lies.
Milliseconds timeAt(const std::vector<Milliseconds> &Times, double Part) {
  if (Times.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Times.size() - 1));
  return Times[Index];
}

} // namespace

Milliseconds SimulationResult::firstTokenQuantile(double Part) const {
  return timeAt(this->FirstTokens, Part);
}

Milliseconds SimulationResult::refusalTimeQuantile(double Part) const {
  return timeAt(this->RefusalTimes, Part);
}

SimulationResult simulate(const Scenario &Played, std::uint64_t Seed,
                          const Policy &By) {
  return Table(Played, Seed, By).play();
}

double worthUpperBound(const Scenario &Played, std::uint64_t Seed) {
  struct Item {
    double Payoff = 0;
    double Time = 0;
  };
  std::vector<Item> Items;
  double Asked = 0;
  for (const Call &Made : generateCalls(Played, Seed)) {
    const RequestClass &Class = Played.Classes[Made.Class];
    const double Own = Made.Parts.back().Tokens;
    const double Payoff = payoffOf(Class, Made);
    Items.push_back(
        {Payoff, Own / Played.Parameters.PrefillTokensPerMs +
                     Made.OutputTokens * Played.Parameters.StepTimePerRequest});
    Asked += Payoff;
  }
  std::sort(Items.begin(), Items.end(),
            [](const Item &Left, const Item &Right) {
              return Left.Payoff * Right.Time > Right.Payoff * Left.Time;
            });
  double Left = Played.Engines * Played.Length;
  double Earned = 0;
  for (const Item &Each : Items) {
    const double Part = std::min(1.0, Left / Each.Time);
    Earned += Each.Payoff * Part;
    Left -= Each.Time * Part;
    if (Left <= 0)
      break;
  }
  return Earned / Asked;
}

} // namespace parsleywing::lab
