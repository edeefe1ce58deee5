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

void GatewayRequest::sendNext() {
  if (this->crashesServers())
    this->endUnserved(RefusalReason::CrashesServers);
  else if (this->allocated())
    this->askForServer();
  else
    this->placeAlone();
}

void GatewayRequest::askForServer() {
  const auto Milliseconds = [](Duration Time) {
    return static_cast<std::int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
  };
  ServerAsk Ask;
  Ask.Id = this->Context.Agent.newId();
  Ask.Service = this->ServiceHash;
  Ask.Account = hashName(this->Account);
  Ask.Zone = hashName(this->Context.Settings.Zone);
  Ask.Parts = this->Info.PromptParts;
  Ask.PromptTokens = this->Info.PromptTokens;
  Ask.OutputTokens = this->Info.MaxOutputTokens;
  Ask.Excluded.assign(this->Tried.begin(), this->Tried.end());
  Ask.SpreadBy = this->spread();
  const Duration OnTimeFor =
      this->Route->Objective - this->age() - this->elapsed();
  Duration WaitFor = OnTimeFor;
  if (OnTimeFor <= Duration::zero())
    WaitFor = std::min(this->left() / LateWaitDivisor, LongestLateWait);
  // A stream that was begun is not given up for others that have not.
  if (this->Progress.AnswerBegun)
    WaitFor = std::min(this->left(), ResumeWait);
  Ask.OnTimeForMs =
      Milliseconds(this->Progress.AnswerBegun ? WaitFor : OnTimeFor);
  Ask.WaitForMs = Milliseconds(WaitFor);
  this->Asking = Ask.Id;
  this->Context.Agent.ask(
      std::move(Ask),
      [Self = this->shared_from_this()](const AllocationOutcome &Outcome) {
        Self->onAllocated(Outcome);
      });
}

void GatewayRequest::onAllocated(const AllocationOutcome &Outcome) {
  this->Asking.reset();
  this->Allocator = Outcome.Allocator;
  this->Allocating += Outcome.Waited;
  if (this->Ended)
    return;
  if (const auto *Refused = std::get_if<ServerRefused>(&Outcome.Answer)) {
    this->RefusedAsk = Refused->Id;
    this->endUnserved(RefusalReason::NoRoomInTime,
                      std::chrono::milliseconds(Refused->ReturnAfterMs));
    return;
  }
  const auto &Granted = std::get<ServerGranted>(Outcome.Answer);
  const TimePoint Now = this->Context.Loop.clock().now();
  this->noteStart(Granted);
  this->SendUntil = Outcome.SendUntil;
  // A frozen router, or one whose datagrams were held up, would else send all
  // that it was granted meanwhile within one second.
  if (this->grantIsOver()) {
    this->Context.Agent.noteLateGrant();
    this->giveGrantBack(Granted, ServerVerdict::Sound);
    this->sendNext();
    return;
  }
  // What this router has seen of a server counts for more than the allocator's
  // choice.
  const bool Usable =
      this->SendUntil
          ? this->Context.Servers.usableIfGranted(Granted.Server, Now)
          : this->Context.Servers.usable(Granted.Server, Now);
  if (!Usable) {
    this->giveGrantBack(Granted, ServerVerdict::Unreachable);
    this->placeAlone();
    return;
  }
  this->SendId = Granted.Id;
  this->send(
      {Granted.Server, Granted.UnreadTokens, Granted.Backlog, Granted.Source});
}

/// The allocator may have heard of a restart before this router's list says it.
void GatewayRequest::noteStart(const ServerGranted &Granted) {
  if (Granted.ServerStartedMs <= this->Context.Servers.startOf(Granted.Server))
    return;
  this->Context.Servers.noteStart(Granted.Server, Granted.ServerStartedMs);
  if (const GatewayServer *Listed = this->Context.Servers.find(Granted.Server))
    this->Context.Pool.drop(Listed->Id);
}

void GatewayRequest::giveGrantBack(const ServerGranted &Granted,
                                   ServerVerdict Verdict) {
  this->Context.Agent.sent(
      Granted.Id, this->ServiceHash, Granted.Server,
      {Granted.UnreadTokens, 0, this->Context.Servers.startOf(Granted.Server)});
  this->Context.Agent.ended(Granted.Id, Verdict);
}

bool GatewayRequest::grantIsOver() const {
  return this->SendUntil && this->Context.SuspendClock.now() > *this->SendUntil;
}

std::optional<std::uint32_t> GatewayRequest::spread() {
  if (!this->mayBeSuspect())
    return std::nullopt;
  return this->Context.Crashes.spreadOf(this->identity());
}

void GatewayRequest::placeAlone() {
  this->SendUntil.reset();
  PlacementQuestion Asked;
  Asked.Service = this->ServiceHash;
  Asked.Zone = hashName(this->Context.Settings.Zone);
  Asked.Parts = &this->Info.PromptParts;
  Asked.PromptTokens = this->Info.PromptTokens;
  Asked.OutputTokens = this->Info.MaxOutputTokens;
  Asked.Excluded = &this->Tried;
  Asked.SpreadBy = this->spread();
  Asked.Now = this->Context.Loop.clock().now();
  const auto Found = this->Context.Servers.place(Asked);
  if (!Found) {
    this->endUnserved(RefusalReason::NoUsableServer);
    return;
  }
  this->SendId = this->Context.Agent.newId();
  this->send(*Found);
}

void GatewayRequest::endUnserved(RefusalReason Why, Duration ReturnAfter) {
  if (this->Progress.AnswerBegun)
    this->carryOut(NextStep::CutOff);
  else if (this->mayHaveRun())
    this->carryOut(NextStep::FailUnknown);
  else
    this->refuse(Why, ReturnAfter);
}

void GatewayRequest::send(const ServerChoice &Wanted) {
  const GatewayServer *Listed = this->Context.Servers.find(Wanted.Server);
  PARSLEYWING_INVARIANT(Listed != nullptr,
                        "a request is sent to a server of the list");
  const GatewayServer Server = *Listed;
  this->Choice = Wanted;
  this->ServerId = Server.Id;
  this->Tried.insert(Wanted.Server);
  ++this->Progress.Sends;
  this->Context.Counters.Sends.add();
  this->SentAt = this->Context.Loop.clock().now();
  this->HeardAt = this->SentAt;
  this->HeadCame = false;
  this->PromptRead = false;
  this->AnswerBody.clear();
  this->Events.clear();
  this->Path += (this->Path.empty() ? "" : ",") + Server.Id;
  this->Work = {Wanted.UnreadTokens, this->Info.MaxOutputTokens,
                this->Context.Servers.startOf(Wanted.Server)};
  this->Context.Servers.noteSent(Wanted.Server, this->Work,
                                 this->Info.PromptParts, this->SentAt);
  if (this->allocated())
    this->Context.Agent.sent(this->SendId, this->ServiceHash, Wanted.Server,
                             this->Work);
  this->Upstream = this->connectionTo(Server);
  if (this->Upstream == nullptr) {
    this->endSend(SendOutcome::NotSent, ServerVerdict::Unreachable);
    return;
  }
  this->Upstream->send(this->encode(Server), this->Incoming.Head.Method,
                       this->Info.RequestId, this->listener(),
                       this->sendGate());
  this->armWatch(this->Kept ? this->firstPieceLimit() : ConnectLimit);
}

/// The send is over at the server; what is kept of it is settled.
void GatewayRequest::settleSend(ServerVerdict Verdict) {
  this->Context.Servers.noteEnded(this->Choice.Server, this->Work,
                                  this->Info.PromptParts, Verdict,
                                  this->Context.Loop.clock().now());
  if (this->allocated())
    this->Context.Agent.ended(this->SendId, Verdict);
}

std::shared_ptr<UpstreamConnection>
GatewayRequest::connectionTo(const GatewayServer &Server) {
  const Duration MaxIdle =
      this->Progress.Repeatable ? RepeatableMaxIdle : UnsafeMaxIdle;
  auto Idle = this->Context.Pool.take(Server.Id, MaxIdle);
  this->Kept = Idle != nullptr;
  if (this->Kept)
    return Idle;
  this->Context.Counters.NewConnections.add();
  return UpstreamConnection::connect(this->Context.Loop, this->Context.Format,
                                     Server.Address);
}

std::string GatewayRequest::encode(const GatewayServer &Server) {
  ServerRequest Added;
  Added.TimeLeft = std::max(this->left(), Duration::zero());
  Added.ServerId = Server.Id;
  Added.Account = this->Account;
  Added.ResumeAfter =
      this->LastEvent ? this->LastEvent : this->Info.ResumeAfter;
  if (const GatewayServer *Source =
          this->Context.Servers.find(this->Choice.Source))
    Added.KeptAt = Source->Address.toString();
  Added.BodyBytes = this->Incoming.Body.size();
  Added.HasBody = this->Incoming.HasBody;
  return writeRequestHead(this->Context.Format.WriteServerRequest(
             this->Incoming.Head, Added)) +
         this->Incoming.Body;
}

UpstreamListener GatewayRequest::listener() {
  UpstreamListener Made;
  Made.Head = [Self = this->shared_from_this()](const HttpHead &Head,
                                                const ServerHead &Read) {
    Self->onHead(Head, Read);
  };
  Made.Payload = [Self = this->shared_from_this()](std::string_view Bytes) {
    Self->onPayload(Bytes);
  };
  Made.Ended = [Self = this->shared_from_this()](UpstreamEnd How) {
    Self->onUpstreamEnd(How);
  };
  return Made;
}

/// Nothing where the server does not warm up. A new connection's time is part
/// of what a grant may slip by; more of it, behind a freeze, is not.
std::function<bool()> GatewayRequest::sendGate() const {
  if (!this->SendUntil)
    return {};
  const TimePoint Until = *this->SendUntil + (WarmUpSlip - WarmUpGrantLife);
  return [&Time = this->Context.SuspendClock, Until] {
    return Time.now() <= Until;
  };
}

Duration GatewayRequest::firstPieceLimit() const {
  return std::max(this->Route->Objective * 2, LeastFirstPieceLimit);
}

void GatewayRequest::armWatch(Duration Limit) {
  this->Context.Loop.cancel(this->WatchTimer);
  this->WatchTimer = this->Context.Loop.after(
      Limit, [Self = this->shared_from_this()] { Self->onSilence(); });
}

/// Nothing came for a while. A server that may not be asked again is waited
/// for: the answer may still come, and it would be the only one.
void GatewayRequest::onSilence() {
  this->WatchTimer = 0;
  if (this->Ended || this->Upstream == nullptr)
    return;
  const TimePoint Now = this->Context.Loop.clock().now();
  if (!this->Kept && !this->Upstream->mayHaveLeft()) {
    this->closeUpstream();
    this->endSend(SendOutcome::NotSent, ServerVerdict::Unreachable);
    return;
  }
  const Duration Limit =
      this->HeadCame ? StreamSilence : this->firstPieceLimit();
  const Duration Silent = Now - this->HeardAt;
  if (Silent < Limit) {
    this->armWatch(Limit - Silent);
    return;
  }
  // A process that started since the send knows nothing of the request, also
  // where others hear from it: without this look the caller would be held to
  // its deadline for an answer that nobody makes.
  const bool Restarted = this->Work.ServerStartedMs <
                         this->Context.Servers.startOf(this->Choice.Server);
  const bool ServerHeard =
      !Restarted &&
      this->Context.Servers.heardSince(this->Choice.Server, this->HeardAt);
  RequestProgress After = this->Progress;
  ++After.Runs;
  const SendOutcome Outcome =
      this->Progress.AnswerBegun ? SendOutcome::BrokenOff : SendOutcome::Lost;
  After.Left = this->left();
  // Without a repeat left the answer that may still come is the only one.
  const bool MayRepeat = this->Context.allowance(this->Service)
                             .has(Now, this->Context.View->Routers);
  const bool Waits = !maySendAgain(After, Outcome) || !MayRepeat;
  if (ServerHeard || (Waits && !Restarted)) {
    this->armWatch(Limit);
    return;
  }
  this->closeUpstream();
  this->noteServerInDoubt(CrashWatch::SendEnd::Silent);
  this->endSend(Outcome, ServerVerdict::Silent);
}

/// Nothing whole came of the send: the server may have crashed with it.
void GatewayRequest::noteServerInDoubt(CrashWatch::SendEnd How) {
  this->Context.Crashes.onLost(this->identity(),
                               this->Context.Servers.find(this->Choice.Server),
                               this->Work.ServerStartedMs, How);
}

void GatewayRequest::closeUpstream() {
  if (const auto Connection = std::exchange(this->Upstream, nullptr))
    Connection->close();
}

void GatewayRequest::endSend(SendOutcome Outcome, ServerVerdict Verdict) {
  this->Context.Loop.cancel(this->WatchTimer);
  this->WatchTimer = 0;
  this->Paused = false;
  const TimePoint Now = this->Context.Loop.clock().now();
  this->settleSend(Verdict);
  const bool MayHaveRun =
      Outcome != SendOutcome::NotSent && Outcome != SendOutcome::NotRun;
  if (MayHaveRun)
    ++this->Progress.Runs;
  this->Progress.Left = this->left();
  bool Again = maySendAgain(this->Progress, Outcome);
  if (Again && countsAsRepeat(Outcome))
    Again = this->Context.allowance(this->Service)
                .take(Now, this->Context.View->Routers);
  const NextStep Step = nextStep(this->Progress, Outcome, Again);
  const bool Broke =
      Outcome == SendOutcome::Lost || Outcome == SendOutcome::BrokenOff;
  if (Step != NextStep::Done)
    logEach(LogPart::Caller, [&, this] {
      return "request=" + this->Info.RequestId + " server=" + this->ServerId +
             " send=" + std::string(nameOf(SendOutcomeNames, Outcome)) +
             " verdict=" + std::string(nameOf(ServerVerdictNames, Verdict)) +
             " status=" +
             std::to_string(this->HeadCame ? this->AnswerHead.Status : 0) +
             " after=" + secondsText(Now - this->SentAt) +
             " next=" + std::string(nameOf(NextStepNames, Step)) +
             (Broke ? this->brokenSendText() : "");
    });
  this->carryOut(Step);
}

/// What tells a server that crashed from a connection that broke, and one
/// request that crashes servers from others that were there.
std::string GatewayRequest::brokenSendText() {
  const GatewayServer *Listed = this->Context.Servers.find(this->Choice.Server);
  return " content=" + textOf(this->identity()) +
         " server-listed=" + (Listed == nullptr ? "no" : "yes") +
         " server-draining=" +
         (Listed != nullptr && Listed->Draining ? "yes" : "no");
}

void GatewayRequest::carryOut(NextStep Step) {
  switch (Step) {
  case NextStep::SendAgain:
    this->Context.Counters.Repeats.add();
    if (this->Progress.AnswerBegun)
      this->Context.Counters.Resumed.add();
    // A request that has just crashed its third server must not leave again.
    this->Context.Crashes.whenChecked(
        {this->Choice.Server, this->Work.ServerStartedMs},
        [Self = this->shared_from_this()] {
          if (!Self->Ended)
            Self->sendNext();
        });
    return;
  case NextStep::Done:
  case NextStep::PassFailure:
    this->passAnswer();
    return;
  case NextStep::Refuse:
    this->refuse(RefusalReason::NoServerRanIt);
    return;
  case NextStep::FailUnknown:
    this->answerOwn(HttpBadGateway, "Bad Gateway");
    return;
  case NextStep::CutOff:
    this->Session->cutAnswer();
    this->finish("cut-off", this->Context.Counters.CutOff);
    return;
  }
}

} // namespace parsleywing
