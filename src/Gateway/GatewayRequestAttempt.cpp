#include "Gateway/GatewayRequest.h"

#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>

namespace parsleywing {

namespace {

/// Connecting takes one round trip, 3 ms between availability zones. A server
/// that takes longer than this to connect to counts as unreachable.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

/// Max idle time of a pooled connection for a request that may run only once.
/// It must have been used recently, and be well within the server's idle
/// timeout: if the connection has broken unnoticed, it is unknown whether the
/// request ran. A shorter limit would open more connections without making
/// fewer requests fail.
constexpr Duration MaxIdleUnrepeatable = std::chrono::seconds(4);

/// The same for a request that may be repeated.
constexpr Duration MaxIdleRepeatable = std::chrono::seconds(30);

/// A request that has missed its latency objective waits for free capacity for
/// at most its remaining time divided by this. It is worth less than a request
/// that is in time, and the longer it waits without being served, the more time
/// its caller loses.
constexpr int LateWaitDivisor = 4;

constexpr Duration MaxLateWait = std::chrono::milliseconds(500);

/// How long a broken stream waits for another server. Callers abandon a stream
/// after a gap of two seconds.
constexpr Duration MaxResumeWait = std::chrono::milliseconds(1200);

/// The number of grants of one request that are returned since the server's own
/// responses forbid their use. After that the request is placed locally.
constexpr std::uint32_t MaxReturnedGrants = 3;

/// The number of prompt parts that a log line names.
constexpr std::size_t MaxLoggedParts = 8;

} // namespace

void GatewayRequest::startAttempt() {
  if (this->crashesServers()) {
    this->closeUnresponsive(ServerVerdict::Silent);
    this->Cause = TerminationReason::CrashesServers;
    this->endUnserved(RefusalReason::CrashesServers);
  } else if (this->isUnavailable()) {
    this->endUnavailable();
  } else if (this->usesAllocator()) {
    this->requestAllocation();
  } else {
    this->placeLocally();
  }
}

bool GatewayRequest::isUnavailable() const {
  return this->isVersionGone() ||
         this->Context.Servers.isUnavailable(
             this->ServiceHash, this->TriedServers,
             this->Context.Loop.clock().now(), this->Software);
}

Duration GatewayRequest::pauseLeft() const {
  const TimePoint Now = this->Context.Loop.clock().now();
  const auto End = this->Context.Servers.firstPauseEnd(this->ServiceHash, Now,
                                                       this->Software);
  return End ? *End - Now : Duration::zero();
}

void GatewayRequest::endUnavailable() {
  if (this->isVersionGone() && this->TriedServers.empty()) {
    this->endUnserved(RefusalReason::VersionGone);
    return;
  }
  const Duration PauseLeft = this->pauseLeft();
  this->endUnserved(PauseLeft > Duration::zero()
                        ? RefusalReason::ServersPaused
                        : RefusalReason::NoUsableServer,
                    PauseLeft);
}

void GatewayRequest::endIfUnavailable() {
  if (this->Ended || !this->PendingAllocation || !this->isUnavailable())
    return;
  this->cancelAllocation();
  this->endUnavailable();
}

void GatewayRequest::requestAllocation() {
  AllocationRequest Request = this->makeAllocationRequest();
  // Other groups of the service may still have servers.
  if (!Request.ExcludedServers.empty() &&
      !this->Context.Agent.mayBeGranted(Request)) {
    this->placeLocally();
    return;
  }
  this->PendingAllocation = Request.Id;
  this->Context.Agent.request(
      std::move(Request),
      [Self = this->shared_from_this()](const AllocationOutcome &Outcome) {
        Self->onAllocated(Outcome);
      });
}

AllocationRequest GatewayRequest::makeAllocationRequest() {
  const auto ToMilliseconds = [](Duration Time) {
    return static_cast<std::int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
  };
  AllocationRequest Request;
  Request.Id = this->Context.Agent.newId();
  Request.Group = this->ServiceHash;
  Request.Account = hashName(this->Account);
  Request.Zone = hashName(this->Context.Settings.Zone);
  if (this->IsEngine) {
    Request.Parts = this->CallerFields.PromptParts;
    Request.PromptTokens = this->CallerFields.PromptTokens;
    Request.MaxOutputTokens = this->CallerFields.MaxOutputTokens;
  }
  Request.ExcludedServers.assign(this->TriedServers.begin(),
                                 this->TriedServers.end());
  // The allocator does not know what servers have told this router.
  this->Context.Agent.exclude(
      Request, this->Context.Servers.avoidedServers(
                   this->ServiceHash, this->Context.Loop.clock().now()));
  // Allocators of earlier releases know no versions, but exclusions.
  if (this->Software)
    this->Context.Agent.exclude(
        Request, this->Context.Servers.serversOfOtherSoftware(this->ServiceHash,
                                                              *this->Software));
  Request.SpreadKey = this->spreadKey();
  const Duration ObjectiveLeft = this->Route->LatencyObjective -
                                 this->elapsedBeforeArrival() - this->elapsed();
  Duration MaxWait = ObjectiveLeft;
  if (ObjectiveLeft <= Duration::zero())
    MaxWait = std::min(this->timeLeft() / LateWaitDivisor, MaxLateWait);
  // A stream that has started, here or at another router, takes precedence over
  // requests that have not.
  const bool HasStarted =
      this->Progress.ResponseStarted || this->isResumption();
  if (HasStarted)
    MaxWait = std::min(this->timeLeft(), MaxResumeWait);
  Request.ObjectiveLeftMs =
      ToMilliseconds(HasStarted ? MaxWait : ObjectiveLeft);
  Request.MaxWaitMs = ToMilliseconds(MaxWait);
  return Request;
}

void GatewayRequest::onAllocated(const AllocationOutcome &Outcome) {
  this->PendingAllocation.reset();
  this->AllocatorName = Outcome.AllocatorName;
  this->Group = Outcome.Group;
  this->AllocationTime += Outcome.WaitTime;
  if (this->Ended)
    return;
  if (const auto *Refused = std::get_if<AllocationRefusal>(&Outcome.Reply)) {
    this->RefusedAllocation = Refused->Id;
    this->endUnserved(RefusalReason::NoCapacityInTime,
                      std::chrono::milliseconds(Refused->RetryAfterMs));
    return;
  }
  if (std::holds_alternative<AllocationUnanswered>(Outcome.Reply)) {
    this->placeLocally();
    return;
  }
  const auto &Grant = std::get<AllocationGrant>(Outcome.Reply);
  const TimePoint Now = this->Context.Loop.clock().now();
  this->recordServerStart(Grant);
  this->SendDeadline = Outcome.SendDeadline;
  // An expired grant is returned. Otherwise a router that was suspended, or
  // whose datagrams were delayed, would send all requests that were granted in
  // the meantime within one second.
  if (this->isGrantExpired()) {
    this->Context.Agent.recordLateGrant();
    this->releaseGrant(Grant, ServerVerdict::Healthy);
    this->startAttempt();
    return;
  }
  // The server has told this router to stay away since the request for a grant.
  if (this->Context.Servers.isAvoided(Grant.Server, Now)) {
    this->Context.Agent.recordReturnedGrant();
    this->releaseGrant(Grant, ServerVerdict::Full);
    if (++this->ReturnedGrants <= MaxReturnedGrants)
      this->startAttempt();
    else
      this->placeLocally();
    return;
  }
  // The allocator knows no versions, or has another list of servers.
  if (this->Software &&
      this->Context.Servers.softwareAt(Grant.Server) != *this->Software) {
    this->Context.Agent.recordReturnedGrant();
    this->releaseGrant(Grant, ServerVerdict::Healthy);
    this->placeLocally();
    return;
  }
  // This router's own observations of a server override the allocator's choice.
  const bool Usable =
      this->SendDeadline
          ? this->Context.Servers.usableIfGranted(Grant.Server, Now)
          : this->Context.Servers.usable(Grant.Server, Now);
  if (!Usable) {
    // The allocator of a plain service has few servers. What one router cannot
    // use for now must not be taken from all.
    this->releaseGrant(Grant, this->SharesSlots ? ServerVerdict::Healthy
                                                : ServerVerdict::Silent);
    this->placeLocally();
    return;
  }
  if (!this->confirmCharge()) {
    this->releaseGrant(Grant, ServerVerdict::Healthy);
    return;
  }
  this->sendAttempt(Grant.Id, {Grant.Server, Grant.PrefillTokens,
                               Grant.BacklogTokens, Grant.FetchSource});
}

/// The allocator may learn of a restart before this router's server list shows
/// it.
void GatewayRequest::recordServerStart(const AllocationGrant &Grant) {
  if (Grant.ServerStartedMs <= this->Context.Servers.startOf(Grant.Server))
    return;
  this->Context.Servers.recordStart(Grant.Server, Grant.ServerStartedMs);
  if (const GatewayServer *Listed = this->Context.Servers.find(Grant.Server))
    this->Context.Pool.closeIdle(Listed->Id);
}

void GatewayRequest::releaseGrant(const AllocationGrant &Grant,
                                  ServerVerdict Verdict) {
  this->Context.Agent.onAttemptSent(
      Grant.Id, this->ServiceHash, Grant.Server,
      {Grant.PrefillTokens, 0, this->Context.Servers.startOf(Grant.Server)});
  this->Context.Agent.onAttemptEnded(Grant.Id, Verdict);
}

bool GatewayRequest::isGrantExpired() const {
  return this->SendDeadline &&
         this->Context.BootClock.now() > *this->SendDeadline;
}

std::optional<std::uint32_t> GatewayRequest::spreadKey() {
  if (!this->mayBeSuspect())
    return std::nullopt;
  return this->Context.Crashes.spreadOf(this->identity());
}

void GatewayRequest::placeLocally() {
  this->SendDeadline.reset();
  PlacementQuery Query;
  Query.Group = this->ServiceHash;
  Query.Zone = hashName(this->Context.Settings.Zone);
  Query.Parts = &this->CallerFields.PromptParts;
  Query.PromptTokens = this->CallerFields.PromptTokens;
  Query.MaxOutputTokens = this->CallerFields.MaxOutputTokens;
  Query.ExcludedServers = &this->TriedServers;
  Query.Software = this->Software;
  Query.SpreadKey = this->spreadKey();
  Query.Now = this->Context.Loop.clock().now();
  const auto Found = this->Context.Servers.place(Query);
  if (!Found) {
    this->endUnserved(RefusalReason::NoUsableServer);
    return;
  }
  if (!this->confirmCharge())
    return;
  this->sendAttempt(this->Context.Agent.newId(), *Found);
}

void GatewayRequest::endUnserved(RefusalReason Reason, Duration RetryAfter) {
  this->NoRetryReason = Reason;
  if (this->Unresponsive)
    this->executeStep(NextStep::KeepWaiting);
  else if (this->Progress.ResponseStarted)
    this->executeStep(NextStep::Truncate);
  else if (this->mayHaveRun())
    this->executeStep(NextStep::FailUncertain);
  else
    this->refuse(Reason, RetryAfter);
}

void GatewayRequest::sendAttempt(const CorrelationId &Id,
                                 const ServerChoice &NewChoice) {
  const GatewayServer *Listed = this->Context.Servers.find(NewChoice.Server);
  PARSLEYWING_INVARIANT(Listed != nullptr,
                        "a request is sent to a listed server");
  const GatewayServer Server = *Listed;
  this->Current = {};
  this->Current.Buffered =
      BufferShare(this->Context.Buffers, BufferUse::ResponseBody);
  this->Current.Id = Id;
  this->Current.Number = ++this->Progress.Attempts;
  this->Current.Choice = NewChoice;
  this->Current.ServerId = Server.Id;
  this->Current.ServerVersion = Server.Version;
  this->Current.ServerSoftware =
      this->Context.Servers.softwareAt(NewChoice.Server);
  PARSLEYWING_INVARIANT(!this->Software ||
                            this->Current.ServerSoftware == *this->Software,
                        "a stream goes on only at the version that began it");
  this->TriedServers.insert(NewChoice.Server);
  this->Context.Counters.Attempts.add();
  if (this->Unresponsive)
    this->Context.Counters.Retries.add();
  this->Current.SentAt = this->Context.Loop.clock().now();
  this->Current.LastReceivedAt = this->Current.SentAt;
  this->TriedServerIds += (this->TriedServerIds.empty() ? "" : ",") + Server.Id;
  this->Current.Load = {NewChoice.PrefillTokens,
                        this->CallerFields.MaxOutputTokens,
                        this->Context.Servers.startOf(NewChoice.Server)};
  this->Context.Servers.recordSent(NewChoice.Server, this->Current.Load,
                                   this->CallerFields.PromptParts,
                                   this->Current.SentAt);
  if (this->usesAllocator())
    this->Context.Agent.onAttemptSent(this->Current.Id, this->ServiceHash,
                                      NewChoice.Server, this->Current.Load);
  this->Current.Upstream = this->connectionTo(Server);
  if (this->Current.Upstream == nullptr) {
    this->endAttempt(AttemptResult::NotSent, ServerVerdict::Unreachable);
    return;
  }
  this->Current.Upstream->send(
      this->encodeRequest(Server), this->Incoming.Head.Method,
      this->CallerFields.RequestId, this->makeListener(this->Current.Number),
      this->sendCondition());
  if (this->IsProbe)
    this->Context.PartCrashes.recordProbe(this->RefusedParts);
  this->armProgressTimer(this->Current.ReusedConnection
                             ? this->silenceLimit(this->Current)
                             : ConnectTimeout);
}

void GatewayRequest::recordAttemptEnd(const GatewayAttempt &Attempt,
                                      ServerVerdict Verdict) {
  const TimePoint Now = this->Context.Loop.clock().now();
  // A full server works, and the allocator knows when it is not.
  const bool IsOnlyFull = this->SharesSlots && Verdict == ServerVerdict::Full;
  this->Context.Servers.recordEnded(
      Attempt.Choice.Server, Attempt.Load, this->CallerFields.PromptParts,
      IsOnlyFull ? ServerVerdict::Healthy : Verdict, Now);
  if (this->SharesSlots && Attempt.HeadReceived && Attempt.ResponseFields.Load)
    this->Context.Agent.reportLoad(Attempt.Id, *Attempt.ResponseFields.Load,
                                   Now - Attempt.HeadReceivedAt);
  if (this->usesAllocator())
    this->Context.Agent.onAttemptEnded(Attempt.Id, Verdict);
}

std::shared_ptr<UpstreamConnection>
GatewayRequest::connectionTo(const GatewayServer &Server) {
  const Duration MaxIdle =
      this->Progress.Repeatable ? MaxIdleRepeatable : MaxIdleUnrepeatable;
  auto Idle = this->Context.Pool.acquire(Server.Id, MaxIdle);
  this->Current.ReusedConnection = Idle != nullptr;
  if (this->Current.ReusedConnection) {
    Idle->setBudget(this->Context.Buffers);
    return Idle;
  }
  this->Context.Counters.NewConnections.add();
  auto New = UpstreamConnection::connect(this->Context.Loop,
                                         this->Context.Format, Server.Address);
  if (New != nullptr)
    New->setBudget(this->Context.Buffers);
  return New;
}

std::string GatewayRequest::encodeRequest(const GatewayServer &Server) {
  ServerRequestFields Fields;
  Fields.TimeLeft = std::max(this->timeLeft(), Duration::zero());
  Fields.ServerId = Server.Id;
  Fields.Account = this->Account;
  Fields.LastEventId =
      this->LastEventId ? this->LastEventId : this->CallerFields.LastEventId;
  if (const GatewayServer *Source =
          this->Context.Servers.find(this->Current.Choice.FetchSource))
    Fields.CacheSourceAddress = Source->Address.toString();
  Fields.BodyBytes = this->Incoming.Body.size();
  Fields.HasBody = this->Incoming.HasBody;
  return writeRequestHead(this->Context.Format.BuildServerRequest(
             this->Incoming.Head, Fields)) +
         this->Incoming.Body;
}

UpstreamListener GatewayRequest::makeListener(std::uint32_t Number) {
  UpstreamListener Listener;
  Listener.HeadReceived = [Self = this->shared_from_this(),
                           Number](const HttpHead &Head,
                                   const ServerResponseFields &Fields) {
    if (!Self->endsUnresponsive(Number, Head, Fields) &&
        Self->isCurrent(Number))
      Self->onResponseHead(Head, Fields);
  };
  Listener.PayloadReceived = [Self = this->shared_from_this(),
                              Number](std::string_view Bytes) {
    Self->receivePayload(Number, Bytes);
  };
  Listener.Ended = [Self = this->shared_from_this(), Number](UpstreamEnd End) {
    const bool IsUnresponsive =
        Self->Unresponsive && Self->Unresponsive->Number == Number;
    if (IsUnresponsive && End == UpstreamEnd::Complete &&
        Self->endsInsideEvent(*Self->Unresponsive))
      End = UpstreamEnd::Broken;
    if (IsUnresponsive && End != UpstreamEnd::Complete)
      Self->onUnresponsiveEnd(End);
    else if (Self->isCurrent(Number)) {
      Self->releaseWithheld();
      Self->onUpstreamEnd(End);
    }
  };
  return Listener;
}

/// With a grant for a server that is warming up, a new connection may delay the
/// request beyond `SendDeadline`, but only up to `MaxWarmUpSendDelay` after the
/// grant.
std::function<bool()> GatewayRequest::sendCondition() const {
  if (!this->SendDeadline)
    return {};
  const TimePoint LatestSend =
      *this->SendDeadline + (MaxWarmUpSendDelay - WarmUpGrantLifetime);
  return [&BootClock = this->Context.BootClock, LatestSend] {
    return BootClock.now() <= LatestSend;
  };
}

void GatewayRequest::armProgressTimer(Duration Limit) {
  this->Context.Loop.cancel(this->ProgressTimer);
  this->ProgressTimer = this->Context.Loop.after(
      Limit, [Self = this->shared_from_this()] { Self->onProgressTimeout(); });
}

/// Runs after a time without data from the server. The attempt stays open:
/// unless another server continues the request, the response that may still
/// arrive is the only one.
void GatewayRequest::onProgressTimeout() {
  this->ProgressTimer = 0;
  if (this->Ended || this->Current.Upstream == nullptr)
    return;
  const TimePoint Now = this->Context.Loop.clock().now();
  if (!this->Current.ReusedConnection &&
      !this->Current.Upstream->mayHaveSent()) {
    this->closeUpstream();
    this->endAttempt(AttemptResult::NotSent, ServerVerdict::Unreachable);
    return;
  }
  const Duration Limit = this->silenceLimit(this->Current);
  const Duration Silence = Now - this->Current.LastReceivedAt;
  if (Silence < Limit) {
    this->armProgressTimer(Limit - Silence);
    return;
  }
  // Unread input may be progress, but not time after time.
  const bool MayHaveProgress =
      !this->Current.Upstream->inputIdle() &&
      !std::exchange(this->Current.AwaitedUnread, true);
  const bool HasUnread = this->Current.ReadingPaused || MayHaveProgress;
  if (!HasUnread && this->isRestarted(this->Current)) {
    this->Cause = TerminationReason::ServerRestarted;
    this->closeUpstream();
    this->reportSuspectedCrash(this->Current,
                               CrashDetector::AttemptEnd::Silent);
    this->endAttempt(this->Progress.ResponseStarted ? AttemptResult::Interrupted
                                                    : AttemptResult::NoResponse,
                     ServerVerdict::Silent);
    return;
  }
  if (!HasUnread && this->isSilent() && this->mayHedge())
    this->startHedge(Silence);
  else
    this->armProgressTimer(Limit);
}

/// A server that responds to other requests is merely slow.
bool GatewayRequest::isSilent() const {
  return !this->Context.Servers.receivedSince(this->Current.Choice.Server,
                                              this->Current.LastReceivedAt);
}

bool GatewayRequest::mayHedge() {
  if (this->Unresponsive || this->IsProbe)
    return false;
  RequestProgress ProgressAfter = this->Progress;
  ProgressAfter.EarlierAttemptOpen = true;
  ProgressAfter.TimeLeft = this->timeLeft();
  if (!mayRetry(ProgressAfter, AttemptResult::NoResponse) ||
      this->isUnavailable())
    return false;
  this->Charge->onServerReached();
  return this->chargeRetry();
}

std::string GatewayRequest::silenceText(Duration Silence) const {
  return " silence=" + secondsText(Silence) +
         " limit=" + secondsText(this->silenceLimit(this->Current)) +
         " loop-lag=" + secondsText(this->Context.Loop.lag()) +
         " unread=" + (this->Current.Upstream->inputIdle() ? "no" : "yes") +
         " reading-paused=" + (this->Current.ReadingPaused ? "yes" : "no");
}

/// The server sends nothing, or ended the attempt without a complete response:
/// it may have crashed while processing the request.
void GatewayRequest::reportSuspectedCrash(const GatewayAttempt &Attempt,
                                          CrashDetector::AttemptEnd End) {
  // A leaving server may stop at any time.
  if (this->Context.Servers.isLeaving(Attempt.Choice.Server))
    return;
  this->Context.Crashes.onAttemptLost(
      this->describe(Attempt),
      this->Context.Servers.find(Attempt.Choice.Server),
      Attempt.Load.ServerStartedMs, End);
}

LostAttempt GatewayRequest::describe(const GatewayAttempt &Attempt) {
  LostAttempt Lost{this->identity(), {}, Attempt.SentAt, this->IsProbe};
  if (!Attempt.HasSurvived)
    Lost.Parts = sharedParts(this->CallerFields.PromptParts);
  return Lost;
}

/// The callbacks outlive the request and its connection.
void GatewayRequest::recordUnframedEnd() {
  if (this->Context.Servers.isLeaving(this->Current.Choice.Server))
    return;
  struct Finished {
    std::string Account;
    std::string Host;
    HttpHead Head;
    std::string Body;
    LostAttempt Attempt;
    std::optional<TimePoint> BegunAt;

    RequestContent content() const {
      return {this->Account, this->Host, this->Head.Method, this->Head.Target,
              this->Body};
    }
  };
  const auto Request = std::make_shared<Finished>(
      Finished{this->Account, this->CallerFields.Host, this->Incoming.Head,
               this->Incoming.Body,
               LostAttempt{{}, {}, this->Current.SentAt, this->IsProbe},
               this->Current.BegunAt});
  if (!this->Current.HasSurvived)
    Request->Attempt.Parts = sharedParts(this->CallerFields.PromptParts);
  const auto Describe = [Request] {
    LostAttempt Lost = Request->Attempt;
    Lost.Request = identityOf(Request->content());
    return Lost;
  };
  const auto OnAlive = [&Context = this->Context, Request] {
    if (Request->BegunAt)
      Context.PartCrashes.onAnswer(Request->Attempt.Parts, *Request->BegunAt);
    if (Context.Crashes.registry().mayContain(shortHashOf(Request->content())))
      Context.Crashes.onCompleted(identityOf(Request->content()));
  };
  this->Context.Crashes.onUnframedEnd(
      {Describe, OnAlive},
      this->Context.Servers.find(this->Current.Choice.Server),
      this->Current.Load.ServerStartedMs);
}

void GatewayRequest::closeUpstream() {
  if (const auto Connection = std::exchange(this->Current.Upstream, nullptr))
    Connection->close();
}

void GatewayRequest::endAttempt(AttemptResult Result, ServerVerdict Verdict) {
  this->Context.Loop.cancel(this->ProgressTimer);
  this->ProgressTimer = 0;
  this->Current.ReadingPaused = false;
  const TimePoint Now = this->Context.Loop.clock().now();
  if (Result == AttemptResult::Served)
    this->supersedeUnresponsive();
  this->recordAttemptEnd(this->Current, Verdict);
  if (this->IsProbe && Result == AttemptResult::NotSent)
    this->Context.PartCrashes.withdrawProbe(this->RefusedParts);
  // A probe reaches one server.
  if (Result == AttemptResult::NotRun)
    this->IsProbe = false;
  const bool MayHaveRun =
      Result != AttemptResult::NotSent && Result != AttemptResult::NotRun;
  if (MayHaveRun)
    ++this->Progress.Runs;
  this->Progress.TimeLeft = this->timeLeft();
  this->Progress.EarlierAttemptOpen = this->Unresponsive.has_value();
  if (Result == AttemptResult::NotSent)
    this->Charge->onNotSent();
  else
    this->Charge->onServerReached();
  const bool RetryAllowed = mayRetry(this->Progress, Result) &&
                            !this->isUnavailable() && this->chargeRetry();
  const NextStep Step = nextStep(this->Progress, Result, RetryAllowed);
  const bool Broken = Result == AttemptResult::NoResponse ||
                      Result == AttemptResult::Interrupted;
  if (Step != NextStep::Done)
    logLazily(LogPart::Caller, [&, this] {
      return "request=" + this->CallerFields.RequestId +
             " server=" + this->Current.ServerId +
             " version=" + this->Current.ServerVersion +
             " send=" + std::string(nameOf(AttemptResultNames, Result)) +
             " verdict=" + std::string(nameOf(ServerVerdictNames, Verdict)) +
             " status=" +
             std::to_string(this->Current.HeadReceived
                                ? this->Current.ResponseHead.Status
                                : 0) +
             " after=" + secondsText(Now - this->Current.SentAt) +
             " next=" + std::string(nameOf(NextStepNames, Step)) +
             this->chargeText() + this->signalText() +
             (Broken ? this->brokenAttemptText(this->Current) : "");
    });
  if (Result == AttemptResult::ErrorResponse && Step != NextStep::ForwardError)
    this->EarlierError = {this->Current.ResponseHead,
                          std::move(this->Current.ResponseBody)};
  this->executeStep(Step);
}

bool GatewayRequest::chargeRetry() {
  this->Charged.reset();
  if (!this->Charge->isNeeded())
    return true;
  this->Charged = this->Charge->tryReserve();
  RetryCounters &Counters = this->Context.Counters.retriesOf(this->Service);
  (*this->Charged ? Counters.Charged : Counters.Denied).add();
  return *this->Charged;
}

bool GatewayRequest::confirmCharge() {
  if (this->Charge->confirm())
    return true;
  this->Charged = false;
  this->Context.Counters.retriesOf(this->Service).Denied.add();
  this->endUnserved(RefusalReason::RetryBudgetSpent);
  return false;
}

std::string GatewayRequest::chargeText() const {
  if (!this->Charged)
    return {};
  const RetryUsage Usage =
      this->Context.retryAllowance(this->Service)
          .usage(this->Context.BootClock.now(), this->Context.SlackShare);
  return std::string(" retry=") + (*this->Charged ? "charged" : "denied") +
         " service=" + this->Service +
         " earned=" + std::to_string(static_cast<int>(Usage.EarnedByRequests)) +
         " retries=" + std::to_string(static_cast<int>(Usage.Retries)) +
         " reserved=" + std::to_string(Usage.Reserved) +
         " slack-divisor=" + std::to_string(Usage.SlackDivisor);
}

/// The parts of the prompt that other requests may share.
std::string GatewayRequest::partsText() const {
  std::string Text;
  const std::vector<PromptPart> &Parts = this->CallerFields.PromptParts;
  for (std::size_t I = 0; I + 1 < Parts.size() && I < MaxLoggedParts; ++I)
    Text += (I == 0 ? " parts=" : ",") +
            Poco::NumberFormatter::formatHex(Parts[I].Id, 16);
  return Text;
}

/// Log fields that help to distinguish a server crash from a broken connection,
/// and a request that crashes servers from others on the same server.
std::string GatewayRequest::brokenAttemptText(const GatewayAttempt &Attempt) {
  const GatewayServer *Listed =
      this->Context.Servers.find(Attempt.Choice.Server);
  return " content=" + textOf(this->identity()) + this->partsText() +
         " server-listed=" + (Listed == nullptr ? "no" : "yes") +
         " server-draining=" +
         (Listed != nullptr && Listed->Draining ? "yes" : "no");
}

std::string GatewayRequest::signalText() const {
  if (!this->Current.HeadReceived)
    return {};
  const ServerResponseFields &Fields = this->Current.ResponseFields;
  return (Fields.Leaving ? " server-leaves=yes" : "") +
         (Fields.Pause ? " pause=" + secondsText(*Fields.Pause) : "");
}

/// The request is not sent again before the check: it may just have crashed its
/// third server, after which it is refused.
void GatewayRequest::startAttemptAfterCheck(const GatewayAttempt &Checked) {
  this->Context.Crashes.afterCheck(
      {Checked.Choice.Server, Checked.Load.ServerStartedMs},
      [Self = this->shared_from_this(), Start = ++this->StartNumber] {
        if (!Self->Ended && Self->StartNumber == Start)
          Self->startAttempt();
      });
}

void GatewayRequest::executeStep(NextStep Step) {
  switch (Step) {
  case NextStep::Retry:
    // A second attempt beside an open one is counted when it is sent, and a
    // stream that it continues when it does.
    if (!this->Unresponsive) {
      this->Context.Counters.Retries.add();
      if (this->Progress.ResponseStarted)
        this->Context.Counters.Resumed.add();
    }
    this->startAttemptAfterCheck(this->Current);
    return;
  case NextStep::KeepWaiting:
    this->keepWaiting();
    return;
  case NextStep::Done:
  case NextStep::ForwardError:
    this->forwardResponse();
    return;
  case NextStep::Refuse:
    if (this->isUnavailable())
      this->endUnavailable();
    else
      this->refuse(this->Charged.value_or(true)
                       ? RefusalReason::NoServerRanIt
                       : RefusalReason::RetryBudgetSpent);
    return;
  case NextStep::FailUncertain:
    this->failUncertain(HttpBadGateway, "Bad Gateway");
    return;
  case NextStep::Truncate:
    this->Session->abortResponse();
    this->terminate("cut-off", this->Context.Counters.Truncated);
    return;
  }
}

} // namespace parsleywing
