#include "Program/CommandLine.h"

#include "Program/Commands/ApplyCommand.h"
#include "Program/Commands/CheckCommand.h"
#include "Program/Commands/CheckConfigCommand.h"
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
    std::variant<RouterCommand, GatewayCommand, CheckCommand,
                 CheckConfigCommand, ApplyCommand, ShowCommand, FetchCommand,
                 DrainCommand, OrderCommand, SettingsCommand, TraceCommand,
                 ReportCommand, VersionCommand>;

const std::vector<Command> &allCommands() {
  static const std::vector<Command> All{
      RouterCommand{},
      GatewayCommand{},
      CheckCommand{},
      CheckConfigCommand{},
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
  constexpr std::size_t NameWidth = 14;
  for (const Command &Each : allCommands())
    std::visit(
        [&](const auto &C) {
          std::string Name = C.name();
          Name.resize(NameWidth, ' ');
          Out << "  " << Name << C.summary() << '\n';
        },
        Each);
  Out << "  help          Print this text.\n\n"
         "parsleywing COMMAND --help prints the options of a command.\n"
         "Exit codes and settings: docs/OPERATING.md.\n";
}

template <typename C> void printHelp(const C &Selected) {
  std::cout << "Usage: parsleywing " << Selected.usage() << "\n\n"
            << Selected.summary() << "\n\n"
            << Selected.options()
            << "  --help                print this text\n";
}

ExitCode printUsageError(const std::string &Problem) {
  std::cerr << "parsleywing: " << Problem << '\n';
  return ExitCode::WrongUsage;
}

/// Parses the options and runs the command. Abbreviated, unknown and repeated
/// options are errors.
template <typename C>
ExitCode runCommand(const C &Selected,
                    const std::vector<std::string> &Arguments) {
  for (const std::string &Argument : Arguments)
    if (Argument == "--help") {
      printHelp(Selected);
      return ExitCode::Success;
    }
  try {
    const options::options_description Description = Selected.options();
    const int Style = options::command_line_style::unix_style &
                      ~options::command_line_style::allow_guessing;
    options::variables_map Values;
    options::store(options::command_line_parser(Arguments)
                       .options(Description)
                       .positional(Selected.positional())
                       .style(Style)
                       .run(),
                   Values);
    options::notify(Values);
    return Selected.run(Values);
  } catch (const options::error &Problem) {
    return printUsageError(std::string(Selected.name()) + ": " +
                           Problem.what() + "; see parsleywing " +
                           Selected.name() + " --help");
  }
}

} // namespace

ExitCode runCommandLine(const std::vector<std::string> &Arguments) {
  if (Arguments.empty()) {
    printOverview(std::cerr);
    return ExitCode::WrongUsage;
  }
  if (Arguments[0] == "help" || Arguments[0] == "--help" ||
      Arguments[0] == "-h") {
    const Command *HelpTopic =
        Arguments.size() > 1 ? findCommand(Arguments[1]) : nullptr;
    if (HelpTopic)
      std::visit([](const auto &C) { printHelp(C); }, *HelpTopic);
    else
      printOverview(std::cout);
    return ExitCode::Success;
  }
  const std::string Name =
      Arguments[0] == "--version" ? "version" : Arguments[0];
  const Command *Selected = findCommand(Name);
  if (Selected == nullptr)
    return printUsageError("'" + Name +
                           "' is not a command; see parsleywing help");
  const std::vector<std::string> CommandArguments(Arguments.begin() + 1,
                                                  Arguments.end());
  return std::visit(
      [&](const auto &C) { return runCommand(C, CommandArguments); },
      *Selected);
}

} // namespace parsleywing
