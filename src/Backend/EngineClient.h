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

/// Parameters of one attempt to run a request on a model engine.
struct EngineCall {
  /// Numeric host and port of the engine.
  std::string Address;
  std::string Model;
  std::string Input;
  /// The input as JSON if it is not a string; otherwise empty.
  std::string InputJson = {};
  std::uint64_t MaxOutputTokens = 0;
  /// Identifies the request and the attempt; the engine repeats it in its
  /// response. A resumed attempt keeps the identity of the interrupted one.
  std::string Identity;
  /// Upper bound on the first-event and event-gap timeouts of the settings;
  /// zero for none.
  Duration ProgressTimeout{0};
  /// Whether the request may be sent again after it may have run. Only such
  /// requests use pooled connections.
  bool Repeatable = false;
  /// Sent to the engine along with the identity; empty if there is none.
  std::string IdempotencyKey = {};
  /// If set, resumes an interrupted stream instead of sending a new request.
  std::optional<ResumePoint> ResumeFrom = std::nullopt;
};

/// Callbacks of an attempt. All are called from the thread that runs the call;
/// any may be empty.
struct EngineListener {
  /// Called before the first byte of the request is sent.
  std::function<void()> SendStarted;
  /// Called with each chunk of output text and the tokens generated so far.
  /// Returns false if the caller has disconnected, which ends the attempt.
  std::function<bool(const std::string &Text, std::uint64_t Tokens)>
      DeltaReceived;
  /// Called once the head of a response states that the server is draining,
  /// which may be long before the end of the attempt.
  std::function<void()> ServerLeaving;
  /// Receives a function that cancels the attempt from another thread, and an
  /// empty function when the attempt is over. The function never blocks and may
  /// be called any number of times, even after the attempt.
  std::function<void(std::function<void()>)> SetCanceller;
};

/// Outcome and cost of an attempt.
struct EngineResult {
  AttemptOutcome Outcome;
  std::uint64_t Tokens = 0;
  /// Where an interrupted stream can be resumed on the same engine, if it can.
  std::optional<ResumePoint> Resume = std::nullopt;
  /// The attempt could not connect, or timed out and the engine did not answer
  /// a probe on a new connection either. False if the probe succeeded: then
  /// only the connection failed.
  bool ServerSuspect = false;
  /// The engine refused the request because it is draining.
  bool ServerLeaving = false;
  /// The attempt used a pooled connection that failed before the first byte of
  /// the response.
  bool PooledConnectionBroke = false;
  /// How long the engine wants no more requests; only a refusal states this.
  std::optional<Duration> Pause = std::nullopt;
  /// When the connection was opened, if the attempt ended because it was lost
  /// or cancelled after the request may have been sent.
  std::optional<TimePoint> LostConnectionOpenedAt = std::nullopt;
};

/// Runs attempts through the streaming responses API of the engines.
/// Thread-safe; each call blocks its thread until the attempt ends. Opens a new
/// connection for each request that may not be repeated.
class EngineClient {
public:
  EngineClient(BackendSettings S, BackendCounters &C)
      : Settings(std::move(S)), Counters(C), Pool(this->Settings) {}

  /// Never throws.
  EngineResult run(const EngineCall &Call, const EngineListener &Listener);

  /// Cancels an interrupted response that will not be resumed; otherwise it
  /// would keep running and hold a slot. Blocks for at most `CancelTimeout`.
  void cancel(const std::string &Address, const std::string &ResponseId);

  const BackendSettings &settings() const { return this->Settings; }

private:
  BackendSettings Settings;
  BackendCounters &Counters;
  ConnectionPool Pool;
};

/// Returns the counters of this process.
BackendCounters &processCounters();

} // namespace parsleywing

#endif
