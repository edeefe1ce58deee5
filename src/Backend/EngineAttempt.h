#ifndef PARSLEYWING_BACKEND_ENGINEATTEMPT_H
#define PARSLEYWING_BACKEND_ENGINEATTEMPT_H

#include "Backend/EngineClient.h"

namespace parsleywing::internal {

/// One run of an `EngineCall`, from the connection to the outcome.
class EngineAttempt {
public:
  EngineAttempt(const EngineCall &C, const EngineListener &L,
                const BackendSettings &S, BackendCounters &N, ConnectionPool &P)
      : Call(C), Listener(L), Settings(S), Counters(N), Pool(P),
        Check(C.Identity, C.ResumeFrom.value_or(ResumePoint{}), N) {}

  EngineResult run();

private:
  EngineResult attempt();
  void connect();
  void sendRequest();
  EngineResult readHead();
  EngineResult readEvents(std::istream &In);
  std::optional<EngineResult> actOn(StreamVerdict Verdict, std::istream &In);
  EngineResult refused(int Status, const Poco::Net::HTTPResponse &Response,
                       std::istream &In);
  EngineResult finished(std::istream &In);
  EngineResult interrupted(bool Resumable) const;
  EngineResult failed(const std::string &Why, bool Silent);
  void freeSlot();
  Duration limitOf(Duration Setting) const;
  void allow(Duration Setting);
  void allowIfProgressed();

  const EngineCall &Call;
  const EngineListener &Listener;
  const BackendSettings &Settings;
  BackendCounters &Counters;
  ConnectionPool &Pool;
  ResponseStreamCheck Check;
  std::shared_ptr<ConnectionCanceller> Breaker =
      std::make_shared<ConnectionCanceller>();
  std::unique_ptr<BackendConnection> Connection;
  bool MayHaveLeft = false;
  bool FromPool = false;
  std::uint64_t ReceivedBefore = 0;
  std::uint64_t SeenSequence = 0;
};

} // namespace parsleywing::internal

#endif
