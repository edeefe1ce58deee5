#ifndef PARSLEYWING_PROGRAM_COMMANDS_ORDERCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_ORDERCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Sends one order to one backend server, under the server's lease in the
/// store.
class OrderCommand {
public:
  const char *name() const { return "order"; }
  const char *usage() const {
    return "order --server NAME (--load-adapter NAME --path PATH | "
           "--unload-adapter NAME) --operator NAME --platform ADDRESS "
           "[OPTIONS]";
  }
  const char *summary() const {
    return "Order an engine to load or unload an adapter.";
  }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;
};

} // namespace parsleywing

#endif
