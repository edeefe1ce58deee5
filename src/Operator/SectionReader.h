#ifndef PARSLEYWING_OPERATOR_SECTIONREADER_H
#define PARSLEYWING_OPERATOR_SECTIONREADER_H

#include "Operator/IniFile.h"
#include "Runtime/EnumNames.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleywing {

/// Reads the entries of one section and keeps the first problem met, as one
/// sentence with the file, line, section and key. Lives no longer than the
/// file.
class SectionReader {
public:
  SectionReader(const IniFile &F, const IniSection &S) : File(F), Section(S) {}

  /// The value of a key, or the default where the section lacks it.
  std::string text(const std::string &Key, const std::string &Default);
  std::string requiredText(const std::string &Key);

  /// A whole number from 1 to `Max`.
  std::uint32_t count(const std::string &Key, std::uint32_t Default,
                      std::uint32_t Max);

  bool yesOrNo(const std::string &Key, bool Default);

  /// One of the names of an enumeration.
  template <typename Enum, std::size_t Count>
  Enum choice(const std::string &Key, const EnumNames<Enum, Count> &Names,
              Enum Default) {
    const std::string Value =
        this->text(Key, std::string(nameOf(Names, Default)));
    if (const auto Chosen = valueOf(Names, Value))
      return *Chosen;
    std::string Allowed;
    for (const auto &[Each, Name] : Names)
      Allowed += (Allowed.empty() ? "" : " or ") + std::string(Name);
    this->failAt(Key, "must be " + Allowed + ", not '" + Value + "'");
    return Default;
  }

  /// Keeps the problem, with the place of the key or else of the section.
  void failAt(const std::string &Key, const std::string &Problem);

  /// Refuses keys that nobody asked for. Gives the first problem met, or an
  /// empty text.
  std::string finish();

private:
  void fail(std::string Message);

  const IniFile &File;
  const IniSection &Section;
  std::vector<std::string> Known;
  std::string Problem;
};

} // namespace parsleywing

#endif
