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

/// Has one request decided by the control thread and carries the decisions
/// out. Lives on the stack of the connection's thread, from the request's
/// arrival to its final answer.
class RequestHandler {
public:
  RequestHandler(Exchange &X, const CallerRequest &A);
  ~RequestHandler();
  RequestHandler(const RequestHandler &) = delete;
  RequestHandler &operator=(const RequestHandler &) = delete;

  /// Blocks until the final answer is written; as the process stops, at once.
  void serve();

private:
  /// A response whose stream broke; it may still run at its engine.
  struct BrokenResponse {
    std::string Address;
    ResumePoint Point;
    bool ServerSuspect = false;
  };

  RequestDescription describe() const;
  void execute(const StartAttempt &Start);
  void execute(const ResumeAttempt &Wanted);
  void execute(const HandOverRequest &Wanted);
  void execute(const CancelAttempt &) {} // The breaker has ended it.
  void execute(const FinishRequest &Answer);
  /// Actions for other parts of the process never come to a request's channel.
  template <typename OtherAction> void execute(const OtherAction &) {}

  void startPlain(const StartAttempt &Start);

  /// Runs the call at the server and reports its end.
  void runEngine(AttemptNumber Attempt, ServerId Server, EngineCall Call);
  EngineResult callEngine(AttemptNumber Attempt, const EngineCall &Call);
  PlainResult callPlain(AttemptNumber Attempt, const PlainCall &Call);
  EngineCall engineCall(AttemptNumber StartedBy) const;
  PlainCall plainCall(AttemptNumber Attempt) const;
  bool passOn(const std::string &Text);
  bool isOver() const;
  void noteFirstPiece();

  /// Where the server can be reached; empty where it is not declared any more.
  std::string addressOf(ServerId Server) const;
  void reportServer(ServerId Server, bool Suspect, bool Leaving);
  void endAttempt(AttemptNumber Attempt, AttemptOutcome Outcome,
                  std::uint64_t Tokens);
  std::uint64_t offset() const;
  std::function<void(std::function<void()>)> breakerOf(AttemptNumber Attempt);

  /// Gives what an earlier attempt left up for good: a held answer is dropped,
  /// and a response that may still run is ordered cancelled.
  void abandonBroken();
  void cancelAbandoned();

  void finishAnswer(const FinishRequest &Answer);
  /// The final answer of a request that the end of the process cuts.
  FinishRequest answerAtTheEnd() const;
  Duration elapsed() const;
  void watchCaller();

  Exchange &E;
  const CallerRequest &Asked;
  RequestId Request;
  ResponseWriter Writer;
  ResponseForwarder Passed;
  HandOverClient Relay;
  std::shared_ptr<RequestChannel> Channel;
  TimePoint Arrived;
  RequestTiming Timing;
  bool Answered = false;
  /// Part of the request may have left for a server or another router.
  bool MayHaveRun = false;
  /// The last attempt has brought the whole answer.
  bool AnswerWhole = false;
  /// Where the last attempt's stream can be taken up again.
  std::optional<BrokenResponse> Broken;
  std::vector<BrokenResponse> Abandoned;
  /// Pieces of an engine's answer passed on or collected, by all attempts.
  std::uint64_t PassedOn = 0;
  /// Set by the watching thread.
  std::atomic<bool> CallerGone{false};
};

} // namespace parsleywing

#endif
