#include "lab/ScenarioReader.h"

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>
#include <filesystem>
#include <set>

namespace parsleywing::lab {

namespace {

using Poco::Util::IniFileConfiguration;

/// A section of the file. Records which keys were read.
class Section {
public:
  Section(const IniFileConfiguration &F, std::string N)
      : File(F), Name(std::move(N)) {}

  double number(const std::string &Key, double Default) {
    this->ReadKeys.insert(Key);
    const std::string FullKey = this->Name + "." + Key;
    if (!this->File.has(FullKey))
      return Default;
    double Value = 0;
    if (!Poco::NumberParser::tryParseFloat(this->File.getString(FullKey),
                                           Value) ||
        Value < 0)
      throw Poco::DataFormatException(FullKey +
                                      " is not a non-negative number");
    return Value;
  }

  double required(const std::string &Key) {
    if (!this->File.has(this->Name + "." + Key))
      throw Poco::DataFormatException(this->Name + "." + Key + " is missing");
    return this->number(Key, 0);
  }

  std::string text(const std::string &Key) {
    this->ReadKeys.insert(Key);
    return this->File.getString(this->Name + "." + Key, "");
  }

  /// Fails if the section has keys that were not read, which are most likely
  /// typing errors.
  void rejectUnknownKeys() const {
    IniFileConfiguration::Keys Keys;
    this->File.keys(this->Name, Keys);
    for (const std::string &Each : Keys)
      if (!this->ReadKeys.contains(Each))
        throw Poco::DataFormatException(this->Name + "." + Each +
                                        " is not a known key");
  }

private:
  const IniFileConfiguration &File;
  std::string Name;
  std::set<std::string> ReadKeys;
};

std::uint32_t toCount(double Value) {
  return static_cast<std::uint32_t>(Value);
}

/// Parses "512x3, 4870x108": for each level of shared parts, the mean tokens
/// and the number of variants.
std::vector<SharedPartLevel> parseSharedLevels(const std::string &Text) {
  std::vector<SharedPartLevel> Levels;
  const Poco::StringTokenizer Items(
      Text, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const std::string &Each : Items) {
    const std::size_t Separator = Each.find('x');
    if (Separator == std::string::npos)
      throw Poco::DataFormatException(
          "a level of shared parts must have the form "
          "TOKENSxVARIANTS, not " +
          Each);
    SharedPartLevel Level;
    Level.MeanTokens =
        Poco::NumberParser::parseFloat(Each.substr(0, Separator));
    Level.Variants =
        Poco::NumberParser::parseUnsigned(Each.substr(Separator + 1));
    if (Level.Variants == 0)
      throw Poco::DataFormatException(
          "a level of shared parts must have at least "
          "one variant: " +
          Each);
    Levels.push_back(Level);
  }
  return Levels;
}

EngineParameters readEngine(Section Input) {
  EngineParameters Parameters;
  Parameters.Slots = toCount(Input.number("slots", Parameters.Slots));
  Parameters.StepTime = Input.number("step-ms", Parameters.StepTime);
  Parameters.StepTimePerRequest =
      Input.number("step-ms-per-request", Parameters.StepTimePerRequest);
  Parameters.PrefillTokensPerMs =
      Input.number("read-tokens-per-ms", Parameters.PrefillTokensPerMs);
  Parameters.PrefillChunkTokens =
      toCount(Input.number("read-chunk-tokens", Parameters.PrefillChunkTokens));
  Parameters.MemoryTokens = toCount(Input.number(
      "memory-tokens", static_cast<double>(Parameters.MemoryTokens)));
  Parameters.FetchTokensPerMs =
      Input.number("fetch-tokens-per-ms", Parameters.FetchTokensPerMs);
  Parameters.FetchSetupTime =
      Input.number("fetch-setup-ms", Parameters.FetchSetupTime);
  Input.rejectUnknownKeys();
  if (Parameters.Slots == 0 || Parameters.PrefillTokensPerMs <= 0 ||
      Parameters.PrefillChunkTokens == 0)
    throw Poco::DataFormatException(
        "engine.slots, engine.read-tokens-per-ms and "
        "engine.read-chunk-tokens must be positive");
  return Parameters;
}

CallClass readClass(const std::string &Name, Section Input) {
  CallClass Class;
  Class.Name = Name;
  Class.CallsPerSecond = Input.required("per-second");
  Class.SharedLevels = parseSharedLevels(Input.text("shared"));
  Class.MeanOwnTokens = Input.required("own-tokens");
  Class.OwnSpread = Input.number("own-spread", 0);
  Class.MeanOutputTokens = Input.required("output-tokens");
  Class.OutputSpread = Input.number("output-spread", 0);
  Class.Objective = Input.required("objective-ms");
  Class.TimeLimit = Input.required("time-limit-ms");
  Input.rejectUnknownKeys();
  return Class;
}

Flood readFlood(Section Input) {
  Flood Parsed;
  Parsed.Account = toCount(Input.required("account"));
  Parsed.From = Input.required("from-s") * 1000;
  Parsed.To = Input.required("to-s") * 1000;
  Parsed.RateFactor = Input.required("times");
  Input.rejectUnknownKeys();
  return Parsed;
}

Scenario read(const std::string &Path) {
  const Poco::AutoPtr<IniFileConfiguration> File(
      new IniFileConfiguration(Path));
  Section Main(*File, "scenario");
  Scenario TheScenario;
  TheScenario.Name = std::filesystem::path(Path).stem();
  TheScenario.Engines = toCount(Main.required("engines"));
  TheScenario.Accounts = toCount(Main.number("accounts", TheScenario.Accounts));
  TheScenario.AccountSkew =
      Main.number("account-skew", TheScenario.AccountSkew);
  TheScenario.Length = Main.required("length-s") * 1000;
  TheScenario.StatedTokensPerSecond =
      toCount(Main.required("stated-tokens-per-second"));
  TheScenario.OneWayDelay = Main.number("way-ms", TheScenario.OneWayDelay);
  Main.rejectUnknownKeys();
  TheScenario.Parameters = readEngine(Section(*File, "engine"));
  IniFileConfiguration::Keys Sections;
  File->keys(Sections);
  for (const std::string &Each : Sections) {
    if (Each.starts_with("class-"))
      TheScenario.Classes.push_back(
          readClass(Each.substr(6), Section(*File, Each)));
    else if (Each.starts_with("flood-"))
      TheScenario.Floods.push_back(readFlood(Section(*File, Each)));
    else if (Each != "scenario" && Each != "engine")
      throw Poco::DataFormatException("section " + Each + " is unknown");
  }
  if (TheScenario.Engines == 0 || TheScenario.Accounts == 0 ||
      TheScenario.Classes.empty())
    throw Poco::DataFormatException(
        "scenario.engines, scenario.accounts and the number of class-NAME "
        "sections must be at least 1");
  return TheScenario;
}

} // namespace

Result<Scenario> readScenario(const std::string &Path) {
  try {
    return read(Path);
  } catch (const Poco::Exception &Failure) {
    return failure(ErrorCode::InvalidInput,
                   Path + ": " + Failure.displayText());
  }
}

} // namespace parsleywing::lab
