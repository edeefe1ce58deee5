#ifndef PARSLEYWING_GATEWAY_FLEETEXCHANGE_H
#define PARSLEYWING_GATEWAY_FLEETEXCHANGE_H

#include "Gateway/FleetSource.h"
#include "Gateway/RouterExchange.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// What a relay has told of its view.
struct RelayWord {
  /// The relay's configuration was the newest one at this moment, on the clock
  /// that counts suspended time.
  TimePoint ProvenAt{};
  Revision ConfigurationAt = 0;
  Revision SeenAt = 0;
  /// The relay can tell of all changes behind this revision.
  Revision TellsSince = 0;
};

/// Changes that a relay has told: all behind `From` and up to `To`.
struct RelayNews {
  Revision From = 0;
  Revision To = 0;
  std::vector<FleetChange> Changes;
};

using RelayTold = std::variant<RelayWord, RelayNews>;

/// Lets a few routers, the relays, read the store for the others: they prove
/// that the configuration is the newest one, and pass on the changes of servers
/// and routers. So the calls on the store grow with the relays. Each router has
/// one relay, the first of its cluster's order; where that does not answer, the
/// next.
///
/// A relay sends proofs and changes at once to the routers that asked it
/// lately, and changes again with each of their questions until they have them.
///
/// Belongs to the loop's thread.
class FleetExchange {
public:
  using Sink = std::function<void(const RelayTold &)>;

  /// `Process` tells this process from earlier ones of the router's name.
  FleetExchange(EventLoop &L, RouterExchange &R, std::uint64_t Process)
      : Loop(L), Routers(R), Process(Process) {}

  /// What this router knows, for those whose relay it is.
  void takeView(const std::shared_ptr<const FleetView> &New);

  /// Asks a relay from now on.
  void start(Sink Told);

  /// Whether others hear of the fleet from this router, so that it must read
  /// the store itself. Safe from any thread.
  bool isRelay() const { return this->Relay; }

  /// The relay answers, and is cut off from the store where this router is not:
  /// another one is asked for a while.
  void distrustRelay();

  void onAsked(const FleetAsk &Asked, const Poco::Net::SocketAddress &From);
  void onTold(const FleetTold &Told);
  void onNews(const FleetNews &News);

private:
  /// A router that hears of the fleet from this one.
  struct Follower {
    /// Its last question, and when that was received here.
    AskId Id;
    TimePoint AskedAt{};
    /// What it has, or has been sent.
    Revision SeenAt = 0;
  };

  /// A question of this router's.
  struct Question {
    std::uint64_t Number = 0;
    TimePoint AskedAt{};
  };

  void tick();
  void ask();
  void askIfBehind(Revision Told);
  bool findRelay();
  void sendWord(const Poco::Net::SocketAddress &To, const Follower &Known);
  void sendNews(const Poco::Net::SocketAddress &To, Follower &Behind);

  EventLoop &Loop;
  RouterExchange &Routers;
  std::uint64_t Process;
  Sink Tell;
  Clock SuspendClock = Clock::sinceBoot();
  std::shared_ptr<const FleetView> View = std::make_shared<FleetView>();
  std::map<Poco::Net::SocketAddress, Follower> Followers;
  /// The last questions, the newest first.
  std::deque<Question> Questions;
  std::uint64_t LastNumber = 0;
  /// When the relay's last word came.
  TimePoint HeardAt{};
  std::string ChosenRelay;
  int Unanswered = 0;
  std::atomic<bool> Relay{true};
};

} // namespace parsleywing

#endif
