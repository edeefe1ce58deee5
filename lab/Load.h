#ifndef PARSLEYWING_LAB_LOAD_H
#define PARSLEYWING_LAB_LOAD_H

#include "Placement/PromptPart.h"
#include "lab/Engine.h"

#include <string>
#include <vector>

namespace parsleywing::lab {

/// One level of the shared parts at the start of the prompts of a class.
struct SharedPartLevel {
  double MeanTokens = 0;
  /// Number of different parts at this level. Each call uses one of them.
  std::uint32_t Variants = 1;
};

/// A class of calls. Sizes are log-normal; a spread is the standard deviation
/// of the logarithm. With a spread of 1, the largest tenth is at least twice,
/// and on average almost four times, the mean size.
struct CallClass {
  std::string Name;
  double CallsPerSecond = 0;
  std::vector<SharedPartLevel> SharedLevels;
  /// Mean size of the part that belongs to one call alone.
  double MeanOwnTokens = 0;
  double OwnSpread = 0;
  double MeanOutputTokens = 1;
  double OutputSpread = 0;
  /// A response is on time if its first token arrives within this time. In the
  /// simulation, the first chunk of a response is its first token.
  Milliseconds Objective = 500;
  /// The caller disconnects after this time.
  Milliseconds TimeLimit = 10'000;
};

/// A temporary burst of one account: its usual rate of calls times
/// `RateFactor`.
struct Flood {
  std::uint32_t Account = 0;
  Milliseconds From = 0;
  Milliseconds To = 0;
  double RateFactor = 1;
};

/// The load and the deployment to simulate.
struct Scenario {
  std::string Name;
  std::uint32_t Engines = 4;
  EngineParameters Parameters;
  std::vector<CallClass> Classes;
  std::uint32_t Accounts = 16;
  /// Zipf exponent: the rate of account I is proportional to
  /// (I+1)^-AccountSkew.
  double AccountSkew = 1;
  std::vector<Flood> Floods;
  Milliseconds Length = 20'000;
  /// The token throughput of all engines together, as stated in the operators'
  /// configuration.
  std::uint64_t StatedTokensPerSecond = 0;
  /// One-way network delay between a router and the allocator or an engine.
  Milliseconds OneWayDelay = 1;
};

/// One call of a caller. Each of its attempts, at most two, is a request.
struct Call {
  Milliseconds At = 0;
  std::size_t Class = 0;
  std::uint32_t Account = 0;
  std::vector<PromptPart> Parts;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0;
};

/// Generates the calls of a scenario in order of time. Deterministic for a
/// seed.
std::vector<Call> generateCalls(const Scenario &TheScenario,
                                std::uint64_t Seed);

} // namespace parsleywing::lab

#endif
