#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTEXT_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTEXT_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// The hash of a set of sections: the sum of the 128-bit hashes of each, so
/// that a change of one section costs the hash of that section alone. It tells
/// different texts apart; it is no defence against one made to collide.
struct TextHash {
  std::uint64_t Low = 0;
  std::uint64_t High = 0;

  friend bool operator==(const TextHash &, const TextHash &) = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(Low, High); }
};

/// 32 lower-case hexadecimal digits.
std::string toString(const TextHash &Hash);

/// Zero where the text is not one that `toString` makes.
TextHash textHashOf(std::string_view Digits);

/// The hash of some bytes by themselves: the address of a part in the store.
TextHash hashBytes(std::string_view Bytes);

/// What turns the sections of one generation into those of another. `Changed`
/// is itself declarations text, of the changed and new sections.
struct ConfigurationDelta {
  std::vector<std::string> Removed;
  std::string Changed;

  template <class Archive> void serialize(Archive &Ar) { Ar(Removed, Changed); }
};

/// A declarations file as sections under their header lines, in the order of
/// the headers, so that equal declarations are equal text whatever the order
/// they were written in. Text before the first section has the empty header; a
/// header that comes twice keeps both its texts, joined.
class ConfigurationText {
public:
  ConfigurationText() = default;
  explicit ConfigurationText(std::string_view File);

  /// The whole text, in the order of the headers. Costs a copy of all of it.
  std::string fullText() const;

  TextHash hash() const { return this->Sum; }
  std::size_t sections() const { return this->Sections.size(); }

  /// What leads from here to `Next`. Compares every section.
  ConfigurationDelta deltaTo(const ConfigurationText &Next) const;

  /// Applies a delta in place and returns the one that undoes it. Costs what
  /// the delta holds.
  ConfigurationDelta apply(const ConfigurationDelta &Delta);

  /// The text of one section, empty where there is none.
  std::string_view section(const std::string &Header) const;

  /// The whole text cut into parts of at most `MaxBytes`, unless one section
  /// alone is larger. Most cuts follow from the headers, so that a change of
  /// one section changes one part.
  std::vector<std::string> parts(std::size_t MaxBytes) const;

private:
  void set(const std::string &Header, std::string Text);
  void remove(const std::string &Header);

  std::map<std::string, std::string, std::less<>> Sections;
  TextHash Sum;
};

} // namespace parsleywing

#endif
