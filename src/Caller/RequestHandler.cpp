#include "Caller/RequestHandler.h"

#include "Backend/ShortCall.h"
#include "Caller/ProgressReporter.h"
#include "Runtime/Log.h"

#include <Poco/String.h>

namespace parsleywing {

namespace {

/// Interval at which a waiting request checks whether the process is shutting
/// down.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(500);

/// Time to connect to a server whose connection was lost.
constexpr Duration CheckTimeout = std::chrono::milliseconds(200);

/// Returns `/path?query` of `/services/{service}/path?query`.
std::string pathAfterService(const std::string &Target) {
  const auto Service = Target.find('/', 1);
  const auto PathStart = Target.find_first_of("/?", Service + 1);
  if (PathStart == std::string::npos)
    return "/";
  return (Target[PathStart] == '?' ? "/" : "") + Target.substr(PathStart);
}

} // namespace

RequestHandler::RequestHandler(Exchange &X, const CallerRequest &R)
    : E(X), ParsedRequest(R), Request{X.Number}, Writer(X, R.Stream),
      Forwarder(X), HandOver(X, R, Forwarder),
      Channel(X.Context.Control.openChannel(Request)),
      ArrivedAt(X.Context.Control.clock().now()) {
  this->Timing.Account = R.Account;
  this->Timing.Service = R.Service;
}

RequestHandler::~RequestHandler() {
  this->E.Context.Watch.remove(this->E.Caller);
  this->E.Context.Control.closeChannel(this->Request);
}

void RequestHandler::serve() {
  this->E.Context.Control.post(RequestArrived{this->describe()});
  // After posting the arrival, since a `CallerDisconnected` before it would be
  // lost.
  this->watchCaller();
  while (!this->Finished && !this->E.Context.Stopping) {
    const auto Decision = this->Channel->take(StopCheckInterval);
    if (Decision)
      std::visit([this](const auto &D) { this->execute(D); }, *Decision);
  }
  if (!this->Finished)
    this->execute(this->finishForShutdown());
}

/// The control thread makes no further decisions.
FinishRequest RequestHandler::finishForShutdown() const {
  if (this->ResponseComplete)
    return {this->Request, RequestOutcome::Completed, ResponseReason::Served,
            Duration::zero()};
  if (this->MayHaveRun)
    return {this->Request, RequestOutcome::Unknown, ResponseReason::Draining,
            Duration::zero()};
  return {this->Request, RequestOutcome::NotRun, ResponseReason::Draining,
          this->E.Context.Settings.LimitRetryAfter};
}

void RequestHandler::watchCaller() {
  this->E.Context.Watch.add(this->E.Caller, [this] {
    this->Disconnected = true;
    ++this->E.Context.Counters.CallersDisconnected;
    this->E.Context.Control.post(CallerDisconnected{this->Request});
  });
}

Duration RequestHandler::elapsed() const {
  return this->E.Context.Control.clock().now() - this->ArrivedAt;
}

RequestDescription RequestHandler::describe() const {
  RequestDescription D;
  D.Request = this->Request;
  D.Account = this->ParsedRequest.Account;
  D.Service = this->ParsedRequest.Service;
  D.Repeatable = this->ParsedRequest.Repeatable;
  D.IdempotencyKey = this->ParsedRequest.IdempotencyKey;
  D.EstimatedTokens = this->ParsedRequest.MaxOutputTokens;
  D.Deadline = this->ArrivedAt + this->ParsedRequest.Timeout;
  D.Identity = this->E.Identity;
  D.Kind = this->ParsedRequest.Kind;
  D.Content = this->contentIdentity();
  if (this->ParsedRequest.HandedOver) {
    D.HandedOver = true;
    D.RecordHeldElsewhere = this->ParsedRequest.HandedOver->RecordHeld;
  }
  return D;
}

/// Leaves out the host, which differs between the routers that a caller may
/// use.
RequestIdentity RequestHandler::contentIdentity() const {
  const RawRequest &Raw = this->ParsedRequest.Raw;
  return identityOf({std::to_string(this->ParsedRequest.Account.Value), "",
                     Raw.Method, Raw.Target, Raw.Body});
}

void RequestHandler::execute(const StartAttempt &Start) {
  if (!this->Timing.Queued)
    this->Timing.Queued = this->elapsed();
  this->MayHaveRun = true;
  this->Timing.Attempts = Start.Attempt;
  this->abandonBroken();
  if (this->ParsedRequest.Kind == ServiceKind::Plain)
    this->runPlain(Start);
  else
    this->runEngine(Start.Attempt, Start.Server,
                    this->engineCall(Start.Attempt));
}

void RequestHandler::execute(const ResumeAttempt &Decision) {
  if (!this->Broken) {
    this->endAttempt(Decision.Attempt, AttemptOutcome::Rejected,
                     this->Timing.Tokens);
    return;
  }
  EngineCall Call = this->engineCall(Decision.OriginalAttempt);
  Call.ResumeFrom = this->Broken->Point;
  this->runEngine(Decision.Attempt, Decision.Server, std::move(Call));
}

void RequestHandler::execute(const HandOverRequest &Decision) {
  this->MayHaveRun = true;
  this->abandonBroken();
  ControlLoop &Control = this->E.Context.Control;
  std::uint64_t Chunks = 0;
  ProgressReporter Progress(Control.clock(), [&](std::uint64_t Count) {
    Control.post(AttemptProgressed{this->Request, Decision.Attempt, Count});
  });
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
  if (!this->shouldStop())
    Outcome = this->HandOver.run(Decision,
                                 this->ParsedRequest.Timeout - this->elapsed(),
                                 this->cancellerSetter(Decision.Attempt), [&] {
                                   this->recordFirstChunk();
                                   Progress.report(++Chunks);
                                   return !this->shouldStop();
                                 });
  Progress.flush();
  this->ResponseComplete = Outcome == AttemptOutcome::Completed;
  Control.post(
      HandOverEnded{this->Request, Decision.Attempt, Outcome, this->offset()});
}

EngineCall RequestHandler::engineCall(AttemptNumber OriginalAttempt) const {
  EngineCall Call;
  Call.Model = this->ParsedRequest.Model;
  Call.Input = this->ParsedRequest.Input;
  Call.InputJson = this->ParsedRequest.InputJson;
  Call.MaxOutputTokens = this->ParsedRequest.MaxOutputTokens;
  Call.Identity = this->E.Identity + "." + std::to_string(OriginalAttempt);
  Call.Repeatable = this->ParsedRequest.Repeatable;
  Call.IdempotencyKey = this->ParsedRequest.IdempotencyKey;
  return Call;
}

/// Omits the account's key and the hand-over token, which are meant only for
/// routers.
PlainCall RequestHandler::plainCall(AttemptNumber Attempt) const {
  const RawRequest &Raw = this->ParsedRequest.Raw;
  PlainCall Call;
  Call.Method = Raw.Method;
  Call.Path = pathAfterService(Raw.Target);
  Call.Body = Raw.Body;
  Call.Identity = this->E.Identity + "." + std::to_string(Attempt);
  Call.Repeatable = this->ParsedRequest.Repeatable;
  for (const auto &[Name, Value] : Raw.Headers)
    if (Poco::icompare(Name, "Authorization") != 0 &&
        Poco::icompare(Name, "Expect") != 0 &&
        Poco::icompare(Name, HandOverHeader) != 0)
      Call.Headers.emplace_back(Name, Value);
  return Call;
}

void RequestHandler::runEngine(AttemptNumber Attempt, ServerId Server,
                               EngineCall Call) {
  Call.Address = this->addressOf(Server);
  EngineResult Result{AttemptOutcome::NotSent};
  Result.Resume = Call.ResumeFrom;
  if (!Call.Address.empty() && !this->shouldStop())
    Result = this->callEngine(Attempt, Server, Call);
  this->Timing.Tokens = Result.Tokens;
  this->Broken.reset();
  if (Result.Resume)
    this->Broken =
        BrokenResponse{Call.Address, *Result.Resume, Result.ServerSuspect};
  this->reportServer(Server, Result.ServerSuspect, Result.ServerLeaving);
  this->reportPause(Server, Result.Pause);
  this->endAttempt(Attempt, Result.Outcome, Result.Tokens,
                   this->lostConnection(Server, Result.Outcome,
                                        Result.LostConnectionOpenedAt));
}

void RequestHandler::runPlain(const StartAttempt &Start) {
  PlainCall Call = this->plainCall(Start.Attempt);
  Call.Address = this->addressOf(Start.Server);
  PlainResult Result;
  if (!Call.Address.empty() && !this->shouldStop())
    Result = this->callPlain(Start, Call);
  const bool Certain = Result.Outcome == AttemptOutcome::NotSent ||
                       Result.Outcome == AttemptOutcome::Rejected;
  this->Timing.Tokens = Certain ? 0 : 1;
  this->reportServer(Start.Server, Result.ServerSuspect, Result.ServerLeaving);
  this->reportPause(Start.Server, Result.Pause);
  this->endAttempt(Start.Attempt, Result.Outcome, this->Timing.Tokens,
                   this->lostConnection(Start.Server, Result.Outcome,
                                        Result.LostConnectionOpenedAt));
}

/// The server is checked before the end of the attempt is reported, so that a
/// request that has crashed its server is not retried before this is known. The
/// server of a cancelled attempt is checked by `CrashTracker` if the request is
/// still open.
std::optional<LostConnection>
RequestHandler::lostConnection(ServerId Server, AttemptOutcome Outcome,
                               std::optional<TimePoint> OpenedAt) const {
  if (!OpenedAt)
    return std::nullopt;
  LostConnection Lost{Server, *OpenedAt, std::nullopt};
  if (Outcome == AttemptOutcome::Interrupted)
    Lost.Check = tryConnect(this->addressOf(Server), CheckTimeout);
  return Lost;
}

std::string RequestHandler::addressOf(ServerId Server) const {
  const DeclarationsPtr Declared = this->E.Context.declarations().Active;
  const auto Found = Declared->Servers.find(Server);
  return Found == Declared->Servers.end() ? "" : Found->second.Address;
}

/// Must be called before the end of the attempt is reported. Otherwise the
/// freed slot of this server would be the first free one, and each retry would
/// be refused by the same server within milliseconds.
void RequestHandler::reportServer(ServerId Server, bool Suspect, bool Leaving) {
  if (Leaving || Suspect)
    this->E.Context.Control.post(ServerConditionChanged{
        Server, Leaving ? ServerCondition::Leaving : ServerCondition::Failed});
}

/// Must be called before the end of the attempt is reported, like
/// `reportServer`.
void RequestHandler::reportPause(ServerId Server,
                                 std::optional<Duration> Pause) {
  ControlLoop &Control = this->E.Context.Control;
  if (!Pause)
    return;
  log(LogPart::Backend, LogLevel::Info,
      "server=" + this->addressOf(Server) + " wants a pause: ms=" +
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(*Pause)
                  .count()));
  Control.post(ServerPaused{Server, Control.clock().now() + *Pause});
}

void RequestHandler::endAttempt(AttemptNumber Attempt, AttemptOutcome Outcome,
                                std::uint64_t Tokens,
                                std::optional<LostConnection> Lost) {
  this->ResponseComplete = Outcome == AttemptOutcome::Completed;
  this->E.Context.Control.post(AttemptEnded{this->Request, Attempt, Outcome,
                                            Tokens, this->offset(), Lost});
}

/// For a forwarded response, only whether any of it was sent matters, since it
/// cannot be resumed.
std::uint64_t RequestHandler::offset() const {
  return this->Forwarder.hasStarted() ? 1 : this->ForwardedChunks;
}

bool RequestHandler::shouldStop() const {
  return this->Disconnected || this->E.Context.Stopping;
}

void RequestHandler::recordFirstChunk() {
  if (!this->Timing.FirstToken)
    this->Timing.FirstToken = this->elapsed();
}

std::function<void(std::function<void()>)>
RequestHandler::cancellerSetter(AttemptNumber Attempt) {
  this->Channel->beginAttempt(Attempt);
  return [this](std::function<void()> Canceller) {
    this->Channel->setCanceller(std::move(Canceller));
  };
}

EngineResult RequestHandler::callEngine(AttemptNumber Attempt, ServerId Server,
                                        const EngineCall &Call) {
  ControlLoop &Control = this->E.Context.Control;
  ProgressReporter Progress(Control.clock(), [&](std::uint64_t Generated) {
    Control.post(AttemptProgressed{this->Request, Attempt, Generated});
  });
  EngineListener Listener;
  Listener.SendStarted = [&] {
    Control.post(AttemptSent{this->Request, Attempt});
  };
  Listener.DeltaReceived = [&](const std::string &Text,
                               std::uint64_t Generated) {
    Progress.report(Generated);
    ++this->ForwardedChunks;
    return this->forwardText(Text);
  };
  Listener.ServerLeaving = [&] { this->reportServer(Server, false, true); };
  Listener.SetCanceller = this->cancellerSetter(Attempt);
  EngineResult Result = this->E.Context.Engines.run(Call, Listener);
  Progress.flush();
  return Result;
}

PlainResult RequestHandler::callPlain(const StartAttempt &Start,
                                      const PlainCall &Call) {
  PlainListener Listener;
  Listener.SendStarted = [&] {
    this->E.Context.Control.post(AttemptSent{this->Request, Start.Attempt});
  };
  Listener.ServerLeaving = [&] {
    this->reportServer(Start.Server, false, true);
  };
  Listener.HeadReceived = [&](int Status, const HeaderList &Headers) {
    this->recordFirstChunk();
    return !this->shouldStop() && this->Forwarder.forwardHead(Status, Headers);
  };
  Listener.BodyReceived = [&](std::string_view Chunk) {
    return !this->shouldStop() && this->Forwarder.forwardBody(Chunk);
  };
  Listener.SetCanceller = this->cancellerSetter(Start.Attempt);
  return this->E.Context.Services.run(Call, Listener);
}

bool RequestHandler::forwardText(const std::string &Text) {
  this->recordFirstChunk();
  return !this->shouldStop() && this->Writer.writeDelta(Text);
}

void RequestHandler::abandonBroken() {
  this->Forwarder.discardBuffered();
  if (!this->Broken)
    return;
  this->Abandoned.push_back(*this->Broken);
  this->Broken.reset();
  // Cancelling at an unresponsive server would only delay the next attempt.
  if (!this->Abandoned.back().ServerSuspect)
    this->cancelAbandoned();
}

void RequestHandler::cancelAbandoned() {
  for (const BrokenResponse &Response : this->Abandoned)
    this->E.Context.Engines.cancel(Response.Address, Response.Point.ResponseId);
  this->Abandoned.clear();
}

void RequestHandler::execute(const FinishRequest &Finish) {
  this->Finished = true;
  // A later close of the connection no longer matters.
  this->E.Context.Watch.remove(this->E.Caller);
  this->finishResponse(Finish);
  this->Timing.Outcome = Finish.Outcome;
  this->Timing.Total = this->elapsed();
  if (this->E.Context.Timings)
    this->E.Context.Timings(this->Timing);
  this->abandonBroken();
  this->cancelAbandoned();
}

void RequestHandler::finishResponse(const FinishRequest &Finish) {
  // "Completed" for any other reason refers to an earlier request, whose
  // response is not available.
  const bool Served = Finish.Outcome == RequestOutcome::Completed &&
                      Finish.Reason == ResponseReason::Served;
  const bool Counted =
      Served || this->Writer.started() || this->Forwarder.hasStarted();
  if (Served && this->Forwarder.hasResponse())
    this->Forwarder.complete(this->Timing.Attempts);
  else if (Served)
    this->Writer.complete(this->Timing.Tokens, this->Timing.Attempts);
  else if (!this->Forwarder.hasStarted())
    this->Writer.fail(Finish, this->Timing.Tokens, this->Timing.Attempts);
  else if (!this->HandOver.reportedIncomplete())
    this->Forwarder.abortResponse();
  // `Exchange::sendProblem` counts problems itself.
  if (Counted)
    this->E.Context.Counters.countOutcome(Finish.Outcome);
}

} // namespace parsleywing
