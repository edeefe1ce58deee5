#ifndef PARSLEYWING_PROGRAM_COMMANDS_GATEWAYCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_GATEWAYCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Runs a router on the users' platform.
class GatewayCommand {
public:
  const char *name() const { return "gateway"; }
  const char *usage() const { return "gateway --settings FILE [--check]"; }
  const char *summary() const {
    return "Run a router on the users' platform until SIGTERM or SIGINT.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
