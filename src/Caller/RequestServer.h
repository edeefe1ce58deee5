#ifndef PARSLEYWING_CALLER_REQUESTSERVER_H
#define PARSLEYWING_CALLER_REQUESTSERVER_H

#include "Backend/EngineClient.h"
#include "Caller/AnswerWriter.h"
#include "Caller/CallerRequest.h"

#include <atomic>
#include <memory>
#include <optional>

namespace parsleywing {

/// Has one request decided by the control thread and carries the decisions
/// out. Lives on the stack of the connection's thread, from the request's
/// arrival to its final answer.
class RequestServer {
public:
  RequestServer(Exchange &X, const CallerRequest &A);
  ~RequestServer();
  RequestServer(const RequestServer &) = delete;
  RequestServer &operator=(const RequestServer &) = delete;

  /// Blocks until the final answer is written, or the process stops.
  void serve();

private:
  RequestDescription describe() const;
  void carryOut(const StartAttempt &Start);
  void carryOut(const ResumeAttempt &Wanted);
  void carryOut(const HandOverRequest &Wanted);
  void carryOut(const CancelAttempt &) {} // The breaker has ended it.
  void carryOut(const AnswerRequest &Answer);
  /// Actions for other parts of the process never come to a request's channel.
  template <typename OtherAction> void carryOut(const OtherAction &) {}

  /// Runs the call at the server and reports its end.
  void runEngine(AttemptNumber Attempt, ServerId Server, EngineCall Call);
  EngineResult callEngine(AttemptNumber Attempt, const EngineCall &Call);
  EngineCall engineCall(AttemptNumber StartedBy) const;
  bool passOn(const std::string &Text);
  Duration elapsed() const;
  void watchCaller();

  Exchange &E;
  const CallerRequest &Asked;
  RequestId Request;
  AnswerWriter Writer;
  std::shared_ptr<RequestChannel> Channel;
  TimePoint Arrived;
  RequestTiming Timing;
  bool Answered = false;
  /// Where the last attempt's stream can be taken up again.
  std::optional<ResumePoint> Resume;
  /// Pieces of the answer passed on or collected, by all attempts.
  std::uint64_t PassedOn = 0;
  /// Set by the watching thread.
  std::atomic<bool> CallerGone{false};
};

} // namespace parsleywing

#endif
