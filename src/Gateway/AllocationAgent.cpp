#include "Gateway/AllocationAgent.h"

#include "Runtime/Id.h"
#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

#include <algorithm>

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

/// How often a router tells of the requests that it has at servers. Six in a
/// row may be lost before the allocator forgets one.
constexpr Duration TellInterval = std::chrono::milliseconds(250);

/// How often a queue is looked through while something waits in it.
constexpr Duration PumpInterval = std::chrono::milliseconds(5);

} // namespace

AllocationCounters::AllocationCounters(Metrics &Into)
    : Asked(Into.counter({"allocation_asks_total",
                          "Requests for which a server was asked.", ""})),
      Granted(Into.counter({"allocation_answers_total", "Answers to such asks.",
                            "answer=\"granted\""})),
      Refused(
          Into.counter({"allocation_answers_total", "", "answer=\"refused\""})),
      Away(Into.counter({"allocation_answers_total", "", "answer=\"none\""})),
      WarmUpGrants(Into.counter({"warm_up_grants_total",
                                 "Grants of servers that warm up, as heard by "
                                 "the routers that asked.",
                                 ""})),
      WarmUpGrantsLate(
          Into.counter({"warm_up_grants_late_total",
                        "Of these, not used since they came too late.", ""})) {}

AllocationAgent::AllocationAgent(EventLoop &L, RouterExchange &R,
                                 std::uint64_t P, const WarmUpBounds &WarmUps,
                                 Metrics &M)
    : Loop(L), Routers(R), Process(P), Counters(M), Sole(R.self()) {
  this->Local.setWarmUps(WarmUps, [this](std::uint64_t Server) {
    return this->Sole.owns(Server, this->SuspendClock.now());
  });
}

void AllocationAgent::setServers(const FleetView &View) {
  this->Groups = ServerGroups(*View.Servers);
  this->Local.setServers(View.Servers, View.Configuration.get(), this->Groups,
                         {this->Loop.clock().now(), this->SuspendClock.now()});
}

void AllocationAgent::takeView(const FleetView &View) {
  this->Sole.takeView(View, this->Groups, this->SuspendClock.now());
}

void AllocationAgent::ask(ServerAsk Ask, Callback Told) {
  this->Counters.Asked.add();
  const AskId Id = Ask.Id;
  Ask.Service = this->Groups.groupFor(Ask.Service, Ask.Parts, Id.Number);
  OpenAsk Asked;
  Asked.Allocator = this->Routers.firstFor(Ask.Service);
  Asked.Ask = std::move(Ask);
  Asked.Told = std::move(Told);
  Asked.AskedAt = this->Loop.clock().now();
  Asked.FirstAskedAt = this->SuspendClock.now();
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
    this->answer(Id, ServerRefused{Id, UnansweredReturnMs, 0});
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
  this->Routers.suspect(Asked.Allocator);
  Asked.Unanswered = 0;
  Asked.Sent = 0;
  Asked.Queued = false;
  Asked.Allocator = ++Asked.Passed < MaxPassed
                        ? this->Routers.firstFor(Asked.Ask.Service)
                        : this->Routers.self();
  Asked.FirstAskedAt = this->SuspendClock.now();
  this->sendAsk(Asked);
}

void AllocationAgent::answer(const AskId &Id, const AllocationAnswer &Answer) {
  const auto Found = this->Asks.find(Id);
  if (Found == this->Asks.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const OpenAsk Asked = std::move(Found->second);
  this->Asks.erase(Found);
  AllocationOutcome Outcome{Answer, Asked.Allocator,
                            this->Loop.clock().now() - Asked.AskedAt};
  const auto *Granted = std::get_if<ServerGranted>(&Answer);
  if (Granted != nullptr && Granted->SendWithinMs > 0) {
    this->Counters.WarmUpGrants.add();
    Outcome.SendUntil =
        Asked.FirstAskedAt + std::chrono::milliseconds(Granted->SendWithinMs);
  }
  Asked.Told(Outcome);
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
  OpenSend Send{Group, Server, Work, this->Routers.firstFor(Group)};
  this->tell(Send.Allocator, SendOpen{Id, Server, Work.UnreadTokens,
                                      Work.OutputTokens, Work.ServerStartedMs});
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
    Send.Allocator = this->Routers.firstFor(Send.Service);
    this->tell(Send.Allocator,
               SendOpen{Id, Send.Server, Send.Work.UnreadTokens,
                        Send.Work.OutputTokens, Send.Work.ServerStartedMs});
  }
  this->Loop.after(TellInterval, [this] { this->tellOpenSends(); });
}

void AllocationAgent::tell(const std::string &Router, RouterMessage Message) {
  if (Router == this->Routers.self()) {
    this->Local.handle(Message, this->Loop.clock().now());
    this->schedulePump();
    this->deliverLocalAnswers();
    return;
  }
  this->Routers.send(Router, std::move(Message));
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
  for (const std::uint64_t Server : this->Local.takeUnknown())
    if (this->AskKept)
      this->AskKept(Server);
  const auto Answers = this->Local.takeAnswers();
  for (const RouterMessage &Each : Answers) {
    const AskId Id = std::visit([](const auto &M) { return M.Id; }, Each);
    if (const auto *Refused = std::get_if<ServerRefused>(&Each))
      this->logRefusal(*Refused);
    if (Id.Process == this->Process) {
      this->onMessage(Each, {});
      continue;
    }
    const auto Asker = this->Askers.find(Id.Process);
    if (Asker == this->Askers.end())
      continue;
    this->Routers.send(Asker->second, Each);
  }
}

void AllocationAgent::logRefusal(const ServerRefused &Refused) const {
  logEach(LogPart::Peer, [this, &Refused] {
    const ServerRoom Room =
        this->Local.roomOf(Refused.Service, this->Loop.clock().now());
    return "ask=" + textOf(Refused.Id) +
           " refused: waiting=" + std::to_string(this->Local.waiting()) +
           " at-servers=" + std::to_string(this->Local.granted()) +
           " free=" + std::to_string(Room.Free) +
           " slots-taken=" + std::to_string(Room.SlotsTaken) +
           " prompts-wait=" + std::to_string(Room.PromptsWait) +
           " unsound=" + std::to_string(Room.Unsound) +
           " warming-up=" + std::to_string(Room.WarmingUp) + " return-after=" +
           secondsText(std::chrono::milliseconds(Refused.ReturnAfterMs));
  });
}

/// A grant that comes after its request has gone.
void AllocationAgent::giveBack(const AskId &Id,
                               const Poco::Net::SocketAddress &Allocator) {
  const GrantEnded Message{Id, ServerVerdict::Sound};
  if (Allocator == Poco::Net::SocketAddress()) {
    this->Local.handle(Message, this->Loop.clock().now());
    return;
  }
  this->Routers.send(Allocator, Message);
}

void AllocationAgent::onMessage(const RouterMessage &Message,
                                const Poco::Net::SocketAddress &From) {
  const auto ForAllocator = [this, &From](const auto &M) {
    this->Askers[M.Id.Process] = From;
    this->Local.handle(M, this->Loop.clock().now());
    this->schedulePump();
    this->deliverLocalAnswers();
  };
  std::visit(Overloaded{
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
                 // Not of this class.
                 [](const FleetAsk &) {},
                 [](const FleetTold &) {},
                 [](const FleetNews &) {},
                 [](const CrashNews &) {},
                 ForAllocator,
             },
             Message);
}

} // namespace parsleywing
