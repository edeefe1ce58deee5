#include "Program/CommandLine.h"

#include "Program/Commands/ApplyCommand.h"
#include "Program/Commands/CheckCommand.h"
#include "Program/Commands/DrainCommand.h"
#include "Program/Commands/FetchCommand.h"
#include "Program/Commands/GatewayCommand.h"
#include "Program/Commands/OrderCommand.h"
#include "Program/Commands/ReportCommand.h"
#include "Program/Commands/RouterCommand.h"
#include "Program/Commands/SettingsCommand.h"
#include "Program/Commands/ShowCommand.h"
#include "Program/Commands/TraceCommand.h"
#include "Program/Commands/VersionCommand.h"

#include <iostream>
#include <variant>

namespace parsleywing {

namespace {

namespace options = boost::program_options;

using Command =
    std::variant<RouterCommand, GatewayCommand, CheckCommand, ApplyCommand,
                 ShowCommand, FetchCommand, DrainCommand, OrderCommand,
                 SettingsCommand, TraceCommand, ReportCommand, VersionCommand>;

const std::vector<Command> &allCommands() {
  static const std::vector<Command> All{
      RouterCommand{},
      GatewayCommand{},
      CheckCommand{},
      ApplyCommand{},
      ShowCommand{},
      FetchCommand("dump", "Print a router's whole state as JSON.", "/dump"),
      FetchCommand("metrics", "Print a router's metrics.", "/metrics"),
      DrainCommand{},
      OrderCommand{},
      SettingsCommand{},
      TraceCommand{},
      ReportCommand{},
      VersionCommand{},
  };
  return All;
}

const Command *findCommand(const std::string &Name) {
  for (const Command &Each : allCommands())
    if (std::visit([&](const auto &C) { return C.name() == Name; }, Each))
      return &Each;
  return nullptr;
}

void printOverview(std::ostream &Out) {
  Out << "Usage: parsleywing COMMAND [OPTIONS]\n\nCommands:\n";
  constexpr std::size_t NameWidth = 10;
  for (const Command &Each : allCommands())
    std::visit(
        [&](const auto &C) {
          std::string Name = C.name();
          Name.resize(NameWidth, ' ');
          Out << "  " << Name << C.summary() << '\n';
        },
        Each);
  Out << "  help      Print this text.\n\n"
         "parsleywing COMMAND --help prints the options of a command.\n"
         "Exit codes and settings: docs/OPERATING.md.\n";
}

template <typename C> void printHelp(const C &Chosen) {
  std::cout << "Usage: parsleywing " << Chosen.usage() << "\n\n"
            << Chosen.summary() << "\n\n"
            << Chosen.options() << "  --help                print this text\n";
}

ExitCode refuse(const std::string &Problem) {
  std::cerr << "parsleywing: " << Problem << '\n';
  return ExitCode::WrongUsage;
}

/// Reads the options strictly: no abbreviations, no unknown or repeated ones.
template <typename C>
ExitCode runCommand(const C &Chosen, const std::vector<std::string> &Words) {
  for (const std::string &Word : Words)
    if (Word == "--help") {
      printHelp(Chosen);
      return ExitCode::Success;
    }
  try {
    const options::options_description Known = Chosen.options();
    const int Style = options::command_line_style::unix_style &
                      ~options::command_line_style::allow_guessing;
    options::variables_map Given;
    options::store(options::command_line_parser(Words)
                       .options(Known)
                       .positional(Chosen.positional())
                       .style(Style)
                       .run(),
                   Given);
    options::notify(Given);
    return Chosen.run(Given);
  } catch (const options::error &Problem) {
    return refuse(std::string(Chosen.name()) + ": " + Problem.what() +
                  "; see parsleywing " + Chosen.name() + " --help");
  }
}

} // namespace

ExitCode runCommandLine(const std::vector<std::string> &Words) {
  if (Words.empty()) {
    printOverview(std::cerr);
    return ExitCode::WrongUsage;
  }
  if (Words[0] == "help" || Words[0] == "--help" || Words[0] == "-h") {
    const Command *Topic = Words.size() > 1 ? findCommand(Words[1]) : nullptr;
    if (Topic)
      std::visit([](const auto &C) { printHelp(C); }, *Topic);
    else
      printOverview(std::cout);
    return ExitCode::Success;
  }
  const std::string Name = Words[0] == "--version" ? "version" : Words[0];
  const Command *Chosen = findCommand(Name);
  if (Chosen == nullptr)
    return refuse("'" + Name + "' is not a command; see parsleywing help");
  const std::vector<std::string> Rest(Words.begin() + 1, Words.end());
  return std::visit([&](const auto &C) { return runCommand(C, Rest); },
                    *Chosen);
}

} // namespace parsleywing
