#ifndef PARSLEYWING_PROGRAM_COMMANDLINE_H
#define PARSLEYWING_PROGRAM_COMMANDLINE_H

#include "Program/ExitCode.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Runs the command named by the first argument, with the other arguments as
/// its options. Prints messages to standard error, one per line, and results to
/// standard output.
ExitCode runCommandLine(const std::vector<std::string> &Arguments);

} // namespace parsleywing

#endif
