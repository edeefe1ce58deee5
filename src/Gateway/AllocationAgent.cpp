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
    : Requests(Into.counter({"allocation_asks_total",
                             "Requests for which a server was asked.", ""})),
      Grants(Into.counter({"allocation_answers_total", "Answers to such asks.",
                           "answer=\"granted\""})),
      Refusals(
          Into.counter({"allocation_answers_total", "", "answer=\"refused\""})),
      Unanswered(
          Into.counter({"allocation_answers_total", "", "answer=\"none\""})),
      WarmUpGrants(Into.counter({"warm_up_grants_total",
                                 "Grants of servers that warm up, as heard by "
                                 "the routers that asked.",
                                 ""})),
      LateWarmUpGrants(
          Into.counter({"warm_up_grants_late_total",
                        "Of these, not used since they came too late.", ""})) {}

AllocationAgent::AllocationAgent(EventLoop &L, RouterExchange &R,
                                 std::uint64_t P, const WarmUpBounds &WarmUps,
                                 Metrics &M)
    : Loop(L), Routers(R), Process(P), Counters(M), Ownership(R.self()) {
  this->LocalAllocator.setWarmUpPolicy(WarmUps, [this](std::uint64_t Server) {
    return this->Ownership.owns(Server, this->BootClock.now());
  });
}

void AllocationAgent::setServers(const FleetView &View) {
  this->Groups = ServerGroups(*View.Servers);
  this->LocalAllocator.setServers(
      View.Servers, View.Configuration.get(), this->Groups,
      {this->Loop.clock().now(), this->BootClock.now()});
}

void AllocationAgent::updateView(const FleetView &View) {
  this->Ownership.updateView(View, this->Groups, this->BootClock.now());
}

void AllocationAgent::request(AllocationRequest Ask, Callback Told) {
  this->Counters.Requests.add();
  const CorrelationId Id = Ask.Id;
  Ask.Service = this->Groups.groupForRequest(Ask.Service, Ask.Parts, Id.Number);
  PendingRequest Asked;
  Asked.Allocator = this->Routers.firstFor(Ask.Service);
  Asked.Request = std::move(Ask);
  Asked.OnOutcome = std::move(Told);
  Asked.RequestedAt = this->Loop.clock().now();
  Asked.FirstSentAt = this->BootClock.now();
  PendingRequest &Kept = this->PendingRequests[Id] = std::move(Asked);
  this->sendRequest(Kept);
}

void AllocationAgent::sendRequest(PendingRequest &Asked) {
  const CorrelationId Id = Asked.Request.Id;
  const auto Gone = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Loop.clock().now() - Asked.RequestedAt);
  AllocationRequest Message = Asked.Request;
  Message.ObjectiveLeftMs -= static_cast<std::int32_t>(Gone.count());
  Message.MaxWaitMs -= static_cast<std::int32_t>(Gone.count());
  // Each time later: to ask a slow allocator, or one whose answers this router
  // is slow to read, ever more often would make it slower still.
  const Duration First = Asked.Queued ? QueuedRetry : AskRetry;
  const Duration Wait = First * (1U << std::min(Asked.SendCount, MaxDoublings));
  ++Asked.SendCount;
  Asked.TimerDueAt = this->Loop.clock().now() + Wait;
  Asked.Timer =
      this->Loop.after(Wait, [this, Id] { this->onRequestTimer(Id); });
  // The last step: a local allocator may answer within the call.
  this->sendTo(std::string(Asked.Allocator), std::move(Message));
}

void AllocationAgent::onRequestTimer(const CorrelationId &Id) {
  const auto Found = this->PendingRequests.find(Id);
  if (Found == this->PendingRequests.end())
    return;
  PendingRequest &Asked = Found->second;
  Asked.Timer = 0;
  const TimePoint Now = this->Loop.clock().now();
  if (Now - Asked.RequestedAt >
      std::chrono::milliseconds(Asked.Request.MaxWaitMs) + AnswerReserve) {
    this->complete(Id, AllocationRefusal{Id, UnansweredReturnMs, 0});
    return;
  }
  // A loop that was late itself cannot tell whether the answer was.
  const bool OwnFault = Now - Asked.TimerDueAt > LateTimer;
  if (OwnFault || ++Asked.UnansweredCount < MaxUnanswered) {
    this->sendRequest(Asked);
    return;
  }
  this->Counters.Unanswered.add();
  log(LogPart::Peer, LogLevel::Info,
      "allocator " + Asked.Allocator + " does not answer");
  this->Routers.suspect(Asked.Allocator);
  Asked.UnansweredCount = 0;
  Asked.SendCount = 0;
  Asked.Queued = false;
  Asked.Allocator = ++Asked.SkippedAllocators < MaxPassed
                        ? this->Routers.firstFor(Asked.Request.Service)
                        : this->Routers.self();
  Asked.FirstSentAt = this->BootClock.now();
  this->sendRequest(Asked);
}

void AllocationAgent::complete(const CorrelationId &Id,
                               const AllocationReply &Answer) {
  const auto Found = this->PendingRequests.find(Id);
  if (Found == this->PendingRequests.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const PendingRequest Asked = std::move(Found->second);
  this->PendingRequests.erase(Found);
  AllocationOutcome Outcome{Answer, Asked.Allocator,
                            this->Loop.clock().now() - Asked.RequestedAt};
  const auto *Granted = std::get_if<AllocationGrant>(&Answer);
  if (Granted != nullptr && Granted->SendWithinMs > 0) {
    this->Counters.WarmUpGrants.add();
    Outcome.SendDeadline =
        Asked.FirstSentAt + std::chrono::milliseconds(Granted->SendWithinMs);
  }
  Asked.OnOutcome(Outcome);
}

void AllocationAgent::cancel(const CorrelationId &Id) {
  const auto Found = this->PendingRequests.find(Id);
  if (Found == this->PendingRequests.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const std::string Allocator = Found->second.Allocator;
  this->PendingRequests.erase(Found);
  this->sendTo(Allocator, AllocationCancelled{Id});
}

void AllocationAgent::onAttemptSent(const CorrelationId &Id,
                                    std::uint64_t Service, std::uint64_t Server,
                                    const AttemptLoad &Work) {
  const GatewayServer *Listed = this->LocalAllocator.serverTable().find(Server);
  const std::uint64_t Group =
      Listed == nullptr
          ? Service
          : this->Groups.groupOfServer(Listed->Id, Listed->Service);
  ActiveAttempt Send{Group, Server, Work, this->Routers.firstFor(Group)};
  this->sendTo(Send.Allocator,
               GrantActive{Id, Server, Work.PrefillTokens, Work.OutputTokens,
                           Work.ServerStartedMs});
  this->ActiveAttempts[Id] = std::move(Send);
}

void AllocationAgent::onAttemptStarted(const CorrelationId &Id) {
  const auto Found = this->ActiveAttempts.find(Id);
  if (Found == this->ActiveAttempts.end())
    return;
  Found->second.Load.PrefillTokens = 0;
  this->sendTo(Found->second.Allocator, GrantStarted{Id});
}

void AllocationAgent::onAttemptEnded(const CorrelationId &Id,
                                     ServerVerdict Verdict) {
  const auto Found = this->ActiveAttempts.find(Id);
  if (Found == this->ActiveAttempts.end())
    return;
  const std::string Allocator = Found->second.Allocator;
  this->ActiveAttempts.erase(Found);
  this->sendTo(Allocator, GrantEnded{Id, Verdict});
}

/// Also moves what is open to the allocator of the moment.
void AllocationAgent::reportActiveAttempts() {
  for (auto &[Id, Send] : this->ActiveAttempts) {
    Send.Allocator = this->Routers.firstFor(Send.Service);
    this->sendTo(Send.Allocator,
                 GrantActive{Id, Send.Server, Send.Load.PrefillTokens,
                             Send.Load.OutputTokens,
                             Send.Load.ServerStartedMs});
  }
  this->Loop.after(TellInterval, [this] { this->reportActiveAttempts(); });
}

void AllocationAgent::sendTo(const std::string &Router, RouterMessage Message) {
  if (Router == this->Routers.self()) {
    this->LocalAllocator.handle(Message, this->Loop.clock().now());
    this->scheduleAllocator();
    this->deliverLocalReplies();
    return;
  }
  this->Routers.send(Router, std::move(Message));
}

void AllocationAgent::scheduleAllocator() {
  if (this->AllocatorScheduled)
    return;
  this->AllocatorScheduled = true;
  this->Loop.after(Duration::zero(), [this] { this->runAllocator(); });
}

void AllocationAgent::runAllocator() {
  this->AllocatorScheduled = false;
  this->LocalAllocator.tick(this->Loop.clock().now());
  this->deliverLocalReplies();
  if (this->LocalAllocator.queuedRequests() == 0 || this->AllocatorTimer != 0)
    return;
  this->AllocatorTimer = this->Loop.after(PumpInterval, [this] {
    this->AllocatorTimer = 0;
    this->runAllocator();
  });
}

void AllocationAgent::deliverLocalReplies() {
  for (const std::uint64_t Server : this->LocalAllocator.takeUnknownCaches())
    if (this->OnUnknownCache)
      this->OnUnknownCache(Server);
  const auto Answers = this->LocalAllocator.takeReplies();
  for (const RouterMessage &Each : Answers) {
    const CorrelationId Id =
        std::visit([](const auto &M) { return M.Id; }, Each);
    if (const auto *Refused = std::get_if<AllocationRefusal>(&Each))
      this->logRefusal(*Refused);
    if (Id.Process == this->Process) {
      this->onMessage(Each, {});
      continue;
    }
    const auto Asker = this->Requesters.find(Id.Process);
    if (Asker == this->Requesters.end())
      continue;
    this->Routers.send(Asker->second, Each);
  }
}

void AllocationAgent::logRefusal(const AllocationRefusal &Refused) const {
  logLazily(LogPart::Peer, [this, &Refused] {
    const CapacitySummary Room = this->LocalAllocator.capacityOf(
        Refused.Service, this->Loop.clock().now());
    return "ask=" + textOf(Refused.Id) + " refused: waiting=" +
           std::to_string(this->LocalAllocator.queuedRequests()) +
           " at-servers=" +
           std::to_string(this->LocalAllocator.activeGrants()) +
           " free=" + std::to_string(Room.Free) +
           " slots-taken=" + std::to_string(Room.SlotsFull) +
           " prompts-wait=" + std::to_string(Room.PrefillFull) +
           " unsound=" + std::to_string(Room.Unhealthy) +
           " warming-up=" + std::to_string(Room.WarmingUp) + " return-after=" +
           secondsText(std::chrono::milliseconds(Refused.RetryAfterMs));
  });
}

/// A grant that comes after its request has gone.
void AllocationAgent::release(const CorrelationId &Id,
                              const Poco::Net::SocketAddress &Allocator) {
  const GrantEnded Message{Id, ServerVerdict::Healthy};
  if (Allocator == Poco::Net::SocketAddress()) {
    this->LocalAllocator.handle(Message, this->Loop.clock().now());
    return;
  }
  this->Routers.send(Allocator, Message);
}

void AllocationAgent::onMessage(const RouterMessage &Message,
                                const Poco::Net::SocketAddress &From) {
  const auto ForAllocator = [this, &From](const auto &M) {
    this->Requesters[M.Id.Process] = From;
    this->LocalAllocator.handle(M, this->Loop.clock().now());
    this->scheduleAllocator();
    this->deliverLocalReplies();
  };
  std::visit(Overloaded{
                 [this](const AllocationQueued &M) {
                   const auto Found = this->PendingRequests.find(M.Id);
                   if (Found == this->PendingRequests.end())
                     return;
                   Found->second.Queued = true;
                   Found->second.UnansweredCount = 0;
                 },
                 [this, &From](const AllocationGrant &M) {
                   this->Counters.Grants.add();
                   if (this->PendingRequests.contains(M.Id))
                     this->complete(M.Id, M);
                   else if (!this->ActiveAttempts.contains(M.Id))
                     this->release(M.Id, From);
                 },
                 [this](const AllocationRefusal &M) {
                   this->Counters.Refusals.add();
                   this->complete(M.Id, M);
                 },
                 // Not of this class.
                 [](const FleetStatusRequest &) {},
                 [](const FleetStatus &) {},
                 [](const FleetUpdate &) {},
                 [](const CrashReport &) {},
                 ForAllocator,
             },
             Message);
}

} // namespace parsleywing
