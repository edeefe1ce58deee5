#ifndef PARSLEYWING_TEST_BACKEND_ENGINEFIXTURE_H
#define PARSLEYWING_TEST_BACKEND_ENGINEFIXTURE_H

#include "Backend/EngineClient.h"
#include "standin/EngineStandIn.h"

#include <functional>
#include <string>

namespace parsleywing::test {

/// Waits, up to ten seconds as a rule, for something to become true.
bool eventually(const std::function<bool()> &Holds,
                Duration Patience = std::chrono::seconds(10));

/// An engine on loopback and a client for it, in one process.
struct EngineFixture {
  explicit EngineFixture(BackendSettings S = pausedSettings(),
                         standin::EngineOptions O = quickEngine());

  /// No limit passes unless the test advances the clock: on a busy machine the
  /// engine's threads may rest for longer than any limit.
  static BackendSettings pausedSettings();
  static standin::EngineOptions quickEngine();

  EngineCall call(std::uint64_t Tokens);

  /// Runs the call and collects what it passes on.
  EngineResult run(const EngineCall &Call);

  /// The text of an answer of this many tokens.
  static std::string wholeText(std::uint64_t Tokens);

  standin::EngineStandIn Engine;
  BackendCounters Counters;
  EngineClient Client;
  std::string Text;
  int SentCalls = 0;
};

} // namespace parsleywing::test

#endif
