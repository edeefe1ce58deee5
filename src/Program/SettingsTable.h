#ifndef PARSLEYWING_PROGRAM_SETTINGSTABLE_H
#define PARSLEYWING_PROGRAM_SETTINGSTABLE_H

#include "Program/Settings.h"

#include <functional>
#include <string>
#include <vector>

namespace parsleywing {

/// One key of the settings file.
struct Setting {
  std::string Section;
  std::string Key;
  /// What a value may be, as the end of a sentence "must be ...".
  std::string AllowedValues;
  std::string Description;
  bool Required = false;
  /// Stores a value; false where it is not allowed.
  std::function<bool(Settings &, const std::string &)> Set;
  /// The value in force, as the file would give it.
  std::function<std::string(const Settings &)> Get;
};

/// Every setting, in the order of the documentation. A key is one line here.
const std::vector<Setting> &settingsTable();

/// The setting of this section and key, or null.
const Setting *findSetting(const std::string &Section, const std::string &Key);

/// Whether the section exists; `[peers]` does, with keys of its own.
bool isSettingsSection(const std::string &Section);

/// The section whose keys are names of routers and whose values are addresses.
inline constexpr const char *PeersSection = "peers";

/// The table as docs/OPERATING.md shows it (Markdown).
std::string settingsTableMarkdown();

} // namespace parsleywing

#endif
