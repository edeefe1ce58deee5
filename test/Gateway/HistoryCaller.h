#ifndef PARSLEYWING_TEST_GATEWAY_HISTORYCALLER_H
#define PARSLEYWING_TEST_GATEWAY_HISTORYCALLER_H

#include "Gateway/ServerArrival.h"

#include <Poco/Net/StreamSocket.h>
#include <chrono>
#include <optional>
#include <string>

namespace parsleywing::test {

/// One request of a history, and what its caller saw.
class HistoryCaller {
public:
  static constexpr std::chrono::milliseconds Timeout{4000};

  HistoryCaller(int N, std::string R) : Number(N), Route(std::move(R)) {}

  /// Leaves this long after it has sent its request.
  std::optional<std::chrono::milliseconds> LeavesAfter;
  std::chrono::milliseconds StartsAfter{0};

  /// Sends the request and reads until the response is complete, the connection
  /// ends or the caller leaves.
  void call(Poco::Net::StreamSocket Connection);

  int number() const { return this->Number; }
  const std::string &route() const { return this->Route; }
  bool isStream() const {
    return this->Route == "stream" || this->Route == "once";
  }
  bool isRepeatable() const {
    return this->Route == "stream" || this->Route == "safe";
  }
  SteadyTime sentAt() const { return this->SentAt; }
  SteadyTime endedAt() const { return this->EndedAt; }
  bool hasLeft() const { return this->Left; }
  bool isComplete() const { return this->Complete; }
  /// Zero without a response.
  int status() const { return this->Status; }
  const std::string &payload() const { return this->Payload; }

private:
  void receive(Poco::Net::StreamSocket &Connection);
  bool waitReadable(Poco::Net::StreamSocket &Connection);
  void parse(const std::string &Received);

  int Number;
  std::string Route;
  SteadyTime SentAt;
  SteadyTime EndedAt;
  bool Left = false;
  bool Complete = false;
  int Status = 0;
  std::string Payload;
};

} // namespace parsleywing::test

#endif
