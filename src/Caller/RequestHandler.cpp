#include "Caller/RequestHandler.h"

#include "Caller/ProgressReporter.h"

#include <Poco/String.h>

namespace parsleywing {

namespace {

/// How often a waiting request looks whether the process stops.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(500);

/// `/path?query` of `/services/{service}/path?query`.
std::string pathBehindService(const std::string &Target) {
  const auto Service = Target.find('/', 1);
  const auto Behind = Target.find_first_of("/?", Service + 1);
  if (Behind == std::string::npos)
    return "/";
  return (Target[Behind] == '?' ? "/" : "") + Target.substr(Behind);
}

} // namespace

RequestHandler::RequestHandler(Exchange &X, const CallerRequest &A)
    : E(X), ParsedRequest(A), Request{X.Number}, Writer(X, A.Stream),
      Forwarder(X), HandOver(X, A, Forwarder),
      Channel(X.Context.Control.openChannel(Request)),
      ArrivedAt(X.Context.Control.clock().now()) {
  this->Timing.Account = A.Account;
  this->Timing.Service = A.Service;
}

RequestHandler::~RequestHandler() {
  this->E.Context.Watch.remove(this->E.Caller);
  this->E.Context.Control.closeChannel(this->Request);
}

void RequestHandler::serve() {
  this->E.Context.Control.post(RequestArrived{this->describe()});
  // After the arrival, since a `CallerLeft` before it would be lost.
  this->watchCaller();
  while (!this->Finished && !this->E.Context.Stopping) {
    const auto Decision = this->Channel->take(StopCheckInterval);
    if (Decision)
      std::visit([this](const auto &D) { this->execute(D); }, *Decision);
  }
  if (!this->Finished)
    this->execute(this->finishForShutdown());
}

/// Nobody decides any more.
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
  if (this->ParsedRequest.HandedOver) {
    D.HandedOver = true;
    D.RecordHeldElsewhere = this->ParsedRequest.HandedOver->RecordHeld;
  }
  return D;
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

void RequestHandler::execute(const ResumeAttempt &Wanted) {
  if (!this->Broken) {
    this->endAttempt(Wanted.Attempt, AttemptOutcome::Rejected,
                     this->Timing.Tokens);
    return;
  }
  EngineCall Call = this->engineCall(Wanted.OriginalAttempt);
  Call.ResumeFrom = this->Broken->Point;
  this->runEngine(Wanted.Attempt, Wanted.Server, std::move(Call));
}

void RequestHandler::execute(const HandOverRequest &Wanted) {
  this->MayHaveRun = true;
  this->abandonBroken();
  ControlLoop &Control = this->E.Context.Control;
  std::uint64_t Pieces = 0;
  ProgressReporter Progress(Control.clock(), [&](std::uint64_t Count) {
    Control.post(AttemptProgressed{this->Request, Wanted.Attempt, Count});
  });
  AttemptOutcome Ended = AttemptOutcome::NotSent;
  if (!this->shouldStop())
    Ended = this->HandOver.run(Wanted,
                               this->ParsedRequest.Timeout - this->elapsed(),
                               this->cancellerSetter(Wanted.Attempt), [&] {
                                 this->recordFirstChunk();
                                 Progress.report(++Pieces);
                                 return !this->shouldStop();
                               });
  Progress.flush();
  this->ResponseComplete = Ended == AttemptOutcome::Completed;
  Control.post(
      HandOverEnded{this->Request, Wanted.Attempt, Ended, this->offset()});
}

EngineCall RequestHandler::engineCall(AttemptNumber StartedBy) const {
  EngineCall Call;
  Call.Model = this->ParsedRequest.Model;
  Call.Input = this->ParsedRequest.Input;
  Call.InputJson = this->ParsedRequest.InputJson;
  Call.MaxOutputTokens = this->ParsedRequest.MaxOutputTokens;
  Call.Identity = this->E.Identity + "." + std::to_string(StartedBy);
  Call.Repeatable = this->ParsedRequest.Repeatable;
  Call.IdempotencyKey = this->ParsedRequest.IdempotencyKey;
  return Call;
}

/// The account's key is for routers only, and so is a note between routers.
PlainCall RequestHandler::plainCall(AttemptNumber Attempt) const {
  const RawRequest &Raw = this->ParsedRequest.Raw;
  PlainCall Call;
  Call.Method = Raw.Method;
  Call.Path = pathBehindService(Raw.Target);
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
  EngineResult Ended{AttemptOutcome::NotSent};
  Ended.Resume = Call.ResumeFrom;
  if (!Call.Address.empty() && !this->shouldStop())
    Ended = this->callEngine(Attempt, Call);
  this->Timing.Tokens = Ended.Tokens;
  this->Broken.reset();
  if (Ended.Resume)
    this->Broken =
        BrokenResponse{Call.Address, *Ended.Resume, Ended.ServerSuspect};
  this->reportServer(Server, Ended.ServerSuspect, Ended.ServerLeaving);
  this->endAttempt(Attempt, Ended.Outcome, Ended.Tokens);
}

void RequestHandler::runPlain(const StartAttempt &Start) {
  PlainCall Call = this->plainCall(Start.Attempt);
  Call.Address = this->addressOf(Start.Server);
  PlainResult Ended;
  if (!Call.Address.empty() && !this->shouldStop())
    Ended = this->callPlain(Start.Attempt, Call);
  const bool Certain = Ended.Outcome == AttemptOutcome::NotSent ||
                       Ended.Outcome == AttemptOutcome::Rejected;
  this->Timing.Tokens = Certain ? 0 : 1;
  this->reportServer(Start.Server, Ended.ServerSuspect, Ended.ServerLeaving);
  this->endAttempt(Start.Attempt, Ended.Outcome, this->Timing.Tokens);
}

std::string RequestHandler::addressOf(ServerId Server) const {
  const DeclarationsPtr Declared = this->E.Context.declarations().Active;
  const auto Found = Declared->Servers.find(Server);
  return Found == Declared->Servers.end() ? "" : Found->second.Address;
}

/// Told before the attempt's end is: the slot there would else be the first
/// free one, and each retry would be refused by the same server within
/// milliseconds.
void RequestHandler::reportServer(ServerId Server, bool Suspect, bool Leaving) {
  if (Leaving || Suspect)
    this->E.Context.Control.post(ServerConditionChanged{
        Server, Leaving ? ServerCondition::Leaving : ServerCondition::Failed});
}

void RequestHandler::endAttempt(AttemptNumber Attempt, AttemptOutcome Outcome,
                                std::uint64_t Tokens) {
  this->ResponseComplete = Outcome == AttemptOutcome::Completed;
  this->E.Context.Control.post(
      AttemptEnded{this->Request, Attempt, Outcome, Tokens, this->offset()});
}

/// Of a passed answer only counts that something of it has left: there is no
/// place at which it could be taken up again.
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
  return [this](std::function<void()> Breaker) {
    this->Channel->setCanceller(std::move(Breaker));
  };
}

EngineResult RequestHandler::callEngine(AttemptNumber Attempt,
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
  Listener.SetCanceller = this->cancellerSetter(Attempt);
  EngineResult Ended = this->E.Context.Engines.run(Call, Listener);
  Progress.flush();
  return Ended;
}

PlainResult RequestHandler::callPlain(AttemptNumber Attempt,
                                      const PlainCall &Call) {
  PlainListener Listener;
  Listener.SendStarted = [&] {
    this->E.Context.Control.post(AttemptSent{this->Request, Attempt});
  };
  Listener.HeadReceived = [&](int Status, const HeaderList &Headers) {
    this->recordFirstChunk();
    return !this->shouldStop() && this->Forwarder.forwardHead(Status, Headers);
  };
  Listener.BodyReceived = [&](std::string_view Piece) {
    return !this->shouldStop() && this->Forwarder.forwardBody(Piece);
  };
  Listener.SetCanceller = this->cancellerSetter(Attempt);
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
  // A server that answers nobody would only hold the next attempt up.
  if (!this->Abandoned.back().ServerSuspect)
    this->cancelAbandoned();
}

void RequestHandler::cancelAbandoned() {
  for (const BrokenResponse &Each : this->Abandoned)
    this->E.Context.Engines.cancel(Each.Address, Each.Point.ResponseId);
  this->Abandoned.clear();
}

void RequestHandler::execute(const FinishRequest &Answer) {
  this->Finished = true;
  // A later close of the connection concerns nobody any more.
  this->E.Context.Watch.remove(this->E.Caller);
  this->finishResponse(Answer);
  this->Timing.Outcome = Answer.Outcome;
  this->Timing.Total = this->elapsed();
  if (this->E.Context.Timings)
    this->E.Context.Timings(this->Timing);
  this->abandonBroken();
  this->cancelAbandoned();
}

void RequestHandler::finishResponse(const FinishRequest &Answer) {
  // "Completed" for any other reason speaks of an earlier request, and there is
  // no answer to give.
  const bool Served = Answer.Outcome == RequestOutcome::Completed &&
                      Answer.Reason == ResponseReason::Served;
  const bool Counted =
      Served || this->Writer.started() || this->Forwarder.hasStarted();
  if (Served && this->Forwarder.hasResponse())
    this->Forwarder.complete(this->Timing.Attempts);
  else if (Served)
    this->Writer.complete(this->Timing.Tokens, this->Timing.Attempts);
  else if (!this->Forwarder.hasStarted())
    this->Writer.fail(Answer, this->Timing.Tokens, this->Timing.Attempts);
  else if (!this->HandOver.reportedIncomplete())
    this->Forwarder.abortResponse();
  // A problem is counted as it is sent.
  if (Counted)
    this->E.Context.Counters.countOutcome(Answer.Outcome);
}

} // namespace parsleywing
