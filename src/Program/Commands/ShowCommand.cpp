#include "Program/Commands/ShowCommand.h"

#include "Program/PlatformDeclarations.h"
#include "Program/Settings.h"

namespace parsleywing {

namespace options = boost::program_options;

OptionsDescription ShowCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()(
      "platform",
      options::value<std::string>()->required()->value_name("ADDRESS"),
      "numeric IP:port of the platform's store");
  return Options;
}

ExitCode ShowCommand::run(const OptionValues &Values) const {
  const Settings Defaults;
  const auto Active = readFromPlatform(
      {optionValue<std::string>(Values, "platform"), Defaults.Platform.Prefix});
  if (!Active)
    return printError(Active.error(), Active.error().Code == ErrorCode::Refused
                                          ? ExitCode::NotAvailable
                                          : exitCodeOf(Active.error().Code));
  std::cout << "; generation " << Active->Generation << '\n' << Active->Text;
  return ExitCode::Success;
}

} // namespace parsleywing
