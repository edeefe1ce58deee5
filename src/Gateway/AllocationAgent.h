#ifndef PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H
#define PARSLEYWING_GATEWAY_ALLOCATIONAGENT_H

#include "Gateway/Allocator.h"
#include "Loop/EventLoop.h"
#include "Runtime/Metrics.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace parsleywing {

using AllocationAnswer = std::variant<ServerGranted, ServerRefused>;

/// Counts of the agent's messages and decisions.
struct AllocationCounters {
  explicit AllocationCounters(Metrics &Into);

  Counter &Asked;
  Counter &Granted;
  Counter &Refused;
  Counter &Away;
  Counter &Datagrams;
  Counter &Malformed;
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
  struct Options {
    std::string RouterName;
    /// Numeric IP and port for datagrams of other routers; empty for none.
    std::string Address;
    /// Cores that this router has; the same as others read of it.
    double Capacity = 1;
    /// Tells this process from earlier ones of its name.
    std::uint64_t Process = 0;
  };

  /// Told of each proof that another router gave: the moment that it proves,
  /// on the clock that counts suspended time, and the other's revisions.
  using ProofSink = std::function<void(TimePoint, std::int64_t, std::int64_t)>;

  using Callback = std::function<void(const AllocationAnswer &)>;

  AllocationAgent(EventLoop &L, Options O, Metrics &M);
  ~AllocationAgent();
  AllocationAgent(const AllocationAgent &) = delete;
  AllocationAgent &operator=(const AllocationAgent &) = delete;

  /// Fails where the address is taken.
  Result<void> open();

  void takeView(const FleetView &View);

  /// Asks for proofs from now on.
  void askForProofs(ProofSink Sink);

  /// This router stops soon: it allocates for nobody but itself, where there is
  /// no other.
  void leave() { this->Leaving = true; }

  /// Whether others take their proofs from this router. Safe from any thread.
  bool isRelay() const { return this->Relay; }

  AskId newId() { return {this->Chosen.Process, ++this->LastNumber}; }

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

private:
  struct Router {
    Poco::Net::SocketAddress Address;
    std::uint64_t Hash = 0;
    double Capacity = 1;
  };

  struct OpenAsk {
    ServerAsk Ask;
    Callback Told;
    std::string Allocator;
    TimePoint AskedAt{};
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

  /// The router to ask for this service.
  std::string allocatorOf(std::uint64_t Service);
  void sendAsk(OpenAsk &Asked);
  void onAskTimer(const AskId &Id);
  void answer(const AskId &Id, const AllocationAnswer &Answer);

  void tell(const std::string &Router, AllocationMessage Message);
  void flush();
  void scheduleFlush();
  void schedulePump();
  void pump();
  void deliverLocalAnswers();
  void onReadable();
  void onDatagram(std::string_view Bytes, const Poco::Net::SocketAddress &From);
  void onMessage(const AllocationMessage &Message,
                 const Poco::Net::SocketAddress &From);
  void giveBack(const AskId &Id, const Poco::Net::SocketAddress &Allocator);
  void tellOpenSends();
  void askProof();
  void onProofAsk(const ProofAsk &Asked, const Poco::Net::SocketAddress &From);
  void onProofTold(const ProofTold &Told);
  /// The first live router in the order of a key.
  std::string firstFor(std::uint64_t Key);

  EventLoop &Loop;
  Options Chosen;
  AllocationCounters Counters;
  Poco::Net::DatagramSocket Socket;
  bool Opened = false;
  ServerGroups Groups;
  Allocator Local;
  std::map<std::string, Router> Routers;
  std::map<std::string, TimePoint> SuspectUntil;
  /// Where the processes that asked here are.
  std::map<std::uint64_t, Poco::Net::SocketAddress> Askers;
  std::map<AskId, OpenAsk> Asks;
  std::map<AskId, OpenSend> Sends;
  std::map<Poco::Net::SocketAddress, std::vector<AllocationMessage>> Outbox;
  std::uint64_t LastNumber = 0;
  ProofSink Proofs;
  Clock SuspendClock = Clock::sinceBoot();
  TimePoint ProvenAt{};
  std::int64_t ConfigurationAt = 0;
  std::int64_t ServersAt = 0;
  /// The question that has not been answered, and when it was asked.
  std::uint64_t ProofNumber = 0;
  TimePoint ProofAskedAt{};
  std::string ProofRelay;
  int ProofsUnanswered = 0;
  std::atomic<bool> Relay{true};
  bool Leaving = false;
  bool FlushDue = false;
  bool PumpDue = false;
  TimerId PumpTimer = 0;
};

} // namespace parsleywing

#endif
