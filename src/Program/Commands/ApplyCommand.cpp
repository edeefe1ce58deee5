#include "Program/Commands/ApplyCommand.h"

#include "Operator/DeclarationsDiff.h"
#include "Operator/DeclarationsReader.h"
#include "Program/PlatformDeclarations.h"
#include "Program/Settings.h"

#include <fstream>
#include <sstream>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

constexpr std::uint32_t DefaultWaitSeconds = 10;

/// The platform from the command line, or from the settings file it names.
Result<PlatformPlace> platformOf(const OptionValues &Given) {
  const Settings Defaults;
  if (Given.count("platform") == 1)
    return PlatformPlace{valueOf<std::string>(Given, "platform"),
                         Defaults.Platform.Prefix};
  const auto Wanted = readSettings(valueOf<std::string>(Given, "settings"));
  if (!Wanted)
    return tl::unexpected<Error>(Wanted.error());
  if (Wanted->Platform.Address.empty())
    return failure(ErrorCode::InvalidInput,
                   "the settings file names no [platform] address");
  return PlatformPlace{Wanted->Platform.Address, Wanted->Platform.Prefix};
}

ExitCode reportPlatform(const Error &Failure) {
  if (Failure.Code == ErrorCode::Refused)
    return report(Failure, ExitCode::NotAvailable);
  return report(Failure);
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
      "how long to go on while the store does not answer");
  return Known;
}

PositionalOptions ApplyCommand::positional() const {
  PositionalOptions Words;
  Words.add("file", 1);
  return Words;
}

ExitCode ApplyCommand::run(const OptionValues &Given) const {
  if (Given.count("settings") + Given.count("platform") != 1)
    return report({ErrorCode::InvalidInput,
                   "apply: give either --settings or --platform"},
                  ExitCode::WrongUsage);
  const auto &Path = valueOf<std::string>(Given, "file");
  const auto Declared = loadDeclarations(Path);
  if (!Declared)
    return report(Declared.error());
  const auto Platform = platformOf(Given);
  if (!Platform)
    return report(Platform.error());
  const auto InForce = readFromPlatform(*Platform);
  if (InForce)
    printChanges(*InForce, *Declared);
  else if (InForce.error().Code != ErrorCode::NotFound)
    return reportPlatform(InForce.error());
  const auto Applied = applyToPlatform(
      {*Platform, textOf(Path), valueOf<std::string>(Given, "operator"),
       std::chrono::seconds(valueOf<std::uint32_t>(Given, "wait"))});
  if (!Applied)
    return reportPlatform(Applied.error());
  std::cout << "in force as generation " << Applied->Generation << '\n';
  return ExitCode::Success;
}

} // namespace parsleywing
