#ifndef PARSLEYWING_PROGRAM_PLATFORMDECLARATIONS_H
#define PARSLEYWING_PROGRAM_PLATFORMDECLARATIONS_H

#include "Decision/Declarations.h"
#include "Platform/RouterRegistration.h"
#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <string>
#include <vector>

namespace parsleywing {

/// Location of the fleet's data in the platform's store.
struct PlatformEndpoint {
  /// Numeric host and port.
  std::string Address;
  /// Prefix of every key that the fleet uses.
  std::string Prefix;
};

/// An operator's request to activate a declarations file.
struct ApplyRequest {
  PlatformEndpoint Platform;
  /// The complete file, already validated.
  std::string Text;
  /// The operator's name, shown to others whose apply conflicts with this one.
  std::string OperatorName;
  /// How long to retry while the store does not answer.
  Duration Timeout = Duration::zero();
};

/// The active declarations: their generation and canonical text.
struct AppliedDeclarations {
  std::uint64_t Generation = 0;
  std::string Text;
};

/// Activates the file by one compare-and-swap in the platform's store. Returns
/// `Conflict` if another operator's file was applied first; the message names
/// the operator and the changes since, and nothing of this file is active.
/// Returns `Interrupted` if the store stopped answering after the write was
/// sent, so that the file may be active; `show` reports which. With any other
/// error the file is certainly not active.
Result<AppliedDeclarations> applyToPlatform(const ApplyRequest &Request);

/// Reads the active declarations; `NotFound` if none have been applied yet.
Result<AppliedDeclarations> readFromPlatform(const PlatformEndpoint &Platform);

/// Lists the routers that hold a lease, with the data they registered. Makes
/// one call to the store.
Result<std::vector<RouterRegistration>>
listRouters(const PlatformEndpoint &Platform);

} // namespace parsleywing

#endif
