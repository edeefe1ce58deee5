#ifndef PARSLEYWING_TEST_GATEWAY_REACTINGSERVER_H
#define PARSLEYWING_TEST_GATEWAY_REACTINGSERVER_H

#include "Gateway/ScriptedServer.h"
#include "Gateway/ServerArrival.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace parsleywing::test {

/// A server that records what it sees of each request, and reacts to it as the
/// test plans.
class ReactingServer {
public:
  /// The reaction to the text of a request.
  using Plan = std::function<PlannedReaction(const std::string &Request)>;

  ReactingServer(ArrivalLog &L, std::size_t N, Plan P);

  ScriptedServer &server() { return this->Server; }
  /// Part of each event.
  std::string version() const { return this->Version; }
  /// Call before the first request.
  void setVersion(std::string V) { this->Version = std::move(V); }
  /// Closes all connections, and refuses new ones for this time.
  void crash(std::chrono::milliseconds Downtime);
  /// Sends nothing on any connection for this time.
  void freeze(std::chrono::milliseconds Time);

private:
  bool respond(Poco::Net::StreamSocket &Connection, const std::string &Request);
  void perform(Poco::Net::StreamSocket &Connection, const std::string &Request,
               ServerArrival &Arrival) const;
  void sendStream(Poco::Net::StreamSocket &Connection,
                  const std::string &Request, ServerArrival &Arrival) const;
  void sendEvent(Poco::Net::StreamSocket &Connection, int Number,
                 ServerArrival &Arrival) const;
  void sendPart(Poco::Net::StreamSocket &Connection, const std::string &Text,
                ServerArrival &Arrival) const;
  bool crashedDuring(const ServerArrival &Arrival);

  ArrivalLog &Log;
  const std::size_t Number;
  const Plan Reactions;
  std::string Version = "x";
  std::atomic<SteadyTime> FrozenUntil{SteadyTime{}};
  std::mutex Mutex;
  std::vector<SteadyTime> Crashes;
  ScriptedServer Server;
};

} // namespace parsleywing::test

#endif
