#include "Program/Commands/VersionCommand.h"

#include "Program/Version.h"

namespace parsleywing {

ExitCode VersionCommand::run(const OptionValues &) const {
  std::cout << "parsleywing " << Version << '\n';
  return ExitCode::Success;
}

} // namespace parsleywing
