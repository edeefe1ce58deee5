#ifndef PARSLEYWING_CALLER_REQUESTSERVER_H
#define PARSLEYWING_CALLER_REQUESTSERVER_H

#include "Backend/EngineClient.h"
#include "Caller/AnswerWriter.h"
#include "Caller/CallerRequest.h"

#include <atomic>
#include <memory>

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
  void carryOut(const CancelAttempt &) {} // The breaker has ended it.
  void carryOut(const AnswerRequest &Answer);
  EngineResult runAttempt(const StartAttempt &Start,
                          const std::string &Address);
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
  /// Set by the watching thread.
  std::atomic<bool> CallerGone{false};
};

} // namespace parsleywing

#endif
