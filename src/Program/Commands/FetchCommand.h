#ifndef PARSLEYWING_PROGRAM_COMMANDS_FETCHCOMMAND_H
#define PARSLEYWING_PROGRAM_COMMANDS_FETCHCOMMAND_H

#include "Program/Commands/CommandOptions.h"

namespace parsleywing {

/// Prints the response of a router's operator address for one path.
class FetchCommand {
public:
  FetchCommand(std::string N, std::string S, std::string P)
      : Name(std::move(N)), Summary(std::move(S)), Path(std::move(P)),
        Usage(this->Name + " --router ADDRESS") {}

  const char *name() const { return this->Name.c_str(); }
  const char *usage() const { return this->Usage.c_str(); }
  const char *summary() const { return this->Summary.c_str(); }
  OptionsDescription options() const;
  PositionalOptions positional() const { return {}; }
  ExitCode run(const OptionValues &Values) const;

private:
  std::string Name;
  std::string Summary;
  std::string Path;
  std::string Usage;
};

} // namespace parsleywing

#endif
