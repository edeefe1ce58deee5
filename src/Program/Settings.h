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

/// Access of this router to the platform's key-value service.
struct PlatformAccess {
  /// Numeric host and port; empty if the router runs without the store.
  std::string Address;
  /// Prefix of every key that the fleet uses.
  std::string Prefix = "parsleywing/";
  /// Prefix of the keys that list the platform's VMs.
  std::string VmPrefix = "vms/";
  /// Rate limit of this router's calls for its lease, the configuration and the
  /// lists, all kinds of calls together.
  std::uint32_t MaxCallsPerSecond = 8;
  /// Rate limit of the calls for run records. With one limit for both, many
  /// claims would use up the calls that renew the router's lease.
  std::uint32_t MaxRecordCallsPerSecond = 12;
  Duration RequestTimeout = std::chrono::seconds(2);
  Duration LeaseTtl = std::chrono::seconds(30);
};

/// Access of this router to the other routers.
struct FleetAccess {
  /// Names and addresses of the routers known from the start.
  std::map<std::string, std::string> KnownRouters;
  /// Secret shared by the whole fleet; authenticates datagrams from routers.
  std::string Secret;
  /// Rate limit of the traffic to other routers, headers included. Protects
  /// against message storms; it is twice the goal of 4 KB/s on average. A limit
  /// at the goal itself delayed slots at the busiest routers, which then sent
  /// more messages to request them.
  std::int64_t MaxBytesPerSecond = 8192;
  /// Lets operators disconnect this router from others; for tests only.
  bool FaultInjection = false;
};

/// The fairness policy.
enum class FairnessMode {
  Local,  ///< Each router has a fair queue of its own.
  Shared, ///< Routers share the accounts' virtual times and the slots.
};

inline constexpr EnumNames<FairnessMode, 2> FairnessModeNames{{
    {FairnessMode::Local, "local"},
    {FairnessMode::Shared, "shared"},
}};

/// The settings of one router process, read from its settings file.
struct Settings {
  std::string Name;
  std::string Zone;
  std::string PeerAddress;
  std::string OperatorAddress;
  /// Declarations that are active until the platform has newer ones; may be
  /// empty.
  std::string DeclarationsFile;
  FleetAccess Peers;
  PlatformAccess Platform;
  CallerSettings Callers;
  FairnessMode Policy = FairnessMode::Shared;
  /// Settings of the decision modules. The process fills in the names, seeds
  /// and addresses.
  RouterCoreSettings Core;
  PollSettings Polling;
  LogLevel Level = LogLevel::Info;
  std::string LogTarget = "stderr";
};

/// Reads and validates a settings file: every section and key must be known and
/// each value allowed. The error describes the first problem in one sentence,
/// with the file, line, section and key.
Result<Settings> readSettings(const std::string &Path);

/// Validates the settings of a parsed file.
Result<Settings> readSettings(const IniFile &File);

} // namespace parsleywing

#endif
