#ifndef PARSLEYWING_PROGRAM_COMMANDS_SETTINGSCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_SETTINGSCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Prints the table of settings, formatted as in docs/OPERATING.md.
class SettingsCommand {
public:
  const char *name() const { return "settings"; }
  const char *usage() const { return "settings"; }
  const char *summary() const {
    return "Print every setting with its default and allowed values.";
  }
  OptionsDescription options() const { return OptionsDescription("Options"); }
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
