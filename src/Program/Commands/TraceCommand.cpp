#include "Program/Commands/TraceCommand.h"

#include "Operator/RequestStory.h"
#include "Program/Commands/LogFiles.h"

#include <vector>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

/// The clocks of VMs differ by some tens of milliseconds; the rest of the time
/// shows what led to a decision, such as a lost store or a drain.
constexpr double DefaultMarginSeconds = 2;
constexpr double MaxMarginSeconds = 3600;

} // namespace

OptionsDescription TraceCommand::options() {
  OptionsDescription Options("Options");
  Options.add_options()(
      "id", options::value<std::string>()->required()->value_name("ID"),
      "identity of the request")(
      "log",
      options::value<std::vector<std::string>>()
          ->default_value({LogFiles::StandardInput}, LogFiles::StandardInput)
          ->value_name("LOG"),
      "log of a router; - for standard input")(
      "around",
      options::value<double>()
          ->default_value(DefaultMarginSeconds, "2")
          ->value_name("SECONDS"),
      "how long before and after the request other lines are shown");
  return Options;
}

PositionalOptions TraceCommand::positional() {
  PositionalOptions Arguments;
  Arguments.add("id", 1);
  Arguments.add("log", -1);
  return Arguments;
}

ExitCode TraceCommand::run(const OptionValues &Values) {
  const auto Seconds = optionValue<double>(Values, "around");
  if (!(Seconds >= 0 && Seconds <= MaxMarginSeconds))
    return printError({ErrorCode::InvalidInput,
                       "trace: --around must be from 0 to 3600 seconds"},
                      ExitCode::WrongUsage);
  const auto &Id = optionValue<std::string>(Values, "id");
  LogFiles Logs(optionValue<std::vector<std::string>>(Values, "log"));
  RequestStory Story(Id, std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(Seconds)));
  const auto Scanned =
      Logs.forEachLine([&Story](const std::string &, const std::string &Line) {
        Story.look(Line);
      });
  if (!Scanned)
    return printError(Scanned.error());
  if (!Story.begin())
    return printError({ErrorCode::NotFound, "no line names the request " + Id},
                      ExitCode::Failed);
  const auto Collected = Logs.forEachLine(
      [&Story](const std::string &Source, const std::string &Line) {
        Story.gather(Source, Line);
      });
  if (!Collected)
    return printError(Collected.error());
  for (const RequestStory::Line &Each : Story.lines())
    std::cout << (Each.Named ? "* " : "  ") << Each.Source << ": " << Each.Text
              << '\n';
  return ExitCode::Success;
}

} // namespace parsleywing
