#include "Caller/RequestServer.h"

#include "Caller/ProgressReporter.h"

namespace parsleywing {

namespace {

/// How often a waiting request looks whether the process stops.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(500);

} // namespace

RequestServer::RequestServer(Exchange &X, const CallerRequest &A)
    : E(X), Asked(A), Request{X.Number}, Writer(X, A.Stream),
      Channel(X.Context.Control.openChannel(Request)),
      Arrived(X.Context.Control.clock().now()) {
  this->Timing.Account = A.Account;
  this->Timing.Service = A.Service;
}

RequestServer::~RequestServer() {
  this->E.Context.Watch.remove(this->E.Caller);
  this->E.Context.Control.closeChannel(this->Request);
}

void RequestServer::serve() {
  this->E.Context.Control.post(RequestArrived{this->describe()});
  // After the arrival, since a `CallerLeft` before it would be lost.
  this->watchCaller();
  while (!this->Answered && !this->E.Context.Stopping) {
    const auto Decision = this->Channel->take(StopCheckInterval);
    if (Decision)
      std::visit([this](const auto &D) { this->carryOut(D); }, *Decision);
  }
}

void RequestServer::watchCaller() {
  this->E.Context.Watch.add(this->E.Caller, [this] {
    this->CallerGone = true;
    ++this->E.Context.Counters.CallersLeft;
    this->E.Context.Control.post(CallerLeft{this->Request});
  });
}

Duration RequestServer::elapsed() const {
  return this->E.Context.Control.clock().now() - this->Arrived;
}

RequestDescription RequestServer::describe() const {
  RequestDescription D;
  D.Request = this->Request;
  D.Account = this->Asked.Account;
  D.Service = this->Asked.Service;
  D.Repeatable = this->Asked.Repeatable;
  D.IdempotencyKey = this->Asked.IdempotencyKey;
  D.EstimatedTokens = this->Asked.MaxOutputTokens;
  D.Deadline = this->Arrived + this->Asked.Timeout;
  D.Identity = this->E.Identity;
  return D;
}

void RequestServer::carryOut(const StartAttempt &Start) {
  if (!this->Timing.Queued)
    this->Timing.Queued = this->elapsed();
  this->Timing.Attempts = Start.Attempt;
  this->runEngine(Start.Attempt, Start.Server, this->engineCall(Start.Attempt));
}

void RequestServer::carryOut(const ResumeAttempt &Wanted) {
  if (!this->Resume) {
    this->E.Context.Control.post(
        AttemptEnded{this->Request, Wanted.Attempt, AttemptOutcome::Rejected,
                     this->Timing.Tokens, this->PassedOn});
    return;
  }
  EngineCall Call = this->engineCall(Wanted.StartedBy);
  Call.ResumeFrom = this->Resume;
  this->runEngine(Wanted.Attempt, Wanted.Server, std::move(Call));
}

void RequestServer::carryOut(const HandOverRequest &Wanted) {
  // Not built yet: the request stays here.
  this->E.Context.Control.post(
      HandOverEnded{this->Request, Wanted.Attempt, AttemptOutcome::NotSent});
}

EngineCall RequestServer::engineCall(AttemptNumber StartedBy) const {
  EngineCall Call;
  Call.Model = this->Asked.Model;
  Call.Input = this->Asked.Input;
  Call.MaxOutputTokens = this->Asked.MaxOutputTokens;
  Call.Identity = this->E.Identity + "." + std::to_string(StartedBy);
  Call.SilenceLimit = this->E.Context.Settings.BackendSilenceLimit;
  Call.Repeatable = this->Asked.Repeatable;
  Call.IdempotencyKey = this->Asked.IdempotencyKey;
  return Call;
}

void RequestServer::runEngine(AttemptNumber Attempt, ServerId Server,
                              EngineCall Call) {
  const DeclarationsPtr Declared = this->E.Context.declarations().InForce;
  const auto Found = Declared->Servers.find(Server);
  EngineResult Ended{AttemptOutcome::NotSent};
  if (Found != Declared->Servers.end() && !this->CallerGone) {
    Call.Address = Found->second.Address;
    Ended = this->callEngine(Attempt, Call);
  }
  this->Timing.Tokens = Ended.Tokens;
  this->Resume = Ended.Resume;
  // Before the end of the attempt: the slot there would else be the first free
  // one, and each retry would be refused by the same server within
  // milliseconds.
  if (Ended.ServerLeaving)
    this->E.Context.Control.post(
        ServerConditionChanged{Server, ServerCondition::Leaving});
  else if (Ended.ServerSuspect)
    this->E.Context.Control.post(
        ServerConditionChanged{Server, ServerCondition::Failed});
  this->E.Context.Control.post(AttemptEnded{
      this->Request, Attempt, Ended.Outcome, Ended.Tokens, this->PassedOn});
}

EngineResult RequestServer::callEngine(AttemptNumber Attempt,
                                       const EngineCall &Call) {
  ControlLoop &Control = this->E.Context.Control;
  this->Channel->beginAttempt(Attempt);
  ProgressReporter Progress(Control.clock(), [&](std::uint64_t Generated) {
    Control.post(AttemptProgressed{this->Request, Attempt, Generated});
  });
  EngineListener Listener;
  Listener.Sent = [&] { Control.post(AttemptSent{this->Request, Attempt}); };
  Listener.Delta = [&](const std::string &Text, std::uint64_t Generated) {
    Progress.report(Generated);
    ++this->PassedOn;
    return this->passOn(Text);
  };
  Listener.SetBreaker = [&](std::function<void()> Breaker) {
    this->Channel->setBreaker(std::move(Breaker));
  };
  const EngineResult Ended = runEngineCall(Call, Listener);
  Progress.flush();
  return Ended;
}

bool RequestServer::passOn(const std::string &Text) {
  if (!this->Timing.FirstToken)
    this->Timing.FirstToken = this->elapsed();
  return !this->CallerGone && !this->E.Context.Stopping &&
         this->Writer.delta(Text);
}

void RequestServer::carryOut(const AnswerRequest &Answer) {
  this->Answered = true;
  // A later close of the connection concerns nobody any more.
  this->E.Context.Watch.remove(this->E.Caller);
  const bool Completed = Answer.Outcome == RequestOutcome::Completed;
  if (Completed)
    this->Writer.complete(this->Timing.Tokens, this->Timing.Attempts);
  else
    this->Writer.fail(Answer, this->Timing.Tokens, this->Timing.Attempts);
  // A problem has been counted as it was sent.
  if (Completed || this->Writer.started())
    this->E.Context.Counters.countOutcome(Answer.Outcome);
  this->Timing.Outcome = Answer.Outcome;
  this->Timing.Total = this->elapsed();
  if (this->E.Context.Timings)
    this->E.Context.Timings(this->Timing);
}

} // namespace parsleywing
