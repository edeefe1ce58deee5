#include "Gateway/AllocationAgent.h"

#include "Runtime/Id.h"
#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>

namespace parsleywing {

namespace {

/// An ask without a word of its allocator is sent again after this: ten times
/// the round trip between zones (2.8 ms) and the loop's usual lag.
constexpr Duration AskRetry = std::chrono::milliseconds(30);
/// One that the allocator holds is asked after now and then, since the
/// allocator may be gone.
constexpr Duration QueuedRetry = std::chrono::milliseconds(120);
/// Asks in a row without a word, after which the allocator is taken to be away.
constexpr int MaxUnanswered = 3;
constexpr int MaxDoublings = 4;
/// A request whose wait is over by this much without an answer is refused here.
constexpr Duration AnswerReserve = std::chrono::milliseconds(60);
constexpr std::uint32_t UnansweredReturnMs = 500;
/// A timer that is served later than this shows that this router is short of
/// processor time, or was suspended.
constexpr Duration LateTimer = std::chrono::milliseconds(15);
/// Allocators that are tried before the router decides for itself.
constexpr int MaxPassed = 2;
/// How long an allocator that did not answer is passed over.
constexpr Duration SuspectTime = std::chrono::seconds(2);

/// How often a router tells of the requests that it has at servers. Six in a
/// row may be lost before the allocator forgets one.
constexpr Duration TellInterval = std::chrono::milliseconds(250);

/// How often a router asks its relay for a proof.
constexpr Duration ProofAskInterval = std::chrono::milliseconds(500);
/// Routers for each relay of proofs, about.
constexpr std::size_t RoutersForRelay = 24;
/// The key of the order of relays.
constexpr std::uint64_t ProofKey = 0x70726F6F66;
/// An older proof is not told: it would only delay the other's own reading.
constexpr Duration OldestToldProof = std::chrono::milliseconds(2500);

/// How often a queue is looked through while something waits in it.
constexpr Duration PumpInterval = std::chrono::milliseconds(5);

/// Bytes of one datagram: below what a network carries unfragmented.
constexpr std::size_t MaxDatagram = 1400;
/// The largest message, an ask with a dozen prompt parts, takes some 250 bytes.
constexpr std::size_t MessagesPerDatagram = 5;
constexpr std::size_t MaxReceived = 65536;
constexpr int MaxDatagramsPerTurn = 64;

/// The score of a router in a weighted rendezvous order. The third power of its
/// cores: among many small VMs, the few large ones get nearly all of the work
/// that is done for others.
double weightedScore(std::uint64_t Router, std::uint64_t Key, double Capacity) {
  return weightedRendezvousScore(Router, Key, Capacity * Capacity * Capacity);
}

} // namespace

AllocationCounters::AllocationCounters(Metrics &Into)
    : Asked(Into.counter({"allocation_asks_total",
                          "Requests for which a server was asked.", ""})),
      Granted(Into.counter({"allocation_answers_total", "Answers to such asks.",
                            "answer=\"granted\""})),
      Refused(
          Into.counter({"allocation_answers_total", "", "answer=\"refused\""})),
      Away(Into.counter({"allocation_answers_total", "", "answer=\"none\""})),
      Datagrams(Into.counter(
          {"allocation_datagrams_total", "Datagrams sent to routers.", ""})),
      Malformed(Into.counter({"allocation_malformed_total",
                              "Datagrams that could not be read.", ""})) {}

AllocationAgent::AllocationAgent(EventLoop &L, Options O, Metrics &M)
    : Loop(L), Chosen(std::move(O)), Counters(M) {}

AllocationAgent::~AllocationAgent() {
  if (this->Opened)
    this->Loop.remove(this->Socket);
}

Result<void> AllocationAgent::open() {
  this->tellOpenSends();
  if (this->Chosen.Address.empty())
    return {};
  try {
    this->Socket.bind(Poco::Net::SocketAddress(this->Chosen.Address), true);
    this->Socket.setBlocking(false);
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable, "cannot listen on " +
                                               this->Chosen.Address + ": " +
                                               Problem.displayText());
  }
  this->Opened = true;
  this->Loop.add(this->Socket, Poco::Net::PollSet::POLL_READ,
                 [this](int) { this->onReadable(); });
  return {};
}

void AllocationAgent::takeView(const FleetView &View) {
  this->ProvenAt = View.ProvenAt;
  this->ConfigurationAt = View.ConfigurationAt;
  this->ServersAt = View.ServersAt;
  if (View.Servers != nullptr) {
    this->Groups = ServerGroups(*View.Servers);
    this->Local.setServers(View.Servers, View.Configuration.get(),
                           this->Groups);
  }
  this->Routers.clear();
  for (const auto &[Name, Place] : View.RouterPlaces) {
    try {
      this->Routers.emplace(Name,
                            Router{Poco::Net::SocketAddress(Place.Address),
                                   hashName(Name), Place.Capacity});
    } catch (const Poco::Exception &Problem) {
      log(LogPart::Peer, LogLevel::Warn,
          "router " + Name + " lists no address: " + Problem.displayText());
    }
  }
}

std::string AllocationAgent::allocatorOf(std::uint64_t Service) {
  return this->firstFor(Service);
}

std::string AllocationAgent::firstFor(std::uint64_t Key) {
  const TimePoint Now = this->Loop.clock().now();
  std::string Best = this->Chosen.RouterName;
  double BestScore =
      this->Leaving ? 0
                    : weightedScore(hashName(Best), Key, this->Chosen.Capacity);
  if (!this->Opened)
    return Best;
  for (const auto &[Name, Listed] : this->Routers) {
    const auto Suspected = this->SuspectUntil.find(Name);
    if (Suspected != this->SuspectUntil.end() && Suspected->second > Now)
      continue;
    // A leaving router's own listing may not have gone yet.
    if (this->Leaving && Name == this->Chosen.RouterName)
      continue;
    const double Score = weightedScore(Listed.Hash, Key, Listed.Capacity);
    if (Score > BestScore) {
      Best = Name;
      BestScore = Score;
    }
  }
  return Best;
}

void AllocationAgent::askForProofs(ProofSink Sink) {
  this->Proofs = std::move(Sink);
  this->askProof();
}

/// Each router has one relay among those of its cluster's order, so that each
/// relay serves a bounded number of others.
void AllocationAgent::askProof() {
  const std::uint64_t Clusters =
      (this->Routers.size() + RoutersForRelay - 1) / RoutersForRelay;
  const std::uint64_t Cluster =
      Clusters < 2 ? 0 : hashName(this->Chosen.RouterName) % Clusters;
  this->ProofRelay = this->firstFor(rendezvousScore(ProofKey, Cluster));
  bool Relays = this->ProofRelay == this->Chosen.RouterName;
  for (std::uint64_t Each = 0; Each < Clusters && !Relays; ++Each)
    Relays = this->firstFor(rendezvousScore(ProofKey, Each)) ==
             this->Chosen.RouterName;
  this->Relay = Relays;
  if (!Relays) {
    if (++this->ProofsUnanswered > MaxUnanswered)
      this->SuspectUntil[this->ProofRelay] =
          this->Loop.clock().now() + SuspectTime;
    this->ProofNumber = ++this->LastNumber;
    this->ProofAskedAt = this->SuspendClock.now();
    this->tell(this->ProofRelay,
               ProofAsk{{this->Chosen.Process, this->ProofNumber}});
  }
  this->Loop.after(ProofAskInterval, [this] { this->askProof(); });
}

void AllocationAgent::onProofAsk(const ProofAsk &Asked,
                                 const Poco::Net::SocketAddress &From) {
  const auto Age = std::chrono::ceil<std::chrono::milliseconds>(
      this->SuspendClock.now() - this->ProvenAt);
  if (Age > OldestToldProof)
    return;
  this->Outbox[From].emplace_back(
      ProofTold{Asked.Id, static_cast<std::uint32_t>(Age.count()),
                this->ConfigurationAt, this->ServersAt});
  this->scheduleFlush();
}

void AllocationAgent::onProofTold(const ProofTold &Told) {
  // An answer to an earlier question says nothing of this one's moment.
  if (Told.Id != AskId{this->Chosen.Process, this->ProofNumber})
    return;
  this->ProofsUnanswered = 0;
  if (this->Proofs)
    this->Proofs(this->ProofAskedAt - std::chrono::milliseconds(Told.AgeMs),
                 Told.ConfigurationAt, Told.ServersAt);
}

void AllocationAgent::ask(ServerAsk Ask, Callback Told) {
  this->Counters.Asked.add();
  const AskId Id = Ask.Id;
  Ask.Service = this->Groups.groupFor(Ask.Service, Ask.Parts, Id.Number);
  OpenAsk Asked;
  Asked.Allocator = this->allocatorOf(Ask.Service);
  Asked.Ask = std::move(Ask);
  Asked.Told = std::move(Told);
  Asked.AskedAt = this->Loop.clock().now();
  OpenAsk &Kept = this->Asks[Id] = std::move(Asked);
  this->sendAsk(Kept);
}

void AllocationAgent::sendAsk(OpenAsk &Asked) {
  const AskId Id = Asked.Ask.Id;
  const auto Gone = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Loop.clock().now() - Asked.AskedAt);
  ServerAsk Message = Asked.Ask;
  Message.OnTimeForMs -= static_cast<std::int32_t>(Gone.count());
  Message.WaitForMs -= static_cast<std::int32_t>(Gone.count());
  // Each time later: to ask a slow allocator, or one whose answers this router
  // is slow to read, ever more often would make it slower still.
  const Duration First = Asked.Queued ? QueuedRetry : AskRetry;
  const Duration Wait = First * (1U << std::min(Asked.Sent, MaxDoublings));
  ++Asked.Sent;
  Asked.TimerDue = this->Loop.clock().now() + Wait;
  Asked.Timer = this->Loop.after(Wait, [this, Id] { this->onAskTimer(Id); });
  // The last step: a local allocator may answer within the call.
  this->tell(std::string(Asked.Allocator), std::move(Message));
}

void AllocationAgent::onAskTimer(const AskId &Id) {
  const auto Found = this->Asks.find(Id);
  if (Found == this->Asks.end())
    return;
  OpenAsk &Asked = Found->second;
  Asked.Timer = 0;
  const TimePoint Now = this->Loop.clock().now();
  if (Now - Asked.AskedAt >
      std::chrono::milliseconds(Asked.Ask.WaitForMs) + AnswerReserve) {
    this->answer(Id, ServerRefused{Id, UnansweredReturnMs});
    return;
  }
  // A loop that was late itself cannot tell whether the answer was.
  const bool OwnFault = Now - Asked.TimerDue > LateTimer;
  if (OwnFault || ++Asked.Unanswered < MaxUnanswered) {
    this->sendAsk(Asked);
    return;
  }
  this->Counters.Away.add();
  log(LogPart::Peer, LogLevel::Info,
      "allocator " + Asked.Allocator + " does not answer");
  this->SuspectUntil[Asked.Allocator] = Now + SuspectTime;
  Asked.Unanswered = 0;
  Asked.Sent = 0;
  Asked.Queued = false;
  Asked.Allocator = ++Asked.Passed < MaxPassed
                        ? this->allocatorOf(Asked.Ask.Service)
                        : this->Chosen.RouterName;
  this->sendAsk(Asked);
}

void AllocationAgent::answer(const AskId &Id, const AllocationAnswer &Answer) {
  const auto Found = this->Asks.find(Id);
  if (Found == this->Asks.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const Callback Told = std::move(Found->second.Told);
  this->Asks.erase(Found);
  Told(Answer);
}

void AllocationAgent::withdraw(const AskId &Id) {
  const auto Found = this->Asks.find(Id);
  if (Found == this->Asks.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const std::string Allocator = Found->second.Allocator;
  this->Asks.erase(Found);
  this->tell(Allocator, AskWithdrawn{Id});
}

void AllocationAgent::sent(const AskId &Id, std::uint64_t Service,
                           std::uint64_t Server, const SendWork &Work) {
  const GatewayServer *Listed = this->Local.book().find(Server);
  const std::uint64_t Group =
      Listed == nullptr ? Service
                        : this->Groups.groupOf(Listed->Id, Listed->Service);
  OpenSend Send{Group, Server, Work, this->allocatorOf(Group)};
  this->tell(Send.Allocator,
             SendOpen{Id, Server, Work.UnreadTokens, Work.OutputTokens});
  this->Sends[Id] = std::move(Send);
}

void AllocationAgent::began(const AskId &Id) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return;
  Found->second.Work.UnreadTokens = 0;
  this->tell(Found->second.Allocator, GrantBegan{Id});
}

void AllocationAgent::ended(const AskId &Id, ServerVerdict Verdict) {
  const auto Found = this->Sends.find(Id);
  if (Found == this->Sends.end())
    return;
  const std::string Allocator = Found->second.Allocator;
  this->Sends.erase(Found);
  this->tell(Allocator, GrantEnded{Id, Verdict});
}

/// Also moves what is open to the allocator of the moment.
void AllocationAgent::tellOpenSends() {
  for (auto &[Id, Send] : this->Sends) {
    Send.Allocator = this->allocatorOf(Send.Service);
    this->tell(Send.Allocator, SendOpen{Id, Send.Server, Send.Work.UnreadTokens,
                                        Send.Work.OutputTokens});
  }
  this->Loop.after(TellInterval, [this] { this->tellOpenSends(); });
}

void AllocationAgent::tell(const std::string &Router,
                           AllocationMessage Message) {
  if (Router == this->Chosen.RouterName) {
    this->Local.handle(Message, this->Loop.clock().now());
    this->schedulePump();
    this->deliverLocalAnswers();
    return;
  }
  const auto Found = this->Routers.find(Router);
  // A router that is listed no more; the ask's timer finds another.
  if (Found == this->Routers.end())
    return;
  this->Outbox[Found->second.Address].push_back(std::move(Message));
  this->scheduleFlush();
}

void AllocationAgent::scheduleFlush() {
  if (this->FlushDue)
    return;
  this->FlushDue = true;
  this->Loop.after(Duration::zero(), [this] { this->flush(); });
}

void AllocationAgent::flush() {
  this->FlushDue = false;
  const auto Pending = std::exchange(this->Outbox, {});
  for (const auto &[Address, Messages] : Pending)
    for (std::size_t First = 0; First < Messages.size();
         First += MessagesPerDatagram) {
      const std::size_t Last =
          std::min(First + MessagesPerDatagram, Messages.size());
      const std::string Bytes = encodeAllocation(
          {Messages.begin() + static_cast<std::ptrdiff_t>(First),
           Messages.begin() + static_cast<std::ptrdiff_t>(Last)});
      this->Counters.Datagrams.add();
      try {
        this->Socket.sendTo(Bytes.data(), static_cast<int>(Bytes.size()),
                            Address);
      } catch (const Poco::Exception &Problem) {
        // Lost like any datagram; asks are sent again.
        log(LogPart::Peer, LogLevel::Debug,
            "send to " + Address.toString() + ": " + Problem.displayText());
      }
    }
}

void AllocationAgent::schedulePump() {
  if (this->PumpDue)
    return;
  this->PumpDue = true;
  this->Loop.after(Duration::zero(), [this] { this->pump(); });
}

void AllocationAgent::pump() {
  this->PumpDue = false;
  this->Local.tick(this->Loop.clock().now());
  this->deliverLocalAnswers();
  if (this->Local.waiting() == 0 || this->PumpTimer != 0)
    return;
  this->PumpTimer = this->Loop.after(PumpInterval, [this] {
    this->PumpTimer = 0;
    this->pump();
  });
}

void AllocationAgent::deliverLocalAnswers() {
  const auto Answers = this->Local.takeAnswers();
  for (const AllocationMessage &Each : Answers) {
    const AskId Id = std::visit([](const auto &M) { return M.Id; }, Each);
    if (Id.Process == this->Chosen.Process) {
      this->onMessage(Each, {});
      continue;
    }
    const auto Asker = this->Askers.find(Id.Process);
    if (Asker == this->Askers.end())
      continue;
    this->Outbox[Asker->second].push_back(Each);
    this->scheduleFlush();
  }
}

void AllocationAgent::onReadable() {
  static thread_local std::array<char, MaxReceived> Buffer;
  for (int Count = 0; Count < MaxDatagramsPerTurn; ++Count) {
    Poco::Net::SocketAddress From;
    int Size = 0;
    try {
      Size = this->Socket.receiveFrom(Buffer.data(), Buffer.size(), From);
    } catch (const Poco::Exception &) {
      // Nothing is there, or an earlier datagram found nobody.
      return;
    }
    if (Size <= 0)
      return;
    this->onDatagram({Buffer.data(), static_cast<std::size_t>(Size)}, From);
  }
}

void AllocationAgent::onDatagram(std::string_view Bytes,
                                 const Poco::Net::SocketAddress &From) {
  const auto Messages = decodeAllocation(Bytes);
  if (!Messages) {
    this->Counters.Malformed.add();
    return;
  }
  for (const AllocationMessage &Each : *Messages)
    this->onMessage(Each, From);
}

/// A grant that comes after its request has gone.
void AllocationAgent::giveBack(const AskId &Id,
                               const Poco::Net::SocketAddress &Allocator) {
  const GrantEnded Message{Id, ServerVerdict::Sound};
  if (Allocator == Poco::Net::SocketAddress()) {
    this->Local.handle(Message, this->Loop.clock().now());
    return;
  }
  this->Outbox[Allocator].emplace_back(Message);
  this->scheduleFlush();
}

void AllocationAgent::onMessage(const AllocationMessage &Message,
                                const Poco::Net::SocketAddress &From) {
  const auto ForAllocator = [this, &From](const auto &M) {
    this->Askers[M.Id.Process] = From;
    this->Local.handle(M, this->Loop.clock().now());
    this->schedulePump();
    this->deliverLocalAnswers();
  };
  std::visit(
      Overloaded{
          [this](const AskQueued &M) {
            const auto Found = this->Asks.find(M.Id);
            if (Found == this->Asks.end())
              return;
            Found->second.Queued = true;
            Found->second.Unanswered = 0;
          },
          [this, &From](const ServerGranted &M) {
            this->Counters.Granted.add();
            if (this->Asks.contains(M.Id))
              this->answer(M.Id, M);
            else if (!this->Sends.contains(M.Id))
              this->giveBack(M.Id, From);
          },
          [this](const ServerRefused &M) {
            this->Counters.Refused.add();
            this->answer(M.Id, M);
          },
          [this, &From](const ProofAsk &M) { this->onProofAsk(M, From); },
          [this](const ProofTold &M) { this->onProofTold(M); },
          ForAllocator,
      },
      Message);
}

} // namespace parsleywing
