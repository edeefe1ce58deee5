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

/// Prints a failure as one line on standard error; the exit code that tells it.
inline ExitCode printError(const Error &Failure) {
  std::cerr << "parsleywing: " << Failure.Message << '\n';
  return exitCodeOf(Failure.Code);
}

/// The same, with a code of the command's own choice.
inline ExitCode printError(const Error &Failure, ExitCode Code) {
  printError(Failure);
  return Code;
}

/// The value of an option that was given or has a default.
template <typename Value>
const Value &optionValue(const OptionValues &Given, const char *Name) {
  return Given[Name].as<Value>();
}

} // namespace parsleywing

#endif
