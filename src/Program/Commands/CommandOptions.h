#ifndef PARSLEYWING_PROGRAM_COMMANDS_COMMANDOPTIONS_H
#define PARSLEYWING_PROGRAM_COMMANDS_COMMANDOPTIONS_H

#include "Program/ExitCode.h"

#include <boost/program_options.hpp>
#include <iostream>
#include <string>

namespace parsleywing {

using OptionsDescription = boost::program_options::options_description;
using PositionalOptions =
    boost::program_options::positional_options_description;
using OptionValues = boost::program_options::variables_map;

/// Prints an error as one line to standard error and returns its exit code.
inline ExitCode printError(const Error &Problem) {
  std::cerr << "parsleywing: " << Problem.Message << '\n';
  return exitCodeOf(Problem.Code);
}

/// Prints an error and returns the given exit code.
inline ExitCode printError(const Error &Problem, ExitCode Code) {
  printError(Problem);
  return Code;
}

/// Returns the value of an option that was given or has a default.
template <typename Value>
const Value &optionValue(const OptionValues &Values, const char *Name) {
  return Values[Name].as<Value>();
}

} // namespace parsleywing

#endif
