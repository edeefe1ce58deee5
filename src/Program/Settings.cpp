#include "Program/Settings.h"

#include "Operator/ValueChecks.h"
#include "Program/SettingsTable.h"

#include <set>

namespace parsleywing {

namespace {

std::string mustBe(const IniFile &File, const IniSection &Section,
                   const IniEntry &Entry, const std::string &Allowed) {
  return File.place(Section, Entry) + " must be " + Allowed + ", not '" +
         Entry.Value + "'";
}

std::string knownSections() {
  std::set<std::string> Names;
  for (const Setting &Each : settingsTable())
    Names.insert(Each.Section);
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "[" : ", [") + Name + "]";
  return Text;
}

std::string knownKeys(const std::string &Section) {
  std::string Text;
  for (const Setting &Each : settingsTable())
    if (Each.Section == Section)
      Text += (Text.empty() ? "" : ", ") + Each.Key;
  return Text;
}

/// Stores another router's name and address. Returns a description of the
/// problem, or an empty string.
std::string addPeer(const IniFile &File, const IniSection &Section,
                    const IniEntry &Entry, Settings &Into) {
  if (!isName(Entry.Key))
    return File.place(Section, Entry) + " must be a router's name: " + NameRule;
  if (!isNumericAddress(Entry.Value))
    return mustBe(File, Section, Entry, AddressRule);
  Into.Peers.KnownRouters[Entry.Key] = Entry.Value;
  return {};
}

/// Stores one entry. Returns a description of the problem, or an empty string.
std::string addEntry(const IniFile &File, const IniSection &Section,
                     const IniEntry &Entry, Settings &Into) {
  const Setting *Match = findSetting(Section.Name, Entry.Key);
  if (Match == nullptr && Section.Name == PeersSection)
    return addPeer(File, Section, Entry, Into);
  if (Match == nullptr)
    return File.place(Section, Entry) + " is not a known key; allowed are " +
           knownKeys(Section.Name);
  if (!Match->Set(Into, Entry.Value)) {
    const bool IsSecret = Section.Name == PeersSection;
    return IsSecret
               ? File.place(Section, Entry) + " must be " + Match->AllowedValues
               : mustBe(File, Section, Entry, Match->AllowedValues);
  }
  return {};
}

std::string addSection(const IniFile &File, const IniSection &Section,
                       Settings &Into) {
  if (!isSettingsSection(Section.Name))
    return File.Path + ":" + std::to_string(Section.Line) + ": [" +
           Section.Name + "] is not a known section; allowed are " +
           knownSections();
  for (const IniEntry &Entry : Section.Entries) {
    std::string Problem = addEntry(File, Section, Entry, Into);
    if (!Problem.empty())
      return Problem;
  }
  return {};
}

/// Returns a sentence about the first required setting that is missing from the
/// file, or an empty string.
std::string missingSetting(const IniFile &File) {
  for (const Setting &Each : settingsTable()) {
    if (!Each.Required)
      continue;
    const IniSection *Section = File.find(Each.Section);
    if (Section != nullptr && Section->find(Each.Key) != nullptr)
      continue;
    const int Line = Section == nullptr ? 1 : Section->Line;
    return File.Path + ":" + std::to_string(Line) + ": [" + Each.Section +
           "] " + Each.Key + " is required; it must be " + Each.AllowedValues;
  }
  return {};
}

} // namespace

Result<Settings> readSettings(const IniFile &File) {
  Settings Parsed;
  for (const IniSection &Section : File.Sections) {
    std::string Problem = addSection(File, Section, Parsed);
    if (!Problem.empty())
      return failure(ErrorCode::InvalidInput, std::move(Problem));
  }
  std::string Missing = missingSetting(File);
  if (!Missing.empty())
    return failure(ErrorCode::InvalidInput, std::move(Missing));
  Parsed.Callers.RouterName = Parsed.Name;
  Parsed.Callers.FleetSecret = Parsed.Peers.Secret;
  return Parsed;
}

Result<Settings> readSettings(const std::string &Path) {
  const auto File = IniFile::read(Path);
  if (!File)
    return tl::unexpected<Error>(File.error());
  return readSettings(*File);
}

} // namespace parsleywing
