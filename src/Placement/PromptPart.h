#ifndef PARSLEYWING_PLACEMENT_PROMPTPART_H
#define PARSLEYWING_PLACEMENT_PROMPTPART_H

#include <cstdint>
#include <vector>

namespace parsleywing {

/// A part of a prompt that other requests may share.
struct PromptPart {
  /// A hash of the part's name.
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Tokens);
  }
};

/// What an engine says that it keeps.
struct CachedParts {
  /// The start of its process; 0 where it does not say.
  std::int64_t ServerStartedMs = 0;
  std::vector<PromptPart> Parts;
};

/// The part by which requests are gathered: the deepest that others share, null
/// where there is none. The last part belongs to the request alone.
inline const PromptPart *sharedPart(const std::vector<PromptPart> &Parts) {
  return Parts.size() < 2 ? nullptr : &Parts[Parts.size() - 2];
}

} // namespace parsleywing

#endif
