#include "Program/Commands/CheckCommand.h"

#include "Operator/DeclarationsReader.h"
#include "Program/Settings.h"

namespace parsleywing {

namespace options = boost::program_options;

namespace {

ExitCode checkDeclarations(const std::string &Path) {
  const auto Parsed = loadDeclarations(Path);
  if (!Parsed)
    return printError(Parsed.error());
  std::cout << Path << ": correct; " << Parsed->Accounts.size() << " accounts, "
            << Parsed->Services.size() << " services, "
            << Parsed->Servers.size() << " servers\n";
  return ExitCode::Success;
}

ExitCode checkSettings(const std::string &Path) {
  const auto Config = readSettings(Path);
  if (!Config)
    return printError(Config.error());
  std::cout << Path << ": correct; router " << Config->Name << '\n';
  if (Config->DeclarationsFile.empty())
    return ExitCode::Success;
  return checkDeclarations(Config->DeclarationsFile);
}

} // namespace

OptionsDescription CheckCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()("settings",
                        options::value<std::string>()->value_name("FILE"),
                        "settings file, with the declarations it names")(
      "declarations", options::value<std::string>()->value_name("FILE"),
      "declarations file");
  return Options;
}

ExitCode CheckCommand::run(const OptionValues &Values) const {
  if (Values.count("settings") + Values.count("declarations") != 1)
    return printError({ErrorCode::InvalidInput,
                       "check: give either --settings or --declarations"},
                      ExitCode::WrongUsage);
  if (Values.count("settings") == 1)
    return checkSettings(optionValue<std::string>(Values, "settings"));
  return checkDeclarations(optionValue<std::string>(Values, "declarations"));
}

} // namespace parsleywing
