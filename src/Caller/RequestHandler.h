#ifndef PARSLEYWING_CALLER_REQUESTHANDLER_H
#define PARSLEYWING_CALLER_REQUESTHANDLER_H

#include "Backend/EngineClient.h"
#include "Caller/CallerRequest.h"
#include "Caller/HandOverClient.h"
#include "Caller/ResponseForwarder.h"
#include "Caller/ResponseWriter.h"

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace parsleywing {

/// Handles one request: reports it to the control thread and executes the
/// control thread's decisions. Lives on the stack of the connection's thread,
/// from the arrival of the request to its final response.
class RequestHandler {
public:
  RequestHandler(Exchange &X, const CallerRequest &R);
  ~RequestHandler();
  RequestHandler(const RequestHandler &) = delete;
  RequestHandler &operator=(const RequestHandler &) = delete;

  /// Blocks until the final response is written. When the process is shutting
  /// down, ends the request with a final response at once.
  void serve();

private:
  /// A response whose stream was interrupted; it may still run on its engine.
  struct BrokenResponse {
    std::string Address;
    ResumePoint Point;
    bool ServerSuspect = false;
  };

  RequestDescription describe() const;
  void execute(const StartAttempt &Start);
  void execute(const ResumeAttempt &Decision);
  void execute(const HandOverRequest &Decision);
  void execute(const CancelAttempt &) {} // The canceller has ended the attempt.
  void execute(const FinishRequest &Finish);
  /// Actions for other parts of the process never arrive on a request's
  /// channel.
  template <typename OtherAction> void execute(const OtherAction &) {}

  void runPlain(const StartAttempt &Start);

  /// Runs the call on the server and reports its end to the control thread.
  void runEngine(AttemptNumber Attempt, ServerId Server, EngineCall Call);
  EngineResult callEngine(AttemptNumber Attempt, ServerId Server,
                          const EngineCall &Call);
  PlainResult callPlain(const StartAttempt &Start, const PlainCall &Call);
  EngineCall engineCall(AttemptNumber OriginalAttempt) const;
  PlainCall plainCall(AttemptNumber Attempt) const;
  bool forwardText(const std::string &Text);
  bool shouldStop() const;
  void recordFirstChunk();

  /// Returns the server's address; empty if it is no longer declared.
  std::string addressOf(ServerId Server) const;
  void reportServer(ServerId Server, bool Suspect, bool Leaving);
  void reportPause(ServerId Server, std::optional<Duration> Pause);
  void endAttempt(AttemptNumber Attempt, AttemptOutcome Outcome,
                  std::uint64_t Tokens,
                  std::optional<LostConnection> Lost = std::nullopt);
  /// Describes the loss of the connection to a server, if there was one.
  std::optional<LostConnection>
  lostConnection(ServerId Server, AttemptOutcome Outcome,
                 std::optional<TimePoint> OpenedAt) const;
  RequestIdentity contentIdentity() const;
  std::uint64_t offset() const;
  /// Registers the attempt on the channel and returns the function that sets
  /// its canceller.
  std::function<void(std::function<void()>)>
  cancellerSetter(AttemptNumber Attempt);

  /// Discards what an earlier attempt left: drops a buffered response, and
  /// cancels an interrupted response that may still run on its engine.
  void abandonBroken();
  void cancelAbandoned();

  void finishResponse(const FinishRequest &Finish);
  /// Returns the end of a request that the shutdown of the process interrupts.
  FinishRequest finishForShutdown() const;
  Duration elapsed() const;
  void watchCaller();

  Exchange &E;
  const CallerRequest &ParsedRequest;
  RequestId Request;
  ResponseWriter Writer;
  ResponseForwarder Forwarder;
  HandOverClient HandOver;
  std::shared_ptr<RequestChannel> Channel;
  TimePoint ArrivedAt;
  RequestTiming Timing;
  bool Finished = false;
  /// Part of the request may have been sent to a server or another router.
  bool MayHaveRun = false;
  /// The last attempt delivered a complete response.
  bool ResponseComplete = false;
  /// Where the last attempt's stream can be resumed, if it can.
  std::optional<BrokenResponse> Broken;
  std::vector<BrokenResponse> Abandoned;
  /// Chunks of an engine's response sent or collected by all attempts.
  std::uint64_t ForwardedChunks = 0;
  /// Set by the thread of `CallerWatch`.
  std::atomic<bool> Disconnected{false};
};

} // namespace parsleywing

#endif
