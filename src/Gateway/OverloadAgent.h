#ifndef PARSLEYWING_GATEWAY_OVERLOADAGENT_H
#define PARSLEYWING_GATEWAY_OVERLOADAGENT_H

#include "Gateway/RouterMessenger.h"
#include "Overload/HeadroomPeers.h"
#include "Overload/HeadroomTable.h"
#include "Overload/RedirectPolicy.h"
#include "Overload/RelayPolicy.h"
#include "Runtime/Metrics.h"

#include <ctime>
#include <deque>
#include <functional>

namespace parsleywing {

/// Asks other routers for their spare processor time while this router lacks
/// it, answers such queries, and says whether a request can be redirected and
/// where a new connection can be relayed to.
///
/// Used on the event loop's thread only.
class OverloadAgent {
public:
  /// Why a request would be redirected.
  enum class Cause {
    /// This router lacks processor time.
    Lag,
    /// This router has too many connections, or stops.
    Other,
    /// This router's knowledge of the fleet is missing or too old.
    OldKnowledge,
  };

  OverloadAgent(EventLoop &L, RouterMessenger &R, std::uint64_t RouterProcess,
                RedirectSettings S, double Cores, std::size_t MaxRelays,
                Metrics &M);
  OverloadAgent(const OverloadAgent &) = delete;
  OverloadAgent &operator=(const OverloadAgent &) = delete;

  /// Starts to measure the spare time. `IsServing` says whether other routers
  /// may count on this one, `CallerAddress` is its listener for callers.
  void start(std::function<bool()> IsServing, std::string CallerAddress);

  /// Must be called when the list of routers has changed.
  void setRouters(const RouterList &Listed);

  /// Whether another router is likely to serve the retry of a request that is
  /// refused here. Asks other routers if it has not done so lately.
  bool canRedirect(Cause Reason);
  void recordRedirect();

  /// Asks other routers if the loop lags and it has not done so lately.
  void checkLag();

  void onMessage(const RouterMessage &Message,
                 const Poco::Net::SocketAddress &From);

  /// Whether the listed routers relay connections to each other.
  bool relaysActive() const { return this->RelayActive; }
  /// Decides on relays; knows the reports of the other routers.
  RelayPolicy &relayPolicy() { return this->Relays; }
  const RelayPolicy &relayPolicy() const { return this->Relays; }

  /// Whether the listed routers redirect requests to each other.
  bool isActive() const { return this->Active; }
  /// The processor time that this router has left, in seconds per second.
  double spareCores() const;
  /// What the other routers are known to have left.
  double knownSpareCores() const;
  std::size_t knownReports() const;
  std::uint64_t redirectCount() const { return this->RedirectTotal; }

private:
  /// The loop's waiting time and the process's CPU time up to a point in time.
  struct Sample {
    TimePoint At{};
    Duration Waited{};
    std::clock_t ProcessTime = 0;
  };

  void tick();
  void query();
  HeadroomReport makeReport(const CorrelationId &Id) const;

  EventLoop &Loop;
  RouterMessenger &Routers;
  std::uint64_t RouterProcess;
  RedirectSettings Settings;
  double Cores;
  std::function<bool()> IsServing = [] { return false; };
  std::string CallerAddress;
  bool Active = false;
  bool RelayActive = false;
  std::uint64_t LastNumber = 0;
  std::uint64_t RedirectTotal = 0;
  std::optional<TimePoint> QueriedAt;
  HeadroomTable Table;
  HeadroomPeers Peers;
  RelayPolicy Relays;
  /// The samples of the last second, oldest first.
  std::deque<Sample> Samples;
  Counter &Redirects;
  Counter &Queries;
  Counter &Reports;
};

} // namespace parsleywing

#endif
