#ifndef PARSLEYWING_PROGRAM_COMMANDS_TRACECOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_TRACECOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Prints the history of a request from the logs of several routers.
class TraceCommand {
public:
  static const char *name() { return "trace"; }
  static const char *usage() { return "trace ID [LOG ...]"; }
  static const char *summary() {
    return "Print what the routers' logs say about a request, in order.";
  }
  static OptionsDescription options();
  static PositionalOptions positional();
  static ExitCode run(const OptionValues &Values);
};

} // namespace parsleywing

#endif
