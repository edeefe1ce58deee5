#include "Program/Commands/ApplyCommand.h"

#include "Operator/DeclarationsDiff.h"
#include "Operator/DeclarationsReader.h"
#include "Program/FleetGeneration.h"
#include "Program/Settings.h"

#include <fstream>
#include <sstream>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

constexpr std::uint32_t DefaultWaitSeconds = 10;

/// Returns the platform given on the command line, or in the settings file
/// named there.
Result<PlatformEndpoint> platformOf(const OptionValues &Values) {
  const Settings Defaults;
  if (Values.count("platform") == 1)
    return PlatformEndpoint{optionValue<std::string>(Values, "platform"),
                            Defaults.Platform.Prefix};
  const auto Config =
      readSettings(optionValue<std::string>(Values, "settings"));
  if (!Config)
    return tl::unexpected<Error>(Config.error());
  if (Config->Platform.Address.empty())
    return failure(ErrorCode::InvalidInput,
                   "the settings file has no [platform] address");
  return PlatformEndpoint{Config->Platform.Address, Config->Platform.Prefix};
}

ExitCode printPlatformError(const Error &Problem) {
  if (Problem.Code == ErrorCode::Refused)
    return printError(Problem, ExitCode::NotAvailable);
  return printError(Problem);
}

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

/// Prints the changes from the active declarations to those of the file.
void printChanges(const AppliedDeclarations &Active, const Declarations &New) {
  const auto Current = parseDeclarations(Active.Text, "(in force)");
  if (!Current)
    return;
  for (const DeclarationChange &Change : compareDeclarations(*Current, New))
    std::cout << textOf(Change) << '\n';
}

/// Waits until all live routers have the generation; else lists those that lag.
ExitCode waitForFleet(const PlatformEndpoint &Platform,
                      std::uint64_t Generation, std::uint32_t Seconds) {
  const auto Lagging =
      waitForGeneration(Platform, Generation, std::chrono::seconds(Seconds));
  const std::string Label = "generation " + std::to_string(Generation);
  if (!Lagging)
    return printError({ErrorCode::TimedOut,
                       Label +
                           " was accepted, but the list of routers cannot be "
                           "read: " +
                           Lagging.error().Message});
  if (Lagging->empty()) {
    std::cout << "all live routers have " << Label << '\n';
    return ExitCode::Success;
  }
  std::string Text = Label + " was accepted, but after " +
                     std::to_string(Seconds) +
                     " s these routers are not known to have it:";
  for (const LaggingRouter &Router : *Lagging)
    Text += "\n  " + Router.Name + ": " + Router.Reason;
  return printError({ErrorCode::TimedOut, Text});
}

} // namespace

OptionsDescription ApplyCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()(
      "file", options::value<std::string>()->required()->value_name("FILE"),
      "declarations file; also accepted as the first argument")(
      "operator", options::value<std::string>()->required()->value_name("NAME"),
      "name of the operator; shown to others whose apply conflicts")(
      "platform", options::value<std::string>()->value_name("ADDRESS"),
      "numeric IP:port of the platform's store")(
      "settings", options::value<std::string>()->value_name("FILE"),
      "settings file with the platform's address")(
      "wait",
      options::value<std::uint32_t>()
          ->default_value(DefaultWaitSeconds)
          ->value_name("SECONDS"),
      "how long to retry while the store does not answer")(
      "wait-in-force", options::value<std::uint32_t>()->value_name("SECONDS"),
      "then wait at most so long until all live routers have the generation");
  return Options;
}

PositionalOptions ApplyCommand::positional() const {
  PositionalOptions Arguments;
  Arguments.add("file", 1);
  return Arguments;
}

ExitCode ApplyCommand::run(const OptionValues &Values) const {
  if (Values.count("settings") + Values.count("platform") != 1)
    return printError({ErrorCode::InvalidInput,
                       "apply: give either --settings or --platform"},
                      ExitCode::WrongUsage);
  const auto &Path = optionValue<std::string>(Values, "file");
  const auto New = loadDeclarations(Path);
  if (!New)
    return printError(New.error());
  const auto Platform = platformOf(Values);
  if (!Platform)
    return printError(Platform.error());
  const auto Active = readFromPlatform(*Platform);
  if (Active)
    printChanges(*Active, *New);
  else if (Active.error().Code != ErrorCode::NotFound)
    return printPlatformError(Active.error());
  const auto Applied = applyToPlatform(
      {*Platform, readFile(Path), optionValue<std::string>(Values, "operator"),
       std::chrono::seconds(optionValue<std::uint32_t>(Values, "wait"))});
  if (!Applied)
    return printPlatformError(Applied.error());
  std::cout << "in force as generation " << Applied->Generation << std::endl;
  if (Values.count("wait-in-force") == 0)
    return ExitCode::Success;
  return waitForFleet(*Platform, Applied->Generation,
                      optionValue<std::uint32_t>(Values, "wait-in-force"));
}

} // namespace parsleywing
