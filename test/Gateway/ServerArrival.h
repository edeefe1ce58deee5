#ifndef PARSLEYWING_TEST_GATEWAY_SERVERARRIVAL_H
#define PARSLEYWING_TEST_GATEWAY_SERVERARRIVAL_H

#include "Gateway/PausingServer.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace parsleywing::test {

using SteadyTime = std::chrono::steady_clock::time_point;

/// What a server does with a request.
enum class ServerReaction {
  Serve,
  Pause,        ///< Serves it with a pause somewhere.
  Reject,       ///< States that it did not run it.
  Fail,         ///< Responds with an error.
  Disconnect,   ///< Ends the connection in the middle of its response.
  NeverRespond, ///< Keeps the connection open without a byte.
};

/// What a server is to do with one request.
struct PlannedReaction {
  ServerReaction Reaction = ServerReaction::Serve;
  /// Also where a server pauses before it disconnects; it pauses before it
  /// rejects or fails a request.
  PausedResponse Response;
};

/// One request at one server, as the server has seen it.
struct ServerArrival {
  std::string RequestId;
  std::size_t Server = 0;
  ServerReaction Reaction = ServerReaction::Serve;
  PausedResponse Response;
  SteadyTime Begin;
  SteadyTime End;
  /// When bytes of the response were sent.
  std::vector<SteadyTime> Sent;
  /// When a whole event, or a whole response without events, was sent.
  std::vector<SteadyTime> Events;
  /// The connection was closed before the server was done with the response.
  bool ClosedEarly = false;
  /// By a crash of the server.
  bool Crashed = false;

  bool mayRun() const { return this->Reaction != ServerReaction::Reject; }
  bool goesOn() const {
    return this->Reaction == ServerReaction::Serve ||
           this->Reaction == ServerReaction::Pause;
  }
};

/// What all servers of a test have seen. Thread-safe.
class ArrivalLog {
public:
  void add(ServerArrival Arrival) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Arrivals.push_back(std::move(Arrival));
  }

  /// The requests that servers are done with, in the order of their arrival.
  std::vector<ServerArrival> arrivals() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::ranges::sort(this->Arrivals, {}, &ServerArrival::Begin);
    return this->Arrivals;
  }

private:
  std::mutex Mutex;
  std::vector<ServerArrival> Arrivals;
};

} // namespace parsleywing::test

#endif
