#ifndef PARSLEYWING_BACKEND_PLAINATTEMPT_H
#define PARSLEYWING_BACKEND_PLAINATTEMPT_H

#include "Backend/PlainServiceClient.h"

#include <memory>

namespace parsleywing::internal {

/// One run of a `PlainCall`, from the connection to the outcome.
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
  void readAnswer();
  bool refused(const Poco::Net::HTTPResponse &Response, std::istream &In);
  void passBody(std::istream &In);
  bool wholeBody(const Poco::Net::HTTPResponse &Response) const;
  void failed(const std::string &Why, bool Silent);
  void keepConnection(const Poco::Net::HTTPResponse &Response);
  void allow(Duration Setting);

  const PlainCall &Call;
  const PlainListener &Listener;
  const BackendSettings &Settings;
  BackendCounters &Counters;
  ConnectionPool &Pool;
  std::shared_ptr<ConnectionCanceller> Breaker =
      std::make_shared<ConnectionCanceller>();
  std::unique_ptr<BackendConnection> Connection;
  PlainResult Result;
  bool MayHaveLeft = false;
  bool FromPool = false;
  std::uint64_t ReceivedBefore = 0;
};

} // namespace parsleywing::internal

#endif
