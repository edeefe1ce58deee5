#include "standin/EngineStandIn.h"
#include "standin/PlainServiceStandIn.h"
#include "standin/StoreStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <optional>

using namespace parsleywing;

namespace {

/// Options of the command line; exactly one of the three addresses is set.
struct CommandLineOptions {
  standin::EngineOptions Engine;
  std::string Plain;
  standin::StoreOptions Store;
  unsigned StepMilliseconds = 5;
  unsigned ReportLagMilliseconds = 0;
};

boost::program_options::options_description
describeOptions(CommandLineOptions &Values) {
  namespace options = boost::program_options;
  options::options_description Visible(
      "parsleywing-standin --engine ADDRESS | --plain ADDRESS | "
      "--store ADDRESS");
  Visible.add_options()("engine", options::value(&Values.Engine.Address),
                        "simulate a model engine at this address")(
      "plain", options::value(&Values.Plain),
      "simulate a plain service at this address")(
      "store", options::value(&Values.Store.Address),
      "simulate the key-value store at this address")(
      "max-running", options::value(&Values.Engine.MaxRunning),
      "number of concurrent requests")(
      "step-ms", options::value(&Values.StepMilliseconds), "time per token")(
      "executions-log", options::value(&Values.Engine.ExecutionsLog),
      "file to which the engine appends a line for each execution")(
      "checks-fencing", options::bool_switch(&Values.Engine.ChecksFencing),
      "refuse orders with an outdated fencing number")(
      "version", options::value(&Values.Engine.Version),
      "version of the engine's software, stated in its responses")(
      "report-lag-ms", options::value(&Values.ReportLagMilliseconds),
      "age of the load that /metrics reports")(
      "vm-prefix", options::value(&Values.Store.VmPrefix),
      "key prefix of the list of VMs in the store");
  return Visible;
}

sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

void serve(const CommandLineOptions &Chosen) {
  const sigset_t Signals = blockStopSignals();
  std::optional<standin::EngineStandIn> Engine;
  std::optional<standin::PlainServiceStandIn> Plain;
  std::optional<standin::StoreStandIn> Store;
  if (!Chosen.Engine.Address.empty())
    Engine.emplace(Chosen.Engine).start();
  if (!Chosen.Plain.empty())
    Plain.emplace(Chosen.Plain).start();
  if (!Chosen.Store.Address.empty())
    Store.emplace(Chosen.Store).start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  CommandLineOptions Chosen;
  const options::options_description Visible = describeOptions(Chosen);
  try {
    options::variables_map Parsed;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Visible), Parsed);
    options::notify(Parsed);
    if (Parsed.count("engine") + Parsed.count("plain") +
            Parsed.count("store") !=
        1)
      throw options::error("give one of --engine, --plain and --store");
  } catch (const options::error &Error) {
    std::cerr << Error.what() << '\n' << Visible;
    return 2;
  }
  Chosen.Engine.Step = std::chrono::milliseconds(Chosen.StepMilliseconds);
  Chosen.Engine.ReportLag =
      std::chrono::milliseconds(Chosen.ReportLagMilliseconds);
  serve(Chosen);
  return 0;
}
