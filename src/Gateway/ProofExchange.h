#ifndef PARSLEYWING_GATEWAY_PROOFEXCHANGE_H
#define PARSLEYWING_GATEWAY_PROOFEXCHANGE_H

#include "Gateway/RouterExchange.h"

#include <atomic>
#include <functional>

namespace parsleywing {

/// Lets a few routers prove to the others that the configuration in force is
/// the newest one, so that the reads of the store grow with the relays in place
/// of the routers. Each router has one relay, the first of its cluster's order;
/// a cluster is some two dozen routers.
///
/// Belongs to the loop's thread.
class ProofExchange {
public:
  /// Told of each proof that another router gave: the moment that it proves,
  /// on the clock that counts suspended time, and the other's revisions.
  using Sink = std::function<void(TimePoint, std::int64_t, std::int64_t)>;

  /// `Process` tells this process from earlier ones of the router's name.
  ProofExchange(EventLoop &L, RouterExchange &R, std::uint64_t Process)
      : Loop(L), Routers(R), Process(Process) {}

  /// What this router can prove to others.
  void takeView(const FleetView &View);

  /// Asks for proofs from now on.
  void start(Sink Proofs);

  /// Whether others take their proofs from this router. Safe from any thread.
  bool isRelay() const { return this->Relay; }

  void onAsked(const ProofAsk &Asked, const Poco::Net::SocketAddress &From);
  void onTold(const ProofTold &Told);

private:
  void ask();
  bool findRelay();

  EventLoop &Loop;
  RouterExchange &Routers;
  std::uint64_t Process;
  Sink Tell;
  Clock SuspendClock = Clock::sinceBoot();
  TimePoint ProvenAt{};
  std::int64_t ConfigurationAt = 0;
  std::int64_t ServersAt = 0;
  /// The question that has not been answered, and when it was asked.
  std::uint64_t Number = 0;
  TimePoint AskedAt{};
  std::string ChosenRelay;
  int Unanswered = 0;
  std::atomic<bool> Relay{true};
};

} // namespace parsleywing

#endif
