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

/// One `[name]` block with its entries, in the order of the file.
struct IniSection {
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;

  /// The entry of this key, or null.
  const IniEntry *find(std::string_view Key) const;
};

/// An INI file with the line of each part, so that an error can name the file,
/// the section, the key and the line. The libraries at hand keep no line
/// numbers, which is why this reader exists. Comments start with `;` or `#` at
/// the start of a line. A repeated section or a key repeated in its section is
/// an error.
struct IniFile {
  std::string Path;
  std::vector<IniSection> Sections;
  /// The place of each section by its name: a declarations file has tens of
  /// thousands, and one search a reference would cost the square of that.
  std::unordered_map<std::string, std::size_t> Index;

  /// Reads a file. Fails with one sentence that names the place.
  static Result<IniFile> read(const std::string &Path);

  /// Parses a text; `Path` only serves in messages.
  static Result<IniFile> parse(std::string_view Text, const std::string &Path);

  const IniSection *find(const std::string &Name) const;

  /// The place of an entry, as the start of a message.
  std::string place(const IniSection &Section, const IniEntry &Entry) const;
};

/// Splits a comma-separated value and trims its parts.
std::vector<std::string> splitList(std::string_view Value);

} // namespace parsleywing

#endif
