#ifndef PARSLEYWING_PROGRAM_COMMANDS_TRACECOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_TRACECOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Tells a request's story from the logs of several routers.
class TraceCommand {
public:
  static const char *name() { return "trace"; }
  static const char *usage() { return "trace ID [LOG ...]"; }
  static const char *summary() {
    return "Print what the routers' logs say of a request, in order.";
  }
  static OptionsDescription options();
  static PositionalOptions positional();
  static ExitCode run(const OptionValues &Given);
};

} // namespace parsleywing

#endif
