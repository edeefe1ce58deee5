#include "Program/Commands/SettingsCommand.h"

#include "Program/SettingsTable.h"

namespace parsleywing {

ExitCode SettingsCommand::run(const OptionValues &) const {
  std::cout << settingsTableMarkdown();
  return ExitCode::Success;
}

} // namespace parsleywing
