#ifndef PARSLEYWING_PROGRAM_COMMANDS_APPLYCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_APPLYCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Activates a declarations file through the platform's store.
class ApplyCommand {
public:
  const char *name() const { return "apply"; }
  const char *usage() const {
    return "apply FILE --operator NAME (--settings FILE | --platform ADDRESS) "
           "[--wait SECONDS] [--wait-in-force SECONDS]";
  }
  const char *summary() const {
    return "Put a declarations file in force, atomically.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const;
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
