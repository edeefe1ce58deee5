#include "standin/EngineStandIn.h"
#include "standin/PlainServiceStandIn.h"
#include "standin/StoreStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <optional>

using namespace parsleywing;

namespace {

/// What the command line asks for; one of the three addresses is given.
struct Wanted {
  standin::EngineOptions Engine;
  std::string Plain;
  standin::StoreOptions Store;
  unsigned StepMilliseconds = 5;
  unsigned ReportLagMilliseconds = 0;
};

boost::program_options::options_description describe(Wanted &Into) {
  namespace options = boost::program_options;
  options::options_description Visible(
      "parsleywing-standin --engine ADDRESS | --plain ADDRESS | "
      "--store ADDRESS");
  Visible.add_options()("engine", options::value(&Into.Engine.Address),
                        "take the place of a model engine there")(
      "plain", options::value(&Into.Plain),
      "take the place of a plain service there")(
      "store", options::value(&Into.Store.Address),
      "take the place of the key-value store there")(
      "max-running", options::value(&Into.Engine.MaxRunning),
      "requests at once")("step-ms", options::value(&Into.StepMilliseconds),
                          "time for one token")(
      "executions-log", options::value(&Into.Engine.ExecutionsLog),
      "file to which the engine appends a line for each run")(
      "checks-fencing", options::bool_switch(&Into.Engine.ChecksFencing),
      "refuse orders with an old fencing number")(
      "report-lag-ms", options::value(&Into.ReportLagMilliseconds),
      "age of the load in /metrics")("vm-prefix",
                                     options::value(&Into.Store.VmPrefix),
                                     "keys of the list of VMs in the store");
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

void serve(const Wanted &Asked) {
  const sigset_t Signals = blockStopSignals();
  std::optional<standin::EngineStandIn> Engine;
  std::optional<standin::PlainServiceStandIn> Plain;
  std::optional<standin::StoreStandIn> Store;
  if (!Asked.Engine.Address.empty())
    Engine.emplace(Asked.Engine).start();
  if (!Asked.Plain.empty())
    Plain.emplace(Asked.Plain).start();
  if (!Asked.Store.Address.empty())
    Store.emplace(Asked.Store).start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  Wanted Asked;
  const options::options_description Visible = describe(Asked);
  try {
    options::variables_map Given;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Visible), Given);
    options::notify(Given);
    if (Given.count("engine") + Given.count("plain") + Given.count("store") !=
        1)
      throw options::error("give one of --engine, --plain and --store");
  } catch (const options::error &Problem) {
    std::cerr << Problem.what() << '\n' << Visible;
    return 2;
  }
  Asked.Engine.Step = std::chrono::milliseconds(Asked.StepMilliseconds);
  Asked.Engine.ReportLag =
      std::chrono::milliseconds(Asked.ReportLagMilliseconds);
  serve(Asked);
  return 0;
}
