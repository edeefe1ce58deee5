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

/// The platform from the command line, or from the settings file it names.
Result<PlatformEndpoint> platformOf(const OptionValues &Given) {
  const Settings Defaults;
  if (Given.count("platform") == 1)
    return PlatformEndpoint{optionValue<std::string>(Given, "platform"),
                            Defaults.Platform.Prefix};
  const auto Wanted = readSettings(optionValue<std::string>(Given, "settings"));
  if (!Wanted)
    return tl::unexpected<Error>(Wanted.error());
  if (Wanted->Platform.Address.empty())
    return failure(ErrorCode::InvalidInput,
                   "the settings file names no [platform] address");
  return PlatformEndpoint{Wanted->Platform.Address, Wanted->Platform.Prefix};
}

ExitCode reportPlatform(const Error &Failure) {
  if (Failure.Code == ErrorCode::Refused)
    return printError(Failure, ExitCode::NotAvailable);
  return printError(Failure);
}

std::string textOf(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

/// Prints what the file changes against what is in force now.
void printChanges(const AppliedDeclarations &InForce,
                  const Declarations &Wanted) {
  const auto Before = parseDeclarations(InForce.Text, "(in force)");
  if (!Before)
    return;
  for (const DeclarationChange &Change : compareDeclarations(*Before, Wanted))
    std::cout << textOf(Change) << '\n';
}

/// Waits for all live routers and names those that are behind.
ExitCode waitForFleet(const PlatformEndpoint &Platform,
                      std::uint64_t Generation, std::uint32_t Seconds) {
  const auto Behind =
      waitForGeneration(Platform, Generation, std::chrono::seconds(Seconds));
  const std::string Place = "generation " + std::to_string(Generation);
  if (!Behind)
    return printError({ErrorCode::TimedOut,
                       Place +
                           " was accepted, but the list of routers cannot be "
                           "read: " +
                           Behind.error().Message});
  if (Behind->empty()) {
    std::cout << "all live routers have " << Place << '\n';
    return ExitCode::Success;
  }
  std::string Text = Place + " was accepted, but after " +
                     std::to_string(Seconds) +
                     " s these routers are not known to have it:";
  for (const LaggingRouter &Router : *Behind)
    Text += "\n  " + Router.Name + ": " + Router.Reason;
  return printError({ErrorCode::TimedOut, Text});
}

} // namespace

OptionsDescription ApplyCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()(
      "file", options::value<std::string>()->required()->value_name("FILE"),
      "declarations file; also as the first word")(
      "operator", options::value<std::string>()->required()->value_name("NAME"),
      "who applies; shown to operators whose file comes second")(
      "platform", options::value<std::string>()->value_name("ADDRESS"),
      "numeric IP:port of the platform's store")(
      "settings", options::value<std::string>()->value_name("FILE"),
      "settings file that names the platform")(
      "wait",
      options::value<std::uint32_t>()
          ->default_value(DefaultWaitSeconds)
          ->value_name("SECONDS"),
      "how long to go on while the store does not answer")(
      "wait-in-force", options::value<std::uint32_t>()->value_name("SECONDS"),
      "after that wait so long until all live routers have the generation");
  return Known;
}

PositionalOptions ApplyCommand::positional() const {
  PositionalOptions Words;
  Words.add("file", 1);
  return Words;
}

ExitCode ApplyCommand::run(const OptionValues &Given) const {
  if (Given.count("settings") + Given.count("platform") != 1)
    return printError({ErrorCode::InvalidInput,
                       "apply: give either --settings or --platform"},
                      ExitCode::WrongUsage);
  const auto &Path = optionValue<std::string>(Given, "file");
  const auto Declared = loadDeclarations(Path);
  if (!Declared)
    return printError(Declared.error());
  const auto Platform = platformOf(Given);
  if (!Platform)
    return printError(Platform.error());
  const auto InForce = readFromPlatform(*Platform);
  if (InForce)
    printChanges(*InForce, *Declared);
  else if (InForce.error().Code != ErrorCode::NotFound)
    return reportPlatform(InForce.error());
  const auto Applied = applyToPlatform(
      {*Platform, textOf(Path), optionValue<std::string>(Given, "operator"),
       std::chrono::seconds(optionValue<std::uint32_t>(Given, "wait"))});
  if (!Applied)
    return reportPlatform(Applied.error());
  std::cout << "in force as generation " << Applied->Generation << std::endl;
  if (Given.count("wait-in-force") == 0)
    return ExitCode::Success;
  return waitForFleet(*Platform, Applied->Generation,
                      optionValue<std::uint32_t>(Given, "wait-in-force"));
}

} // namespace parsleywing
