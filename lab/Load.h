#ifndef PARSLEYWING_LAB_LOAD_H
#define PARSLEYWING_LAB_LOAD_H

#include "Placement/PromptPart.h"
#include "lab/Engine.h"

#include <string>
#include <vector>

namespace parsleywing::lab {

/// One link of the chain of shared parts that prompts of a kind begin with.
struct SharedPartLevel {
  double MeanTokens = 0;
  /// Different parts of this link; each request is about one of them.
  std::uint32_t Variants = 1;
};

/// Requests of one kind. Sizes are log-normal: a spread of 1 makes the largest
/// tenth some three times the mean.
struct RequestClass {
  std::string Name;
  double RequestsPerSecond = 0;
  std::vector<SharedPartLevel> SharedLevels;
  double MeanOwnTokens = 0;
  double OwnSpread = 0;
  double MeanOutputTokens = 1;
  double OutputSpread = 0;
  /// The first token is on time within this.
  Milliseconds Objective = 500;
  /// The caller leaves after this.
  Milliseconds TimeLimit = 10'000;
};

/// A burst of one account: so many times its usual calls for a while.
struct Flood {
  std::uint32_t Account = 0;
  Milliseconds From = 0;
  Milliseconds To = 0;
  double RateFactor = 1;
};

/// What is played.
struct Scenario {
  std::string Name;
  std::uint32_t Engines = 4;
  EngineParameters Parameters;
  std::vector<RequestClass> Classes;
  std::uint32_t Accounts = 16;
  /// The calls of the I-th account go as (I+1) to the power of minus this.
  double AccountSkew = 1;
  std::vector<Flood> Floods;
  Milliseconds Length = 20'000;
  /// What operators state of all engines' tokens in a second.
  std::uint64_t StatedTokensPerSecond = 0;
  /// One way between a router and the allocator, or an engine.
  Milliseconds OneWayDelay = 1;
};

/// One call of a caller.
struct Call {
  Milliseconds At = 0;
  std::size_t Class = 0;
  std::uint32_t Account = 0;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
};

/// The calls of a scenario in the order of their times, the same for a seed.
std::vector<Call> generateCalls(const Scenario &Played, std::uint64_t Seed);

} // namespace parsleywing::lab

#endif
