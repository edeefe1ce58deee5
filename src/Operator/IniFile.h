#ifndef PARSLEYWING_OPERATOR_INIFILE_H
#define PARSLEYWING_OPERATOR_INIFILE_H

#include "Runtime/Result.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// One `key = value` line.
struct IniEntry {
  std::string Key;
  std::string Value;
  int Line = 0;
};

/// One `[name]` section with its entries, in the order of the file.
struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;

  /// Returns the entry with this key, or null.
  const IniEntry *find(std::string_view Key) const;
};

/// An INI file that keeps the line number of each part, so that an error can
/// name the file, the section, the key and the line. The available libraries
/// keep no line numbers, therefore the project has its own parser. Comments are
/// lines that start with `;` or `#`. A duplicate section, or a duplicate key in
/// a section, is an error.
struct IniFile {
  std::string Path;
  std::vector<IniSection> Sections;
  /// The index of each section by its name. A declarations file has tens of
  /// thousands of sections, so a linear search for each reference would take
  /// quadratic time.
  std::unordered_map<std::string, std::size_t> Index;

  /// Reads and parses a file. The error message contains the location of the
  /// problem.
  static Result<IniFile> read(const std::string &Path);

  /// Parses a text. `Path` is used in error messages only.
  static Result<IniFile> parse(std::string_view Text, const std::string &Path);

  const IniSection *find(const std::string &Name) const;

  /// Formats the location of an entry, used as the start of an error message.
  std::string place(const IniSection &Section, const IniEntry &Entry) const;
};

/// Splits a comma-separated value and trims its elements.
std::vector<std::string> splitList(std::string_view Value);

} // namespace parsleywing

#endif
