#ifndef PARSLEYWING_BACKEND_ENGINECLIENT_H
#define PARSLEYWING_BACKEND_ENGINECLIENT_H

#include "Backend/BackendCounters.h"
#include "Backend/BackendSettings.h"
#include "Backend/ConnectionPool.h"
#include "Backend/ResponseStreamCheck.h"
#include "Decision/Request/RequestTypes.h"

#include <functional>
#include <optional>
#include <string>

namespace parsleywing {

/// One attempt to have a model engine answer a request.
struct EngineCall {
  /// Numeric host and port of the engine.
  std::string Address;
  std::string Model;
  std::string Input;
  /// The input as JSON, where it is not a text; empty where it is.
  std::string InputJson = {};
  std::uint64_t MaxOutputTokens = 0;
  /// Names the request and the attempt; the engine repeats it in its answer.
  /// A resumed attempt keeps the identity of the one that broke.
  std::string Identity;
  /// Tightens the limits of silence in the settings; zero leaves them.
  Duration ProgressTimeout{0};
  /// Whether the request may be sent again after it may have run. Only then an
  /// idle connection may carry it.
  bool Repeatable = false;
  /// Passed to the engine beside the identity; empty where there is none.
  std::string IdempotencyKey = {};
  /// Takes a broken stream up again in place of a new request.
  std::optional<ResumePoint> ResumeFrom = std::nullopt;
};

/// What the attempt tells the thread that serves the caller. All functions are
/// called from the thread that runs the call; any may be empty.
struct EngineListener {
  /// The first byte of the request may leave from here on.
  std::function<void()> SendStarted;
  /// A piece of the answer, and the tokens generated so far. False ends the
  /// attempt, since the caller is gone.
  std::function<bool(const std::string &Text, std::uint64_t Tokens)>
      DeltaReceived;
  /// Receives what ends a blocked read from another thread; an empty function
  /// when the attempt is over. What it receives never blocks, and may be
  /// called any number of times, also after the attempt.
  std::function<void(std::function<void()>)> SetCanceller;
};

/// How the attempt ended, and its whole cost.
struct EngineResult {
  AttemptOutcome Outcome;
  std::uint64_t Tokens = 0;
  /// Where an interrupted stream can be taken up again, on the same engine.
  std::optional<ResumePoint> Resume = std::nullopt;
  /// The engine was silent and did not answer a probe on a new connection
  /// either. Where false after a silence, only the connection was at fault.
  bool ServerSuspect = false;
  /// The engine refused because it takes no new work.
  bool ServerLeaving = false;
  /// The attempt went over an idle connection that broke before the first byte
  /// of the answer.
  bool PooledConnectionBroke = false;
  /// Seconds after which the engine asked to come back; zero if it did not.
  std::uint32_t RetryAfterSeconds = 0;
};

/// Runs attempts through the engines' streamed responses API. Safe from every
/// thread; each call blocks its thread until the attempt ends. Costs a new
/// connection for each request that may not be repeated.
class EngineClient {
public:
  EngineClient(BackendSettings S, BackendCounters &C)
      : Settings(std::move(S)), Counters(C), Pool(this->Settings) {}

  /// Never throws.
  EngineResult run(const EngineCall &Call, const EngineListener &Listener);

  /// Orders the engine to cancel a response whose stream broke and is not taken
  /// up again: it would run on and hold a slot. Blocks for `CancelLimit` at
  /// most.
  void cancel(const std::string &Address, const std::string &ResponseId);

  const BackendSettings &settings() const { return this->Settings; }

private:
  BackendSettings Settings;
  BackendCounters &Counters;
  ConnectionPool Pool;
};

/// The counters of the process.
BackendCounters &processCounters();

} // namespace parsleywing

#endif
