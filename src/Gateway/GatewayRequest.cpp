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
  CallerListener Wanted;
  Wanted.Disconnected = [Self = this->shared_from_this()] {
    Self->onCallerDisconnected();
  };
  Wanted.SendBufferDrained = [Self = this->shared_from_this()] {
    if (Self->UpstreamPaused && Self->Upstream != nullptr) {
      Self->UpstreamPaused = false;
      Self->Upstream->resumeReading();
    }
  };
  Wanted.Stopping = [Self = this->shared_from_this()] {
    Self->giveUp(RefusalReason::Stopping);
  };
  this->Session->setListener(std::move(Wanted));
  this->Context.ActiveRequests.insert(this);
  if (!this->admit())
    return;
  if (this->crashesServers()) {
    this->IsProbe = this->Context.Crashes.acquireProbe(this->identity());
    if (!this->IsProbe) {
      this->refuse(RefusalReason::CrashesServers);
      return;
    }
  }
  this->chooseService();
  this->ServiceHash = hashName(this->Service);
  this->Context.retryAllowance(this->Service)
      .recordRequest(this->Context.Loop.clock().now());
  this->DeadlineTimer = this->Context.Loop.after(
      std::max(this->timeLeft(), Duration::zero()),
      [Self = this->shared_from_this()] { Self->onDeadline(); });
  this->startAttempt();
}

bool GatewayRequest::admit() {
  auto Read = this->Context.Format.ParseCallerRequest(this->Incoming.Head);
  if (!Read) {
    this->sendLocalReply(HttpBadRequest, "Bad Request");
    return false;
  }
  this->CallerFields = std::move(*Read);
  this->Configuration = this->Context.View->Configuration;
  if (this->Configuration == nullptr) {
    this->refuse(RefusalReason::NoConfiguration);
    return false;
  }
  // An answer costs some 0.2 ms and a refusal a tenth: refusing part of a flood
  // leaves time for the rest, where serving all would make all late.
  if (this->Context.Loop.lag() > OverloadLag) {
    this->refuse(RefusalReason::RouterOverloaded);
    return false;
  }
  if (this->Context.CallerLimitExceeded) {
    this->refuse(RefusalReason::TooManyCallers);
    return false;
  }
  if (this->Context.RefusingNewRequests) {
    this->refuse(RefusalReason::Stopping);
    return false;
  }
  const std::string_view Target = this->Incoming.Head.Target;
  const std::string_view TargetPath = Target.substr(0, Target.find('?'));
  this->Route =
      this->Configuration->findRoute(this->CallerFields.Host, TargetPath);
  const Duration Certain = std::chrono::duration_cast<Duration>(
      this->Context.Settings.ConfigurationBound * ConfigurationPart);
  if (this->Route == nullptr) {
    // An old configuration may lack a route that exists by now.
    if (this->Context.proofAge() > Certain)
      this->refuse(RefusalReason::RouteMayBeNew);
    else
      this->sendLocalReply(HttpNotFound, "Not Found");
    return false;
  }
  this->Progress.Repeatable = this->Route->repeatable();
  this->Progress.MaxRuns = this->Route->MaxRuns;
  this->Deadline =
      this->Incoming.ReceivedAt +
      std::min(this->CallerFields.Timeout.value_or(this->Route->Timeout),
               this->Route->Timeout);
  return this->authorize();
}

bool GatewayRequest::authorize() {
  if (this->Route->Public || !this->Configuration->HasAccounts)
    return true;
  // A key that was taken away must not work at a router that cannot hear of it.
  if (this->Context.proofAge() >
      this->Context.Settings.RevocationBound - RevocationMargin) {
    this->Session->closeWhenIdle();
    this->refuse(RefusalReason::KeysMayBeRevoked);
    return false;
  }
  const auto Found =
      this->Configuration->AccountOfKey.find(this->CallerFields.AccountKey);
  if (Found != this->Configuration->AccountOfKey.end()) {
    this->Account = Found->second;
    return true;
  }
  const Duration Certain = std::chrono::duration_cast<Duration>(
      this->Context.Settings.ConfigurationBound * ConfigurationPart);
  if (this->Context.proofAge() > Certain)
    this->refuse(RefusalReason::KeyMayBeNew);
  else
    this->sendLocalReply(HttpUnauthorized, "Unauthorized");
  return false;
}

/// A request's share of a split route follows from its identity, so that no
/// state is needed.
void GatewayRequest::chooseService() {
  std::uint64_t Whole = 0;
  for (const RouteTarget &Target : this->Route->Targets)
    Whole += Target.Weight;
  std::uint64_t Place =
      Whole == 0 ? 0 : hashName(this->CallerFields.RequestId) % Whole;
  for (const RouteTarget &Target : this->Route->Targets) {
    if (Place < Target.Weight) {
      this->Service = Target.Service;
      return;
    }
    Place -= Target.Weight;
  }
}

Duration GatewayRequest::elapsed() const {
  return this->Context.Loop.clock().now() - this->Incoming.ReceivedAt;
}

Duration GatewayRequest::timeLeft() const {
  return this->Deadline - this->Context.Loop.clock().now();
}

bool GatewayRequest::usesAllocator() const {
  const auto Found = this->Configuration->Services.find(this->Service);
  return Found != this->Configuration->Services.end() &&
         Found->second.KvCapacityTokens > 0;
}

/// What of the caller's time had passed before it sent this attempt: one that
/// was refused comes back with less than it began with.
Duration GatewayRequest::elapsedBeforeArrival() const {
  if (!this->CallerFields.Timeout)
    return Duration::zero();
  Duration &Longest = this->Context.MaxTimeoutByRoute[this->Route->Name];
  Longest = std::max(Longest, *this->CallerFields.Timeout);
  return Longest - *this->CallerFields.Timeout;
}

RequestContent GatewayRequest::content() const {
  return {this->Account, this->CallerFields.Host, this->Incoming.Head.Method,
          this->Incoming.Head.Target, this->Incoming.Body};
}

const RequestIdentity &GatewayRequest::identity() {
  if (!this->Identity)
    this->Identity = identityOf(this->content());
  return *this->Identity;
}

bool GatewayRequest::mayBeSuspect() {
  const CrashRegistry &Book = this->Context.Crashes.registry();
  if (Book.size() == 0)
    return false;
  if (!this->Sketch)
    this->Sketch = shortHashOf(this->content());
  return Book.mayContain(*this->Sketch);
}

bool GatewayRequest::crashesServers() {
  return !this->IsProbe && this->mayBeSuspect() &&
         this->Context.Crashes.checkRefused(this->identity());
}

/// Its server is freed of it before it crashes too, where it can be.
void GatewayRequest::endIfRefused() {
  if (this->Ended || this->Route == nullptr || !this->crashesServers())
    return;
  this->cancelAllocation();
  if (this->Upstream != nullptr) {
    if (this->Upstream->mayHaveSent())
      ++this->Progress.Runs;
    this->closeUpstream();
    this->recordAttemptEnd(ServerVerdict::Healthy);
  }
  this->endUnserved(RefusalReason::CrashesServers);
}

void GatewayRequest::onDeadline() {
  this->DeadlineTimer = 0;
  this->giveUp(RefusalReason::DeadlineExceeded);
}

void GatewayRequest::giveUp(RefusalReason Why) {
  if (this->Ended)
    return;
  this->cancelAllocation();
  const bool Sent = this->Upstream != nullptr && this->Upstream->mayHaveSent();
  if (this->Upstream != nullptr) {
    this->closeUpstream();
    // A router that stops says nothing of its servers.
    const bool Blamed = !this->HeadReceived && Why != RefusalReason::Stopping;
    if (Sent && Blamed)
      this->reportSuspectedCrash(CrashDetector::AttemptEnd::Silent);
    this->recordAttemptEnd(Blamed ? ServerVerdict::Silent
                                  : ServerVerdict::Healthy);
  }
  logLazily(LogPart::Caller, [this, Sent, Why] {
    return "request=" + this->CallerFields.RequestId +
           " given up: " + std::string(nameOf(RefusalReasonNames, Why)) +
           " server=" + (Sent ? this->ServerId : "-") +
           " answer-begun=" + (this->Progress.ResponseStarted ? "yes" : "no") +
           " after=" + secondsText(this->elapsed());
  });
  if (this->Progress.ResponseStarted) {
    this->executeStep(NextStep::Truncate);
    return;
  }
  if (Sent || this->mayHaveRun())
    this->sendLocalReply(HttpGatewayTimeout, "Gateway Timeout");
  else
    this->refuse(Why);
}

void GatewayRequest::onCallerDisconnected() {
  if (this->Ended)
    return;
  this->cancelAllocation();
  if (this->Upstream != nullptr) {
    // Closing the connection stops the server's work.
    this->closeUpstream();
    this->recordAttemptEnd(ServerVerdict::Healthy);
  }
  this->finish("caller-left", this->Context.Counters.CallersDisconnected);
}

void GatewayRequest::cancelAllocation() {
  if (this->PendingAllocation)
    this->Context.Agent.cancel(*this->PendingAllocation);
  this->PendingAllocation.reset();
}

void GatewayRequest::finish(const char *Outcome, Counter &Counted) {
  if (this->Ended)
    return;
  this->Ended = true;
  this->Context.ActiveRequests.erase(this);
  Counted.add();
  this->Context.Loop.cancel(this->DeadlineTimer);
  this->Context.Loop.cancel(this->ProgressTimer);
  this->Context.Counters.RequestDuration.observe(this->elapsed());
  this->logEnd(Outcome);
}

void GatewayRequest::logEnd(const char *Outcome) const {
  logLazily(LogPart::Caller, [this, Outcome] {
    return "request=" + this->CallerFields.RequestId +
           " account=" + this->Account +
           " route=" + (this->Route == nullptr ? "-" : this->Route->Name) +
           " outcome=" + Outcome +
           " status=" + std::to_string(this->FinalStatus) +
           this->refusalText() + " servers=" + this->ServerPath +
           (this->AllocatorName.empty()
                ? ""
                : " allocator=" + this->AllocatorName +
                      " allocated=" + secondsText(this->AllocationTime)) +
           " unread=" + std::to_string(this->Choice.PrefillTokens) +
           " backlog=" + std::to_string(this->Choice.BacklogTokens) +
           (this->Choice.FetchSource == 0 ? "" : " fetched=yes") + " first=" +
           (this->TimeToFirstChunk ? secondsText(*this->TimeToFirstChunk)
                                   : "-") +
           " total=" + secondsText(this->elapsed()) + " configuration=" +
           (this->Configuration == nullptr
                ? "-"
                : std::to_string(this->Configuration->Version));
  });
}

/// Why the request was refused, and what that rested on.
std::string GatewayRequest::refusalText() const {
  if (!this->Refusal)
    return {};
  return " refused=" + std::string(nameOf(RefusalReasonNames, *this->Refusal)) +
         " proof-age=" + secondsText(this->Context.proofAge()) +
         (this->RefusedAllocation ? " ask=" + textOf(*this->RefusedAllocation)
                                  : "");
}

} // namespace parsleywing
