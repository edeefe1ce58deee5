#ifndef PARSLEYWING_BACKEND_ENGINEATTEMPT_H
#define PARSLEYWING_BACKEND_ENGINEATTEMPT_H

#include "Backend/EngineClient.h"

namespace parsleywing::internal {

/// Runs one `EngineCall`, from connecting to the result.
class EngineAttempt {
public:
  EngineAttempt(const EngineCall &C, const EngineListener &L,
                const BackendSettings &S, BackendCounters &N, ConnectionPool &P)
      : Call(C), Listener(L), Settings(S), Counters(N), Pool(P),
        StreamCheck(C.Identity, C.ResumeFrom.value_or(ResumePoint{}), N) {}

  EngineResult run();

private:
  EngineResult attempt();
  void connect();
  void sendRequest();
  EngineResult readHead();
  EngineResult handleVersionChange(const std::string &Software);
  EngineResult readEvents(std::istream &In);
  std::optional<EngineResult> handleVerdict(StreamVerdict Verdict,
                                            std::istream &In);
  EngineResult handleErrorStatus(int Status,
                                 const Poco::Net::HTTPResponse &Response,
                                 std::istream &In);
  EngineResult completedResult(std::istream &In);
  EngineResult interruptedResult(bool Resumable) const;
  EngineResult lostResult(AttemptOutcome Outcome) const;
  EngineResult handleFailure(const std::string &Cause, bool TimedOut);
  void cancelAtEngine();
  Duration effectiveTimeout(Duration Timeout) const;
  void restartDeadline(Duration Timeout);
  void restartDeadlineOnProgress();

  const EngineCall &Call;
  const EngineListener &Listener;
  const BackendSettings &Settings;
  BackendCounters &Counters;
  ConnectionPool &Pool;
  ResponseStreamCheck StreamCheck;
  std::shared_ptr<ConnectionCanceller> Canceller =
      std::make_shared<ConnectionCanceller>();
  std::unique_ptr<BackendConnection> Connection;
  bool MayHaveSent = false;
  bool FromPool = false;
  TimePoint OpenedAt;
  std::uint64_t ReceivedAtStart = 0;
  std::uint64_t LastSequence = 0;
};

} // namespace parsleywing::internal

#endif
