#ifndef PARSLEYWING_PROGRAM_SETTINGS_H
#define PARSLEYWING_PROGRAM_SETTINGS_H

#include "Operator/IniFile.h"
#include "Runtime/Clock.h"
#include "Runtime/Log.h"

#include <map>
#include <string>

namespace parsleywing {

/// The settings of one router process.
struct Settings {
  std::string Name;
  std::string Zone;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// Names and addresses of the other routers known from the start.
  std::map<std::string, std::string> Peers;
  std::string PlatformAddress;
  /// Declarations in force until the platform gives newer ones; may be empty.
  std::string DeclarationsFile;
  LogLevel Level = LogLevel::Info;
  std::string LogTarget = "stderr";
};

/// Reads and checks a settings file: every section and key must be known.
Result<Settings> readSettings(const std::string &Path);

} // namespace parsleywing

#endif
