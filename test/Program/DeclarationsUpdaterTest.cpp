#include "Program/DeclarationsUpdater.h"

#include "Decision/Configuration/ConfigurationText.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace parsleywing;

namespace {

std::string sectionOf(const std::string &Name, int Key, int Share,
                      const std::string &Services) {
  const std::string Digits = std::to_string(Key);
  return "[account " + Name +
         "]\nkey_sha256 = " + std::string(64 - Digits.size(), '0') + Digits +
         "\nshare = " + std::to_string(Share) + "\nservices = " + Services +
         "\n";
}

/// A declarations file as sections by name.
using Sections = std::map<std::string, std::string>;

bool oneIn(int N) { return *rc::gen::inRange(0, N) == 0; }

/// Makes a random edit. The numbers are small, so that sometimes keys clash and
/// services are missing.
void edit(Sections &File) {
  const std::string Name = *rc::gen::element<std::string>("k", "l", "m", "n");
  if (oneIn(4))
    File.erase(Name);
  else
    File[Name] = sectionOf(Name, *rc::gen::inRange(0, 20), oneIn(20) ? 0 : 1,
                           oneIn(15) ? "a, b" : "a");
  if (oneIn(12) && !File.erase("b"))
    File["b"] = "[service b]\nservers = s\n";
  if (oneIn(20) && !File.erase("odd"))
    File["odd"] = "[ account k ]\n" + sectionOf("", 30, 1, "a").substr(11);
}

std::string textOf(const Sections &File) {
  std::string Text = "[service a]\nservers = s\n[server s]\naddress = "
                     "127.0.0.1:1\navailability_zone = z\n";
  for (const auto &[Name, Section] : File)
    Text += Section;
  return Text;
}

} // namespace

// Guards against declarations that differ from the active text: valid and
// invalid edits follow each other, some are skipped because newer ones are
// queued, and declarations are released early or late. A change applied to the
// wrong base, or validated less strictly than a complete text, would make a
// difference. Fails if any of five checks is removed; docs/CONFIGURATION.md
// lists them.
Test(DeclarationsUpdater, UpdatesEqualCompleteParsing) {
  std::uint64_t InPlace = 0;
  const bool Holds = rc::check("updates equal complete parsing", [&] {
    DeclarationsUpdater Updater;
    ConfigurationText Text;
    std::vector<DeclarationsPtr> Referenced;
    /// Declarations that are still referenced, each with a copy made earlier.
    std::vector<std::pair<Declarations, DeclarationsPtr>> Copies;
    bool FollowsLast = true;
    Sections File;
    const int Edits = *rc::gen::inRange(1, 25);
    for (int Edit = 1; Edit <= Edits; ++Edit) {
      edit(File);
      const ConfigurationText Next(textOf(File));
      const ActivateConfiguration Change{
          static_cast<std::uint64_t>(Edit),
          std::make_shared<const std::string>(Next.fullText()),
          Text.deltaTo(Next)};
      Text = Next;
      if (oneIn(10)) {
        FollowsLast = false;
        continue;
      }
      const auto Updated = Updater.update(Change, FollowsLast);
      FollowsLast = true;
      auto Complete = parseDeclarations(*Change.Text, "whole");
      RC_ASSERT(Updated.has_value() == Complete.has_value());
      if (!Updated)
        continue;
      Complete->Generation = Change.Generation;
      RC_ASSERT(**Updated == *Complete);
      Referenced.push_back(*Updated);
      if (Referenced.size() > 1 && !oneIn(4))
        Referenced.erase(Referenced.begin(), Referenced.end() - 1);
      Copies.emplace_back(*Referenced.front(), Referenced.front());
      if (!oneIn(3))
        Copies.clear();
      for (const auto &[Copy, Old] : Copies)
        RC_ASSERT(Copy == *Old);
    }
    InPlace += Updater.inPlaceUpdates();
  });
  cr_assert(Holds);
  cr_assert_gt(InPlace, 0);
}
