#include "Program/Settings.h"

#include <functional>

namespace parsleywing {

namespace {

/// Stores the value; returns what is allowed where the value is not.
using Setter = std::function<std::string(Settings &, const std::string &)>;

Setter text(std::string Settings::*Field) {
  return [Field](Settings &Into, const std::string &Value) -> std::string {
    Into.*Field = Value;
    return Value.empty() ? "a text" : "";
  };
}

std::string setLevel(Settings &Into, const std::string &Value) {
  const auto Level = valueOf(LogLevelNames, Value);
  if (!Level)
    return "debug, info, warn or error";
  Into.Level = *Level;
  return {};
}

using SectionKeys = std::map<std::string, Setter>;

const std::map<std::string, SectionKeys> &knownKeys() {
  static const std::map<std::string, SectionKeys> Known{
      {"router",
       {{"name", text(&Settings::Name)},
        {"availability_zone", text(&Settings::Zone)}}},
      {"listen",
       {{"callers", text(&Settings::CallerAddress)},
        {"peers", text(&Settings::PeerAddress)},
        {"operators", text(&Settings::OperatorAddress)}}},
      {"platform", {{"address", text(&Settings::PlatformAddress)}}},
      {"declarations", {{"file", text(&Settings::DeclarationsFile)}}},
      {"log", {{"level", setLevel}, {"target", text(&Settings::LogTarget)}}},
  };
  return Known;
}

} // namespace

Result<Settings> readSettings(const std::string &Path) {
  const auto File = IniFile::read(Path);
  if (!File)
    return tl::unexpected<Error>(File.error());
  Settings Read;
  for (const IniSection &Section : File->Sections) {
    const auto Keys = knownKeys().find(Section.Name);
    for (const IniEntry &Entry : Section.Entries) {
      if (Section.Name == "peers") {
        Read.Peers[Entry.Key] = Entry.Value;
        continue;
      }
      if (Keys == knownKeys().end() || !Keys->second.contains(Entry.Key))
        return failure(ErrorCode::InvalidInput,
                       File->place(Section, Entry) + " is not a known setting");
      const std::string Allowed = Keys->second.at(Entry.Key)(Read, Entry.Value);
      if (!Allowed.empty())
        return failure(ErrorCode::InvalidInput,
                       File->place(Section, Entry) + " must be " + Allowed);
    }
  }
  if (Read.Name.empty() || Read.CallerAddress.empty())
    return failure(ErrorCode::InvalidInput,
                   Path + ": [router] name and [listen] callers are required");
  return Read;
}

} // namespace parsleywing
