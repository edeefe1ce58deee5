#ifndef PARSLEYWING_PROGRAM_COMMANDS_REPORTCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_REPORTCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Adds the logs of several routers up.
class ReportCommand {
public:
  static const char *name() { return "report"; }
  static const char *usage() { return "report [LOG ...]"; }
  static const char *summary() {
    return "Tell from the routers' logs how requests ended, and what bound.";
  }
  static OptionsDescription options();
  static PositionalOptions positional();
  static ExitCode run(const OptionValues &Given);
};

} // namespace parsleywing

#endif
