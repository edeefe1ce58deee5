#ifndef PARSLEYWING_BACKEND_ENGINECLIENT_H
#define PARSLEYWING_BACKEND_ENGINECLIENT_H

#include "Decision/Request/RequestTypes.h"
#include "Runtime/Clock.h"

#include <functional>
#include <string>

namespace parsleywing {

/// One attempt to have a model engine answer a request.
struct EngineCall {
  /// Numeric host and port of the engine.
  std::string Address;
  std::string Model;
  std::string Input;
  std::uint64_t MaxOutputTokens = 0;
  /// Names the request and the attempt; the engine repeats it in its answer.
  std::string Identity;
  /// The longest silence of the engine before the attempt counts as broken.
  Duration SilenceLimit;
};

/// What the attempt tells the thread that serves the caller.
struct EngineListener {
  /// The first byte of the request may leave from here on.
  std::function<void()> Sent;
  /// A piece of the answer, and the tokens generated so far. False ends the
  /// attempt, since the caller is gone.
  std::function<bool(const std::string &Text, std::uint64_t Tokens)> Delta;
  /// Receives what ends a blocked read from another thread; an empty function
  /// when the attempt is over.
  std::function<void(std::function<void()>)> SetBreaker;
};

/// How the attempt ended, and its whole cost.
struct EngineResult {
  AttemptOutcome Outcome;
  std::uint64_t Tokens = 0;
};

/// Runs one attempt through the engine's streamed responses API. Blocks the
/// calling thread until it ends.
EngineResult runEngineCall(const EngineCall &Call,
                           const EngineListener &Listener);

} // namespace parsleywing

#endif
