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
  /// The allowed values, as the end of a sentence "must be ...".
  std::string AllowedValues;
  std::string Description;
  bool Required = false;
  /// Stores a value; returns false if it is not allowed.
  std::function<bool(Settings &, const std::string &)> Set;
  /// Returns the current value, as written in the settings file.
  std::function<std::string(const Settings &)> Get;
};

/// Returns every setting, in the order of the documentation.
const std::vector<Setting> &settingsTable();

/// Returns the setting with this section and key, or null.
const Setting *findSetting(const std::string &Section, const std::string &Key);

/// Returns whether the section exists.
bool isSettingsSection(const std::string &Section);

/// The section whose other keys are router names, with addresses as values.
inline constexpr const char *PeersSection = "peers";

/// Returns the table in Markdown, as docs/OPERATING.md shows it.
std::string settingsTableMarkdown();

} // namespace parsleywing

#endif
