#ifndef PARSLEYWING_PROGRAM_COMMANDS_CHECKCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_CHECKCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Validates files without running or applying anything.
class CheckCommand {
public:
  const char *name() const { return "check"; }
  const char *usage() const {
    return "check --settings FILE | --declarations FILE";
  }
  const char *summary() const {
    return "Check a settings or declarations file and change nothing.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
