#include "standin/EngineStandIn.h"
#include "standin/StoreStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace parsleywing;

static int serveStore(const standin::StoreOptions &Options, sigset_t &Signals) {
  standin::StoreStandIn Server(Options);
  Server.start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  standin::EngineOptions Engine;
  unsigned StepMilliseconds = 5;
  standin::StoreOptions Store;
  options::options_description Visible(
      "parsleywing-standin --engine ADDRESS | --store ADDRESS");
  Visible.add_options()("store", options::value(&Store.Address),
                        "serve as the key-value store at this address")(
      "vm-prefix", options::value(&Store.VmPrefix),
      "keys of the list of VMs in the store")(
      "engine", options::value(&Engine.Address), "address to listen on")(
      "max-running", options::value(&Engine.MaxRunning), "requests at once")(
      "step-ms", options::value(&StepMilliseconds), "time for one token");
  try {
    options::variables_map Given;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Visible), Given);
    options::notify(Given);
    if (Engine.Address.empty() == Store.Address.empty())
      throw options::error("give either --engine or --store");
  } catch (const options::error &Problem) {
    std::cerr << Problem.what() << '\n' << Visible;
    return 2;
  }
  Engine.Step = std::chrono::milliseconds(StepMilliseconds);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  if (!Store.Address.empty())
    return serveStore(Store, Signals);
  standin::EngineStandIn Server(Engine);
  Server.start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
