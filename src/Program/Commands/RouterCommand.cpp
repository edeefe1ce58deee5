#include "Program/Commands/RouterCommand.h"

#include "Program/RouterProcess.h"

#include <cstdlib>

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription RouterCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()(
      "settings", options::value<std::string>()->required()->value_name("FILE"),
      "settings file of this router");
  return Options;
}

ExitCode RouterCommand::run(const OptionValues &Values) const {
  auto Config = readSettings(optionValue<std::string>(Values, "settings"));
  if (!Config)
    return printError(Config.error());
  const auto Logging = startLogging(Config->Level, Config->LogTarget);
  if (!Logging)
    return printError(Logging.error(), ExitCode::CannotStart);
  RouterProcess Router(std::move(*Config));
  const auto Unanswered = Router.run();
  if (!Unanswered && Unanswered.error().Code == ErrorCode::Unreachable)
    return printError(Unanswered.error(), ExitCode::CannotStart);
  if (!Unanswered)
    return printError(Unanswered.error());
  if (*Unanswered == 0)
    return ExitCode::Success;
  printError(
      {ErrorCode::Interrupted,
       "ended with " + std::to_string(*Unanswered) + " requests unanswered"});
  // Threads that still serve these requests use the router's parts. Destroying
  // the parts now would crash the process and hide this exit code.
  std::_Exit(static_cast<int>(ExitCode::Unfinished));
}

} // namespace parsleywing
