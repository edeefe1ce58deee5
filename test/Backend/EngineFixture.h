#ifndef PARSLEYWING_TEST_BACKEND_ENGINEFIXTURE_H
#define PARSLEYWING_TEST_BACKEND_ENGINEFIXTURE_H

#include "Backend/EngineClient.h"
#include "standin/EngineStandIn.h"

#include <functional>
#include <string>

namespace parsleywing::test {

/// Polls until the condition holds; false after `Timeout`.
bool eventually(const std::function<bool()> &Condition,
                Duration Timeout = std::chrono::seconds(10));

/// A stand-in engine on loopback and a client for it, in one process.
struct EngineFixture {
  explicit EngineFixture(BackendSettings S = pausedSettings(),
                         standin::EngineOptions O = quickEngine());

  /// Settings with a paused clock: no timeout expires unless the test advances
  /// it. On a busy machine the engine's threads may be suspended for longer
  /// than any timeout.
  static BackendSettings pausedSettings();
  static standin::EngineOptions quickEngine();

  EngineCall call(std::uint64_t Tokens);

  /// Runs the call and collects the text that it delivers.
  EngineResult run(const EngineCall &Call);

  /// Returns the complete text of a response of `Tokens` tokens.
  static std::string fullText(std::uint64_t Tokens);

  standin::EngineStandIn Engine;
  BackendCounters Counters;
  EngineClient Client;
  std::string Text;
  int SentCalls = 0;
  int LeavingNotices = 0;
};

} // namespace parsleywing::test

#endif
