#ifndef PARSLEYWING_PROGRAM_COMMANDS_CHECKCONFIGCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_CHECKCONFIGCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Checks a configuration for the platform's store, and compares it with
/// another one. Only reads the files.
class CheckConfigCommand {
public:
  const char *name() const { return "check-config"; }
  const char *usage() const {
    return "check-config FILE [--against FILE] [--json]";
  }
  const char *summary() const {
    return "Check a configuration for the platform's store.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const;
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
