#include "FleetFaults.h"
#include "FleetLatency.h"
#include "FleetReport.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace parsleywing;
using namespace parsleywing::bench;

namespace {

volatile std::sig_atomic_t Interrupted = 0;

void interrupt(int) { Interrupted = 1; }

bool isInterrupted() { return Interrupted != 0; }

/// The exit codes of the process.
enum ExitCode { Success = 0, Failed = 1, WrongUsage = 2 };

constexpr unsigned MaxProcesses = 100;

struct BenchOptions {
  std::string Deployment;
  unsigned Routers = 8;
  unsigned Engines = 0;
  unsigned StepMilliseconds = 25;
  unsigned MaxRunning = 8;
  unsigned ExtraDeclaredRequests = 0;
  unsigned WindowSeconds = 30;
  unsigned WarmUpSeconds = 10;
  unsigned LatencyRequests = 1000;
  unsigned LatencyCallers = 8;
  std::uint64_t Seed = 1;
  std::string CommandLine;
  std::string Policy;
  bool WithStore = false;
  bool Markdown = false;
};

int runLatency(const BenchOptions &W) {
  const LatencyResults F =
      measureLatency(W.LatencyRequests, W.LatencyCallers, isInterrupted);
  if (!F.Error.empty()) {
    std::cerr << "FleetBench: " << F.Error << '\n';
    return Failed;
  }
  constexpr double Milliseconds = 1000;
  const auto Row = [](const char *Name, const PathLatency &P) {
    return std::vector<std::string>{
        Name, formatDecimal(P.P50 * Milliseconds, 3),
        formatDecimal(P.P99 * Milliseconds, 3),
        formatDecimal(P.RequestsPerSecond, 0), std::to_string(P.Failed)};
  };
  printTable(std::cout,
             {{"path", "p50 ms", "p99 ms", "requests/s", "failed"},
              Row("direct to the engine", F.Direct),
              Row("through one router", F.Routed),
              {"added by the router",
               formatDecimal((F.Routed.P50 - F.Direct.P50) * Milliseconds, 3),
               formatDecimal((F.Routed.P99 - F.Direct.P99) * Milliseconds, 3),
               "", ""}},
             W.Markdown);
  return F.Direct.Failed + F.Routed.Failed == 0 ? Success : Failed;
}

int runFleet(const BenchOptions &W, bool Faults) {
  DeploymentPlan Plan = planFor(W.Deployment, W.Routers, W.Engines);
  Plan.StepMilliseconds = W.StepMilliseconds;
  Plan.MaxRunning = W.MaxRunning;
  Plan.ExtraDeclaredRequests = W.ExtraDeclaredRequests;
  Plan.WithStore = W.WithStore;
  unsigned Processes = Plan.Routers;
  for (const ServicePlan &Service : Plan.Services)
    Processes += Service.Engines;
  if (Processes > MaxProcesses) {
    std::cerr << "FleetBench: " << Processes << " processes; at most "
              << MaxProcesses << " are allowed\n";
    return WrongUsage;
  }
  PhaseDurations Durations;
  Durations.Window = std::chrono::seconds(W.WindowSeconds);
  Durations.WarmUp = std::chrono::seconds(W.WarmUpSeconds);
  LoadOptions Options;
  Options.Seed = W.Seed;
  int Code = Success;
  for (const FairnessPolicy Policy :
       {FairnessPolicy::Local, FairnessPolicy::Shared}) {
    if (!W.Policy.empty() && W.Policy != nameOf(Policy))
      continue;
    if (Faults) {
      const FaultReport Report =
          measureFaults(Plan, Policy, Durations.WarmUp, Options, isInterrupted);
      printFaults(std::cout, Plan, Report, W.Markdown);
      if (!Report.Error.empty())
        Code = Failed;
      continue;
    }
    const FleetResults Results =
        measureFleet(Plan, Policy, Durations, Options, isInterrupted);
    printResults(std::cout, Plan, Results, W.Markdown);
    if (!Results.Error.empty())
      Code = Failed;
  }
  return Code;
}

boost::program_options::options_description describeOptions(BenchOptions &W) {
  namespace options = boost::program_options;
  options::options_description Visible(
      "FleetBench [--deployment NAME | --routers N --engines M] [options]\n"
      "FleetBench --faults [options]\nFleetBench --latency");
  Visible.add_options()("help", "print this text")(
      "deployment", options::value(&W.Deployment),
      "association (the default) or meridian")(
      "routers", options::value(&W.Routers), "number of routers; default 8")(
      "engines", options::value(&W.Engines),
      "number of engines of one service, instead of a deployment")(
      "step-ms", options::value(&W.StepMilliseconds),
      "time per token of an engine; default 25")(
      "max-running", options::value(&W.MaxRunning),
      "concurrent requests of an engine; default 8")(
      "declared-beyond", options::value(&W.ExtraDeclaredRequests),
      "concurrent requests declared in excess of that for each engine; default "
      "0")("window-s", options::value(&W.WindowSeconds),
           "measured time with all accounts; default 30")(
      "warm-up-s", options::value(&W.WarmUpSeconds),
      "time before the window; default 10")("seed", options::value(&W.Seed),
                                            "seed of the load; default 1")(
      "latency", "measure the latency that one router adds")(
      "faults", "kill and pause routers under load")(
      "latency-requests", options::value(&W.LatencyRequests),
      "measured requests on each path; default 1000")(
      "latency-callers", options::value(&W.LatencyCallers),
      "concurrent callers when measuring throughput; default 8")(
      "policy", options::value(&W.Policy), "local or shared, instead of both")(
      "store", options::bool_switch(&W.WithStore),
      "also start a stand-in for the platform's store")(
      "markdown", options::bool_switch(&W.Markdown), "print Markdown tables");
  return Visible;
}

int run(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  BenchOptions W;
  const options::options_description Visible = ::describeOptions(W);
  options::variables_map Parsed;
  options::store(options::parse_command_line(ArgumentCount, Arguments, Visible),
                 Parsed);
  options::notify(Parsed);
  if (Parsed.contains("help")) {
    std::cout << Visible;
    return Success;
  }
  if (W.Deployment.empty() && W.Engines == 0)
    W.Deployment = "association";
  if (W.Routers == 0 || W.StepMilliseconds == 0 || W.MaxRunning == 0 ||
      W.WindowSeconds == 0 ||
      (!W.Policy.empty() && W.Policy != "local" && W.Policy != "shared") ||
      (!W.Deployment.empty() && W.Engines > 0)) {
    std::cerr << Visible;
    return WrongUsage;
  }
  W.CommandLine = "FleetBench";
  for (int Index = 1; Index < ArgumentCount; ++Index)
    W.CommandLine += std::string(" ") + Arguments[Index];
  printConditions(std::cout, W.CommandLine, W.Seed, W.Markdown);
  return Parsed.contains("latency") ? runLatency(W)
                                    : runFleet(W, Parsed.contains("faults"));
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGINT, interrupt);
  std::signal(SIGTERM, interrupt);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return run(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "FleetBench: " << Error.what() << '\n';
    return WrongUsage;
  }
}
