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

/// Counters of the whole fleet at one moment.
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
  if (const auto Value = metricIn(Text, Name))
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
        metricIn(*Metrics, PeerBytesMetric).value_or(0));
    const std::string Dump =
        fetch(Router.OperatorAddress, "/dump").value_or("");
    Now.Dropped += numberIn(Dump, "over-budget");
    Now.SlotsGranted += numberIn(Dump, "slots-granted");
    Now.FairnessBytes += numberIn(Dump, "bytes-sent");
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
  /// Those that had work waiting at every sample.
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
    if (Record.LeastWaiting == 0 || Account.Name == OccasionalAccount)
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

/// Carries the phases on a fleet that runs.
class PhaseRunner {
public:
  PhaseRunner(const FleetDeployment &F, const PhaseLengths &L,
              const LoadOptions &O, const std::function<bool()> &S)
      : Fleet(F), Lengths(L), Stop(S), Load(F.accounts(), O),
        Wanted(F.accounts()) {}

  /// False where it was stopped.
  bool run(FleetFigures &Figures) {
    this->silenceAll();
    this->Load.setOpenRequests(this->occasional(), 1);
    if (!this->measure(Duration::zero(), this->Lengths.Alone))
      return false;
    Figures.OccasionalAlone = this->occasionalTimes();
    this->Load.setOpenRequests(this->neighbour(), NeighbourOpenRequests);
    if (!this->measure(this->Lengths.NeighbourWarmUp, this->Lengths.Neighbour))
      return false;
    Figures.OccasionalBesideNeighbour = this->occasionalTimes();
    return this->measureAll(Figures);
  }

private:
  std::size_t occasional() const { return this->Wanted.size() - 1; }

  /// The last large account of the occasional account's service.
  std::size_t neighbour() const {
    const ServicePlan &First = this->Fleet.plan().Services.front();
    return First.SmallAccounts + First.LargeAccounts - 1;
  }

  void silenceAll() {
    for (std::size_t Account = 0; Account < this->Wanted.size(); ++Account)
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

  bool measureAll(FleetFigures &Figures) {
    this->Load.abandonAll();
    for (std::size_t Account = 0; Account < this->Wanted.size(); ++Account)
      this->Load.setOpenRequests(Account, this->Wanted[Account].OpenRequests);
    this->Load.run(this->Lengths.WarmUp, this->Stop);
    const FleetCounters Before = readCounters(this->Fleet);
    FleetSampler Sampler(this->Fleet);
    if (!this->measure(Duration::zero(), this->Lengths.Window))
      return false;
    const double Seconds = this->Load.windowSeconds();
    const std::vector<EngineUse> Uses = Sampler.finish();
    this->fill(Figures, Before, readCounters(this->Fleet), Seconds);
    for (std::size_t Service = 0; Service < Uses.size(); ++Service) {
      const EngineUse &Use = Uses[Service];
      Figures.Services[Service].RunningPart =
          Use.Running / std::max(1.0, Use.Capacity);
      Figures.Services[Service].WaitingByEngine =
          Use.Waiting / std::max<double>(1, static_cast<double>(Use.Samples));
    }
    return true;
  }

  void fill(FleetFigures &Figures, const FleetCounters &Before,
            const FleetCounters &After, double Seconds) const {
    Figures.WindowSeconds = Seconds;
    Figures.Services = serviceFigures(this->Fleet.plan(), this->Load, Seconds);
    Figures.OccasionalBesideAll = this->occasionalTimes();
    for (std::size_t Account = 0; Account < this->Wanted.size(); ++Account)
      Figures.Accounts.push_back(
          {this->Wanted[Account], this->Load.records()[Account]});
    for (std::size_t Router = 0; Router < After.Routers.size(); ++Router)
      Figures.Routers.push_back({(After.Routers[Router].ProcessorSeconds -
                                  Before.Routers[Router].ProcessorSeconds) /
                                     Seconds,
                                 After.Routers[Router].ResidentMebibytes});
    Figures.GeneratorProcessorShare =
        (After.Generator.ProcessorSeconds - Before.Generator.ProcessorSeconds) /
        Seconds;
    Figures.ControlBytesPerSecond =
        rate(Before.PeerBytes, After.PeerBytes,
             Seconds * static_cast<double>(After.Routers.size()));
    const double RouterSeconds =
        Seconds * static_cast<double>(After.Routers.size());
    for (std::size_t Router = 0; Router < After.PeerBytesByRouter.size() &&
                                 Router < Before.PeerBytesByRouter.size();
         ++Router)
      Figures.MostControlBytes = std::max(
          Figures.MostControlBytes,
          (After.PeerBytesByRouter[Router] - Before.PeerBytesByRouter[Router]) /
              Seconds);
    Figures.DroppedPerSecond = (After.Dropped - Before.Dropped) / RouterSeconds;
    Figures.SlotsGrantedPerSecond =
        (After.SlotsGranted - Before.SlotsGranted) / RouterSeconds;
    Figures.FairnessBytesPerSecond =
        (After.FairnessBytes - Before.FairnessBytes) / RouterSeconds;
    Figures.StoreCallsPerSecond =
        rate(Before.StoreCalls, After.StoreCalls, Seconds);
  }

  const FleetDeployment &Fleet;
  const PhaseLengths &Lengths;
  const std::function<bool()> &Stop;
  LoadGenerator Load;
  std::vector<LoadAccount> Wanted;
};

} // namespace

FirstTokenTimes firstTokenTimes(const std::vector<double> &Seconds) {
  return {Seconds.size(), percentile(Seconds, 0.5), percentile(Seconds, 0.95),
          percentile(Seconds, 0.99)};
}

std::vector<ServiceFigures> serviceFigures(const DeploymentPlan &Plan,
                                           const LoadGenerator &Load,
                                           double Seconds) {
  std::vector<ServiceFigures> All;
  for (const ServicePlan &Service : Plan.Services) {
    const ServiceTotals Totals = totalsOf(Load, Service.Name);
    const double Capacity = Service.Engines * Plan.MaxRunning *
                            MillisecondsPerSecond / Plan.StepMilliseconds;
    ServiceFigures Figures;
    Figures.Name = Service.Name;
    Figures.Accounts = Totals.Accounts;
    Figures.Backlogged = Totals.Backlogged.size();
    Figures.Gap = serviceGap(Load.samples(), Totals.Backlogged);
    if (Totals.BackloggedShares > 0)
      Figures.FairRate =
          Totals.BackloggedTokens / Totals.BackloggedShares / Seconds;
    Figures.Utilisation = Totals.Tokens / (Capacity * Seconds);
    Figures.FirstToken = firstTokenTimes(Totals.FirstTokenSeconds);
    All.push_back(Figures);
  }
  return All;
}

FleetFigures measureFleet(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          const PhaseLengths &Lengths,
                          const LoadOptions &Options,
                          const std::function<bool()> &Stop) {
  FleetFigures Figures;
  Figures.Policy = Policy;
  FleetDeployment Fleet(Plan);
  Figures.Missing = Fleet.start(Policy, Options.Seed);
  if (!Figures.Missing.empty())
    return Figures;
  PhaseRunner Runner(Fleet, Lengths, Options, Stop);
  if (!Runner.run(Figures))
    Figures.Missing = "interrupted";
  else if (!Fleet.endedRouters().empty())
    Figures.Missing = "routers ended by themselves: " + Fleet.endedRouters();
  return Figures;
}

} // namespace parsleywing::bench
