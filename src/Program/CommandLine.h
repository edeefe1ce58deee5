#ifndef PARSLEYWING_PROGRAM_COMMANDLINE_H
#define PARSLEYWING_PROGRAM_COMMANDLINE_H

#include "Program/ExitCode.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Finds the command that the first word names, reads its options and runs it.
/// Messages go to standard error, one line each; results to standard output.
ExitCode runCommandLine(const std::vector<std::string> &Words);

} // namespace parsleywing

#endif
