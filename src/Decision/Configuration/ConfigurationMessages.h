#ifndef PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMESSAGES_H
#define PARSLEYWING_DECISION_CONFIGURATION_CONFIGURATIONMESSAGES_H

#include "Decision/Configuration/ConfigurationText.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// What leads from one generation to a later one, and the hash of the text
/// that results.
struct ConfigurationStep {
  std::uint64_t From = 0;
  std::uint64_t To = 0;
  TextHash Hash;
  ConfigurationDelta Delta;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(From, To, Hash, Delta);
  }
};

/// The sender has this generation in force; zero where it has none yet.
struct ConfigurationAnnounce {
  std::uint64_t Generation = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(Generation); }
};

/// The sender has this generation and asks for what came after it.
struct ConfigurationRequest {
  std::uint64_t From = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(From); }
};

/// The steps that follow a wanted generation, each from the end of the last.
struct ConfigurationSteps {
  std::vector<ConfigurationStep> Steps;

  template <class Archive> void serialize(Archive &Ar) { Ar(Steps); }
};

/// A whole text, for a router that has none or is too far behind.
struct ConfigurationSnapshot {
  std::uint64_t Generation = 0;
  TextHash Hash;
  std::string Text;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Generation, Hash, Text);
  }
};

/// What routers tell each other of the configuration.
using ConfigurationMessage =
    std::variant<ConfigurationAnnounce, ConfigurationRequest,
                 ConfigurationSteps, ConfigurationSnapshot>;

} // namespace parsleywing

#endif
