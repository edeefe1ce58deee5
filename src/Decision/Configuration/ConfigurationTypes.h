#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTYPES_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONTYPES_H

#include "Decision/Configuration/ConfigurationManifest.h"
#include "Decision/Configuration/ConfigurationMessages.h"
#include "Runtime/Id.h"

#include <memory>

namespace parsleywing {

/// The store's manifest, from a read or a watch. May be old, and may come in
/// any order.
struct ManifestRead {
  ConfigurationManifest Manifest;
};

/// The texts of the parts that `ReadParts` named, in its order.
struct PartsRead {
  std::uint64_t Generation;
  std::vector<std::string> Texts;
};

/// A read of the store that was asked for failed.
struct StoreFailed {};

/// Another router told something.
struct ConfigurationMessageReceived {
  RouterId From;
  ConfigurationMessage Message;
};

/// Watch the manifest and report each change as `ManifestRead`.
struct WatchManifest {};

struct StopWatching {};

/// Read the manifest once: `ManifestRead` or `StoreFailed` follows.
struct ReadManifest {};

/// Read these parts: `PartsRead` or `StoreFailed` follows.
struct ReadParts {
  std::uint64_t Generation;
  std::vector<TextHash> Parts;
};

/// Send a message to another router; it may be lost.
struct SendConfigurationMessage {
  RouterId To;
  /// Too large for a datagram.
  bool Bulk;
  /// Not to be held back to share a datagram with others.
  bool Urgent;
  ConfigurationMessage Message;
};

/// This generation is in force from now on; it is higher than all before.
struct ActivateConfiguration {
  std::uint64_t Generation;
  std::shared_ptr<const std::string> Text;
  /// What changed since the last generation put in force; all of the text
  /// where there was none.
  ConfigurationDelta Changes;
};

} // namespace parsleywing

#endif
