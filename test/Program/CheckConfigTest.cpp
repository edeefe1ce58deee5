#include "Program/CommandLine.h"
#include "platform/FleetFormat.h"

#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>
#include <criterion/criterion.h>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace parsleywing;

namespace {

const std::string ExamplePath =
    std::string(SOURCE_FOLDER) + "/examples/configuration.json";

std::string exampleText() {
  std::ostringstream Text;
  Text << std::ifstream(ExamplePath).rdbuf();
  return Text.str();
}

std::string changed(std::string Text, const std::string &Old,
                    const std::string &New) {
  const std::size_t At = Text.find(Old);
  cr_assert_neq(At, std::string::npos, "no %s", Old.c_str());
  return Text.replace(At, Old.size(), New);
}

/// Findings as "level kind place", of the example with one change.
std::string findingsAfter(const std::string &Old, const std::string &New) {
  ConfigurationFindings Findings;
  const auto Decoded =
      decodeConfiguration(changed(exampleText(), Old, New), &Findings);
  cr_assert(Decoded.has_value(), "%s", Decoded.error().Message.c_str());
  for (ConfigurationFinding &Each : checkConfiguration(*Decoded))
    Findings.push_back(std::move(Each));
  std::string Text;
  for (const ConfigurationFinding &Each : Findings)
    Text += std::string(nameOf(FindingLevelNames, Each.Level)) + " " +
            std::string(nameOf(FindingKindNames, Each.Kind)) + " " +
            Each.Place + "\n";
  return Text;
}

struct CommandRun {
  ExitCode Code;
  std::string Output;
};

CommandRun runCommand(const std::vector<std::string> &Arguments) {
  std::ostringstream Output;
  std::streambuf *Standard = std::cout.rdbuf(Output.rdbuf());
  const ExitCode Code = runCommandLine(Arguments);
  std::cout.rdbuf(Standard);
  return {Code, Output.str()};
}

std::string fileWith(const std::string &Text) {
  std::string Path = Poco::TemporaryFile::tempName();
  Poco::TemporaryFile::registerForDeletion(Path);
  std::ofstream(Path) << Text;
  return Path;
}

} // namespace

// Guards against a contradiction that is not reported, or at the wrong place.
Test(CheckConfig, reportsEachKindOfContradiction) {
  struct {
    const char *Old;
    const char *New;
    const char *Finding;
  } Cases[] = {
      {"\"unsafe\"", "\"usafe\"", "error unknown-kind routes[2]"},
      {"\"prefix\": \"/orders/\"", "\"prefix\": \"/lookup/\"",
       "error never-matches route orders"},
      {"\"prefix\": \"/orders/\"", "\"prefix\": \"orders/\"",
       "error never-matches route orders"},
      {"\"prefix\": \"/orders/\"", "\"prefix\": \"/orders/?a=1/\"",
       "error never-matches route orders"},
      {"\"models.example\", \"prefix\": \"/orders/\"",
       "\"models.example:80\", \"prefix\": \"/orders/\"",
       "error never-matches route orders"},
      {"\"prefix\": \"/orders/\"", "\"prefix\": \"/\"",
       "note hides-prefix route lookup"},
      {"\"prefix\": \"/orders/\"", "\"prefix\": \"/orders\"",
       "warning open-prefix route orders"},
      {"\"name\": \"orders\", \"host", "\"name\": \"chat\", \"host",
       "error repeated-name route chat"},
      {"\"name\": \"orders\", \"health", "\"name\": \"lookup\", \"health",
       "error repeated-name services[3]"},
      {"\"weight\": 1}", "\"weight\": 0}", "warning zero-weight route chat"},
      {", \"service\": \"orders\"", "", "error no-target route orders"},
      {", \"service\": \"orders\"", "",
       "warning unused-service service orders"},
      {"\"service\": \"orders\"", "\"service\": \"order\"",
       "error unknown-service route orders"},
      {"birch-example-key-1", "acme-example-key-1",
       "error repeated-key tenants[1].apiKeys[0]"},
      {"\"birch-example-key-1\"", "", "warning no-keys tenants[1]"},
      {"\"tenants\"", "\"others\"", "warning no-keys accounts"},
      {"\"targetLatencyMs\": 400", "\"targetLatencyMs\": 6000",
       "warning objective-too-high route orders"},
      {"\"timeoutMs\": 5000", "\"timeoutMs\": 0",
       "error contradictory-limit route orders"},
      {"\"maxAttempts\": 1", "\"maxAttempts\": 0",
       "error contradictory-limit route orders"},
      {"\"maxAttempts\": 1", "\"maxAttempts\": 2",
       "warning contradictory-limit route orders"},
      {"\"coldPerS\": 2", "\"coldPerS\": 0",
       "warning contradictory-limit service chat-large"},
      {"\"headerTimeoutMs\": 3000", "\"headerTimeoutMs\": 30000",
       "warning contradictory-limit limits"},
      {"\"services\": [", "\"services\": [3,", "error malformed services[0]"},
  };
  for (const auto &Each : Cases) {
    const std::string Findings = findingsAfter(Each.Old, Each.New);
    cr_expect_neq(Findings.find(std::string(Each.Finding) + "\n"),
                  std::string::npos, "%s -> %s: not \"%s\", but\n%s", Each.Old,
                  Each.New, Each.Finding, Findings.c_str());
  }
}

// Guards against findings on a sound configuration, and against an example that
// routers do not read.
Test(CheckConfig, acceptsExample) {
  const CommandRun Run = runCommand({"check-config", ExamplePath});
  cr_assert_eq(Run.Code, ExitCode::Success, "%s", Run.Output.c_str());
  cr_assert(Run.Output.ends_with("version 7, 3 routes, 4 services; 0 errors, "
                                 "0 warnings, 0 notes\n"),
            "%s", Run.Output.c_str());
}

// Guards against a decoding error without its place, and a wrong exit code.
Test(CheckConfig, namesPlaceOfDecodingError) {
  const std::string Path = fileWith(changed(exampleText(), "2000", "\"soon\""));
  const CommandRun Run = runCommand({"check-config", Path, "--json"});
  cr_assert_eq(Run.Code, ExitCode::InvalidInput);
  cr_assert_neq(Run.Output.find("routes[1]: timeoutMs"), std::string::npos,
                "%s", Run.Output.c_str());
  cr_assert_eq(runCommand({"check-config", "/nonexistent"}).Code,
               ExitCode::MissingFile);
  cr_assert_eq(runCommand({"check-config"}).Code, ExitCode::WrongUsage);
}

// Guards against differences that are left out, and whole keys in the output.
Test(CheckConfig, printsDifferencesWithoutWholeKeys) {
  std::string New = changed(exampleText(), "\"version\": 7", "\"version\": 8");
  New = changed(New, "\"timeoutMs\": 5000", "\"timeoutMs\": 4000");
  New = changed(New, "\"maxConns\": 128", "\"maxConns\": 96");
  New = changed(New, "birch-example-key-1", "birch-replaced-key-2");
  New = changed(New, "\"idleTimeoutMs\": 15000", "\"idleTimeoutMs\": 20000");
  const CommandRun Run = runCommand(
      {"check-config", fileWith(New), "--against", ExamplePath, "--json"});
  cr_assert_eq(Run.Code, ExitCode::Success, "%s", Run.Output.c_str());
  const auto Json =
      Poco::JSON::Parser().parse(Run.Output).extract<Poco::JSON::Object::Ptr>();
  const auto Changes = Json->getArray("changes");
  std::string Text;
  for (unsigned Index = 0; Index < Changes->size(); ++Index) {
    const auto Each = Changes->getObject(Index);
    Text += Each->getValue<std::string>("part") + " " +
            Each->getValue<std::string>("name") + ": " +
            Each->getValue<std::string>("text") + "\n";
  }
  cr_assert_eq(Text,
               "route orders: timeout '5000 ms' -> '4000 ms'\n"
               "service lookup: connections '128' -> '96'\n"
               "account birch: key birc... removed\n"
               "account birch: key birc... added\n"
               "limit limits: idle timeout '15000 ms' -> '20000 ms'\n",
               "%s", Text.c_str());
  cr_assert_eq(Run.Output.find("birch-"), std::string::npos);
}
