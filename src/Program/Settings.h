#ifndef PARSLEYWING_PROGRAM_SETTINGS_H
#define PARSLEYWING_PROGRAM_SETTINGS_H

#include "Backend/LoadPoller.h"
#include "Caller/CallerServer.h"
#include "Decision/RouterCore.h"
#include "Operator/IniFile.h"
#include "Runtime/Clock.h"
#include "Runtime/Log.h"

#include <map>
#include <string>

namespace parsleywing {

/// How this router reaches the platform's key-value service.
struct PlatformAccess {
  /// Numeric host and port; empty where the router runs without the store.
  std::string Address;
  /// Start of every key that the fleet uses.
  std::string Prefix = "parsleywing/";
  /// Start of the keys that list the platform's VMs.
  std::string VmPrefix = "vms/";
  /// The part of the store's rates that this router may use for its lease, the
  /// configuration and the lists, all kinds of calls together.
  std::uint32_t MaxCallsPerSecond = 8;
  /// The same for run records. With one rate for both, many claims would use
  /// up the calls that keep the router's lease.
  std::uint32_t MaxRecordCallsPerSecond = 12;
  Duration RequestTimeout = std::chrono::seconds(2);
  Duration LeaseTtl = std::chrono::seconds(30);
};

/// How this router reaches the others.
struct FleetAccess {
  /// Names and addresses of the routers known from the start.
  std::map<std::string, std::string> KnownRouters;
  /// Shared by the whole fleet; proves that a datagram comes from a router.
  std::string Secret;
  /// The most that this router may send to the others, headers included: a
  /// guard against storms, twice the goal of 4 KB/s on average. A guard at the
  /// goal itself held slots back at the busiest routers, which then sent more
  /// to ask for them.
  std::int64_t MaxBytesPerSecond = 8192;
  /// Lets operators cut this router off from others; for tests only.
  bool FaultInjection = false;
};

/// Which of the fairness policies is in force.
enum class FairnessMode {
  Local,  ///< Each router its own fair queue.
  Shared, ///< Account positions and slots are shared between routers.
};

inline constexpr EnumNames<FairnessMode, 2> FairnessModeNames{{
    {FairnessMode::Local, "local"},
    {FairnessMode::Shared, "shared"},
}};

/// The settings of one router process, as its file gives them.
struct Settings {
  std::string Name;
  std::string Zone;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// Declarations in force until the platform gives newer ones; may be empty.
  std::string DeclarationsFile;
  FleetAccess Peers;
  PlatformAccess Platform;
  CallerSettings Callers;
  FairnessMode Policy = FairnessMode::Shared;
  /// Settings of the decision modules. Names, seeds and addresses in it are
  /// filled in by the process.
  RouterCoreSettings Core;
  PollSettings Polling;
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
