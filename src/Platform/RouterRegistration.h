#ifndef PARSLEYWING_PLATFORM_ROUTERREGISTRATION_H
#define PARSLEYWING_PLATFORM_ROUTERREGISTRATION_H

#include "Decision/Membership/View.h"

#include <optional>
#include <string>

namespace parsleywing {

/// The entry with which a router registers itself in the store, attached to its
/// lease.
struct RouterRegistration {
  std::string Name;
  std::string Zone;
  std::string CallerAddress;
  std::string PeerAddress;
  Incarnation IncarnationNumber = 0;
  /// Address for operators; empty if the router has none.
  std::string OperatorAddress;
};

/// Encodes the value kept in the store.
std::string encodeRegistration(const RouterRegistration &Router);

/// Decodes such a value; returns nothing if it is malformed. The operator
/// address is optional, since an earlier version did not write it.
std::optional<RouterRegistration> decodeRegistration(const std::string &Text);

} // namespace parsleywing

#endif
