#include "standin/EngineStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace parsleywing;

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  standin::EngineOptions Engine;
  unsigned StepMilliseconds = 5;
  options::options_description Visible("parsleywing-standin --engine ADDRESS");
  Visible.add_options()("engine", options::value(&Engine.Address)->required(),
                        "address to listen on")(
      "max-running", options::value(&Engine.MaxRunning), "requests at once")(
      "step-ms", options::value(&StepMilliseconds), "time for one token");
  try {
    options::variables_map Given;
    options::store(
        options::parse_command_line(ArgumentCount, Arguments, Visible), Given);
    options::notify(Given);
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
  standin::EngineStandIn Server(Engine);
  Server.start();
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
