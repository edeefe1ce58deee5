#include "Decision/Configuration/ConfigurationText.h"

#include "Runtime/Id.h"

#include <charconv>
#include <xxhash.h>

namespace parsleywing {

namespace {

constexpr std::size_t DigitsPerHalf = 16;
constexpr int HexadecimalBase = 16;
/// On average, one header in this many starts a new part.
constexpr std::uint64_t AverageSectionsPerPart = 128;

std::string_view trimmed(std::string_view Line) {
  const std::size_t First = Line.find_first_not_of(" \t\r\n");
  if (First == std::string_view::npos)
    return {};
  return Line.substr(First, Line.find_last_not_of(" \t\r\n") - First + 1);
}

/// The header if the line starts a section; otherwise an empty string.
std::string_view headerOf(std::string_view Line) {
  const std::string_view Text = trimmed(Line);
  if (Text.size() < 2 || Text.front() != '[' || Text.back() != ']')
    return {};
  return Text;
}

/// Calls `Visit(Header, Text)` for each section, in the order of the file.
template <typename Visitor>
void forEachSection(std::string_view File, Visitor Visit) {
  std::string_view Header;
  std::size_t SectionBegin = 0;
  std::size_t LineBegin = 0;
  while (LineBegin < File.size()) {
    std::size_t LineEnd = File.find('\n', LineBegin);
    LineEnd = LineEnd == std::string_view::npos ? File.size() : LineEnd + 1;
    const std::string_view NextHeader =
        headerOf(File.substr(LineBegin, LineEnd - LineBegin));
    if (!NextHeader.empty()) {
      if (LineBegin > SectionBegin)
        Visit(Header, File.substr(SectionBegin, LineBegin - SectionBegin));
      Header = NextHeader;
      SectionBegin = LineBegin;
    }
    LineBegin = LineEnd;
  }
  if (File.size() > SectionBegin)
    Visit(Header, File.substr(SectionBegin));
}

std::string withNewline(std::string_view Text) {
  std::string Terminated(Text);
  if (Terminated.empty() || Terminated.back() != '\n')
    Terminated += '\n';
  return Terminated;
}

std::uint64_t parseHalf(std::string_view Digits) {
  std::uint64_t Number = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Number,
                  HexadecimalBase);
  return Number;
}

} // namespace

std::string toString(const TextHash &Hash) {
  static constexpr std::string_view Symbols = "0123456789abcdef";
  std::string Digits;
  for (const std::uint64_t Half : {Hash.High, Hash.Low})
    for (int Shift = 60; Shift >= 0; Shift -= 4)
      Digits += Symbols[(Half >> static_cast<unsigned>(Shift)) & 0xFU];
  return Digits;
}

TextHash textHashOf(std::string_view Digits) {
  if (Digits.size() != 2 * DigitsPerHalf)
    return {};
  return {parseHalf(Digits.substr(DigitsPerHalf)),
          parseHalf(Digits.substr(0, DigitsPerHalf))};
}

TextHash hashBytes(std::string_view Bytes) {
  const XXH128_hash_t Hash = XXH3_128bits(Bytes.data(), Bytes.size());
  return {Hash.low64, Hash.high64};
}

ConfigurationText::ConfigurationText(std::string_view File) {
  forEachSection(File, [this](std::string_view Header, std::string_view Text) {
    const std::string Name(Header);
    std::string Joined(this->section(Name));
    Joined += withNewline(Text);
    this->set(Name, std::move(Joined));
  });
}

void ConfigurationText::set(const std::string &Header, std::string Text) {
  this->remove(Header);
  const TextHash Hash = hashBytes(Text);
  this->Sum.Low += Hash.Low;
  this->Sum.High += Hash.High;
  this->Sections[Header] = std::move(Text);
}

void ConfigurationText::remove(const std::string &Header) {
  const auto Found = this->Sections.find(Header);
  if (Found == this->Sections.end())
    return;
  const TextHash Hash = hashBytes(Found->second);
  this->Sum.Low -= Hash.Low;
  this->Sum.High -= Hash.High;
  this->Sections.erase(Found);
}

std::string_view ConfigurationText::section(const std::string &Header) const {
  const auto Found = this->Sections.find(Header);
  return Found == this->Sections.end() ? std::string_view()
                                       : std::string_view(Found->second);
}

std::string ConfigurationText::fullText() const {
  std::size_t Size = 0;
  for (const auto &[Header, Text] : this->Sections)
    Size += Text.size();
  std::string Joined;
  Joined.reserve(Size);
  for (const auto &[Header, Text] : this->Sections)
    Joined += Text;
  return Joined;
}

ConfigurationDelta
ConfigurationText::deltaTo(const ConfigurationText &Next) const {
  ConfigurationDelta Delta;
  for (const auto &[Header, Text] : this->Sections)
    if (Next.Sections.find(Header) == Next.Sections.end())
      Delta.Removed.push_back(Header);
  for (const auto &[Header, Text] : Next.Sections)
    if (this->section(Header) != Text)
      Delta.Changed += Text;
  return Delta;
}

ConfigurationDelta ConfigurationText::apply(const ConfigurationDelta &Delta) {
  ConfigurationDelta Undo;
  for (const std::string &Header : Delta.Removed) {
    Undo.Changed += this->section(Header);
    this->remove(Header);
  }
  ConfigurationText Changed(Delta.Changed);
  for (auto &[Header, Text] : Changed.Sections) {
    const std::string_view Old = this->section(Header);
    if (Old.empty())
      Undo.Removed.push_back(Header);
    Undo.Changed += Old;
    this->set(Header, std::move(Text));
  }
  return Undo;
}

std::vector<std::string> ConfigurationText::parts(std::size_t MaxBytes) const {
  std::vector<std::string> Parts;
  for (const auto &[Header, Text] : this->Sections) {
    const bool Boundary = hashName(Header) % AverageSectionsPerPart == 0;
    if (Parts.empty() || Boundary ||
        Parts.back().size() + Text.size() > MaxBytes)
      Parts.emplace_back();
    Parts.back() += Text;
  }
  return Parts;
}

} // namespace parsleywing
