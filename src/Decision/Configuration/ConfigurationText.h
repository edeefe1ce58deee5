#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTEXT_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTEXT_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// The hash of a set of sections: the sum of the 128-bit hashes of the
/// sections, so that the change of one section requires hashing that section
/// only. It detects different texts, but is not collision resistant against an
/// attacker.
struct TextHash {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  friend bool operator==(const TextHash &, const TextHash &) = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(Low, High); }
};

/// Formats the hash as 32 lower-case hexadecimal digits.
std::string toString(const TextHash &Hash);

/// Parses the output of `toString`. Returns a zero hash if the length is wrong.
TextHash textHashOf(std::string_view Digits);

/// The hash of a byte string, which is the address of a part in the store.
TextHash hashBytes(std::string_view Bytes);

/// The changes from the sections of one generation to those of another.
/// `Changed` is itself declarations text and contains the changed and new
/// sections.
struct ConfigurationDelta {
  std::vector<std::string> Removed;
  std::string Changed;

  template <class Archive> void serialize(Archive &Ar) { Ar(Removed, Changed); }
};

/// A declarations file, split into sections by header line. The sections are
/// sorted by header, so that equal declarations have equal text regardless of
/// their order in the file. Text before the first section has the empty header.
/// The texts of a header that occurs twice are joined.
class ConfigurationText {
public:
  ConfigurationText() = default;
  explicit ConfigurationText(std::string_view File);

  /// The complete text, sorted by header. Copies all of it.
  std::string fullText() const;

  TextHash hash() const { return this->Sum; }
  std::size_t sections() const { return this->Sections.size(); }

  /// The changes from this text to `Next`. Compares every section.
  ConfigurationDelta deltaTo(const ConfigurationText &Next) const;

  /// Applies a delta in place and returns the delta that undoes it. The cost is
  /// proportional to the size of the delta.
  ConfigurationDelta apply(const ConfigurationDelta &Delta);

  /// The text of one section; empty if there is no such section.
  std::string_view section(const std::string &Header) const;

  /// Splits the complete text into parts of at most `MaxBytes`, unless a single
  /// section is larger. Most boundaries are determined by the headers, so that
  /// the change of one section usually changes one part only.
  std::vector<std::string> parts(std::size_t MaxBytes) const;

private:
  void set(const std::string &Header, std::string Text);
  void remove(const std::string &Header);

  std::map<std::string, std::string, std::less<>> Sections;
  TextHash Sum;
};

} // namespace parsleywing

#endif
