#include "Gateway/GatewayRequest.h"

#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// A connection takes one round trip, 3 ms between zones. A server whose
/// connections take longer than this is not reachable.
constexpr Duration ConnectLimit = std::chrono::milliseconds(400);

/// A request that may run once at most goes over a kept connection only where
/// that was used lately, and well within the time for which the server says
/// that it keeps it: if the way is lost meanwhile, nobody knows whether the
/// request ran. With 4 s in place of 0.5 s a fifth fewer connections are opened
/// (2,900 to 2,300 of 11,000 requests, five days, three seeds each), and of the
/// 15,600 lookups that may run once no more failed (331 and 329).
constexpr Duration UnsafeMaxIdle = std::chrono::seconds(4);

constexpr Duration RepeatableMaxIdle = std::chrono::seconds(30);

/// The least time that a server gets to begin its answer before the request is
/// sent to another one.
constexpr Duration LeastFirstPieceLimit = std::chrono::milliseconds(500);

/// A stream without a byte for so long goes on at another server. Half of the
/// shortest gap after which callers give a stream up (2 s), so that the other
/// server has the other half.
constexpr Duration StreamSilence = std::chrono::milliseconds(1000);

/// A request that is late already waits for room for this part of its time at
/// most: it earns less than one that is on time, and the longer it is held
/// without being served, the more its caller has lost.
constexpr int LateWaitDivisor = 4;

constexpr Duration LongestLateWait = std::chrono::milliseconds(500);

/// How long a broken stream waits for another server: callers give one up after
/// a gap of two seconds.
constexpr Duration ResumeWait = std::chrono::milliseconds(1200);

} // namespace

void GatewayRequest::startAttempt() {
  if (this->crashesServers())
    this->endUnserved(RefusalReason::CrashesServers);
  else if (this->usesAllocator())
    this->requestAllocation();
  else
    this->placeLocally();
}

void GatewayRequest::requestAllocation() {
  const auto Milliseconds = [](Duration Time) {
    return static_cast<std::int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
  };
  AllocationRequest Ask;
  Ask.Id = this->Context.Agent.newId();
  Ask.Service = this->ServiceHash;
  Ask.Account = hashName(this->Account);
  Ask.Zone = hashName(this->Context.Settings.Zone);
  Ask.Parts = this->CallerFields.PromptParts;
  Ask.PromptTokens = this->CallerFields.PromptTokens;
  Ask.OutputTokens = this->CallerFields.MaxOutputTokens;
  Ask.ExcludedServers.assign(this->TriedServers.begin(),
                             this->TriedServers.end());
  Ask.SpreadKey = this->spreadKey();
  const Duration OnTimeFor = this->Route->LatencyObjective -
                             this->elapsedBeforeArrival() - this->elapsed();
  Duration WaitFor = OnTimeFor;
  if (OnTimeFor <= Duration::zero())
    WaitFor = std::min(this->timeLeft() / LateWaitDivisor, LongestLateWait);
  // A stream that was begun is not given up for others that have not.
  if (this->Progress.ResponseStarted)
    WaitFor = std::min(this->timeLeft(), ResumeWait);
  Ask.ObjectiveLeftMs =
      Milliseconds(this->Progress.ResponseStarted ? WaitFor : OnTimeFor);
  Ask.MaxWaitMs = Milliseconds(WaitFor);
  this->PendingAllocation = Ask.Id;
  this->Context.Agent.request(
      std::move(Ask),
      [Self = this->shared_from_this()](const AllocationOutcome &Outcome) {
        Self->onAllocated(Outcome);
      });
}

void GatewayRequest::onAllocated(const AllocationOutcome &Outcome) {
  this->PendingAllocation.reset();
  this->AllocatorName = Outcome.Allocator;
  this->AllocationTime += Outcome.WaitTime;
  if (this->Ended)
    return;
  if (const auto *Refused = std::get_if<AllocationRefusal>(&Outcome.Reply)) {
    this->RefusedAllocation = Refused->Id;
    this->endUnserved(RefusalReason::NoCapacityInTime,
                      std::chrono::milliseconds(Refused->RetryAfterMs));
    return;
  }
  const auto &Granted = std::get<AllocationGrant>(Outcome.Reply);
  const TimePoint Now = this->Context.Loop.clock().now();
  this->recordServerStart(Granted);
  this->SendDeadline = Outcome.SendDeadline;
  // A frozen router, or one whose datagrams were held up, would else send all
  // that it was granted meanwhile within one second.
  if (this->isGrantExpired()) {
    this->Context.Agent.recordLateGrant();
    this->releaseGrant(Granted, ServerVerdict::Healthy);
    this->startAttempt();
    return;
  }
  // What this router has seen of a server counts for more than the allocator's
  // choice.
  const bool Usable =
      this->SendDeadline
          ? this->Context.Servers.usableIfGranted(Granted.Server, Now)
          : this->Context.Servers.usable(Granted.Server, Now);
  if (!Usable) {
    this->releaseGrant(Granted, ServerVerdict::Unreachable);
    this->placeLocally();
    return;
  }
  this->AttemptId = Granted.Id;
  this->sendAttempt({Granted.Server, Granted.PrefillTokens,
                     Granted.BacklogTokens, Granted.FetchSource});
}

/// The allocator may have heard of a restart before this router's list says it.
void GatewayRequest::recordServerStart(const AllocationGrant &Granted) {
  if (Granted.ServerStartedMs <= this->Context.Servers.startOf(Granted.Server))
    return;
  this->Context.Servers.recordStart(Granted.Server, Granted.ServerStartedMs);
  if (const GatewayServer *Listed = this->Context.Servers.find(Granted.Server))
    this->Context.Pool.closeIdle(Listed->Id);
}

void GatewayRequest::releaseGrant(const AllocationGrant &Granted,
                                  ServerVerdict Verdict) {
  this->Context.Agent.onAttemptSent(
      Granted.Id, this->ServiceHash, Granted.Server,
      {Granted.PrefillTokens, 0,
       this->Context.Servers.startOf(Granted.Server)});
  this->Context.Agent.onAttemptEnded(Granted.Id, Verdict);
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
  PlacementQuery Asked;
  Asked.Service = this->ServiceHash;
  Asked.Zone = hashName(this->Context.Settings.Zone);
  Asked.Parts = &this->CallerFields.PromptParts;
  Asked.PromptTokens = this->CallerFields.PromptTokens;
  Asked.OutputTokens = this->CallerFields.MaxOutputTokens;
  Asked.ExcludedServers = &this->TriedServers;
  Asked.SpreadKey = this->spreadKey();
  Asked.Now = this->Context.Loop.clock().now();
  const auto Found = this->Context.Servers.place(Asked);
  if (!Found) {
    this->endUnserved(RefusalReason::NoUsableServer);
    return;
  }
  this->AttemptId = this->Context.Agent.newId();
  this->sendAttempt(*Found);
}

void GatewayRequest::endUnserved(RefusalReason Why, Duration ReturnAfter) {
  if (this->Progress.ResponseStarted)
    this->executeStep(NextStep::Truncate);
  else if (this->mayHaveRun())
    this->executeStep(NextStep::FailUncertain);
  else
    this->refuse(Why, ReturnAfter);
}

void GatewayRequest::sendAttempt(const ServerChoice &Wanted) {
  const GatewayServer *Listed = this->Context.Servers.find(Wanted.Server);
  PARSLEYWING_INVARIANT(Listed != nullptr,
                        "a request is sent to a server of the list");
  const GatewayServer Server = *Listed;
  this->Choice = Wanted;
  this->ServerId = Server.Id;
  this->TriedServers.insert(Wanted.Server);
  ++this->Progress.Attempts;
  this->Context.Counters.Attempts.add();
  this->SentAt = this->Context.Loop.clock().now();
  this->LastReceivedAt = this->SentAt;
  this->HeadReceived = false;
  this->PromptRead = false;
  this->ResponseBody.clear();
  this->Splitter.clear();
  this->ServerPath += (this->ServerPath.empty() ? "" : ",") + Server.Id;
  this->Work = {Wanted.PrefillTokens, this->CallerFields.MaxOutputTokens,
                this->Context.Servers.startOf(Wanted.Server)};
  this->Context.Servers.recordSent(
      Wanted.Server, this->Work, this->CallerFields.PromptParts, this->SentAt);
  if (this->usesAllocator())
    this->Context.Agent.onAttemptSent(this->AttemptId, this->ServiceHash,
                                      Wanted.Server, this->Work);
  this->Upstream = this->connectionTo(Server);
  if (this->Upstream == nullptr) {
    this->endAttempt(AttemptResult::NotSent, ServerVerdict::Unreachable);
    return;
  }
  this->Upstream->send(this->encodeRequest(Server), this->Incoming.Head.Method,
                       this->CallerFields.RequestId, this->makeListener(),
                       this->sendCondition());
  this->armProgressTimer(this->ReusedConnection ? this->firstChunkTimeout()
                                                : ConnectLimit);
}

/// The send is over at the server; what is kept of it is settled.
void GatewayRequest::recordAttemptEnd(ServerVerdict Verdict) {
  this->Context.Servers.recordEnded(this->Choice.Server, this->Work,
                                    this->CallerFields.PromptParts, Verdict,
                                    this->Context.Loop.clock().now());
  if (this->usesAllocator())
    this->Context.Agent.onAttemptEnded(this->AttemptId, Verdict);
}

std::shared_ptr<UpstreamConnection>
GatewayRequest::connectionTo(const GatewayServer &Server) {
  const Duration MaxIdle =
      this->Progress.Repeatable ? RepeatableMaxIdle : UnsafeMaxIdle;
  auto Idle = this->Context.Pool.acquire(Server.Id, MaxIdle);
  this->ReusedConnection = Idle != nullptr;
  if (this->ReusedConnection)
    return Idle;
  this->Context.Counters.NewConnections.add();
  return UpstreamConnection::connect(this->Context.Loop, this->Context.Format,
                                     Server.Address);
}

std::string GatewayRequest::encodeRequest(const GatewayServer &Server) {
  ServerRequestFields Added;
  Added.TimeLeft = std::max(this->timeLeft(), Duration::zero());
  Added.ServerId = Server.Id;
  Added.Account = this->Account;
  Added.LastEventId =
      this->LastEventId ? this->LastEventId : this->CallerFields.LastEventId;
  if (const GatewayServer *Source =
          this->Context.Servers.find(this->Choice.FetchSource))
    Added.CacheSourceAddress = Source->Address.toString();
  Added.BodyBytes = this->Incoming.Body.size();
  Added.HasBody = this->Incoming.HasBody;
  return writeRequestHead(this->Context.Format.BuildServerRequest(
             this->Incoming.Head, Added)) +
         this->Incoming.Body;
}

UpstreamListener GatewayRequest::makeListener() {
  UpstreamListener Made;
  Made.HeadReceived =
      [Self = this->shared_from_this()](const HttpHead &Head,
                                        const ServerResponseFields &Read) {
        Self->onResponseHead(Head, Read);
      };
  Made.PayloadReceived =
      [Self = this->shared_from_this()](std::string_view Bytes) {
        Self->onResponsePayload(Bytes);
      };
  Made.Ended = [Self = this->shared_from_this()](UpstreamEnd How) {
    Self->onUpstreamEnd(How);
  };
  return Made;
}

/// Nothing where the server does not warm up. A new connection's time is part
/// of what a grant may slip by; more of it, behind a freeze, is not.
std::function<bool()> GatewayRequest::sendCondition() const {
  if (!this->SendDeadline)
    return {};
  const TimePoint Until =
      *this->SendDeadline + (MaxWarmUpSendDelay - WarmUpGrantLifetime);
  return
      [&Time = this->Context.BootClock, Until] { return Time.now() <= Until; };
}

Duration GatewayRequest::firstChunkTimeout() const {
  return std::max(this->Route->LatencyObjective * 2, LeastFirstPieceLimit);
}

void GatewayRequest::armProgressTimer(Duration Limit) {
  this->Context.Loop.cancel(this->ProgressTimer);
  this->ProgressTimer = this->Context.Loop.after(
      Limit, [Self = this->shared_from_this()] { Self->onProgressTimeout(); });
}

/// Nothing came for a while. A server that may not be asked again is waited
/// for: the answer may still come, and it would be the only one.
void GatewayRequest::onProgressTimeout() {
  this->ProgressTimer = 0;
  if (this->Ended || this->Upstream == nullptr)
    return;
  const TimePoint Now = this->Context.Loop.clock().now();
  if (!this->ReusedConnection && !this->Upstream->mayHaveSent()) {
    this->closeUpstream();
    this->endAttempt(AttemptResult::NotSent, ServerVerdict::Unreachable);
    return;
  }
  const Duration Limit =
      this->HeadReceived ? StreamSilence : this->firstChunkTimeout();
  const Duration Silent = Now - this->LastReceivedAt;
  if (Silent < Limit) {
    this->armProgressTimer(Limit - Silent);
    return;
  }
  // A process that started since the send knows nothing of the request, also
  // where others hear from it: without this look the caller would be held to
  // its deadline for an answer that nobody makes.
  const bool Restarted = this->Work.ServerStartedMs <
                         this->Context.Servers.startOf(this->Choice.Server);
  const bool ServerHeard =
      !Restarted && this->Context.Servers.activeSince(this->Choice.Server,
                                                      this->LastReceivedAt);
  RequestProgress After = this->Progress;
  ++After.Runs;
  const AttemptResult Outcome = this->Progress.ResponseStarted
                                    ? AttemptResult::Truncated
                                    : AttemptResult::NoResponse;
  After.TimeLeft = this->timeLeft();
  // Without a repeat left the answer that may still come is the only one.
  const bool MayRepeat = this->Context.retryAllowance(this->Service)
                             .hasRetry(Now, this->Context.View->RouterCount);
  const bool Waits = !mayRetry(After, Outcome) || !MayRepeat;
  if (ServerHeard || (Waits && !Restarted)) {
    this->armProgressTimer(Limit);
    return;
  }
  this->closeUpstream();
  this->reportSuspectedCrash(CrashDetector::AttemptEnd::Silent);
  this->endAttempt(Outcome, ServerVerdict::Silent);
}

/// Nothing whole came of the send: the server may have crashed with it.
void GatewayRequest::reportSuspectedCrash(CrashDetector::AttemptEnd How) {
  this->Context.Crashes.onAttemptLost(
      this->identity(), this->Context.Servers.find(this->Choice.Server),
      this->Work.ServerStartedMs, How);
}

void GatewayRequest::closeUpstream() {
  if (const auto Connection = std::exchange(this->Upstream, nullptr))
    Connection->close();
}

void GatewayRequest::endAttempt(AttemptResult Outcome, ServerVerdict Verdict) {
  this->Context.Loop.cancel(this->ProgressTimer);
  this->ProgressTimer = 0;
  this->UpstreamPaused = false;
  const TimePoint Now = this->Context.Loop.clock().now();
  this->recordAttemptEnd(Verdict);
  const bool MayHaveRun =
      Outcome != AttemptResult::NotSent && Outcome != AttemptResult::NotRun;
  if (MayHaveRun)
    ++this->Progress.Runs;
  this->Progress.TimeLeft = this->timeLeft();
  bool Again = mayRetry(this->Progress, Outcome);
  if (Again && countsAsRetry(Outcome))
    Again = this->Context.retryAllowance(this->Service)
                .tryAcquire(Now, this->Context.View->RouterCount);
  const NextStep Step = nextStep(this->Progress, Outcome, Again);
  const bool Broke = Outcome == AttemptResult::NoResponse ||
                     Outcome == AttemptResult::Truncated;
  if (Step != NextStep::Done)
    logLazily(LogPart::Caller, [&, this] {
      return "request=" + this->CallerFields.RequestId +
             " server=" + this->ServerId +
             " send=" + std::string(nameOf(AttemptResultNames, Outcome)) +
             " verdict=" + std::string(nameOf(ServerVerdictNames, Verdict)) +
             " status=" +
             std::to_string(this->HeadReceived ? this->ResponseHead.Status
                                               : 0) +
             " after=" + secondsText(Now - this->SentAt) +
             " next=" + std::string(nameOf(NextStepNames, Step)) +
             (Broke ? this->brokenAttemptText() : "");
    });
  this->executeStep(Step);
}

/// What tells a server that crashed from a connection that broke, and one
/// request that crashes servers from others that were there.
std::string GatewayRequest::brokenAttemptText() {
  const GatewayServer *Listed = this->Context.Servers.find(this->Choice.Server);
  return " content=" + textOf(this->identity()) +
         " server-listed=" + (Listed == nullptr ? "no" : "yes") +
         " server-draining=" +
         (Listed != nullptr && Listed->Draining ? "yes" : "no");
}

void GatewayRequest::executeStep(NextStep Step) {
  switch (Step) {
  case NextStep::Retry:
    this->Context.Counters.Retries.add();
    if (this->Progress.ResponseStarted)
      this->Context.Counters.Resumed.add();
    // A request that has just crashed its third server must not leave again.
    this->Context.Crashes.afterCheck(
        {this->Choice.Server, this->Work.ServerStartedMs},
        [Self = this->shared_from_this()] {
          if (!Self->Ended)
            Self->startAttempt();
        });
    return;
  case NextStep::Done:
  case NextStep::ForwardError:
    this->forwardResponse();
    return;
  case NextStep::Refuse:
    this->refuse(RefusalReason::NoServerRanIt);
    return;
  case NextStep::FailUncertain:
    this->sendLocalReply(HttpBadGateway, "Bad Gateway");
    return;
  case NextStep::Truncate:
    this->Session->abortResponse();
    this->finish("cut-off", this->Context.Counters.Truncated);
    return;
  }
}

} // namespace parsleywing
