#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMANIFEST_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMANIFEST_H

#include "Decision/Configuration/ConfigurationText.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleywing {

/// Describes one accepted configuration: its generation, who applied it, and
/// the parts that make up its text.
struct ConfigurationManifest {
  std::uint64_t Generation = 0;
  std::string ApplyId;
  std::string Operator;
  /// When it was applied, by the operator's wall clock. For human readers only.
  std::string Time;
  /// The hash of the complete text; it does not depend on the split into parts.
  TextHash Hash;
  std::vector<TextHash> Parts;
};

} // namespace parsleywing

#endif
