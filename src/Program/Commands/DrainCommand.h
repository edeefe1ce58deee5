#ifndef PARSLEYWING_PROGRAM_COMMANDS_DRAINCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_DRAINCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Asks a router to drain, and can wait for its end.
class DrainCommand {
public:
  const char *name() const { return "drain"; }
  const char *usage() const {
    return "drain --router ADDRESS [--wait SECONDS]";
  }
  const char *summary() const {
    return "Let a router finish its requests and end.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Given) const;
};

} // namespace parsleywing

#endif
