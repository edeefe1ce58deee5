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

/// One section; remembers which keys were asked for.
class Section {
public:
  Section(const IniFileConfiguration &F, std::string N)
      : File(F), Name(std::move(N)) {}

  double number(const std::string &Key, double Otherwise) {
    this->Known.insert(Key);
    const std::string Whole = this->Name + "." + Key;
    if (!this->File.has(Whole))
      return Otherwise;
    double Value = 0;
    if (!Poco::NumberParser::tryParseFloat(this->File.getString(Whole),
                                           Value) ||
        Value < 0)
      throw Poco::DataFormatException(Whole + " is no number from 0");
    return Value;
  }

  double required(const std::string &Key) {
    if (!this->File.has(this->Name + "." + Key))
      throw Poco::DataFormatException(this->Name + "." + Key + " is missing");
    return this->number(Key, 0);
  }

  std::string text(const std::string &Key) {
    this->Known.insert(Key);
    return this->File.getString(this->Name + "." + Key, "");
  }

  /// A key that nobody reads is a slip of the pen.
  void refuseOthers() const {
    IniFileConfiguration::Keys Keys;
    this->File.keys(this->Name, Keys);
    for (const std::string &Each : Keys)
      if (!this->Known.contains(Each))
        throw Poco::DataFormatException(this->Name + "." + Each +
                                        " is not known");
  }

private:
  const IniFileConfiguration &File;
  std::string Name;
  std::set<std::string> Known;
};

std::uint32_t counted(double Value) {
  return static_cast<std::uint32_t>(Value);
}

/// "512x3, 4870x108": links of MEAN tokens, each of so many things.
std::vector<SharedPartLevel> readChain(const std::string &Text) {
  std::vector<SharedPartLevel> Chain;
  const Poco::StringTokenizer Links(
      Text, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const std::string &Each : Links) {
    const std::size_t Cross = Each.find('x');
    if (Cross == std::string::npos)
      throw Poco::DataFormatException("a link is TOKENSxTHINGS, not " + Each);
    SharedPartLevel Link;
    Link.MeanTokens = Poco::NumberParser::parseFloat(Each.substr(0, Cross));
    Link.Variants = Poco::NumberParser::parseUnsigned(Each.substr(Cross + 1));
    if (Link.Variants == 0)
      throw Poco::DataFormatException("a link has at least one thing: " + Each);
    Chain.push_back(Link);
  }
  return Chain;
}

EngineParameters readEngine(Section From) {
  EngineParameters Read;
  Read.Slots = counted(From.number("slots", Read.Slots));
  Read.StepTime = From.number("step-ms", Read.StepTime);
  Read.StepTimePerRequest =
      From.number("step-ms-per-request", Read.StepTimePerRequest);
  Read.PrefillTokensPerMs =
      From.number("read-tokens-per-ms", Read.PrefillTokensPerMs);
  Read.PrefillChunkTokens =
      counted(From.number("read-chunk-tokens", Read.PrefillChunkTokens));
  Read.MemoryTokens = counted(
      From.number("memory-tokens", static_cast<double>(Read.MemoryTokens)));
  Read.FetchTokensPerMs =
      From.number("fetch-tokens-per-ms", Read.FetchTokensPerMs);
  Read.FetchSetupTime = From.number("fetch-setup-ms", Read.FetchSetupTime);
  From.refuseOthers();
  if (Read.Slots == 0 || Read.PrefillTokensPerMs <= 0 ||
      Read.PrefillChunkTokens == 0)
    throw Poco::DataFormatException("an engine has slots, speed and a chunk");
  return Read;
}

RequestClass readClass(const std::string &Name, Section From) {
  RequestClass Read;
  Read.Name = Name;
  Read.RequestsPerSecond = From.required("per-second");
  Read.SharedLevels = readChain(From.text("shared"));
  Read.MeanOwnTokens = From.required("own-tokens");
  Read.OwnSpread = From.number("own-spread", 0);
  Read.MeanOutputTokens = From.required("output-tokens");
  Read.OutputSpread = From.number("output-spread", 0);
  Read.Objective = From.required("objective-ms");
  Read.TimeLimit = From.required("time-limit-ms");
  From.refuseOthers();
  return Read;
}

Flood readFlood(Section From) {
  Flood Read;
  Read.Account = counted(From.required("account"));
  Read.From = From.required("from-s") * 1000;
  Read.To = From.required("to-s") * 1000;
  Read.RateFactor = From.required("times");
  From.refuseOthers();
  return Read;
}

Scenario read(const std::string &Path) {
  const Poco::AutoPtr<IniFileConfiguration> File(
      new IniFileConfiguration(Path));
  Section Whole(*File, "scenario");
  Scenario Read;
  Read.Name = std::filesystem::path(Path).stem();
  Read.Engines = counted(Whole.required("engines"));
  Read.Accounts = counted(Whole.number("accounts", Read.Accounts));
  Read.AccountSkew = Whole.number("account-skew", Read.AccountSkew);
  Read.Length = Whole.required("length-s") * 1000;
  Read.StatedTokensPerSecond =
      counted(Whole.required("stated-tokens-per-second"));
  Read.OneWayDelay = Whole.number("way-ms", Read.OneWayDelay);
  Whole.refuseOthers();
  Read.Parameters = readEngine(Section(*File, "engine"));
  IniFileConfiguration::Keys Sections;
  File->keys(Sections);
  for (const std::string &Each : Sections) {
    if (Each.starts_with("class-"))
      Read.Classes.push_back(readClass(Each.substr(6), Section(*File, Each)));
    else if (Each.starts_with("flood-"))
      Read.Floods.push_back(readFlood(Section(*File, Each)));
    else if (Each != "scenario" && Each != "engine")
      throw Poco::DataFormatException("section " + Each + " is not known");
  }
  if (Read.Engines == 0 || Read.Accounts == 0 || Read.Classes.empty())
    throw Poco::DataFormatException(
        "a scenario has engines, accounts and classes");
  return Read;
}

} // namespace

Result<Scenario> readScenario(const std::string &Path) {
  try {
    return read(Path);
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::InvalidInput,
                   Path + ": " + Problem.displayText());
  }
}

} // namespace parsleywing::lab
