#ifndef PARSLEYWING_PROGRAM_COMMANDS_DRAINCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_DRAINCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Starts the drain of a router and optionally waits until it has ended.
class DrainCommand {
public:
  const char *name() const { return "drain"; }
  const char *usage() const {
    return "drain --router ADDRESS [--wait SECONDS]";
  }
  const char *summary() const {
    return "Drain a router: let it finish its requests and exit.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
