#include "Program/Commands/RouterCommand.h"

#include "Program/RouterProcess.h"

#include <cstdlib>

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription RouterCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()(
      "settings", options::value<std::string>()->required()->value_name("FILE"),
      "settings file of this router");
  return Known;
}

ExitCode RouterCommand::run(const OptionValues &Given) const {
  auto Wanted = readSettings(optionValue<std::string>(Given, "settings"));
  if (!Wanted)
    return printError(Wanted.error());
  const auto Logging = startLogging(Wanted->Level, Wanted->LogTarget);
  if (!Logging)
    return printError(Logging.error(), ExitCode::CannotStart);
  RouterProcess Router(std::move(*Wanted));
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
  // Threads that still serve these requests refer to the router's parts. To
  // destroy the parts under them would crash and hide this exit code.
  std::_Exit(static_cast<int>(ExitCode::Unfinished));
}

} // namespace parsleywing
