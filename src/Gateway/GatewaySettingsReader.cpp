#include "Gateway/GatewaySettingsReader.h"

#include "Operator/SectionReader.h"
#include "Operator/ValueChecks.h"

#include <algorithm>
#include <charconv>

namespace parsleywing {

namespace {

constexpr std::uint32_t MaxMilliseconds = 600'000;
constexpr std::uint32_t MaxConnections = 100'000;

/// Defaults of `descriptors` and `memory-mb`.
constexpr std::uint32_t DefaultDescriptors = 4096;
constexpr std::uint32_t DefaultMemoryMb = 256;
constexpr std::uint32_t MaxMemoryMb = 1'000'000;

/// The part of `memory-mb` that the buffers of connections may take: a quarter,
/// 22 MB of 88 MB. The largest routers measured at 300 routers took 41 to 62
/// MB in all without slow readers.
constexpr std::size_t BufferDivisor = 4;
constexpr std::size_t BytesPerMb = 1'000'000;

/// The default of `max-callers` for these resources. An active request has a
/// second connection to its server. `CallersPerMb` allows some 42 KB per
/// caller, twice what its request, response and buffers take (63 MB at 3,600
/// descriptors during a flood).
std::uint32_t defaultMaxCallers(std::uint32_t Descriptors,
                                std::uint32_t MemoryMb) {
  constexpr std::uint32_t DescriptorsPerCaller = 2;
  constexpr std::uint32_t CallersPerMb = 24;
  return std::max(1U, std::min(Descriptors / DescriptorsPerCaller,
                               MemoryMb * CallersPerMb));
}

/// Parses a settings file, each section with its own function.
class SettingsParser {
public:
  explicit SettingsParser(const IniFile &F) : File(F) {}

  Result<GatewayFileSettings> run() {
    for (const IniSection &Section : this->File.Sections)
      if (std::string Problem = this->section(Section); !Problem.empty())
        return failure(ErrorCode::InvalidInput, std::move(Problem));
    for (const char *Name : {"gateway", "store"})
      if (this->File.find(Name) == nullptr)
        return failure(ErrorCode::InvalidInput, this->File.Path +
                                                    ":1: section [" + Name +
                                                    "] is required");
    return this->Settings;
  }

private:
  std::string section(const IniSection &Section) {
    SectionReader Reader(this->File, Section);
    if (Section.Name == "gateway")
      this->gateway(Reader);
    else if (Section.Name == "store")
      this->store(Reader);
    else if (Section.Name == "bounds")
      this->bounds(Reader);
    else if (Section.Name == "services")
      this->services(Reader);
    else if (Section.Name == "placement")
      this->placement(Reader);
    else if (Section.Name == "log")
      this->logging(Reader);
    else
      return this->File.Path + ":" + std::to_string(Section.Line) + ": [" +
             Section.Name +
             "] is not a known section; allowed are [gateway], "
             "[store], [bounds], [placement], [services], [log]";
    return Reader.finish();
  }

  static std::string address(SectionReader &Reader, const std::string &Key,
                             bool Required) {
    std::string Value =
        Required ? Reader.requiredText(Key) : Reader.text(Key, "");
    if (!Value.empty() && !isNumericAddress(Value))
      Reader.failAt(Key, std::string("must be ") + AddressRule + ", not '" +
                             Value + "'");
    return Value;
  }

  static Duration milliseconds(SectionReader &Reader, const std::string &Key,
                               Duration Default) {
    const auto DefaultMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Default).count();
    return std::chrono::milliseconds(Reader.count(
        Key, static_cast<std::uint32_t>(DefaultMs), MaxMilliseconds));
  }

  static double nonNegative(SectionReader &Reader, const std::string &Key,
                            double Default) {
    const std::string Text = Reader.text(Key, "");
    if (Text.empty())
      return Default;
    double Value = 0;
    const char *End = Text.data() + Text.size();
    const auto [Stop, Problem] = std::from_chars(Text.data(), End, Value);
    if (Problem != std::errc() || Stop != End || !(Value >= 0))
      Reader.failAt(Key, "must be a number that is not negative, not '" + Text +
                             "'");
    return Value;
  }

  /// A number of seconds, which may have a fraction.
  static Duration seconds(SectionReader &Reader, const std::string &Key,
                          Duration Default) {
    const std::chrono::duration<double> DefaultSeconds(Default);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        nonNegative(Reader, Key, DefaultSeconds.count())));
  }

  void gateway(SectionReader &Reader) {
    GatewaySettings &G = this->Settings.Gateway;
    G.Name = Reader.requiredText("name");
    if (!isName(G.Name))
      Reader.failAt("name", std::string("must be ") + NameRule);
    G.Zone = Reader.text("zone", "");
    G.CallerAddress = address(Reader, "callers", true);
    G.ReadyAddress = address(Reader, "ready", false);
    G.OperatorAddress = address(Reader, "operators", false);
    G.PeerAddress = address(Reader, "peers", false);
    G.Cores = nonNegative(Reader, "cores", G.Cores);
    if (G.Cores <= 0)
      Reader.failAt("cores", "must be above zero");
    const auto Descriptors =
        Reader.count("descriptors", DefaultDescriptors, MaxConnections);
    const auto Memory = Reader.count("memory-mb", DefaultMemoryMb, MaxMemoryMb);
    G.MaxCallerConnections = Reader.count(
        "max-callers", defaultMaxCallers(Descriptors, Memory), MaxConnections);
    if (this->File.find("gateway")->find("memory-mb") != nullptr)
      G.MaxBufferBytes = Memory * BytesPerMb / BufferDivisor;
    G.DrainTimeout = seconds(Reader, "drain-limit-s", G.DrainTimeout);
  }

  void store(SectionReader &Reader) {
    this->Settings.StoreAddress = address(Reader, "address", true);
  }

  void bounds(SectionReader &Reader) {
    GatewaySettings &G = this->Settings.Gateway;
    G.RevocationBound =
        milliseconds(Reader, "revocation-ms", G.RevocationBound);
    G.ConfigurationBound =
        milliseconds(Reader, "configuration-ms", G.ConfigurationBound);
    G.RemovalBound = milliseconds(Reader, "removal-ms", G.RemovalBound);
    G.EvacuationBound =
        milliseconds(Reader, "evacuation-ms", G.EvacuationBound);
    G.WarmUps.RateFactor =
        nonNegative(Reader, "warm-up-over", G.WarmUps.RateFactor);
    G.WarmUps.Slack = nonNegative(Reader, "warm-up-slack", G.WarmUps.Slack);
    G.Retries.Ratio = nonNegative(Reader, "retry-ratio", G.Retries.Ratio);
    G.Retries.Slack = nonNegative(Reader, "retry-slack", G.Retries.Slack);
    G.Retries.Window = seconds(Reader, "retry-window-s", G.Retries.Window);
  }

  void services(SectionReader &Reader) {
    GatewaySettings &G = this->Settings.Gateway;
    G.ShareSlots = Reader.yesOrNo("share-slots", G.ShareSlots);
  }

  void placement(SectionReader &Reader) {
    GatewaySettings &G = this->Settings.Gateway;
    G.WeighCachedPrompts =
        Reader.yesOrNo("weigh-cached-prompts", G.WeighCachedPrompts);
    G.RereadInterval = seconds(Reader, "reread-interval-s", G.RereadInterval);
  }

  void logging(SectionReader &Reader) {
    GatewaySettings &G = this->Settings.Gateway;
    G.MinLogLevel = Reader.choice("level", LogLevelNames, G.MinLogLevel);
    G.LogTarget = Reader.text("target", G.LogTarget);
  }

  const IniFile &File;
  GatewayFileSettings Settings;
};

} // namespace

Result<GatewayFileSettings> readGatewaySettings(const IniFile &File) {
  return SettingsParser(File).run();
}

Result<GatewayFileSettings> readGatewaySettings(const std::string &Path) {
  const auto File = IniFile::read(Path);
  if (!File)
    return tl::unexpected<Error>(File.error());
  return readGatewaySettings(*File);
}

} // namespace parsleywing
