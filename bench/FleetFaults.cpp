#include "FleetFaults.h"

#include "FleetProbe.h"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <csignal>
#include <ostream>

namespace parsleywing::bench {

namespace {

constexpr Duration BaselineTime = std::chrono::seconds(10);
constexpr Duration FaultTime = std::chrono::seconds(5);
constexpr Duration RecoveryTime = std::chrono::seconds(12);
constexpr Duration GapWindow = std::chrono::seconds(3);

/// A fault and the index of the sample at which it was injected.
struct FaultMark {
  std::string Fault;
  std::size_t Sample;
};

/// Injects the faults one after the other.
class FaultRunner {
public:
  FaultRunner(FleetDeployment &F, LoadGenerator &L,
              const std::function<bool()> &S)
      : Fleet(F), Load(L), Stop(S) {}

  void run() {
    this->Load.startWindow();
    this->runLoad(BaselineTime);
    this->killRouter(0);
    this->pauseRouter(1);
  }

  const std::vector<FaultMark> &faultMarks() const { return this->FaultMarks; }

private:
  void runLoad(Duration Time) {
    if (!this->Stop())
      this->Load.run(Time, this->Stop);
  }

  void recordMark(const std::string &Fault) {
    this->FaultMarks.push_back({Fault, this->Load.samples().size()});
  }

  void killRouter(std::size_t Index) {
    const std::string &Address = this->Fleet.routers()[Index].Address;
    const std::string &Replacement = this->Fleet.routers().back().Address;
    this->recordMark("router killed, restarted after 5 s");
    this->Fleet.routers()[Index].Process->signal(SIGKILL);
    const auto OriginalAccounts = this->Load.accounts();
    this->Load.replaceRouter(Address, Replacement);
    this->runLoad(FaultTime);
    this->Fleet.restartRouter(Index);
    test::waitForListener(Address);
    for (std::size_t Account = 0; Account < OriginalAccounts.size(); ++Account)
      this->Load.setRouters(Account, OriginalAccounts[Account].Routers);
    this->runLoad(RecoveryTime);
  }

  void pauseRouter(std::size_t Index) {
    this->recordMark("router paused for 5 s");
    const auto &Process = this->Fleet.routers()[Index].Process;
    Process->signal(SIGSTOP);
    this->runLoad(FaultTime);
    Process->signal(SIGCONT);
    this->runLoad(RecoveryTime);
  }

  FleetDeployment &Fleet;
  LoadGenerator &Load;
  const std::function<bool()> &Stop;
  std::vector<FaultMark> FaultMarks;
};

double largestRecentGap(const std::vector<ServiceSample> &Samples,
                        const std::vector<std::size_t> &Accounts,
                        std::size_t From, std::size_t To, std::size_t Length) {
  double Largest = 0;
  for (std::size_t Index = From; Index < To; ++Index)
    Largest = std::max(Largest, recentGap(Samples, Accounts, Index, Length));
  return Largest;
}

/// The indexes of all accounts of the service except the occasional one.
std::vector<std::size_t> accountsOf(const LoadGenerator &Load,
                                    const std::string &Service) {
  std::vector<std::size_t> Indexes;
  for (std::size_t Index = 0; Index < Load.accounts().size(); ++Index)
    if (Load.accounts()[Index].Service == Service &&
        Load.accounts()[Index].Name != OccasionalAccount)
      Indexes.push_back(Index);
  return Indexes;
}

FaultResult resultOf(const LoadGenerator &Load, const std::string &Service,
                     const std::vector<FaultMark> &FaultMarks,
                     std::size_t Index, Duration Interval) {
  const auto Length = static_cast<std::size_t>(GapWindow / Interval);
  const auto Accounts = accountsOf(Load, Service);
  const std::size_t End = Index + 1 < FaultMarks.size()
                              ? FaultMarks[Index + 1].Sample
                              : Load.samples().size();
  const std::vector<ServiceSample> Samples(
      Load.samples().begin(),
      Load.samples().begin() + static_cast<std::ptrdiff_t>(End));
  const std::size_t First = FaultMarks.front().Sample;
  const std::size_t Fault = FaultMarks[Index].Sample;
  FaultResult Result{FaultMarks[Index].Fault, Service, 0, 0, std::nullopt};
  Result.MaxGapBefore =
      largestRecentGap(Samples, Accounts, Length, First, Length);
  Result.MaxGapAfter = largestRecentGap(Samples, Accounts, Fault, End, Length);
  const auto SamplesUntilRecovered = samplesUntilRecovered(
      Samples, Accounts, Fault, Length, Result.MaxGapBefore);
  if (SamplesUntilRecovered)
    Result.RecoverySeconds = std::chrono::duration<double>(Interval).count() *
                             static_cast<double>(*SamplesUntilRecovered);
  return Result;
}

AccountRecord totalOf(const LoadGenerator &Load) {
  AccountRecord Total;
  for (const AccountRecord &Record : Load.records()) {
    Total.Tokens += Record.Tokens;
    Total.Invalid += Record.Invalid;
    Total.Truncated += Record.Truncated;
    for (const auto &[Outcome, Count] : Record.Outcomes)
      Total.Outcomes[Outcome] += Count;
  }
  return Total;
}

/// Adds the engine's executions by request. The name of each execution is the
/// request's, with the number of the attempt after the last dot.
bool addExecutions(const std::string &Engine,
                   std::map<std::string, std::size_t> &Executions) {
  const auto Body = fetch(Engine, "/standin/executions");
  if (!Body)
    return false;
  const auto Document =
      Poco::JSON::Parser().parse(*Body).extract<Poco::JSON::Object::Ptr>();
  for (const auto &[Name, Count] : *Document->getObject("by_identity"))
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
  Check.Available = true;
  for (const ReportedOutcome &Reported : Load.reportedOutcomes()) {
    const auto Found = Executions.find(Reported.Request);
    const std::size_t Count = Found == Executions.end() ? 0 : Found->second;
    ++Check.Compared;
    Check.CompletedButNotExecuted +=
        Reported.Outcome == "completed" && Count == 0;
    Check.NotRunButExecuted += Reported.Outcome == "not-run" && Count > 0;
    Check.ExecutedAgain += Count > 1;
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
    Report.Error = "faults need at least three routers";
    return Report;
  }
  FleetDeployment Fleet(Plan);
  Report.Error = Fleet.start(Policy, Options.Seed);
  if (!Report.Error.empty())
    return Report;
  LoadGenerator Load(Fleet.accounts(), Options);
  Load.run(WarmUp, Stop);
  FaultRunner Runner(Fleet, Load, Stop);
  Runner.run();
  if (Stop()) {
    Report.Error = "interrupted";
    return Report;
  }
  for (std::size_t Index = 0; Index < Runner.faultMarks().size(); ++Index)
    for (const ServicePlan &Service : Plan.Services)
      Report.Faults.push_back(resultOf(Load, Service.Name, Runner.faultMarks(),
                                       Index, Options.SampleInterval));
  Report.Total = totalOf(Load);
  Report.Check = checkExecutions(Fleet, Load);
  return Report;
}

void printFaults(std::ostream &Out, const DeploymentPlan &Plan,
                 const FaultReport &Report, bool Markdown) {
  const std::string Policy = std::string("policy ") + nameOf(Report.Policy);
  if (!Report.Error.empty()) {
    printTable(Out, {{"faults", Policy}, {"figures", Report.Error}}, Markdown);
    return;
  }
  Table Rows{{"fault, " + std::to_string(Plan.Routers) + " routers, " + Policy,
              "service", "largest gap over 3 s before, tokens/share",
              "largest after", "recovered after"}};
  for (const FaultResult &F : Report.Faults)
    Rows.push_back({F.Fault, F.Service, formatDecimal(F.MaxGapBefore, 0),
                    formatDecimal(F.MaxGapAfter, 0),
                    F.RecoverySeconds
                        ? formatDecimal(*F.RecoverySeconds, 1) + " s"
                        : "not in the measured time"});
  printTable(Out, Rows, Markdown);
  Table Outcomes{{"requests", "count"}};
  for (const auto &[Outcome, Count] : Report.Total.Outcomes)
    Outcomes.push_back({Outcome, std::to_string(Count)});
  Outcomes.push_back({"reported as completed but incomplete or out of order",
                      std::to_string(Report.Total.Invalid)});
  Outcomes.push_back({"streams truncated without a final event",
                      std::to_string(Report.Total.Truncated)});
  const ExecutionCheck &Check = Report.Check;
  const auto FormatCount = [&](std::size_t Count) {
    return Check.Available
               ? std::to_string(Count) + " of " + std::to_string(Check.Compared)
               : "n/a";
  };
  Outcomes.push_back({"reported as completed, but not executed by any engine",
                      FormatCount(Check.CompletedButNotExecuted)});
  Outcomes.push_back({"reported as not run, but executed by an engine",
                      FormatCount(Check.NotRunButExecuted)});
  Outcomes.push_back(
      {"executed by more than one attempt", FormatCount(Check.ExecutedAgain)});
  printTable(Out, Outcomes, Markdown);
}

} // namespace parsleywing::bench
