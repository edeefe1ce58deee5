#ifndef PARSLEYWING_PROGRAM_COMMANDS_VERSIONCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_VERSIONCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

class VersionCommand {
public:
  const char *name() const { return "version"; }
  const char *usage() const { return "version"; }
  const char *summary() const { return "Print the version."; }
  OptionsDescription options() const { return OptionsDescription("Options"); }
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
