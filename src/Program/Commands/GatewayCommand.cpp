#include "Program/Commands/GatewayCommand.h"

#include "Program/GatewayProcess.h"
#include "Runtime/Log.h"

#include <cstdlib>
#include <iostream>

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription GatewayCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()(
      "settings", options::value<std::string>()->required()->value_name("FILE"),
      "settings file of this router")("check",
                                      "read and check the settings, then exit");
  return Options;
}

ExitCode GatewayCommand::run(const OptionValues &Values) const {
  const auto Path = optionValue<std::string>(Values, "settings");
  auto Config = readGatewaySettings(Path);
  if (!Config)
    return printError(Config.error());
  if (Values.count("check") > 0) {
    std::cout << Path << ": the settings are valid\n";
    return ExitCode::Success;
  }
  const auto Logging =
      startLogging(Config->Gateway.MinLogLevel, Config->Gateway.LogTarget);
  if (!Logging)
    return printError(Logging.error(), ExitCode::CannotStart);
  GatewayProcess Process(Path, std::move(*Config));
  if (const auto Ended = Process.run(); !Ended)
    return printError(Ended.error(), ExitCode::CannotStart);
  // The feed's threads may still block on the store for several seconds, longer
  // than the grace period that the platform allows a stopping process. Exit
  // without waiting for them.
  stopLogging();
  std::cout.flush();
  std::_Exit(static_cast<int>(ExitCode::Success));
}

} // namespace parsleywing
