#include "Gateway/GatewayRequest.h"

#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// The bounds on revocation and on a configuration are used up to this part:
/// the rest covers the clocks' rates and the time from the check to the send.
constexpr Duration RevocationMargin = std::chrono::milliseconds(400);

constexpr double ConfigurationPart = 0.75;

/// With its timers this late a router cannot serve what it takes on time: a
/// fifth of the shortest objective (400 ms for a first piece).
constexpr Duration OverloadLag = std::chrono::milliseconds(80);

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
  Wanted.Stopping = [Self = this->shared_from_this()] {
    Self->giveUp(RefusalReason::Stopping);
  };
  this->Session->serve(std::move(Wanted));
  this->Context.Open.insert(this);
  if (!this->admit())
    return;
  if (this->crashesServers()) {
    this->Trying = this->Context.Crashes.takeTry(this->identity());
    if (!this->Trying) {
      this->refuse(RefusalReason::CrashesServers);
      return;
    }
  }
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
    this->answerOwn(HttpBadRequest, "Bad Request");
    return false;
  }
  this->Info = std::move(*Read);
  this->Configuration = this->Context.View->Configuration;
  if (this->Configuration == nullptr) {
    this->refuse(RefusalReason::NoConfiguration);
    return false;
  }
  // An answer costs some 0.2 ms and a refusal a tenth: refusing part of a flood
  // leaves time for the rest, where serving all would make all late.
  if (this->Context.Loop.lag() > OverloadLag) {
    this->refuse(RefusalReason::ShortOfTime);
    return false;
  }
  if (this->Context.Crowded) {
    this->refuse(RefusalReason::TooManyCallers);
    return false;
  }
  if (this->Context.Refusing) {
    this->refuse(RefusalReason::Stopping);
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
      this->refuse(RefusalReason::RouteMayBeNew);
    else
      this->answerOwn(HttpNotFound, "Not Found");
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
    this->refuse(RefusalReason::KeysMayBeRevoked);
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
    this->refuse(RefusalReason::KeyMayBeNew);
  else
    this->answerOwn(HttpUnauthorized, "Unauthorized");
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

RequestContent GatewayRequest::content() const {
  return {this->Account, this->Info.Host, this->Incoming.Head.Method,
          this->Incoming.Head.Target, this->Incoming.Body};
}

const RequestIdentity &GatewayRequest::identity() {
  if (!this->Identity)
    this->Identity = identityOf(this->content());
  return *this->Identity;
}

bool GatewayRequest::mayBeSuspect() {
  const CrashBook &Book = this->Context.Crashes.book();
  if (Book.size() == 0)
    return false;
  if (!this->Sketch)
    this->Sketch = sketchOf(this->content());
  return Book.mayKnow(*this->Sketch);
}

bool GatewayRequest::crashesServers() {
  return !this->Trying && this->mayBeSuspect() &&
         this->Context.Crashes.refuses(this->identity());
}

/// Its server is freed of it before it crashes too, where it can be.
void GatewayRequest::endIfRefused() {
  if (this->Ended || this->Route == nullptr || !this->crashesServers())
    return;
  this->withdrawAsk();
  if (this->Upstream != nullptr) {
    if (this->Upstream->mayHaveLeft())
      ++this->Progress.Runs;
    this->closeUpstream();
    this->settleSend(ServerVerdict::Sound);
  }
  this->endUnserved(RefusalReason::CrashesServers);
}

void GatewayRequest::onDeadline() {
  this->DeadlineTimer = 0;
  this->giveUp(RefusalReason::TimeIsOver);
}

void GatewayRequest::giveUp(RefusalReason Why) {
  if (this->Ended)
    return;
  this->withdrawAsk();
  const bool Sent = this->Upstream != nullptr && this->Upstream->mayHaveLeft();
  if (this->Upstream != nullptr) {
    this->closeUpstream();
    // A router that stops says nothing of its servers.
    const bool Blamed = !this->HeadCame && Why != RefusalReason::Stopping;
    if (Sent && Blamed)
      this->noteServerInDoubt(CrashWatch::SendEnd::Silent);
    this->settleSend(Blamed ? ServerVerdict::Silent : ServerVerdict::Sound);
  }
  logEach(LogPart::Caller, [this, Sent, Why] {
    return "request=" + this->Info.RequestId +
           " given up: " + std::string(nameOf(RefusalReasonNames, Why)) +
           " server=" + (Sent ? this->ServerId : "-") +
           " answer-begun=" + (this->Progress.AnswerBegun ? "yes" : "no") +
           " after=" + secondsText(this->elapsed());
  });
  if (this->Progress.AnswerBegun) {
    this->carryOut(NextStep::CutOff);
    return;
  }
  if (Sent || this->mayHaveRun())
    this->answerOwn(HttpGatewayTimeout, "Gateway Timeout");
  else
    this->refuse(Why);
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
  this->Context.Open.erase(this);
  Counted.add();
  this->Context.Loop.cancel(this->DeadlineTimer);
  this->Context.Loop.cancel(this->WatchTimer);
  this->Context.Counters.Total.observe(this->elapsed());
  this->logEnd(Outcome);
}

void GatewayRequest::logEnd(const char *Outcome) const {
  logEach(LogPart::Caller, [this, Outcome] {
    return "request=" + this->Info.RequestId + " account=" + this->Account +
           " route=" + (this->Route == nullptr ? "-" : this->Route->Name) +
           " outcome=" + Outcome +
           " status=" + std::to_string(this->FinalStatus) +
           this->refusalText() + " servers=" + this->Path +
           (this->Allocator.empty()
                ? ""
                : " allocator=" + this->Allocator +
                      " allocated=" + secondsText(this->Allocating)) +
           " unread=" + std::to_string(this->Choice.UnreadTokens) +
           " backlog=" + std::to_string(this->Choice.Backlog) +
           (this->Choice.Source == 0 ? "" : " fetched=yes") + " first=" +
           (this->FirstPieceAfter ? secondsText(*this->FirstPieceAfter) : "-") +
           " total=" + secondsText(this->elapsed()) + " configuration=" +
           (this->Configuration == nullptr
                ? "-"
                : std::to_string(this->Configuration->Version));
  });
}

/// Why the request was refused, and what that rested on.
std::string GatewayRequest::refusalText() const {
  if (!this->Refused)
    return {};
  return " refused=" + std::string(nameOf(RefusalReasonNames, *this->Refused)) +
         " proof-age=" + secondsText(this->Context.proofAge()) +
         (this->RefusedAsk ? " ask=" + textOf(*this->RefusedAsk) : "");
}

} // namespace parsleywing
