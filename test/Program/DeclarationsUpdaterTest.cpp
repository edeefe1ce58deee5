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

/// A file as sections by name, edited in place.
using Sections = std::map<std::string, std::string>;

bool chance(int OneIn) { return *rc::gen::inRange(0, OneIn) == 0; }

/// Small numbers, so that keys clash and services are missing now and then.
void edit(Sections &File) {
  const std::string Name = *rc::gen::element<std::string>("k", "l", "m", "n");
  if (chance(4))
    File.erase(Name);
  else
    File[Name] = sectionOf(Name, *rc::gen::inRange(0, 20), chance(20) ? 0 : 1,
                           chance(15) ? "a, b" : "a");
  if (chance(12) && !File.erase("b"))
    File["b"] = "[service b]\nservers = s\n";
  if (chance(20) && !File.erase("odd"))
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

// Symptom: a router's declarations differ from the text in force.
// Sequence: any edits, valid or not, one after the other; some are passed over
// since newer ones wait; holders let go of declarations early or late.
// Cause: a change was made on the wrong base, or not checked like the whole.
// Fails with any of five checks taken out; docs/CONFIGURATION.md lists them.
Test(DeclarationsUpdater, ChangesGiveWhatAWholeReadGives) {
  std::uint64_t InPlace = 0;
  const bool Holds = rc::check("changes give what a whole read gives", [&] {
    DeclarationsUpdater Updater;
    ConfigurationText Text;
    std::vector<DeclarationsPtr> Held;
    /// What somebody still holds, and a copy made when it was in force.
    std::vector<std::pair<Declarations, DeclarationsPtr>> Kept;
    bool Follows = true;
    Sections File;
    const int Edits = *rc::gen::inRange(1, 25);
    for (int Edit = 1; Edit <= Edits; ++Edit) {
      edit(File);
      const ConfigurationText Next(textOf(File));
      const PutInForce Put{static_cast<std::uint64_t>(Edit),
                           std::make_shared<const std::string>(Next.whole()),
                           Text.deltaTo(Next)};
      Text = Next;
      if (chance(10)) {
        Follows = false;
        continue;
      }
      const auto Made = Updater.update(Put, Follows);
      Follows = true;
      auto Whole = parseDeclarations(*Put.Text, "whole");
      RC_ASSERT(Made.has_value() == Whole.has_value());
      if (!Made)
        continue;
      Whole->Generation = Put.Generation;
      RC_ASSERT(**Made == *Whole);
      Held.push_back(*Made);
      if (Held.size() > 1 && !chance(4))
        Held.erase(Held.begin(), Held.end() - 1);
      Kept.emplace_back(*Held.front(), Held.front());
      if (!chance(3))
        Kept.clear();
      for (const auto &[Copy, Old] : Kept)
        RC_ASSERT(Copy == *Old);
    }
    InPlace += Updater.inPlaceUpdates();
  });
  cr_assert(Holds);
  cr_assert_gt(InPlace, 0);
}
