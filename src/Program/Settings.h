#ifndef PARSLEYWING_PROGRAM_SETTINGS_H
#define PARSLEYWING_PROGRAM_SETTINGS_H

#include "Caller/CallerServer.h"
#include "Operator/IniFile.h"
#include "Runtime/Clock.h"
#include "Runtime/Log.h"

#include <map>
#include <string>

namespace parsleywing {

/// The platform's key-value service.
struct PlatformSettings {
  /// Numeric host and port; empty where the router runs without the store.
  std::string Address;
  /// Start of every key that the fleet uses.
  std::string Prefix = "parsleywing/";
  /// The part of the store's rates that this router may use.
  std::uint32_t MaxReadsPerSecond = 5;
  std::uint32_t MaxWritesPerSecond = 1;
  Duration RequestTimeout = std::chrono::seconds(2);
};

/// The life of requests at this router.
struct RequestSettings {
  std::uint32_t QueueLimit = 10'000;
  /// Retries, as a part of the requests that arrived.
  std::uint32_t RetryBudgetPercent = 10;
  Duration MaxTimeout = std::chrono::minutes(10);
  /// The longest time a drain may take before the process ends all the same.
  Duration DrainLimit = std::chrono::seconds(60);
};

/// How the router shares capacity between client accounts.
enum class FairnessPolicy {
  Local,  ///< Each router its own fair queue.
  Shared, ///< Account positions and slots are shared between routers.
};

inline constexpr EnumNames<FairnessPolicy, 2> FairnessPolicyNames{{
    {FairnessPolicy::Local, "local"},
    {FairnessPolicy::Shared, "shared"},
}};

struct FairnessSettings {
  FairnessPolicy Policy = FairnessPolicy::Local;
  Duration DigestInterval = std::chrono::seconds(1);
  /// Routers whose digests are weighed when a slot falls free.
  std::uint32_t SampleSize = 3;
};

/// Backend servers and the reports of their load.
struct BackendSettings {
  Duration LoadPollInterval = std::chrono::seconds(1);
};

/// The other routers.
struct PeerSettings {
  /// Names and addresses of the routers known from the start.
  std::map<std::string, std::string> Known;
  /// Shared by the whole fleet; proves that a datagram comes from a router.
  std::string Secret;
};

/// The settings of one router process, as its file gives them.
struct Settings {
  std::string Name;
  std::string Zone;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// Declarations in force until the platform gives newer ones; may be empty.
  std::string DeclarationsFile;
  PeerSettings Peers;
  PlatformSettings Platform;
  CallerSettings Callers;
  RequestSettings Requests;
  FairnessSettings Fairness;
  BackendSettings Backends;
  LogLevel Level = LogLevel::Info;
  std::string LogTarget = "stderr";
};

/// Reads and checks a settings file: every section and key must be known and
/// each value allowed. The first problem is returned as one sentence with the
/// file, line, section and key.
Result<Settings> readSettings(const std::string &Path);

/// The same for a file already parsed.
Result<Settings> readSettings(const IniFile &File);

} // namespace parsleywing

#endif
