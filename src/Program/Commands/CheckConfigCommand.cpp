#include "Program/Commands/CheckConfigCommand.h"

#include "platform/FleetFormat.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

namespace parsleywing {

namespace options = boost::program_options;

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// What the command found.
struct ConfigurationReport {
  std::string Path;
  std::optional<GatewayConfiguration> Configuration;
  ConfigurationFindings Findings;
  /// Empty without another configuration to compare with.
  std::optional<std::vector<ConfigurationChange>> Changes;

  std::size_t count(FindingLevel Level) const {
    return static_cast<std::size_t>(std::count_if(
        this->Findings.begin(), this->Findings.end(),
        [Level](const auto &Each) { return Each.Level == Level; }));
  }
};

Result<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    return failure(ErrorCode::NotFound, Path + " cannot be read");
  return Text.str();
}

void sortByLevel(ConfigurationFindings &Findings) {
  std::stable_sort(Findings.begin(), Findings.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Level < Right.Level;
                   });
}

Result<ConfigurationReport> checkFile(const std::string &Path) {
  const auto Text = readFile(Path);
  if (!Text)
    return tl::unexpected<Error>(Text.error());
  ConfigurationReport Report;
  Report.Path = Path;
  auto Decoded = decodeConfiguration(*Text, &Report.Findings);
  if (!Decoded) {
    Report.Findings.push_back({FindingLevel::Error, FindingKind::Malformed,
                               "text", Decoded.error().Message});
    return Report;
  }
  const ConfigurationFindings More = checkConfiguration(*Decoded);
  Report.Findings.insert(Report.Findings.end(), More.begin(), More.end());
  sortByLevel(Report.Findings);
  Report.Configuration = std::move(*Decoded);
  return Report;
}

/// Adds the differences from another file, which need not be free of errors,
/// but must be readable.
Result<void> compareWith(const std::string &Path, ConfigurationReport &Report) {
  const auto Text = readFile(Path);
  if (!Text)
    return tl::unexpected<Error>(Text.error());
  const auto Other = decodeConfiguration(*Text);
  if (!Other)
    return failure(ErrorCode::InvalidInput,
                   Path + ": " + Other.error().Message);
  if (!Report.Configuration)
    return {};
  Report.Changes = compareConfigurations(*Other, *Report.Configuration);
  if (Report.Configuration->Version <= Other->Version &&
      !Report.Changes->empty()) {
    Report.Findings.push_back(
        {FindingLevel::Warning, FindingKind::ContradictoryLimit, "version",
         "version " + std::to_string(Report.Configuration->Version) +
             " changes version " + std::to_string(Other->Version) +
             ", but is not above it"});
    sortByLevel(Report.Findings);
  }
  return {};
}

void printText(const ConfigurationReport &Report) {
  for (const ConfigurationFinding &Each : Report.Findings)
    std::cout << Report.Path << ": " << nameOf(FindingLevelNames, Each.Level)
              << ": " << Each.Place << ": "
              << nameOf(FindingKindNames, Each.Kind) << ": " << Each.Text
              << '\n';
  if (Report.Changes)
    for (const ConfigurationChange &Each : *Report.Changes)
      std::cout << "change: " << nameOf(ConfigurationPartNames, Each.Part)
                << ' ' << Each.Name << ": " << Each.Text << '\n';
  std::cout << Report.Path << ": ";
  if (Report.Configuration)
    std::cout << "version " << Report.Configuration->Version << ", "
              << Report.Configuration->Routes.size() << " routes, "
              << Report.Configuration->Services.size() << " services; ";
  std::cout << Report.count(FindingLevel::Error) << " errors, "
            << Report.count(FindingLevel::Warning) << " warnings, "
            << Report.count(FindingLevel::Note) << " notes";
  if (Report.Changes)
    std::cout << ", " << Report.Changes->size() << " changes";
  std::cout << '\n';
}

void printJson(const ConfigurationReport &Report) {
  Array::Ptr Findings = new Array;
  for (const ConfigurationFinding &Each : Report.Findings) {
    Object::Ptr Entry = new Object;
    Entry->set("level", std::string(nameOf(FindingLevelNames, Each.Level)));
    Entry->set("kind", std::string(nameOf(FindingKindNames, Each.Kind)));
    Entry->set("place", Each.Place);
    Entry->set("text", Each.Text);
    Findings->add(Entry);
  }
  Object Json;
  Json.set("file", Report.Path);
  if (Report.Configuration)
    Json.set("version", Report.Configuration->Version);
  Json.set("findings", Findings);
  if (Report.Changes) {
    Array::Ptr Changes = new Array;
    for (const ConfigurationChange &Each : *Report.Changes) {
      Object::Ptr Entry = new Object;
      Entry->set("part",
                 std::string(nameOf(ConfigurationPartNames, Each.Part)));
      Entry->set("name", Each.Name);
      Entry->set("text", Each.Text);
      Changes->add(Entry);
    }
    Json.set("changes", Changes);
  }
  constexpr unsigned Indentation = 2;
  Json.stringify(std::cout, Indentation);
  std::cout << '\n';
}

} // namespace

OptionsDescription CheckConfigCommand::options() const {
  OptionsDescription Options("Options");
  Options.add_options()("file",
                        options::value<std::string>()->value_name("FILE"),
                        "configuration in the platform's format")(
      "against", options::value<std::string>()->value_name("FILE"),
      "also print what differs from this configuration")(
      "json", options::bool_switch(), "print JSON instead of text");
  return Options;
}

PositionalOptions CheckConfigCommand::positional() const {
  PositionalOptions Arguments;
  Arguments.add("file", 1);
  return Arguments;
}

ExitCode CheckConfigCommand::run(const OptionValues &Values) const {
  if (Values.count("file") == 0)
    return printError({ErrorCode::InvalidInput, "check-config: give a file"},
                      ExitCode::WrongUsage);
  auto Report = checkFile(optionValue<std::string>(Values, "file"));
  if (!Report)
    return printError(Report.error());
  if (Values.count("against") > 0)
    if (const auto Compared =
            compareWith(optionValue<std::string>(Values, "against"), *Report);
        !Compared)
      return printError(Compared.error());
  if (optionValue<bool>(Values, "json"))
    printJson(*Report);
  else
    printText(*Report);
  return Report->count(FindingLevel::Error) > 0 ? ExitCode::InvalidInput
                                                : ExitCode::Success;
}

} // namespace parsleywing
