#ifndef PARSLEYWING_DECISION_CRASHES_CRASHFACTS_H
#define PARSLEYWING_DECISION_CRASHES_CRASHFACTS_H

#include "Crash/CrashRegistry.h"

#include <cereal/types/vector.hpp>
#include <vector>

namespace parsleywing {

/// Tells another router which requests were in progress at servers that
/// crashed. Each fact takes 41 bytes on the wire.
struct CrashFacts {
  /// Set by a router that has just started: the receiver replies with all facts
  /// that it knows.
  bool WantsReply = false;
  std::vector<CrashFact> Facts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->WantsReply, this->Facts);
  }
};

} // namespace parsleywing

#endif
