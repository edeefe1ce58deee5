#ifndef PARSLEYWING_PLATFORM_ROUTERREGISTRATION_H
#define PARSLEYWING_PLATFORM_ROUTERREGISTRATION_H

#include "Decision/Membership/View.h"

#include <optional>
#include <string>

namespace parsleywing {

/// A router as it lists itself in the store, under its one lease.
struct RouterRegistration {
  std::string Name;
  std::string Zone;
  std::string CallerAddress;
  std::string PeerAddress;
  Incarnation IncarnationNumber = 0;
  /// Where operators reach it; empty where it has no such address.
  std::string OperatorAddress;
};

/// The value that stands in the store.
std::string encodeRegistration(const RouterRegistration &Router);

/// Reads such a value; nothing where it is not one. An earlier version wrote
/// no operator address.
std::optional<RouterRegistration> decodeRegistration(const std::string &Text);

} // namespace parsleywing

#endif
