#include "FleetFaults.h"

#include "FleetProbe.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <csignal>
#include <ostream>

namespace parsleywing::bench {

namespace {

constexpr Duration TimeBefore = std::chrono::seconds(10);
constexpr Duration TimeDown = std::chrono::seconds(5);
constexpr Duration TimeAfter = std::chrono::seconds(12);
constexpr Duration RecentTime = std::chrono::seconds(3);

/// A fault and the sample at which it struck.
struct Mark {
  std::string Fault;
  std::size_t Sample;
};

/// Strikes the faults one after the other.
class FaultRunner {
public:
  FaultRunner(FleetDeployment &F, LoadGenerator &L,
              const std::function<bool()> &S)
      : Fleet(F), Load(L), Stop(S) {}

  void run() {
    this->Load.startWindow();
    this->carry(TimeBefore);
    this->killRouter(0);
    this->freezeRouter(1);
  }

  const std::vector<Mark> &marks() const { return this->Marks; }

private:
  void carry(Duration For) {
    if (!this->Stop())
      this->Load.run(For, this->Stop);
  }

  void mark(const std::string &Fault) {
    this->Marks.push_back({Fault, this->Load.samples().size()});
  }

  void killRouter(std::size_t Index) {
    const std::string &Address = this->Fleet.routers()[Index].Address;
    const std::string &Other = this->Fleet.routers().back().Address;
    this->mark("router killed, started anew after 5 s");
    this->Fleet.routers()[Index].Process->signal(SIGKILL);
    const auto Entries = this->Load.accounts();
    this->Load.replaceRouter(Address, Other);
    this->carry(TimeDown);
    this->Fleet.restartRouter(Index);
    test::waitForListener(Address);
    for (std::size_t Account = 0; Account < Entries.size(); ++Account)
      this->Load.setRouters(Account, Entries[Account].Routers);
    this->carry(TimeAfter);
  }

  void freezeRouter(std::size_t Index) {
    this->mark("router frozen for 5 s");
    const auto &Process = this->Fleet.routers()[Index].Process;
    Process->signal(SIGSTOP);
    this->carry(TimeDown);
    Process->signal(SIGCONT);
    this->carry(TimeAfter);
  }

  FleetDeployment &Fleet;
  LoadGenerator &Load;
  const std::function<bool()> &Stop;
  std::vector<Mark> Marks;
};

double largestRecentGap(const std::vector<ServiceSample> &Samples,
                        const std::vector<std::size_t> &Accounts,
                        std::size_t From, std::size_t To, std::size_t Length) {
  double Largest = 0;
  for (std::size_t Index = From; Index < To; ++Index)
    Largest = std::max(Largest, recentGap(Samples, Accounts, Index, Length));
  return Largest;
}

/// Every account of the service but the occasional one.
std::vector<std::size_t> accountsOf(const LoadGenerator &Load,
                                    const std::string &Service) {
  std::vector<std::size_t> Chosen;
  for (std::size_t Index = 0; Index < Load.accounts().size(); ++Index)
    if (Load.accounts()[Index].Service == Service &&
        Load.accounts()[Index].Name != OccasionalAccount)
      Chosen.push_back(Index);
  return Chosen;
}

FaultFigures figuresOf(const LoadGenerator &Load, const std::string &Service,
                       const std::vector<Mark> &Marks, std::size_t Which,
                       Duration Interval) {
  const auto Length = static_cast<std::size_t>(RecentTime / Interval);
  const auto Accounts = accountsOf(Load, Service);
  const std::size_t End = Which + 1 < Marks.size() ? Marks[Which + 1].Sample
                                                   : Load.samples().size();
  const std::vector<ServiceSample> Samples(
      Load.samples().begin(),
      Load.samples().begin() + static_cast<std::ptrdiff_t>(End));
  const std::size_t First = Marks.front().Sample;
  const std::size_t Fault = Marks[Which].Sample;
  FaultFigures Figures{Marks[Which].Fault, Service, 0, 0, std::nullopt};
  Figures.RecentGapBefore =
      largestRecentGap(Samples, Accounts, Length, First, Length);
  Figures.RecentGapAfter =
      largestRecentGap(Samples, Accounts, Fault, End, Length);
  const auto Restored = samplesUntilRestored(Samples, Accounts, Fault, Length,
                                             Figures.RecentGapBefore);
  if (Restored)
    Figures.SecondsUntilRestored =
        std::chrono::duration<double>(Interval).count() *
        static_cast<double>(*Restored);
  return Figures;
}

AccountRecord totalOf(const LoadGenerator &Load) {
  AccountRecord Total;
  for (const AccountRecord &Record : Load.records()) {
    Total.Tokens += Record.Tokens;
    Total.Broken += Record.Broken;
    Total.Cut += Record.Cut;
    for (const auto &[Outcome, Count] : Record.Outcomes)
      Total.Outcomes[Outcome] += Count;
  }
  return Total;
}

/// Adds the engine's executions by request; the name of each execution is the
/// request's with the number of the attempt behind the last dot.
bool addExecutions(const std::string &Engine,
                   std::map<std::string, std::size_t> &Executions) {
  const auto Body = fetch(Engine, "/standin/executions");
  if (!Body)
    return false;
  const auto Whole =
      Poco::JSON::Parser().parse(*Body).extract<Poco::JSON::Object::Ptr>();
  for (const auto &[Name, Count] : *Whole->getObject("by_identity"))
    Executions[Name.substr(0, Name.rfind('.'))] += Count.convert<std::size_t>();
  return true;
}

ExecutionCheck checkExecutions(const FleetDeployment &Fleet,
                               const LoadGenerator &Load) {
  ExecutionCheck Check;
  std::map<std::string, std::size_t> Executions;
  for (const FleetProcess &Engine : Fleet.engines())
    if (!addExecutions(Engine.Address, Executions))
      return Check;
  Check.Done = true;
  for (const ToldOutcome &Told : Load.told()) {
    const auto Found = Executions.find(Told.Request);
    const std::size_t Count = Found == Executions.end() ? 0 : Found->second;
    ++Check.Compared;
    Check.CompletedButNotRun += Told.Outcome == "completed" && Count == 0;
    Check.NotRunButRun += Told.Outcome == "not-run" && Count > 0;
    Check.RunAgain += Count > 1;
  }
  return Check;
}

} // namespace

FaultReport measureFaults(const DeploymentPlan &Plan, FairnessPolicy Policy,
                          Duration WarmUp, const LoadOptions &Options,
                          const std::function<bool()> &Stop) {
  FaultReport Report;
  Report.Policy = Policy;
  if (Plan.Routers < 3) {
    Report.Missing = "faults need three routers at least";
    return Report;
  }
  FleetDeployment Fleet(Plan);
  Report.Missing = Fleet.start(Policy, Options.Seed);
  if (!Report.Missing.empty())
    return Report;
  LoadGenerator Load(Fleet.accounts(), Options);
  Load.run(WarmUp, Stop);
  FaultRunner Runner(Fleet, Load, Stop);
  Runner.run();
  if (Stop()) {
    Report.Missing = "interrupted";
    return Report;
  }
  for (std::size_t Which = 0; Which < Runner.marks().size(); ++Which)
    for (const ServicePlan &Service : Plan.Services)
      Report.Faults.push_back(figuresOf(Load, Service.Name, Runner.marks(),
                                        Which, Options.SampleInterval));
  Report.Total = totalOf(Load);
  Report.Check = checkExecutions(Fleet, Load);
  return Report;
}

void printFaults(std::ostream &Out, const DeploymentPlan &Plan,
                 const FaultReport &Report, bool Markdown) {
  const std::string Policy = std::string("policy ") + nameOf(Report.Policy);
  if (!Report.Missing.empty()) {
    printTable(Out, {{"faults", Policy}, {"figures", Report.Missing}},
               Markdown);
    return;
  }
  Table Rows{{"fault, " + std::to_string(Plan.Routers) + " routers, " + Policy,
              "service", "gap over 3 s before, tokens/share", "largest after",
              "restored after"}};
  for (const FaultFigures &F : Report.Faults)
    Rows.push_back({F.Fault, F.Service, decimal(F.RecentGapBefore, 0),
                    decimal(F.RecentGapAfter, 0),
                    F.SecondsUntilRestored
                        ? decimal(*F.SecondsUntilRestored, 1) + " s"
                        : "not within the time"});
  printTable(Out, Rows, Markdown);
  Table Outcomes{{"requests", "count"}};
  for (const auto &[Outcome, Count] : Report.Total.Outcomes)
    Outcomes.push_back({Outcome, std::to_string(Count)});
  Outcomes.push_back({"told completed but not whole, or out of order",
                      std::to_string(Report.Total.Broken)});
  Outcomes.push_back(
      {"streams cut without a final event", std::to_string(Report.Total.Cut)});
  const ExecutionCheck &Check = Report.Check;
  const auto Counted = [&](std::size_t Count) {
    return Check.Done
               ? std::to_string(Count) + " of " + std::to_string(Check.Compared)
               : "n/a";
  };
  Outcomes.push_back({"wrongly told: completed, but no engine ran it",
                      Counted(Check.CompletedButNotRun)});
  Outcomes.push_back({"wrongly told: not run, but an engine ran it",
                      Counted(Check.NotRunButRun)});
  Outcomes.push_back({"run by more than one attempt", Counted(Check.RunAgain)});
  printTable(Out, Outcomes, Markdown);
}

} // namespace parsleywing::bench
