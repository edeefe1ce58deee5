#ifndef PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H
#define PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H

#include "Gateway/RouterExchange.h"
#include "Placement/Allocator.h"
#include "Placement/SoleAllocator.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace parsleywing {

using AllocationAnswer = std::variant<ServerGranted, ServerRefused>;

/// What became of an ask, and who decided it.
struct AllocationOutcome {
  AllocationAnswer Answer;
  std::string Allocator;
  /// From the ask to the answer.
  Duration Waited{};
  /// A grant to a server that warms up: not sent later than this, on the clock
  /// that counts suspended time.
  std::optional<TimePoint> SendUntil{};
};

/// Counts of the agent's messages and decisions.
struct AllocationCounters {
  explicit AllocationCounters(Metrics &Into);

  Counter &Asked;
  Counter &Granted;
  Counter &Refused;
  Counter &Away;
  Counter &WarmUpGrants;
  Counter &WarmUpGrantsLate;
};

/// Asks the allocator of a service for a server and tells it how sends go; and
/// is the allocator itself for the services that fall to this router. The
/// allocator is the first live router in the service's rendezvous order, so all
/// routers find it without a word. Messages are datagrams, sent again until
/// they are answered; where nothing answers, the next router in the order is
/// asked from then on, and at last this one is the allocator of its own
/// requests. No request goes round an allocator: a router that is slow to read
/// the answers would else send a flood straight to the engines.
///
/// Belongs to the loop's thread.
class AllocationAgent {
public:
  using Callback = std::function<void(const AllocationOutcome &)>;

  /// `Process` tells this process from earlier ones of the router's name.
  AllocationAgent(EventLoop &L, RouterExchange &R, std::uint64_t Process,
                  const WarmUpBounds &WarmUps, Metrics &M);
  AllocationAgent(const AllocationAgent &) = delete;
  AllocationAgent &operator=(const AllocationAgent &) = delete;

  /// Tells of this router's requests from now on.
  void start() { this->tellOpenSends(); }

  /// Servers or configuration have changed.
  void setServers(const FleetView &View);
  /// Each new view, behind `setServers`.
  void takeView(const FleetView &View);

  AskId newId() { return {this->Process, ++this->LastNumber}; }

  /// Asks; `Told` is called once, perhaps before this returns. The identity is
  /// one of `newId`.
  void ask(ServerAsk Ask, Callback Told);
  /// An ask that was not answered yet is over.
  void withdraw(const AskId &Id);

  /// A request was sent to a server, whoever chose it.
  void sent(const AskId &Id, std::uint64_t Service, std::uint64_t Server,
            const SendWork &Work);
  /// The server has begun to answer.
  void began(const AskId &Id);
  void ended(const AskId &Id, ServerVerdict Verdict);

  const Allocator &allocator() const { return this->Local; }
  /// A grant to a server that warms up has come too late to be used.
  void noteLateGrant() { this->Counters.WarmUpGrantsLate.add(); }

  /// Called with each server whose cache the local allocator knows nothing of.
  void whenUnknown(std::function<void(std::uint64_t Server)> Ask) {
    this->AskKept = std::move(Ask);
  }
  void noteKept(std::uint64_t Server, const KeptParts &Told) {
    this->Local.noteKept(Server, Told);
  }

  /// A message of another router, or of this one's own allocator (then without
  /// an address).
  void onMessage(const RouterMessage &Message,
                 const Poco::Net::SocketAddress &From);

private:
  struct OpenAsk {
    ServerAsk Ask;
    Callback Told;
    std::string Allocator;
    TimePoint AskedAt{};
    /// When the present allocator was first asked, on the clock that counts
    /// suspended time.
    TimePoint FirstAskedAt{};
    TimerId Timer = 0;
    TimePoint TimerDue{};
    /// Times that it was sent to this allocator.
    int Sent = 0;
    int Unanswered = 0;
    /// Allocators that did not answer.
    int Passed = 0;
    bool Queued = false;
  };

  struct OpenSend {
    std::uint64_t Service = 0;
    std::uint64_t Server = 0;
    SendWork Work;
    std::string Allocator;
  };

  void sendAsk(OpenAsk &Asked);
  void onAskTimer(const AskId &Id);
  void answer(const AskId &Id, const AllocationAnswer &Answer);

  void tell(const std::string &Router, RouterMessage Message);
  void schedulePump();
  void pump();
  void deliverLocalAnswers();
  void logRefusal(const ServerRefused &Refused) const;
  void giveBack(const AskId &Id, const Poco::Net::SocketAddress &Allocator);
  void tellOpenSends();

  EventLoop &Loop;
  RouterExchange &Routers;
  std::uint64_t Process;
  AllocationCounters Counters;
  ServerGroups Groups;
  Clock SuspendClock = Clock::sinceBoot();
  SoleAllocator Sole;
  Allocator Local;
  std::function<void(std::uint64_t)> AskKept;
  /// Where the processes that asked here are.
  std::map<std::uint64_t, Poco::Net::SocketAddress> Askers;
  std::map<AskId, OpenAsk> Asks;
  std::map<AskId, OpenSend> Sends;
  std::uint64_t LastNumber = 0;
  bool PumpDue = false;
  TimerId PumpTimer = 0;
};

} // namespace parsleywing

#endif
