#include "Operator/DeclarationsDiff.h"

#include "Operator/DeclarationsWriter.h"

#include <unordered_map>

namespace parsleywing {

namespace {

using SectionsByName = std::unordered_map<std::string, const IniSection *>;

SectionsByName byName(const std::vector<IniSection> &Sections) {
  SectionsByName Index;
  for (const IniSection &Each : Sections)
    Index.emplace(Each.Name, &Each);
  return Index;
}

std::string valueIn(const IniSection &Section, const std::string &Key) {
  const IniEntry *Entry = Section.find(Key);
  return Entry ? Entry->Value : "";
}

std::vector<ValueChange> compareSections(const IniSection &Before,
                                         const IniSection &After) {
  std::vector<ValueChange> Changes;
  for (const IniEntry &Entry : After.Entries) {
    const std::string Old = valueIn(Before, Entry.Key);
    if (Old != Entry.Value)
      Changes.push_back({Entry.Key, Old, Entry.Value});
  }
  for (const IniEntry &Entry : Before.Entries)
    if (After.find(Entry.Key) == nullptr)
      Changes.push_back({Entry.Key, Entry.Value, ""});
  return Changes;
}

} // namespace

std::vector<DeclarationChange> compareDeclarations(const Declarations &Before,
                                                   const Declarations &After) {
  const std::vector<IniSection> Old = sectionsOf(Before);
  const std::vector<IniSection> New = sectionsOf(After);
  const SectionsByName OldByName = byName(Old);
  const SectionsByName NewByName = byName(New);
  std::vector<DeclarationChange> Changes;
  for (const IniSection &Section : New) {
    const auto Found = OldByName.find(Section.Name);
    if (Found == OldByName.end()) {
      Changes.push_back({ChangeKind::Added, Section.Name, {}});
      continue;
    }
    auto Values = compareSections(*Found->second, Section);
    if (!Values.empty())
      Changes.push_back({ChangeKind::Altered, Section.Name, std::move(Values)});
  }
  for (const IniSection &Section : Old)
    if (!NewByName.contains(Section.Name))
      Changes.push_back({ChangeKind::Removed, Section.Name, {}});
  return Changes;
}

std::string textOf(const DeclarationChange &Change) {
  std::string Text =
      std::string(nameOf(ChangeKindNames, Change.Kind)) + " " + Change.Section;
  const char *Separator = ": ";
  for (const ValueChange &Value : Change.Values) {
    Text += Separator + Value.Key + " " +
            (Value.Before.empty() ? "(none)" : Value.Before) + " -> " +
            (Value.After.empty() ? "(none)" : Value.After);
    Separator = "; ";
  }
  return Text;
}

} // namespace parsleywing
