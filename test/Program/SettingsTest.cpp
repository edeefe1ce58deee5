#include "Program/Settings.h"

#include "Operator/DeclarationsReader.h"
#include "Program/ExitCode.h"
#include "Program/SettingsTable.h"

#include <criterion/criterion.h>
#include <fstream>
#include <set>
#include <sstream>

using namespace parsleywing;

namespace {

const std::string SourceFolder = SOURCE_FOLDER;

// The required settings, which take lines 1 to 5 of a file.
const std::string ValidStart = "[router]\nname = r1\navailability_zone = z1\n"
                               "[listen]\ncallers = 127.0.0.1:7000\n";

Result<Settings> parse(const std::string &Text) {
  const auto File = IniFile::parse(Text, "f.ini");
  if (!File)
    return tl::unexpected<Error>(File.error());
  return readSettings(*File);
}

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

struct InvalidCase {
  std::string Text;
  std::string Message;
};

} // namespace

Test(Settings, EachKindOfMistakeIsNamedWithItsLineAndWhatIsAllowed) {
  const std::vector<InvalidCase> Cases{
      {"[router]\nname = r1\n[listen]\ncallers = 127.0.0.1:1\n",
       "f.ini:1: [router] availability_zone is required; it must be 1 to 100 "
       "letters, digits, '.', '_' or '-', the first a letter or digit"},
      {"[router]\nname = r1\navailability_zone = z1\n",
       "f.ini:1: [listen] callers is required; it must be a numeric IP:port, "
       "as 127.0.0.1:8080 or [::1]:8080"},
      {ValidStart + "[colors]\n",
       "f.ini:6: [colors] is not a known section; allowed are [backends], "
       "[callers], [declarations], [fairness], [listen], [log], [peers], "
       "[platform], [requests], [router]"},
      {ValidStart + "color = red\n",
       "f.ini:6: [listen] color is not a known key; "
       "allowed are callers, peers, operators"},
      {ValidStart + "peers = localhost:1\n",
       "f.ini:6: [listen] peers must be a numeric IP:port, as 127.0.0.1:8080 "
       "or [::1]:8080, not 'localhost:1'"},
      {ValidStart + "[callers]\nmax_connections = -1\n",
       "f.ini:7: [callers] max_connections must be a whole number from 1 to "
       "100000, not '-1'"},
      {ValidStart + "[requests]\ndrain_limit_seconds = 1h\n",
       "f.ini:7: [requests] drain_limit_seconds must be a whole number from 0 "
       "to 3600, not '1h'"},
      {ValidStart + "[fairness]\npolicy = best\n",
       "f.ini:7: [fairness] policy must be local or shared, not 'best'"},
      {ValidStart + "[log]\n\nlevel = loud\n",
       "f.ini:8: [log] level must be debug "
       "or info or warn or error, not "
       "'loud'"},
      {ValidStart + "[log]\ntarget =\n",
       "f.ini:7: [log] target must be a text, not ''"},
      {ValidStart + "[peers]\nr 2 = 127.0.0.1:1\n",
       "f.ini:7: [peers] r 2 must be a router's name: 1 to 100 letters, "
       "digits, '.', '_' or '-', the first a letter or digit"},
      {ValidStart + "[peers]\nr2 = 127.0.0.1\n",
       "f.ini:7: [peers] r2 must be a numeric IP:port, as 127.0.0.1:8080 or "
       "[::1]:8080, not '127.0.0.1'"},
  };
  for (const InvalidCase &Case : Cases) {
    const auto Parsed = parse(Case.Text);
    cr_assert(!Parsed.has_value(), "accepted: %s", Case.Text.c_str());
    cr_expect_eq(Parsed.error().Message, Case.Message, "got: %s\nwanted: %s",
                 Parsed.error().Message.c_str(), Case.Message.c_str());
  }
}

// Messages appear in logs and on screens, so they must not contain a secret.
Test(Settings, AWrongSecretIsNotRepeatedInTheMessage) {
  const auto Parsed = parse(ValidStart + "[peers]\nsecret = hunter2\n");
  cr_assert(!Parsed.has_value());
  cr_assert_eq(Parsed.error().Message,
               "f.ini:7: [peers] secret must be at least 16 characters");
}

Test(Settings, AFileThatIsMissingIsNotFound) {
  const auto Parsed = readSettings("/nowhere/at/all.ini");
  cr_assert(!Parsed.has_value() && Parsed.error().Code == ErrorCode::NotFound);
}

Test(Settings, UnitsAndNestedValuesArrive) {
  const auto Parsed = parse(
      ValidStart + "[callers]\ndefault_timeout_milliseconds = 1500\n"
                   "max_connections = 7\n[requests]\ndrain_limit_seconds = 9\n"
                   "[peers]\nr2 = 127.0.0.1:7101\n[fairness]\n"
                   "policy = shared\n");
  cr_assert(Parsed.has_value(), "%s", Parsed.error().Message.c_str());
  cr_assert(Parsed->Callers.DefaultTimeout == std::chrono::milliseconds(1500));
  cr_assert_eq(Parsed->Callers.MaxConnections, 7);
  cr_assert_eq(Parsed->Callers.RouterName, "r1");
  cr_assert(Parsed->Core.Requests.Drain.HardLimit == std::chrono::seconds(9));
  cr_assert_eq(Parsed->Peers.KnownRouters.at("r2"), "127.0.0.1:7101");
  cr_assert(Parsed->Policy == FairnessMode::Shared);
}

// Every default must be an allowed value, and yield the same value when it is
// written to a file and read again.
Test(SettingsTable, EveryDefaultIsAllowedAndStable) {
  const Settings Defaults;
  for (const Setting &Each : settingsTable()) {
    const std::string Default = Each.Get(Defaults);
    if (Default.empty())
      continue;
    Settings Into;
    cr_assert(Each.Set(Into, Default), "%s", Each.Key.c_str());
    cr_assert_eq(Each.Get(Into), Default, "%s", Each.Key.c_str());
  }
}

Test(SettingsTable, TheOperatorsPageShowsTheProgramsOwnTable) {
  const std::string Page = readFile(SourceFolder + "/docs/OPERATING.md");
  cr_assert(Page.find(settingsTableMarkdown()) != std::string::npos,
            "put the output of `parsleywing settings` into docs/OPERATING.md");
}

Test(ExitCode, TheOperatorsPageShowsEveryCode) {
  const std::string Page = readFile(SourceFolder + "/docs/OPERATING.md");
  for (const auto &[Code, Name] : ExitCodeNames) {
    const std::string Row = "| " + std::to_string(static_cast<int>(Code)) +
                            " | " + std::string(Name) + " | ";
    cr_assert(Page.find(Row) != std::string::npos, "%s", Row.c_str());
  }
}

Test(Examples, SettingsPassAndNameEverySetting) {
  const std::string Path = SourceFolder + "/examples/router.ini";
  const auto Parsed = readSettings(Path);
  cr_assert(Parsed.has_value(), "%s", Parsed.error().Message.c_str());
  const std::string Text = readFile(Path);
  for (const Setting &Each : settingsTable())
    cr_assert(Text.find(Each.Key + " = ") != std::string::npos, "%s",
              Each.Key.c_str());
}

Test(Examples, DeclarationsPassAtTheirSizes) {
  struct Deployment {
    std::string File;
    std::size_t Servers;
    std::size_t NotRepeatable;
  };
  for (const Deployment &Expected : std::vector<Deployment>{
           {"tz-north.ini", 16, 1}, {"gulf-south.ini", 22, 2}}) {
    const auto Parsed =
        loadDeclarations(SourceFolder + "/examples/" + Expected.File);
    cr_assert(Parsed.has_value(), "%s", Parsed.error().Message.c_str());
    cr_assert_eq(Parsed->Accounts.size(), 16);
    cr_assert_eq(Parsed->Servers.size(), Expected.Servers);
    std::set<std::string> Zones;
    for (const auto &[Id, Server] : Parsed->Servers)
      Zones.insert(Server.Zone);
    cr_assert_eq(Zones.size(), 4);
    const auto NotRepeatable =
        std::ranges::count_if(Parsed->Services, [](const auto &Each) {
          return !Each.second.Repeatable;
        });
    cr_assert_eq(static_cast<std::size_t>(NotRepeatable),
                 Expected.NotRepeatable);
  }
}
