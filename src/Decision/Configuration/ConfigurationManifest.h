#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMANIFEST_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMANIFEST_H

#include "Decision/Configuration/ConfigurationText.h"

#include <cstdint>
#include <string>
#include <vector>

namespace parsleywing {

/// Names one accepted configuration: its number, whose it is, and the parts
/// that make up its text.
struct ConfigurationManifest {
  std::uint64_t Generation = 0;
  std::string ApplyId;
  std::string Operator;
  /// When it was applied, by the operator's wall clock, for a person.
  std::string Time;
  /// Of the whole text, whatever its parts.
  TextHash Hash;
  std::vector<TextHash> Parts;
};

} // namespace parsleywing

#endif
