#ifndef PARSLEYWING_BACKEND_PLAINATTEMPT_H
#define PARSLEYWING_BACKEND_PLAINATTEMPT_H

#include "Backend/PlainServiceClient.h"
#include "Http/EventSplitter.h"

#include <memory>
#include <optional>

namespace parsleywing::internal {

/// Runs one `PlainCall`, from connecting to the result.
class PlainAttempt {
public:
  PlainAttempt(const PlainCall &C, const PlainListener &L,
               const BackendSettings &S, BackendCounters &N, ConnectionPool &P)
      : Call(C), Listener(L), Settings(S), Counters(N), Pool(P) {}

  PlainResult run();

private:
  void attempt();
  void connect();
  void sendRequest();
  void readResponse();
  bool handleRefusal(const Poco::Net::HTTPResponse &Response, std::istream &In);
  void forwardBody(std::istream &In);
  bool isBodyComplete(const Poco::Net::HTTPResponse &Response);
  void endTruncated();
  void handleFailure(const std::string &Cause, bool TimedOut);
  void endLost(AttemptOutcome Outcome);
  void returnToPool(const Poco::Net::HTTPResponse &Response);
  void restartDeadline(Duration Timeout);

  const PlainCall &Call;
  const PlainListener &Listener;
  const BackendSettings &Settings;
  BackendCounters &Counters;
  ConnectionPool &Pool;
  std::shared_ptr<ConnectionCanceller> Canceller =
      std::make_shared<ConnectionCanceller>();
  std::unique_ptr<BackendConnection> Connection;
  PlainResult Result;
  /// Splits an event stream that states no length, to find out whether it ends
  /// inside an event.
  std::optional<EventSplitter> UnframedEvents;
  bool MayHaveSent = false;
  bool FromPool = false;
  TimePoint OpenedAt;
  std::uint64_t ReceivedAtStart = 0;
};

} // namespace parsleywing::internal

#endif
