#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include "Decision/Configuration/ConfigurationText.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// The changes from one generation to a later one, and the hash of the
/// resulting text.
struct ConfigurationStep {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  TextHash Hash;
  ConfigurationDelta Delta;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, To, Hash, Delta);
  }
};

/// Announces the generation that is active at the sender; zero if it has none
/// yet.
struct ConfigurationAnnounce {
  std::uint64_t Generation = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Generation); }
};

/// The sender has this generation and requests the steps that follow it.
struct ConfigurationRequest {
  std::uint64_t From = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(From); }
};

/// The steps that follow the requested generation. Each step starts at the
/// generation at which the previous one ends.
struct ConfigurationSteps {
  std::vector<ConfigurationStep> Steps;

  template <class Archive> void serialize(Archive &Ar) { Ar(Steps); }
};

/// A complete text, for a router that has none or whose generation is older
/// than all retained steps.
struct ConfigurationSnapshot {
  std::uint64_t Generation = 0;
  TextHash Hash;
  std::string Text;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Generation, Hash, Text);
  }
};

/// The messages that routers exchange about the configuration.
using ConfigurationMessage =
    std::variant<ConfigurationAnnounce, ConfigurationRequest,
                 ConfigurationSteps, ConfigurationSnapshot>;

} // namespace parsleywing

#endif
