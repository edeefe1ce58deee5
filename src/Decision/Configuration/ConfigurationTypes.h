#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTYPES_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTYPES_H

#include "Decision/Configuration/ConfigurationManifest.h"
#include "Decision/Configuration/ConfigurationMessages.h"
#include "Runtime/Id.h"

#include <memory>

namespace parsleywing {

/// The store's manifest, from a read or a watch. It may be out of date, and
/// manifests may arrive in any order.
struct ManifestRead {
  ConfigurationManifest Manifest;
};

/// The texts of the parts that `ReadParts` named, in the same order.
struct PartsRead {
  std::uint64_t Generation;
  std::vector<std::string> Texts;
};

/// A requested read of the store failed.
struct StoreFailed {};

/// A message from another router was received.
struct ConfigurationMessageReceived {
  RouterId From;
  ConfigurationMessage Message;
};

/// Watch the manifest and report each change as `ManifestRead`.
struct WatchManifest {};

struct StopWatching {};

/// Read the manifest once. `ManifestRead` or `StoreFailed` follows.
struct ReadManifest {};

/// Read these parts. `PartsRead` or `StoreFailed` follows.
struct ReadParts {
  std::uint64_t Generation;
  std::vector<TextHash> Parts;
};

/// Send a message to another router. The message may be lost.
struct SendConfigurationMessage {
  RouterId To;
  /// The message is too large for a datagram.
  bool Bulk;
  /// The message must not be delayed in order to share a datagram with others.
  bool Urgent;
  ConfigurationMessage Message;
};

/// Activates a generation; it is higher than all generations activated before.
struct ActivateConfiguration {
  std::uint64_t Generation;
  std::shared_ptr<const std::string> Text;
  /// The changes since the previously active generation; the complete text if
  /// there was none.
  ConfigurationDelta Changes;
};

} // namespace parsleywing

#endif
