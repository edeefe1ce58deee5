#include "Program/Commands/ShowCommand.h"

#include "Program/PlatformDeclarations.h"
#include "Program/Settings.h"

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription ShowCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()(
      "platform",
      options::value<std::string>()->required()->value_name("ADDRESS"),
      "numeric IP:port of the platform's store");
  return Known;
}

ExitCode ShowCommand::run(const OptionValues &Given) const {
  const Settings Defaults;
  const auto InForce = readFromPlatform(
      {optionValue<std::string>(Given, "platform"), Defaults.Platform.Prefix});
  if (!InForce)
    return printError(InForce.error(),
                      InForce.error().Code == ErrorCode::Refused
                          ? ExitCode::NotAvailable
                          : exitCodeOf(InForce.error().Code));
  std::cout << "; generation " << InForce->Generation << '\n' << InForce->Text;
  return ExitCode::Success;
}

} // namespace parsleywing
