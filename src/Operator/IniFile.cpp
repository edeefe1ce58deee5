#include "Operator/IniFile.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace parsleywing {

namespace {

std::string lineMessage(const std::string &Path, int Line,
                        const std::string &Problem) {
  return Path + ":" + std::to_string(Line) + ": " + Problem;
}

/// Adds a line that is neither empty nor a comment. Returns the problem, or an
/// empty text.
std::string addLine(IniFile &File, const std::string &Line, int Number) {
  if (Line.front() == '[') {
    if (Line.back() != ']')
      return "section header has no closing bracket";
    std::string Name = Poco::trim(Line.substr(1, Line.size() - 2));
    const bool Added = File.Index.emplace(Name, File.Sections.size()).second;
    if (!Added)
      return "section [" + Name + "] is defined twice";
    File.Sections.push_back({std::move(Name), Number, {}});
    return {};
  }
  const std::size_t Equals = Line.find('=');
  if (Equals == std::string::npos)
    return "expected [section] or key = value";
  if (File.Sections.empty())
    return "key appears before the first [section]";
  IniSection &Section = File.Sections.back();
  std::string Key = Poco::trim(Line.substr(0, Equals));
  if (Key.empty())
    return "expected [section] or key = value";
  if (Section.find(Key) != nullptr)
    return "key " + Key + " is defined twice in [" + Section.Name + "]";
  Section.Entries.push_back(
      {std::move(Key), Poco::trim(Line.substr(Equals + 1)), Number});
  return {};
}

} // namespace

const IniEntry *IniSection::find(std::string_view Key) const {
  const auto Found = std::ranges::find(this->Entries, Key, &IniEntry::Key);
  return Found == this->Entries.end() ? nullptr : &*Found;
}

const IniSection *IniFile::find(const std::string &Name) const {
  const auto Found = this->Index.find(Name);
  return Found == this->Index.end() ? nullptr : &this->Sections[Found->second];
}

std::string IniFile::place(const IniSection &Section,
                           const IniEntry &Entry) const {
  return this->Path + ":" + std::to_string(Entry.Line) + ": [" + Section.Name +
         "] " + Entry.Key;
}

Result<IniFile> IniFile::read(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  // A directory can be opened, but reading it fails.
  if (!In || !(Text << In.rdbuf()))
    return failure(ErrorCode::NotFound, Path + ": file cannot be read");
  return parse(Text.str(), Path);
}

Result<IniFile> IniFile::parse(std::string_view Text, const std::string &Path) {
  IniFile File{Path, {}, {}};
  std::istringstream In{std::string(Text)};
  std::string Line;
  for (int Number = 1; std::getline(In, Line); ++Number) {
    Poco::trimInPlace(Line);
    if (Line.empty() || Line.front() == ';' || Line.front() == '#')
      continue;
    const std::string Problem = addLine(File, Line, Number);
    if (!Problem.empty())
      return failure(ErrorCode::InvalidInput,
                     lineMessage(Path, Number, Problem));
  }
  return File;
}

std::vector<std::string> splitList(std::string_view Value) {
  const Poco::StringTokenizer Parts(
      std::string(Value), ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  return {Parts.begin(), Parts.end()};
}

} // namespace parsleywing
