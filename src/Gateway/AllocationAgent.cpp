#include "Gateway/AllocationAgent.h"

#include "Runtime/Id.h"
#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <iterator>
#include <type_traits>

namespace parsleywing {

namespace {

/// Delay before an unanswered request is resent: ten times the round trip
/// between zones (2.8 ms) plus the usual lag of the event loop.
constexpr Duration ResendDelay = std::chrono::milliseconds(30);
/// The same for a request that the allocator has queued. It is resent since the
/// allocator may have stopped.
constexpr Duration QueuedResendDelay = std::chrono::milliseconds(120);
/// Number of unanswered transmissions in a row after which the allocator counts
/// as unreachable.
constexpr int MaxUnanswered = 3;
/// Maximum number of times that the resend delay is doubled.
constexpr int MaxDoublings = 4;
/// Time after the end of a request's wait at which this router refuses the
/// request itself if there is no reply.
constexpr Duration LocalRefusalDelay = std::chrono::milliseconds(60);
/// Retry-After of a request that this router refuses since no allocator
/// replied.
constexpr std::uint32_t UnansweredRetryAfterMs = 500;
/// A timer that fires later than this indicates that this router lacks
/// processor time or was suspended.
constexpr Duration LateTimer = std::chrono::milliseconds(15);
/// Number of allocators that are tried before the router allocates for itself.
constexpr int MaxTriedAllocators = 2;

/// The same delays for a slot of a plain service, whose latency objective may
/// be 120 ms: two allocators that do not answer take that long. They are not
/// doubled.
constexpr Duration SlotResendDelay = std::chrono::milliseconds(30);
constexpr Duration QueuedSlotResendDelay = std::chrono::milliseconds(60);
constexpr int MaxUnansweredForSlot = 2;

/// How often a router reports its active attempts. Six reports in a row may be
/// lost before the allocator drops an attempt.
constexpr Duration ReportInterval = std::chrono::milliseconds(250);

/// The maximum number of excluded servers that an `AllocationRequest` can hold.
constexpr std::size_t MaxExcludedServers = 255;

/// The accounts that a log line about refusals names, of all groups.
constexpr std::size_t MaxLoggedAccounts = 12;

/// How often a queue that is not empty is processed.
constexpr Duration QueueInterval = std::chrono::milliseconds(5);

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
                        "Of these, not used since they came too late.", ""})),
      ReturnedGrants(Into.counter(
          {"allocation_grants_returned_total",
           "Grants not used since the server's own responses forbid it.",
           ""})) {}

SlotMetrics::SlotMetrics(Metrics &Into, const std::string &Service)
    : Wait(Into.latency({"slot_wait_seconds",
                         "From a request for a slot of a plain service to its "
                         "grant.",
                         "service=\"" + Service + "\""})),
      Queued(Into.gauge({"slot_queue_requests",
                         "Requests that wait here for a slot.",
                         "service=\"" + Service + "\""})),
      SlotsInUse(Into.gauge({"slots_in_use",
                             "Slots that this router knows to be granted.",
                             "service=\"" + Service + "\""})),
      Slots(Into.gauge({"slots_usable", "Slots of servers that can be used.",
                        "service=\"" + Service + "\""})),
      ReportAgeMs(Into.gauge({"slot_load_report_age_milliseconds",
                              "Age of the oldest of the servers' newest load "
                              "reports.",
                              "service=\"" + Service + "\""})) {
  for (const auto &[Reason, Name] : SlotRefusalNames)
    this->Refused.at(static_cast<std::size_t>(Reason)) = &Into.counter(
        {"slot_refusals_total", "Requests that were refused a slot, by reason.",
         "service=\"" + Service + "\",reason=\"" + std::string(Name) + "\""});
}

AllocationAgent::AllocationAgent(EventLoop &L, RouterMessenger &R,
                                 std::uint64_t P, const WarmUpBounds &WarmUps,
                                 Metrics &M, const AllocatorOptions &Options)
    : Loop(L), Routers(R), RouterProcess(P), Registry(M), Counters(M),
      Ownership(R.self()), LocalAllocator(Options) {
  const auto Owns = [this](std::uint64_t Server) {
    return this->Ownership.owns(Server, this->BootClock.now());
  };
  this->LocalAllocator.setWarmUpPolicy(WarmUps, Owns);
  this->LocalSlots.setWarmUpPolicy(WarmUps, Owns);
}

void AllocationAgent::setServers(const FleetView &View) {
  this->Groups = ServerGroups(*View.Servers);
  this->LocalAllocator.setServers(
      View.Servers, View.Configuration.get(), this->Groups,
      {this->Loop.clock().now(), this->BootClock.now()});
  this->LocalSlots.setServers(
      View.Servers, View.Configuration.get(), this->Groups,
      {this->Loop.clock().now(), this->BootClock.now()});
}

void AllocationAgent::updateView(const FleetView &View) {
  this->Ownership.updateView(View, this->Groups, this->BootClock.now());
  this->updateSharedServices(View);
}

void AllocationAgent::updateSharedServices(const FleetView &View) {
  const bool Unchanged = View.Servers == this->SharedServers &&
                         View.Configuration == this->SharedConfiguration &&
                         View.RouterCount == this->SharedRouterCount;
  if (!this->SharesSlots || Unchanged || View.Servers == nullptr ||
      View.Configuration == nullptr)
    return;
  this->SharedServers = View.Servers;
  this->SharedConfiguration = View.Configuration;
  this->SharedRouterCount = View.RouterCount;
  std::map<std::string, std::uint64_t> Slots;
  for (const auto &[Id, Server] : *View.Servers)
    Slots[Server.Service] += Server.Slots;
  this->SharedServices.clear();
  for (const auto &[Name, Count] : Slots) {
    const auto Service = View.Configuration->Services.find(Name);
    if (Service == View.Configuration->Services.end() ||
        Service->second.KvCapacityTokens > 0 || Count >= View.RouterCount)
      continue;
    const std::uint64_t Hash = hashName(Name);
    this->SharedServices.emplace(Hash, Name);
    if (!this->MetricsOfSlots.contains(Hash))
      this->MetricsOfSlots.try_emplace(Hash, this->Registry, Name);
  }
}

void AllocationAgent::request(AllocationRequest Request, Callback OnOutcome) {
  this->Counters.Requests.add();
  const CorrelationId Id = Request.Id;
  // From here on the request names the server group, which has its own
  // allocator.
  PendingRequest Pending;
  Pending.Service = Request.Group;
  Pending.ForSlot = this->sharesSlots(Request.Group);
  Request.Group = this->groupOf(Request);
  Request.UsedElsewhere =
      this->Usage.takeUsedElsewhere(Pending.Service, Request.Account,
                                    Request.Group, this->Loop.clock().now());
  Pending.AllocatorName = this->Routers.firstFor(Request.Group);
  Pending.Request = std::move(Request);
  Pending.OnOutcome = std::move(OnOutcome);
  Pending.RequestedAt = this->Loop.clock().now();
  Pending.FirstSentAt = this->BootClock.now();
  PendingRequest &Stored = this->PendingRequests[Id] = std::move(Pending);
  this->sendRequest(Stored);
}

void AllocationAgent::exclude(AllocationRequest &Request,
                              const std::vector<std::uint64_t> &Avoided) const {
  const std::uint64_t Group = this->groupOf(Request);
  for (const std::uint64_t Server : Avoided) {
    const GatewayServer *Listed =
        this->LocalAllocator.serverTable().find(Server);
    if (Listed == nullptr ||
        this->Groups.groupOfServer(Listed->Id, Listed->Service) != Group ||
        std::ranges::count(Request.ExcludedServers, Server) > 0)
      continue;
    if (Request.ExcludedServers.size() < MaxExcludedServers)
      Request.ExcludedServers.push_back(Server);
  }
}

bool AllocationAgent::mayBeGranted(const AllocationRequest &Request) const {
  return this->LocalAllocator.serverTable().anyAccepts(
      this->groupOf(Request),
      {Request.ExcludedServers.begin(), Request.ExcludedServers.end()},
      this->Loop.clock().now());
}

void AllocationAgent::sendRequest(PendingRequest &Pending) {
  const CorrelationId Id = Pending.Request.Id;
  const auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Loop.clock().now() - Pending.RequestedAt);
  AllocationRequest Message = Pending.Request;
  Message.ObjectiveLeftMs -= static_cast<std::int32_t>(Elapsed.count());
  Message.MaxWaitMs -= static_cast<std::int32_t>(Elapsed.count());
  const Duration Wait = resendDelay(Pending);
  ++Pending.SendCount;
  Pending.TimerDueAt = this->Loop.clock().now() + Wait;
  Pending.Timer =
      this->Loop.after(Wait, [this, Id] { this->onRequestTimer(Id); });
  // Must be the last step: a local allocator may reply within the call.
  this->sendTo(std::string(Pending.AllocatorName), std::move(Message));
}

Duration AllocationAgent::resendDelay(const PendingRequest &Pending) {
  if (Pending.ForSlot)
    return Pending.Queued ? QueuedSlotResendDelay : SlotResendDelay;
  // Exponential backoff: resending at a fixed rate would slow down an allocator
  // that is slow already, or a router that is slow to read the replies.
  const Duration First = Pending.Queued ? QueuedResendDelay : ResendDelay;
  return First * (1U << std::min(Pending.SendCount, MaxDoublings));
}

void AllocationAgent::onRequestTimer(const CorrelationId &Id) {
  const auto Found = this->PendingRequests.find(Id);
  if (Found == this->PendingRequests.end())
    return;
  PendingRequest &Pending = Found->second;
  Pending.Timer = 0;
  const TimePoint Now = this->Loop.clock().now();
  if (Now - Pending.RequestedAt >
      std::chrono::milliseconds(Pending.Request.MaxWaitMs) +
          LocalRefusalDelay) {
    if (Pending.ForSlot && !Pending.EverQueued)
      this->complete(Id, AllocationUnanswered{});
    else
      this->complete(Id, AllocationRefusal{Id, UnansweredRetryAfterMs, 0});
    return;
  }
  // If this router's timer was late, the reply may have arrived in time and not
  // been read yet.
  const bool TimerWasLate = Now - Pending.TimerDueAt > LateTimer;
  const int MaxCount = Pending.ForSlot ? MaxUnansweredForSlot : MaxUnanswered;
  if (TimerWasLate || ++Pending.UnansweredCount < MaxCount) {
    this->sendRequest(Pending);
    return;
  }
  this->Counters.Unanswered.add();
  log(LogPart::Peer, LogLevel::Info,
      "allocator " + Pending.AllocatorName + " does not answer");
  this->Routers.skip(Pending.AllocatorName);
  Pending.UnansweredCount = 0;
  Pending.SendCount = 0;
  Pending.Queued = false;
  if (Pending.ForSlot && Pending.SkippedAllocators + 1 >= MaxTriedAllocators) {
    this->complete(Id, AllocationUnanswered{});
    return;
  }
  Pending.AllocatorName = ++Pending.SkippedAllocators < MaxTriedAllocators
                              ? this->Routers.firstFor(Pending.Request.Group)
                              : this->Routers.self();
  Pending.FirstSentAt = this->BootClock.now();
  this->sendRequest(Pending);
}

void AllocationAgent::complete(const CorrelationId &Id,
                               const AllocationReply &Reply) {
  const auto Found = this->PendingRequests.find(Id);
  if (Found == this->PendingRequests.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const PendingRequest Pending = std::move(Found->second);
  this->PendingRequests.erase(Found);
  AllocationOutcome Outcome{Reply, Pending.AllocatorName, Pending.Request.Group,
                            this->Loop.clock().now() - Pending.RequestedAt};
  const auto *Grant = std::get_if<AllocationGrant>(&Reply);
  if (Grant != nullptr)
    this->Usage.recordGrant(Pending.Service, Pending.Request.Account,
                            Pending.Request.Group, usageOf(Pending.Request),
                            this->Loop.clock().now());
  const auto SlotsOf = this->MetricsOfSlots.find(Pending.Service);
  if (Grant != nullptr && SlotsOf != this->MetricsOfSlots.end())
    SlotsOf->second.Wait.observe(Outcome.WaitTime);
  if (Grant != nullptr && Grant->SendWithinMs > 0) {
    this->Counters.WarmUpGrants.add();
    Outcome.SendDeadline =
        Pending.FirstSentAt + std::chrono::milliseconds(Grant->SendWithinMs);
  }
  Pending.OnOutcome(Outcome);
}

void AllocationAgent::cancel(const CorrelationId &Id) {
  const auto Found = this->PendingRequests.find(Id);
  if (Found == this->PendingRequests.end())
    return;
  this->Loop.cancel(Found->second.Timer);
  const std::string AllocatorName = Found->second.AllocatorName;
  this->PendingRequests.erase(Found);
  this->sendTo(AllocatorName, AllocationCancelled{Id});
}

void AllocationAgent::onAttemptSent(const CorrelationId &Id,
                                    std::uint64_t Service, std::uint64_t Server,
                                    const AttemptLoad &Load) {
  const GatewayServer *Listed = this->LocalAllocator.serverTable().find(Server);
  const std::uint64_t Group =
      Listed == nullptr
          ? Service
          : this->Groups.groupOfServer(Listed->Id, Listed->Service);
  ActiveAttempt Attempt{Group, Server, Load, this->Routers.firstFor(Group)};
  this->sendTo(Attempt.AllocatorName,
               GrantActive{Id, Server, Load.PrefillTokens, Load.MaxOutputTokens,
                           Load.ServerStartedMs});
  this->ActiveAttempts[Id] = std::move(Attempt);
}

void AllocationAgent::onAttemptStarted(const CorrelationId &Id) {
  const auto Found = this->ActiveAttempts.find(Id);
  if (Found == this->ActiveAttempts.end())
    return;
  Found->second.Load.PrefillTokens = 0;
  this->sendTo(Found->second.AllocatorName, GrantStarted{Id});
}

void AllocationAgent::reportLoad(const CorrelationId &Id,
                                 const ServerLoad &Load, Duration Age) {
  const auto Found = this->ActiveAttempts.find(Id);
  if (Found == this->ActiveAttempts.end())
    return;
  const auto AgeMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count();
  // The decoder bounds the figures.
  this->sendTo(
      Found->second.AllocatorName,
      ServerLoadReport{
          Id, Found->second.Server, Found->second.Load.ServerStartedMs,
          static_cast<std::uint32_t>(AgeMs),
          static_cast<std::uint32_t>(Load.Running),
          static_cast<std::uint32_t>(Load.Waiting),
          static_cast<std::uint32_t>(Load.Slots),
          static_cast<std::uint32_t>(Load.WorkTimePercent.value_or(0))});
}

void AllocationAgent::onAttemptEnded(const CorrelationId &Id,
                                     ServerVerdict Verdict) {
  const auto Found = this->ActiveAttempts.find(Id);
  if (Found == this->ActiveAttempts.end())
    return;
  const std::string AllocatorName = Found->second.AllocatorName;
  this->ActiveAttempts.erase(Found);
  this->sendTo(AllocatorName, GrantEnded{Id, Verdict});
}

/// Also moves active attempts to the current allocator of their group.
void AllocationAgent::reportActiveAttempts() {
  for (auto &[Id, Attempt] : this->ActiveAttempts) {
    Attempt.AllocatorName = this->Routers.firstFor(Attempt.Group);
    this->sendTo(Attempt.AllocatorName,
                 GrantActive{Id, Attempt.Server, Attempt.Load.PrefillTokens,
                             Attempt.Load.MaxOutputTokens,
                             Attempt.Load.ServerStartedMs});
  }
  this->Loop.after(ReportInterval, [this] { this->reportActiveAttempts(); });
}

void AllocationAgent::sendTo(const std::string &Router, RouterMessage Message) {
  if (Router == this->Routers.self()) {
    std::visit([this](const auto &M) { this->handleLocally(M); }, Message);
    this->scheduleAllocator();
    this->deliverLocalReplies();
    return;
  }
  this->Routers.send(Router, std::move(Message));
}

/// Messages that name neither a group nor a server concern a request that only
/// one of the allocators knows; the other ignores them.
template <typename Message>
void AllocationAgent::handleLocally(const Message &M) {
  const TimePoint Now = this->Loop.clock().now();
  if constexpr (std::is_same_v<Message, AllocationRequest>) {
    if (this->LocalSlots.servesGroup(M.Group))
      this->LocalSlots.handle(M, Now);
    else
      this->LocalAllocator.handle(M, Now);
  } else if constexpr (std::is_same_v<Message, GrantActive>) {
    if (this->LocalSlots.servesServer(M.Server))
      this->LocalSlots.handle(M, Now);
    else
      this->LocalAllocator.handle(M, Now);
  } else {
    this->LocalSlots.handle(M, Now);
    this->LocalAllocator.handle(M, Now);
  }
}

void AllocationAgent::scheduleAllocator() {
  if (this->AllocatorScheduled)
    return;
  this->AllocatorScheduled = true;
  this->Loop.after(Duration::zero(), [this] { this->runAllocator(); });
}

void AllocationAgent::runAllocator() {
  this->AllocatorScheduled = false;
  const TimePoint Now = this->Loop.clock().now();
  this->LocalAllocator.tick(Now);
  this->LocalSlots.tick(Now);
  this->deliverLocalReplies();
  this->updateSlotMetrics();
  const std::size_t Queued =
      this->LocalAllocator.queuedRequests() + this->LocalSlots.queuedRequests();
  if (Queued == 0 || this->AllocatorTimer != 0)
    return;
  this->AllocatorTimer = this->Loop.after(QueueInterval, [this] {
    this->AllocatorTimer = 0;
    this->runAllocator();
  });
}

void AllocationAgent::updateSlotMetrics() {
  const TimePoint Now = this->Loop.clock().now();
  for (auto &[Service, Into] : this->MetricsOfSlots) {
    // A service with fewer slots than routers has more than one group only if
    // it has more than 40 servers; its further groups are not in the metrics.
    const SlotSummary Summary = this->LocalSlots.summaryOf(Service, Now);
    Into.Queued.set(static_cast<std::int64_t>(Summary.Queued));
    Into.SlotsInUse.set(static_cast<std::int64_t>(Summary.SlotsInUse));
    Into.Slots.set(static_cast<std::int64_t>(Summary.Slots));
    Into.ReportAgeMs.set(std::chrono::duration_cast<std::chrono::milliseconds>(
                             Summary.ReportAge.value_or(Duration::zero()))
                             .count());
    for (std::size_t I = 0; I < Summary.Refused.size(); ++I) {
      const std::uint64_t Known = Into.Refused.at(I)->value();
      if (Summary.Refused.at(I) > Known)
        Into.Refused.at(I)->add(Summary.Refused.at(I) - Known);
    }
  }
}

void AllocationAgent::deliverLocalReplies() {
  for (const std::uint64_t Server : this->LocalAllocator.takeUnknownCaches())
    if (this->OnUnknownCache)
      this->OnUnknownCache(Server);
  auto Replies = this->LocalAllocator.takeReplies();
  std::ranges::move(this->LocalSlots.takeReplies(),
                    std::back_inserter(Replies));
  for (const RouterMessage &Each : Replies) {
    const CorrelationId Id =
        std::visit([](const auto &M) { return M.Id; }, Each);
    if (const auto *Refusal = std::get_if<AllocationRefusal>(&Each))
      this->logRefusal(*Refusal);
    if (const auto *Grant = std::get_if<AllocationGrant>(&Each);
        Grant != nullptr && Grant->Decision)
      logDecision(*Grant);
    if (Id.Process == this->RouterProcess) {
      this->onMessage(Each, {});
      continue;
    }
    const auto Requester = this->Requesters.find(Id.Process);
    if (Requester == this->Requesters.end())
      continue;
    this->Routers.send(Requester->second, Each);
  }
}

/// Written as a warning, which is not rate limited.
void AllocationAgent::logRefusedAccounts() {
  const std::string Refused = textOfRefused(
      this->LocalAllocator.takeAccountCounts(), MaxLoggedAccounts);
  if (!Refused.empty())
    log(LogPart::Peer, LogLevel::Warn, "allocations refused: " + Refused);
}

void AllocationAgent::logRefusal(const AllocationRefusal &Refusal) const {
  if (this->LocalSlots.servesGroup(Refusal.Group)) {
    logLazily(LogPart::Peer, [this, &Refusal] {
      const SlotSummary Summary =
          this->LocalSlots.summaryOf(Refusal.Group, this->Loop.clock().now());
      return "ask=" + textOf(Refusal.Id) +
             " refused: waiting=" + std::to_string(Summary.Queued) +
             " slots-in-use=" + std::to_string(Summary.SlotsInUse) +
             " slots-usable=" + std::to_string(Summary.Slots) +
             " return-after=" +
             secondsText(std::chrono::milliseconds(Refusal.RetryAfterMs));
    });
    return;
  }
  logLazily(LogPart::Peer, [this, &Refusal] {
    const CapacitySummary Capacity = this->LocalAllocator.capacityOf(
        Refusal.Group, this->Loop.clock().now());
    return "ask=" + textOf(Refusal.Id) + " refused: waiting=" +
           std::to_string(this->LocalAllocator.queuedRequests()) +
           " at-servers=" +
           std::to_string(this->LocalAllocator.activeGrants()) +
           " free=" + std::to_string(Capacity.Free) +
           " slots-taken=" + std::to_string(Capacity.SlotsFull) +
           " prompts-wait=" + std::to_string(Capacity.PrefillFull) +
           " unsound=" + std::to_string(Capacity.Unusable) +
           " warming-up=" + std::to_string(Capacity.WarmingUp) +
           " return-after=" +
           secondsText(std::chrono::milliseconds(Refusal.RetryAfterMs));
  });
}

/// Only grants of another engine than the cheapest are logged. A line for each
/// grant would cost small routers noticeable processor time.
void AllocationAgent::logDecision(const AllocationGrant &Grant) {
  logLazily(LogPart::Peer, [&Grant] {
    return "ask=" + textOf(Grant.Id) + " granted: " + textOf(*Grant.Decision);
  });
}

/// Returns a grant whose request was cancelled or has ended.
void AllocationAgent::release(
    const CorrelationId &Id, const Poco::Net::SocketAddress &AllocatorAddress) {
  const GrantEnded Message{Id, ServerVerdict::Healthy};
  if (AllocatorAddress == Poco::Net::SocketAddress()) {
    this->handleLocally(Message);
    return;
  }
  this->Routers.send(AllocatorAddress, Message);
}

void AllocationAgent::onMessage(const RouterMessage &Message,
                                const Poco::Net::SocketAddress &From) {
  const auto ForAllocator = [this, &From](const auto &M) {
    this->Requesters[M.Id.Process] = From;
    this->handleLocally(M);
    this->scheduleAllocator();
    this->deliverLocalReplies();
  };
  std::visit(Overloaded{
                 [this](const AllocationQueued &M) {
                   const auto Found = this->PendingRequests.find(M.Id);
                   if (Found == this->PendingRequests.end())
                     return;
                   Found->second.Queued = true;
                   Found->second.EverQueued = true;
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
                 // Handled by other classes.
                 [](const FleetStatusRequest &) {},
                 [](const FleetStatus &) {},
                 [](const FleetUpdate &) {},
                 [](const CrashReport &) {},
                 [](const StreamsBound &) {},
                 [](const StreamQuery &) {},
                 [](const StreamAnswer &) {},
                 [](const StreamSyncRequest &) {},
                 ForAllocator,
             },
             Message);
}

} // namespace parsleywing
