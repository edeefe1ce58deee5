#include "standin/EngineStandIn.h"
#include "standin/PlainServiceStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <optional>

using namespace parsleywing;

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  standin::EngineOptions Engine;
  std::string Plain;
  unsigned StepMilliseconds = 5;
  unsigned ReportLagMilliseconds = 0;
  options::options_description Visible(
      "parsleywing-standin --engine ADDRESS | --plain ADDRESS");
  Visible.add_options()("engine", options::value(&Engine.Address),
                        "take the place of a model engine there");
  Visible.add_options()("plain", options::value(&Plain),
                        "take the place of a plain service there");
  Visible.add_options()("max-running", options::value(&Engine.MaxRunning),
                        "requests at once")(
      "step-ms", options::value(&StepMilliseconds), "time for one token")(
      "checks-fencing", options::bool_switch(&Engine.ChecksFencing),
      "refuse orders with an old fencing number")(
      "report-lag-ms", options::value(&ReportLagMilliseconds),
      "age of the load in /metrics");
  try {
    options::variables_map Given;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Visible), Given);
    options::notify(Given);
  } catch (const options::error &Problem) {
    std::cerr << Problem.what() << '\n' << Visible;
    return 2;
  }
  if (Engine.Address.empty() == Plain.empty()) {
    std::cerr << "give one of --engine and --plain\n" << Visible;
    return 2;
  }
  Engine.ReportLag = std::chrono::milliseconds(ReportLagMilliseconds);
  Engine.Step = std::chrono::milliseconds(StepMilliseconds);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::optional<standin::EngineStandIn> EngineServer;
  std::optional<standin::PlainServiceStandIn> PlainServer;
  if (Plain.empty())
    EngineServer.emplace(Engine).start();
  else
    PlainServer.emplace(Plain).start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
