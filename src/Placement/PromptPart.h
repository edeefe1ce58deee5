#ifndef PARSLEYWING_PLACEMENT_PROMPTPART_H
#define PARSLEYWING_PLACEMENT_PROMPTPART_H

#include <cstdint>
#include <vector>

namespace parsleywing {

/// A named part of a prompt. Several requests may share all parts of their
/// prompts but the last.
struct PromptPart {
  /// The hash of the part's name.
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Tokens);
  }
};

/// The prompt parts that an engine reports as cached.
struct CachedParts {
  /// When the engine's process started; 0 if not reported.
  std::int64_t ServerStartedMs = 0;
  std::vector<PromptPart> Parts;
};

/// The last part of the prompt that other requests may share, which is the one
/// before the last; null if there is none. Requests are grouped by it.
inline const PromptPart *sharedPart(const std::vector<PromptPart> &Parts) {
  return Parts.size() < 2 ? nullptr : &Parts[Parts.size() - 2];
}

} // namespace parsleywing

#endif
