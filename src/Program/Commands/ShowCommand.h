#ifndef PARSLEYWING_PROGRAM_COMMANDS_SHOWCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_SHOWCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Prints the active declarations from the platform's store.
class ShowCommand {
public:
  const char *name() const { return "show"; }
  const char *usage() const { return "show --platform ADDRESS"; }
  const char *summary() const {
    return "Print the declarations in force, as a file that apply accepts.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
