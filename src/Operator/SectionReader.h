#ifndef PARSLEYWING_OPERATOR_SECTIONREADER_H
#define PARSLEYWING_OPERATOR_SECTIONREADER_H

#include "Operator/IniFile.h"
#include "Runtime/EnumNames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleywing {

/// Reads the entries of one section and records the first problem, as one
/// sentence with the file, line, section and key. Must not outlive the file.
class SectionReader {
public:
  SectionReader(const IniFile &F, const IniSection &S) : File(F), Section(S) {}

  /// Returns the value of a key, or the default if the section lacks it.
  std::string text(const std::string &Key, const std::string &Default);
  std::string requiredText(const std::string &Key);

  /// Reads an integer from 1 to `Max`.
  std::uint32_t count(const std::string &Key, std::uint32_t Default,
                      std::uint32_t Max);

  bool yesOrNo(const std::string &Key, bool Default);

  /// Reads the name of an enumeration value.
  template <typename Enum, std::size_t Count>
  Enum choice(const std::string &Key, const EnumNames<Enum, Count> &Names,
              Enum Default) {
    const std::string Value =
        this->text(Key, std::string(nameOf(Names, Default)));
    if (const auto Parsed = valueOf(Names, Value))
      return *Parsed;
    std::string Allowed;
    for (const auto &[Each, Name] : Names)
      Allowed += (Allowed.empty() ? "" : " or ") + std::string(Name);
    this->failAt(Key, "must be " + Allowed + ", not '" + Value + "'");
    return Default;
  }

  /// Records a problem, with the location of the key, or of the section if it
  /// lacks the key.
  void failAt(const std::string &Key, const std::string &Problem);

  /// Reports keys that were not read as unknown. Returns the first problem, or
  /// an empty text if there is none.
  std::string finish();

private:
  void fail(std::string Message);

  const IniFile &File;
  const IniSection &Section;
  std::vector<std::string> KnownKeys;
  std::string Problem;
};

} // namespace parsleywing

#endif
