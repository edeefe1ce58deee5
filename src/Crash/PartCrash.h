#ifndef PARSLEYWING_CRASH_PARTCRASH_H
#define PARSLEYWING_CRASH_PARTCRASH_H

#include "Crash/CrashRegistry.h"

#include <cstdint>

namespace parsleywing {

/// Identifies a part of a prompt that several requests may share: the hash of
/// its name. Callers choose the names.
using PartId = std::uint64_t;

/// States that a request with this part in its prompt was in progress at a
/// server's process when that process crashed, or that the part has been
/// answered since. Facts may arrive in any order and more than once.
struct PartCrash {
  PartId Part = 0;
  ServerProcess Process;
  /// `RequestIdentity::Low` of the request.
  std::uint64_t Request = 0;
  /// How long before the crash the request was sent to the server, in
  /// milliseconds.
  std::uint32_t SentBeforeMs = 0;
  /// The time since the crash, in milliseconds, as far as the sender knows.
  std::uint32_t AgeMs = 0;
  /// A request with this part has been answered that was begun after the
  /// crash, so that the part has not caused it.
  bool Cleared = false;
  /// The request was a probe.
  bool Probed = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Part, this->Process, this->Request, this->SentBeforeMs,
       this->AgeMs, this->Cleared, this->Probed);
  }
};

} // namespace parsleywing

#endif
