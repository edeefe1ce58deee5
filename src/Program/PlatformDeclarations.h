#ifndef PARSLEYWING_PROGRAM_PLATFORMDECLARATIONS_H
#define PARSLEYWING_PROGRAM_PLATFORMDECLARATIONS_H

#include "Decision/Declarations.h"
#include "Platform/RouterRegistration.h"
#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Where a command finds the platform's store.
struct PlatformEndpoint {
  /// Numeric host and port.
  std::string Address;
  /// Start of every key that the fleet uses.
  std::string Prefix;
};

/// One operator's wish to put a file in force.
struct ApplyRequest {
  PlatformEndpoint Platform;
  /// The whole file, already checked.
  std::string Text;
  /// Who applies; shown to others whose file comes second.
  std::string OperatorName;
  /// How long to go on trying while the store does not answer.
  Duration Timeout = Duration::zero();
};

/// What is in force: its generation and its canonical text.
struct AppliedDeclarations {
  std::uint64_t Generation = 0;
  std::string Text;
};

/// Puts the file in force by one compare-and-swap in the platform's store.
/// `Conflict` where another operator's file came first: the message names who
/// and what came between, and nothing of this file is in force. `Interrupted`
/// where the store stayed away after the write was sent, so that it may be in
/// force; `show` tells. Any other error: it is certainly not in force.
Result<AppliedDeclarations> applyToPlatform(const ApplyRequest &Wanted);

/// Reads what is in force; `NotFound` where nothing was applied yet.
Result<AppliedDeclarations> readFromPlatform(const PlatformEndpoint &Platform);

/// The routers that hold a lease, each as it registered itself. One call on
/// the store.
Result<std::vector<RouterRegistration>>
listRouters(const PlatformEndpoint &Platform);

} // namespace parsleywing

#endif
