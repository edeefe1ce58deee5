#include "Program/Commands/GatewayCommand.h"

#include "Program/GatewayProcess.h"
#include "Runtime/Log.h"

#include <cstdlib>
#include <iostream>

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription GatewayCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()(
      "settings", options::value<std::string>()->required()->value_name("FILE"),
      "settings file of this router")("check",
                                      "read and check the settings, then end");
  return Known;
}

ExitCode GatewayCommand::run(const OptionValues &Given) const {
  const auto Path = optionValue<std::string>(Given, "settings");
  auto Wanted = readGatewaySettings(Path);
  if (!Wanted)
    return printError(Wanted.error());
  if (Given.count("check") > 0) {
    std::cout << Path << ": the settings are valid\n";
    return ExitCode::Success;
  }
  const auto Logging =
      startLogging(Wanted->Gateway.MinLogLevel, Wanted->Gateway.LogTarget);
  if (!Logging)
    return printError(Logging.error(), ExitCode::CannotStart);
  GatewayProcess Process(Path, std::move(*Wanted));
  if (const auto Ended = Process.run(); !Ended)
    return printError(Ended.error(), ExitCode::CannotStart);
  // The feed's threads may wait for the store for seconds more, and the grace
  // that the platform gives a stopping process is over before that.
  stopLogging();
  std::cout.flush();
  std::_Exit(static_cast<int>(ExitCode::Success));
}

} // namespace parsleywing
