#ifndef PARSLEYWING_PROGRAM_COMMANDS_ROUTERCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_ROUTERCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Runs a router process.
class RouterCommand {
public:
  const char *name() const { return "router"; }
  const char *usage() const { return "router --settings FILE"; }
  const char *summary() const {
    return "Run a router until SIGTERM, SIGINT or an operator's drain.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
