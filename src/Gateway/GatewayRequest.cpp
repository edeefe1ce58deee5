#include "Gateway/GatewayRequest.h"

#include "Runtime/Id.h"
#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

constexpr int Ok = 200;
constexpr int FirstFailure = 300;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int Misdirected = 421;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

/// Longest body of an answer that is held back until it is whole; longer ones
/// are passed on as they come. Lookups answer with at most some 5 KB.
constexpr std::size_t HeldAnswerBytes = 64U << 10U;

/// Bytes that a caller may leave untaken before its server is slowed down.
constexpr std::size_t SlowCallerBytes = 64U << 10U;

/// A connection takes one round trip, 3 ms between zones. A server whose
/// connections take longer than this is not reachable.
constexpr Duration ConnectLimit = std::chrono::milliseconds(400);

/// A request that may run once at most goes over a kept connection only where
/// that was used just now: if the server closes it meanwhile, nobody knows
/// whether the request ran.
constexpr Duration UnsafeMaxIdle = std::chrono::milliseconds(500);
constexpr Duration RepeatableMaxIdle = std::chrono::seconds(30);

/// The least time that a server gets to begin its answer before the request is
/// sent to another one.
constexpr Duration LeastFirstPieceLimit = std::chrono::milliseconds(500);

/// A stream without a byte for so long goes on at another server. Half of the
/// shortest gap after which callers give a stream up (2 s), so that the other
/// server has the other half.
constexpr Duration StreamSilence = std::chrono::milliseconds(1000);

/// The bounds on revocation and on a configuration are used up to this part:
/// the rest covers the clocks' rates and the time from the check to the send.
constexpr Duration RevocationMargin = std::chrono::milliseconds(400);
constexpr double ConfigurationPart = 0.75;

/// With its timers this late a router cannot serve what it takes on time: a
/// fifth of the shortest objective (400 ms for a first piece).
constexpr Duration OverloadLag = std::chrono::milliseconds(80);

/// When a refused caller is to come back. Callers wait at most a third of the
/// time that they have left, and try again once.
constexpr Duration ReturnAfter = std::chrono::milliseconds(300);
constexpr Duration ReturnSpread = std::chrono::milliseconds(200);

/// A request that is late already waits for room for this part of its time at
/// most: it earns less than one that is on time, and the longer it is held
/// without being served, the more its caller has lost.
constexpr int LateWaitDivisor = 4;
constexpr Duration LongestLateWait = std::chrono::milliseconds(500);

/// How long a broken stream waits for another server: callers give one up after
/// a gap of two seconds.
constexpr Duration ResumeWait = std::chrono::milliseconds(1200);

/// Answers by which a router promises that the request has not run.
bool promisesNotRun(int Status) {
  return Status == TooManyRequests || Status == ServiceUnavailable ||
         Status == RequestTimeout || Status == Misdirected;
}

std::string seconds(Duration Time) {
  std::string Text =
      std::to_string(std::chrono::duration<double>(Time).count());
  return Text.substr(0, Text.find('.') + 4);
}

} // namespace

GatewayRequest::GatewayRequest(GatewayContext &C,
                               std::shared_ptr<CallerSession> S,
                               IncomingRequest R)
    : Context(C), Session(std::move(S)), Incoming(std::move(R)) {}

void GatewayRequest::start() {
  this->Context.Counters.Requests.add();
  CallerEvents Wanted;
  Wanted.Left = [Self = this->shared_from_this()] { Self->onCallerLeft(); };
  Wanted.Drained = [Self = this->shared_from_this()] {
    if (Self->Paused && Self->Upstream != nullptr) {
      Self->Paused = false;
      Self->Upstream->resumeReading();
    }
  };
  this->Session->serve(std::move(Wanted));
  if (!this->admit())
    return;
  this->chooseService();
  this->ServiceHash = hashName(this->Service);
  this->Context.allowance(this->Service)
      .noteRequest(this->Context.Loop.clock().now());
  this->DeadlineTimer = this->Context.Loop.after(
      std::max(this->left(), Duration::zero()),
      [Self = this->shared_from_this()] { Self->onDeadline(); });
  this->sendNext();
}

bool GatewayRequest::admit() {
  auto Read = this->Context.Format.ReadCallerHead(this->Incoming.Head);
  if (!Read) {
    this->answerOwn(BadRequest, "Bad Request");
    return false;
  }
  this->Info = std::move(*Read);
  this->Configuration = this->Context.View->Configuration;
  if (this->Configuration == nullptr) {
    this->refuse("no configuration is known yet");
    return false;
  }
  // An answer costs some 0.2 ms and a refusal a tenth: refusing part of a flood
  // leaves time for the rest, where serving all would make all late.
  if (this->Context.Loop.lag() > OverloadLag) {
    this->refuse("this router is short of processor time");
    return false;
  }
  if (this->Context.Refusing) {
    this->refuse("this router is about to stop");
    return false;
  }
  const std::string_view Target = this->Incoming.Head.Target;
  const std::string_view TargetPath = Target.substr(0, Target.find('?'));
  this->Route = this->Configuration->findRoute(this->Info.Host, TargetPath);
  const Duration Certain = std::chrono::duration_cast<Duration>(
      this->Context.Settings.ConfigurationBound * ConfigurationPart);
  if (this->Route == nullptr) {
    // An old configuration may lack a route that exists by now.
    if (this->Context.proofAge() > Certain)
      this->refuse("unknown route, and the configuration may be old");
    else
      this->answerOwn(NotFound, "Not Found");
    return false;
  }
  this->Progress.Repeatable = this->Route->repeatable();
  this->Progress.MaxAttempts = this->Route->MaxAttempts;
  this->Deadline = this->Incoming.Arrived +
                   std::min(this->Info.TimeLeft.value_or(this->Route->Timeout),
                            this->Route->Timeout);
  return this->authorize();
}

bool GatewayRequest::authorize() {
  if (this->Route->Public || !this->Configuration->HasAccounts)
    return true;
  // A key that was taken away must not work at a router that cannot hear of it.
  if (this->Context.proofAge() >
      this->Context.Settings.RevocationBound - RevocationMargin) {
    this->Session->closeWhenDone();
    this->refuse("the list of keys may be old");
    return false;
  }
  const auto Found =
      this->Configuration->AccountOfKey.find(this->Info.AccountKey);
  if (Found != this->Configuration->AccountOfKey.end()) {
    this->Account = Found->second;
    return true;
  }
  const Duration Certain = std::chrono::duration_cast<Duration>(
      this->Context.Settings.ConfigurationBound * ConfigurationPart);
  if (this->Context.proofAge() > Certain)
    this->refuse("unknown key, and the configuration may be old");
  else
    this->answerOwn(Unauthorized, "Unauthorized");
  return false;
}

/// A request's share of a split route follows from its identity, so that no
/// state is needed.
void GatewayRequest::chooseService() {
  std::uint64_t Whole = 0;
  for (const RouteTarget &Target : this->Route->Targets)
    Whole += Target.Weight;
  std::uint64_t Place = Whole == 0 ? 0 : hashName(this->Info.RequestId) % Whole;
  for (const RouteTarget &Target : this->Route->Targets) {
    if (Place < Target.Weight) {
      this->Service = Target.Service;
      return;
    }
    Place -= Target.Weight;
  }
}

Duration GatewayRequest::elapsed() const {
  return this->Context.Loop.clock().now() - this->Incoming.Arrived;
}

Duration GatewayRequest::left() const {
  return this->Deadline - this->Context.Loop.clock().now();
}

bool GatewayRequest::allocated() const {
  const auto Found = this->Configuration->Services.find(this->Service);
  return Found != this->Configuration->Services.end() &&
         Found->second.EngineTokens > 0;
}

/// What of the caller's time had passed before it sent this attempt: one that
/// was refused comes back with less than it began with.
Duration GatewayRequest::age() const {
  if (!this->Info.TimeLeft)
    return Duration::zero();
  Duration &Longest = this->Context.LongestTime[this->Route->Name];
  Longest = std::max(Longest, *this->Info.TimeLeft);
  return Longest - *this->Info.TimeLeft;
}

void GatewayRequest::sendNext() {
  if (this->allocated())
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
  this->Context.Agent.ask(std::move(Ask), [Self = this->shared_from_this()](
                                              const AllocationAnswer &Answer) {
    Self->onAllocated(Answer);
  });
}

void GatewayRequest::onAllocated(const AllocationAnswer &Answer) {
  this->Asking.reset();
  if (this->Ended)
    return;
  if (const auto *Refused = std::get_if<ServerRefused>(&Answer)) {
    if (this->Progress.AnswerBegun)
      this->carryOut(NextStep::CutOff);
    else if (this->mayHaveRun())
      this->carryOut(NextStep::FailUnknown);
    else
      this->refuse("no server has room in time",
                   std::chrono::milliseconds(Refused->ReturnAfterMs));
    return;
  }
  const auto &Granted = std::get<ServerGranted>(Answer);
  const TimePoint Now = this->Context.Loop.clock().now();
  // What this router has seen of a server counts for more than the allocator's
  // choice.
  if (!this->Context.Servers.usable(Granted.Server, Now)) {
    this->Context.Agent.sent(Granted.Id, this->ServiceHash, Granted.Server,
                             {Granted.UnreadTokens, 0});
    this->Context.Agent.ended(Granted.Id, ServerVerdict::Unreachable);
    this->placeAlone();
    return;
  }
  this->SendId = Granted.Id;
  this->send({Granted.Server, Granted.UnreadTokens, Granted.Backlog});
}

void GatewayRequest::placeAlone() {
  PlacementQuestion Asked;
  Asked.Service = this->ServiceHash;
  Asked.Zone = hashName(this->Context.Settings.Zone);
  Asked.Parts = &this->Info.PromptParts;
  Asked.PromptTokens = this->Info.PromptTokens;
  Asked.OutputTokens = this->Info.MaxOutputTokens;
  Asked.Excluded = &this->Tried;
  Asked.Now = this->Context.Loop.clock().now();
  const auto Found = this->Context.Servers.place(Asked);
  if (!Found) {
    if (this->Progress.AnswerBegun)
      this->carryOut(NextStep::CutOff);
    else if (this->mayHaveRun())
      this->carryOut(NextStep::FailUnknown);
    else
      this->refuse("no server of the service can be used");
    return;
  }
  this->SendId = this->Context.Agent.newId();
  this->send(*Found);
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
  this->PromptUnread = true;
  this->AnswerBody.clear();
  this->Events.clear();
  this->Path += (this->Path.empty() ? "" : ",") + Server.Id;
  const SendWork Work{Wanted.UnreadTokens, this->Info.MaxOutputTokens};
  this->Context.Servers.noteSent(Wanted.Server, Work, this->Info.PromptParts,
                                 this->SentAt);
  if (this->allocated())
    this->Context.Agent.sent(this->SendId, this->ServiceHash, Wanted.Server,
                             Work);
  this->Upstream = this->connectionTo(Server);
  if (this->Upstream == nullptr) {
    this->endSend(SendOutcome::NotSent, ServerVerdict::Unreachable);
    return;
  }
  this->Upstream->send(this->encode(Server), this->Incoming.Head.Method,
                       this->Info.RequestId, this->listener());
  this->armWatch(this->Kept ? this->firstPieceLimit() : ConnectLimit);
}

/// The send is over at the server; what is kept of it is settled.
void GatewayRequest::settleSend(ServerVerdict Verdict) {
  const SendWork Work{this->PromptUnread ? this->Choice.UnreadTokens : 0,
                      this->Info.MaxOutputTokens};
  this->PromptUnread = false;
  this->Context.Servers.noteEnded(this->Choice.Server, Work, Verdict,
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
  const bool ServerHeard =
      this->Context.Servers.heardSince(this->Choice.Server, this->HeardAt);
  RequestProgress After = this->Progress;
  ++After.Runs;
  const SendOutcome Outcome =
      this->Progress.AnswerBegun ? SendOutcome::BrokenOff : SendOutcome::Lost;
  After.Left = this->left();
  if (ServerHeard || !maySendAgain(After, Outcome)) {
    this->armWatch(Limit);
    return;
  }
  this->closeUpstream();
  this->endSend(Outcome, ServerVerdict::Silent);
}

void GatewayRequest::noteFirstPiece() {
  if (this->PromptUnread) {
    this->PromptUnread = false;
    this->Context.Servers.noteRead(this->Choice.Server,
                                   this->Choice.UnreadTokens);
    if (this->allocated())
      this->Context.Agent.began(this->SendId);
  }
  if (!this->FirstPieceAfter) {
    this->FirstPieceAfter = this->elapsed();
    this->Context.Counters.FirstPiece.observe(*this->FirstPieceAfter);
  }
}

void GatewayRequest::onHead(const HttpHead &Head, const ServerHead &Read) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->HeardAt = Now;
  this->HeadCame = true;
  this->Context.Servers.noteHeard(this->Choice.Server, Now);
  if (Read.Load)
    this->Context.Servers.noteLoad(this->Choice.Server, *Read.Load, Now);
  this->AnswerHead = Head;
  this->AnswerRead = Read;
  const bool Success = Head.Status >= Ok && Head.Status < FirstFailure;
  if (Success && !Read.HasReceipt) {
    this->closeUpstream();
    this->endSend(this->Progress.AnswerBegun ? SendOutcome::BrokenOff
                                             : SendOutcome::Lost,
                  ServerVerdict::Failed);
    return;
  }
  if (Success && this->Route->Kind == RequestKind::Stream)
    this->beginStream(Head);
}

/// The answer keeps the head of its first server.
void GatewayRequest::beginStream(const HttpHead &Head) {
  this->Streaming = true;
  if (this->Progress.AnswerBegun)
    return;
  this->Progress.AnswerBegun = true;
  this->FinalStatus = Head.Status;
  this->Session->beginAnswer(this->Context.Format.WriteCallerAnswer(Head));
}

void GatewayRequest::onPayload(std::string_view Payload) {
  const TimePoint Now = this->Context.Loop.clock().now();
  this->HeardAt = Now;
  this->Context.Servers.noteHeard(this->Choice.Server, Now);
  this->noteFirstPiece();
  if (this->Streaming && this->AnswerHead.Status < FirstFailure) {
    this->passEvents(Payload);
    return;
  }
  this->AnswerBody.append(Payload);
  if (this->AnswerBody.size() > this->Configuration->Limits.MaxBodyBytes) {
    this->closeUpstream();
    this->endSend(SendOutcome::Lost, ServerVerdict::Failed);
  }
}

void GatewayRequest::passEvents(std::string_view Payload) {
  std::string Whole;
  for (StreamEvent &Event : this->Events.add(Payload)) {
    if (Event.Id && this->LastEvent && *Event.Id <= *this->LastEvent)
      continue;
    if (Event.Id && this->LastEvent && *Event.Id != *this->LastEvent + 1) {
      // A piece is missing; what is behind it must not follow.
      this->Session->piece(Whole);
      this->closeUpstream();
      this->endSend(SendOutcome::BrokenOff, ServerVerdict::Failed);
      return;
    }
    if (Event.Id)
      this->LastEvent = Event.Id;
    this->Context.Counters.Events.add();
    Whole += Event.Text;
  }
  this->Session->piece(Whole);
  if (this->Session->unsent() > SlowCallerBytes && !this->Paused) {
    this->Paused = true;
    this->Upstream->pauseReading();
  }
}

SendOutcome GatewayRequest::outcomeOfAnswer() const {
  if (this->AnswerRead.NotRun || this->AnswerRead.WrongServer)
    return SendOutcome::NotRun;
  if (this->AnswerHead.Status >= FirstFailure)
    return SendOutcome::Failure;
  if (this->Streaming && !this->Events.rest().empty())
    return SendOutcome::BrokenOff;
  return SendOutcome::Served;
}

void GatewayRequest::onUpstreamEnd(UpstreamEnd How) {
  if (this->Ended)
    return;
  const auto Connection = std::exchange(this->Upstream, nullptr);
  if (How == UpstreamEnd::Complete) {
    this->noteFirstPiece();
    this->Context.Pool.put(this->ServerId, Connection);
    const SendOutcome Outcome = this->outcomeOfAnswer();
    ServerVerdict Verdict = ServerVerdict::Sound;
    if (Outcome == SendOutcome::NotRun)
      Verdict = this->AnswerRead.WrongServer ? ServerVerdict::Unreachable
                                             : ServerVerdict::Full;
    else if (Outcome != SendOutcome::Served)
      Verdict = ServerVerdict::Failed;
    this->endSend(Outcome, Verdict);
    return;
  }
  if (How == UpstreamEnd::NotSent) {
    this->endSend(SendOutcome::NotSent, ServerVerdict::Unreachable);
    return;
  }
  // The server's statement stands, even if the text behind it did not come.
  if (this->HeadCame && this->outcomeOfAnswer() == SendOutcome::NotRun) {
    this->endSend(SendOutcome::NotRun, ServerVerdict::Full);
    return;
  }
  this->endSend(this->Progress.AnswerBegun ? SendOutcome::BrokenOff
                                           : SendOutcome::Lost,
                ServerVerdict::Failed);
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
  if (Step != NextStep::Done)
    log(LogPart::Caller, LogLevel::Info,
        "request=" + this->Info.RequestId + " server=" + this->ServerId +
            " send=" + std::string(nameOf(SendOutcomeNames, Outcome)) +
            " verdict=" + std::string(nameOf(ServerVerdictNames, Verdict)) +
            " status=" +
            std::to_string(this->HeadCame ? this->AnswerHead.Status : 0) +
            " after=" + seconds(Now - this->SentAt) +
            " next=" + std::string(nameOf(NextStepNames, Step)));
  this->carryOut(Step);
}

void GatewayRequest::carryOut(NextStep Step) {
  switch (Step) {
  case NextStep::SendAgain:
    this->Context.Counters.Repeats.add();
    if (this->Progress.AnswerBegun)
      this->Context.Counters.Resumed.add();
    this->sendNext();
    return;
  case NextStep::Done:
  case NextStep::PassFailure:
    this->passAnswer();
    return;
  case NextStep::Refuse:
    this->refuse("no server has run it");
    return;
  case NextStep::FailUnknown:
    this->answerOwn(BadGateway, "Bad Gateway");
    return;
  case NextStep::CutOff:
    this->Session->cutAnswer();
    this->finish("cut-off", this->Context.Counters.CutOff);
    return;
  }
}

void GatewayRequest::passAnswer() {
  const int Status = this->AnswerHead.Status;
  if (this->Streaming && Status < FirstFailure) {
    this->Session->endAnswer();
    this->finish("served", this->Context.Counters.Served);
    return;
  }
  // These statuses promise that the request has not run; from a server they do
  // so only with its statement, and then they do not come here.
  if (promisesNotRun(Status)) {
    this->answerOwn(BadGateway, "Bad Gateway");
    return;
  }
  this->FinalStatus = Status;
  this->Session->answer(
      this->Context.Format.WriteCallerAnswer(this->AnswerHead),
      this->AnswerBody);
  if (Status < FirstFailure)
    this->finish("served", this->Context.Counters.Served);
  else
    this->finish("failed-by-server", this->Context.Counters.FailedByServer);
}

void GatewayRequest::answerOwn(int Status, const char *Reason) {
  this->FinalStatus = Status;
  HttpHead Head = ownAnswerHead(Status, Reason);
  this->Context.Format.MarkOwnAnswer(Head, this->Info.RequestId);
  this->Session->answer(std::move(Head), {});
  if (Status < BadGateway)
    this->finish("denied", this->Context.Counters.Denied);
  else
    this->finish("failed", this->Context.Counters.Failed);
}

void GatewayRequest::refuse(const char *Why, Duration ReturnAfterAtLeast) {
  this->FinalStatus = ServiceUnavailable;
  HttpHead Head = ownAnswerHead(ServiceUnavailable, "Service Unavailable");
  this->Context.Format.MarkOwnAnswer(Head, this->Info.RequestId);
  // Spread by the request's identity: callers refused together would else come
  // back together.
  const Duration Spread{static_cast<Duration::rep>(
      hashName(this->Info.RequestId) %
      static_cast<std::uint64_t>(ReturnSpread.count()))};
  Head.add("Retry-After",
           seconds(std::max(ReturnAfter, ReturnAfterAtLeast) + Spread));
  this->Session->answer(std::move(Head), {});
  log(LogPart::Caller, LogLevel::Info,
      "request=" + this->Info.RequestId + " refused: " + Why +
          ", proof-age=" + seconds(this->Context.proofAge()));
  this->finish("refused", this->Context.Counters.Refused);
}

void GatewayRequest::onDeadline() {
  this->DeadlineTimer = 0;
  if (this->Ended)
    return;
  this->withdrawAsk();
  const bool Sent = this->Upstream != nullptr && this->Upstream->mayHaveLeft();
  if (this->Upstream != nullptr) {
    this->closeUpstream();
    this->settleSend(this->HeadCame ? ServerVerdict::Sound
                                    : ServerVerdict::Silent);
  }
  log(LogPart::Caller, LogLevel::Info,
      "request=" + this->Info.RequestId +
          " time is over: server=" + (Sent ? this->ServerId : "-") +
          " answer-begun=" + (this->Progress.AnswerBegun ? "yes" : "no") +
          " after=" + seconds(this->elapsed()));
  if (this->Progress.AnswerBegun) {
    this->carryOut(NextStep::CutOff);
    return;
  }
  if (Sent || this->mayHaveRun())
    this->answerOwn(GatewayTimeout, "Gateway Timeout");
  else
    this->refuse("its time is over");
}

void GatewayRequest::onCallerLeft() {
  if (this->Ended)
    return;
  this->withdrawAsk();
  if (this->Upstream != nullptr) {
    // Closing the connection stops the server's work.
    this->closeUpstream();
    this->settleSend(ServerVerdict::Sound);
  }
  this->finish("caller-left", this->Context.Counters.CallersLeft);
}

void GatewayRequest::withdrawAsk() {
  if (this->Asking)
    this->Context.Agent.withdraw(*this->Asking);
  this->Asking.reset();
}

void GatewayRequest::finish(const char *Outcome, Counter &Counted) {
  if (this->Ended)
    return;
  this->Ended = true;
  Counted.add();
  this->Context.Loop.cancel(this->DeadlineTimer);
  this->Context.Loop.cancel(this->WatchTimer);
  this->Context.Counters.Total.observe(this->elapsed());
  this->logEnd(Outcome);
}

void GatewayRequest::logEnd(const char *Outcome) {
  log(LogPart::Caller, LogLevel::Info,
      "request=" + this->Info.RequestId + " account=" + this->Account +
          " route=" + (this->Route == nullptr ? "-" : this->Route->Name) +
          " outcome=" + Outcome + " status=" +
          std::to_string(this->FinalStatus) + " servers=" + this->Path +
          " unread=" + std::to_string(this->Choice.UnreadTokens) +
          " backlog=" + std::to_string(this->Choice.Backlog) + " first=" +
          (this->FirstPieceAfter ? seconds(*this->FirstPieceAfter) : "-") +
          " total=" + seconds(this->elapsed()) + " configuration=" +
          (this->Configuration == nullptr
               ? "-"
               : std::to_string(this->Configuration->Version)));
}

} // namespace parsleywing
