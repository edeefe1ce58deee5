#include "Program/Commands/CheckCommand.h"

#include "Operator/DeclarationsReader.h"
#include "Program/Settings.h"

namespace parsleywing {

namespace options = boost::program_options;

namespace {

ExitCode checkDeclarations(const std::string &Path) {
  const auto Declared = loadDeclarations(Path);
  if (!Declared)
    return printError(Declared.error());
  std::cout << Path << ": correct; " << Declared->Accounts.size()
            << " accounts, " << Declared->Services.size() << " services, "
            << Declared->Servers.size() << " servers\n";
  return ExitCode::Success;
}

ExitCode checkSettings(const std::string &Path) {
  const auto Wanted = readSettings(Path);
  if (!Wanted)
    return printError(Wanted.error());
  std::cout << Path << ": correct; router " << Wanted->Name << '\n';
  if (Wanted->DeclarationsFile.empty())
    return ExitCode::Success;
  return checkDeclarations(Wanted->DeclarationsFile);
}

} // namespace

OptionsDescription CheckCommand::options() const {
  OptionsDescription Known("Options");
  Known.add_options()("settings",
                      options::value<std::string>()->value_name("FILE"),
                      "settings file, with the declarations it names")(
      "declarations", options::value<std::string>()->value_name("FILE"),
      "declarations file");
  return Known;
}

ExitCode CheckCommand::run(const OptionValues &Given) const {
  if (Given.count("settings") + Given.count("declarations") != 1)
    return printError({ErrorCode::InvalidInput,
                       "check: give either --settings or --declarations"},
                      ExitCode::WrongUsage);
  if (Given.count("settings") == 1)
    return checkSettings(optionValue<std::string>(Given, "settings"));
  return checkDeclarations(optionValue<std::string>(Given, "declarations"));
}

} // namespace parsleywing
