#ifndef PARSLEYWING_PROGRAM_COMMANDS_REPORTCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_REPORTCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Summarises the logs of several routers.
class ReportCommand {
public:
  static const char *name() { return "report"; }
  static const char *usage() { return "report [LOG ...]"; }
  static const char *summary() {
    return "Summarise from the routers' logs how requests ended, and what "
           "limited them.";
  }
  static OptionsDescription options();
  static PositionalOptions positional();
  static ExitCode run(const OptionValues &Values);
};

} // namespace parsleywing

#endif
