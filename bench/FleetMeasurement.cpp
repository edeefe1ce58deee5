#include "FleetMeasurement.h"

#include "FleetProbe.h"
#include "FleetSampler.h"

#include <unistd.h>

namespace parsleywing::bench {

namespace {

constexpr unsigned NeighbourOpenRequests = 300;
constexpr const char *PeerBytesMetric = "parsleywing_peer_sent_bytes_total";
constexpr const char *StoreCallsMetric = "parsleywing_store_calls_total";
constexpr double MillisecondsPerSecond = 1000;

/// Counters of the whole fleet at one time.
struct FleetCounters {
  std::vector<ProcessUse> Routers;
  ProcessUse Generator;
  std::optional<double> PeerBytes;
  std::vector<double> PeerBytesByRouter;
  double Dropped = 0;
  double SlotsGranted = 0;
  double FairnessBytes = 0;
  std::optional<double> StoreCalls;
};

void addMetric(std::optional<double> &Sum, const std::string &Text,
               const char *Name) {
  if (const auto Value = metricSum(Text, Name))
    Sum = Sum.value_or(0) + *Value;
}

FleetCounters readCounters(const FleetDeployment &Fleet) {
  FleetCounters Now;
  Now.Generator = useOf(::getpid());
  for (const FleetProcess &Router : Fleet.routers()) {
    Now.Routers.push_back(useOf(Router.Process->id()));
    const auto Metrics = fetchMetrics(Router.OperatorAddress);
    if (!Metrics)
      continue;
    addMetric(Now.PeerBytes, *Metrics, PeerBytesMetric);
    Now.PeerBytesByRouter.push_back(
        metricSum(*Metrics, PeerBytesMetric).value_or(0));
    const std::string Dump =
        fetch(Router.OperatorAddress, "/dump").value_or("");
    Now.Dropped += jsonNumber(Dump, "over-budget");
    Now.SlotsGranted += jsonNumber(Dump, "slots-granted");
    Now.FairnessBytes += jsonNumber(Dump, "bytes-sent");
    addMetric(Now.StoreCalls, *Metrics, StoreCallsMetric);
  }
  return Now;
}

std::optional<double> rate(const std::optional<double> &Before,
                           const std::optional<double> &After, double Seconds) {
  if (!Before || !After)
    return std::nullopt;
  return (*After - *Before) / Seconds;
}

/// Sums over the accounts of one service.
struct ServiceTotals {
  std::size_t Accounts = 0;
  double Tokens = 0;
  /// Accounts with waiting requests at every sample.
  std::vector<std::size_t> Backlogged;
  double BackloggedTokens = 0;
  double BackloggedShares = 0;
  std::vector<double> FirstTokenSeconds;
};

ServiceTotals totalsOf(const LoadGenerator &Load, const std::string &Service) {
  ServiceTotals Totals;
  for (std::size_t Index = 0; Index < Load.accounts().size(); ++Index) {
    const LoadAccount &Account = Load.accounts()[Index];
    const AccountRecord &Record = Load.records()[Index];
    if (Account.Service != Service)
      continue;
    ++Totals.Accounts;
    Totals.Tokens += static_cast<double>(Record.Tokens);
    if (Record.MinWaiting == 0 || Account.Name == OccasionalAccount)
      continue;
    Totals.Backlogged.push_back(Index);
    Totals.BackloggedTokens += static_cast<double>(Record.Tokens);
    Totals.BackloggedShares += Account.Share;
    Totals.FirstTokenSeconds.insert(Totals.FirstTokenSeconds.end(),
                                    Record.FirstTokenSeconds.begin(),
                                    Record.FirstTokenSeconds.end());
  }
  return Totals;
}

/// Runs the phases on a running fleet.
class PhaseRunner {
public:
  PhaseRunner(const FleetDeployment &F, const PhaseDurations &L,
              const LoadOptions &O, const std::function<bool()> &S)
      : Fleet(F), Durations(L), Stop(S), Load(F.accounts(), O),
        Accounts(F.accounts()) {}

  /// Returns false if it was stopped.
  bool run(FleetResults &Results) {
    this->stopAll();
    this->Load.setOpenRequests(this->occasional(), 1);
    if (!this->measure(Duration::zero(), this->Durations.Alone))
      return false;
    Results.OccasionalAlone = this->occasionalTimes();
    this->Load.setOpenRequests(this->neighbour(), NeighbourOpenRequests);
    if (!this->measure(this->Durations.NeighbourWarmUp,
                       this->Durations.Neighbour))
      return false;
    Results.OccasionalWithNeighbour = this->occasionalTimes();
    return this->measureAll(Results);
  }

private:
  std::size_t occasional() const { return this->Accounts.size() - 1; }

  /// The last large account of the occasional account's service.
  std::size_t neighbour() const {
    const ServicePlan &First = this->Fleet.plan().Services.front();
    return First.SmallAccounts + First.LargeAccounts - 1;
  }

  void stopAll() {
    for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
      this->Load.setOpenRequests(Account, 0);
  }

  bool measure(Duration WarmUp, Duration Window) {
    this->Load.run(WarmUp, this->Stop);
    this->Load.startWindow();
    this->Load.run(Window, this->Stop);
    return !this->Stop();
  }

  FirstTokenTimes occasionalTimes() const {
    return firstTokenTimes(
        this->Load.records()[this->occasional()].FirstTokenSeconds);
  }

  bool measureAll(FleetResults &Results) {
    this->Load.abortAll();
    for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
      this->Load.setOpenRequests(Account, this->Accounts[Account].OpenRequests);
    this->Load.run(this->Durations.WarmUp, this->Stop);
    const FleetCounters Before = readCounters(this->Fleet);
    FleetSampler Sampler(this->Fleet);
    if (!this->measure(Duration::zero(), this->Durations.Window))
      return false;
    const double Seconds = this->Load.windowSeconds();
    const std::vector<EngineUsage> Usages = Sampler.finish();
    this->fillResults(Results, Before, readCounters(this->Fleet), Seconds);
    for (std::size_t Service = 0; Service < Usages.size(); ++Service) {
      const EngineUsage &Usage = Usages[Service];
      Results.Services[Service].RunningFraction =
          Usage.Running / std::max(1.0, Usage.Capacity);
      Results.Services[Service].WaitingPerEngine =
          Usage.Waiting /
          std::max<double>(1, static_cast<double>(Usage.Samples));
    }
    return true;
  }

  void fillResults(FleetResults &Results, const FleetCounters &Before,
                   const FleetCounters &After, double Seconds) const {
    Results.WindowSeconds = Seconds;
    Results.Services = serviceResults(this->Fleet.plan(), this->Load, Seconds);
    Results.OccasionalWithAll = this->occasionalTimes();
    for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
      Results.Accounts.push_back(
          {this->Accounts[Account], this->Load.records()[Account]});
    for (std::size_t Router = 0; Router < After.Routers.size(); ++Router)
      Results.Routers.push_back({(After.Routers[Router].ProcessorSeconds -
                                  Before.Routers[Router].ProcessorSeconds) /
                                     Seconds,
                                 After.Routers[Router].ResidentMebibytes});
    Results.GeneratorCpuShare =
        (After.Generator.ProcessorSeconds - Before.Generator.ProcessorSeconds) /
        Seconds;
    Results.ControlBytesPerSecond =
        rate(Before.PeerBytes, After.PeerBytes,
             Seconds * static_cast<double>(After.Routers.size()));
    const double RouterSeconds =
        Seconds * static_cast<double>(After.Routers.size());
    for (std::size_t Router = 0; Router < After.PeerBytesByRouter.size() &&
                                 Router < Before.PeerBytesByRouter.size();
         ++Router)
      Results.MaxControlBytes =
          std::max(Results.MaxControlBytes, (After.PeerBytesByRouter[Router] -
                                             Before.PeerBytesByRouter[Router]) /
                                                Seconds);
    Results.DroppedPerSecond = (After.Dropped - Before.Dropped) / RouterSeconds;
    Results.SlotsGrantedPerSecond =
        (After.SlotsGranted - Before.SlotsGranted) / RouterSeconds;
    Results.FairnessBytesPerSecond =
        (After.FairnessBytes - Before.FairnessBytes) / RouterSeconds;
    Results.StoreCallsPerSecond =
        rate(Before.StoreCalls, After.StoreCalls, Seconds);
  }

  const FleetDeployment &Fleet;
  const PhaseDurations &Durations;
  const std::function<bool()> &Stop;
  LoadGenerator Load;
  std::vector<LoadAccount> Accounts;
};

} // namespace

FirstTokenTimes firstTokenTimes(const std::vector<double> &Seconds) {
  return {Seconds.size(), percentile(Seconds, 0.5), percentile(Seconds, 0.95),
          percentile(Seconds, 0.99)};
}

std::vector<ServiceResult> serviceResults(const DeploymentPlan &Plan,
                                          const LoadGenerator &Load,
                                          double Seconds) {
  std::vector<ServiceResult> All;
  for (const ServicePlan &Service : Plan.Services) {
    const ServiceTotals Totals = totalsOf(Load, Service.Name);
    const double Capacity = Service.Engines * Plan.MaxRunning *
                            MillisecondsPerSecond / Plan.StepMilliseconds;
    ServiceResult Result;
    Result.Name = Service.Name;
    Result.Accounts = Totals.Accounts;
    Result.Backlogged = Totals.Backlogged.size();
    Result.Gap = serviceGap(Load.samples(), Totals.Backlogged);
    if (Totals.BackloggedShares > 0)
      Result.FairRate =
          Totals.BackloggedTokens / Totals.BackloggedShares / Seconds;
    Result.Utilisation = Totals.Tokens / (Capacity * Seconds);
    Result.FirstToken = firstTokenTimes(Totals.FirstTokenSeconds);
    All.push_back(Result);
  }
  return All;
}

FleetResults measureFleet(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          const PhaseDurations &Durations,
                          const LoadOptions &Options,
                          const std::function<bool()> &Stop) {
  FleetResults Results;
  Results.Policy = Policy;
  FleetDeployment Fleet(Plan);
  Results.Error = Fleet.start(Policy, Options.Seed);
  if (!Results.Error.empty())
    return Results;
  PhaseRunner Runner(Fleet, Durations, Options, Stop);
  if (!Runner.run(Results))
    Results.Error = "interrupted";
  else if (!Fleet.exitedRouters().empty())
    Results.Error = "routers exited by themselves: " + Fleet.exitedRouters();
  return Results;
}

} // namespace parsleywing::bench
