#include "Program/Commands/TraceCommand.h"

#include "Operator/RequestStory.h"
#include "Program/Commands/LogFiles.h"

#include <vector>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

/// Clocks of VMs differ by some tens of milliseconds; the rest shows what led
/// up to a decision: a store lost, a drain begun.
constexpr double DefaultAround = 2;
constexpr double MostAround = 3600;

} // namespace

OptionsDescription TraceCommand::options() {
  OptionsDescription Known("Options");
  Known.add_options()(
      "id", options::value<std::string>()->required()->value_name("ID"),
      "identity of the request")(
      "log",
      options::value<std::vector<std::string>>()
          ->default_value({LogFiles::StandardInput}, LogFiles::StandardInput)
          ->value_name("LOG"),
      "log of a router; - for standard input")(
      "around",
      options::value<double>()
          ->default_value(DefaultAround, "2")
          ->value_name("SECONDS"),
      "how long before and after the routers' own lines are shown");
  return Known;
}

PositionalOptions TraceCommand::positional() {
  PositionalOptions Places;
  Places.add("id", 1);
  Places.add("log", -1);
  return Places;
}

ExitCode TraceCommand::run(const OptionValues &Given) {
  const auto Seconds = optionValue<double>(Given, "around");
  if (!(Seconds >= 0 && Seconds <= MostAround))
    return printError({ErrorCode::InvalidInput,
                       "trace: --around must be from 0 to 3600 seconds"},
                      ExitCode::WrongUsage);
  const auto &Id = optionValue<std::string>(Given, "id");
  LogFiles Logs(optionValue<std::vector<std::string>>(Given, "log"));
  RequestStory Story(Id, std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(Seconds)));
  const auto Looked =
      Logs.forEachLine([&Story](const std::string &, const std::string &Line) {
        Story.look(Line);
      });
  if (!Looked)
    return printError(Looked.error());
  if (!Story.begin())
    return printError({ErrorCode::NotFound, "no line names the request " + Id},
                      ExitCode::Failed);
  const auto Gathered = Logs.forEachLine(
      [&Story](const std::string &Source, const std::string &Line) {
        Story.gather(Source, Line);
      });
  if (!Gathered)
    return printError(Gathered.error());
  for (const RequestStory::Line &Each : Story.lines())
    std::cout << (Each.Named ? "* " : "  ") << Each.Source << ": " << Each.Text
              << '\n';
  return ExitCode::Success;
}

} // namespace parsleywing
