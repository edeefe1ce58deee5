#include "Gateway/GatewayRequest.h"

#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

#include <Poco/NumberFormatter.h>
#include <algorithm>

namespace parsleywing {

namespace {

/// Safety margin below the revocation bound, for clock drift and for the time
/// from the check until the request is sent.
constexpr Duration RevocationMargin = std::chrono::milliseconds(400);

/// Up to this age of the proof, as a fraction of the configuration bound, an
/// unknown route or key is denied. With an older proof the request is refused,
/// since the route or key may be new.
constexpr double MaxDenialProofFraction = 0.75;

/// Near this lag of the event loop a router no longer admits all requests: it
/// could not serve them within their latency objective. A fifth of 400 ms to
/// the first chunk.
constexpr Duration OverloadLag = std::chrono::milliseconds(80);

double relativeLag(Duration Lag) {
  return std::chrono::duration<double>(Lag) / OverloadLag;
}

} // namespace

GatewayRequest::GatewayRequest(GatewayContext &C,
                               std::shared_ptr<CallerSession> S,
                               IncomingRequest R)
    : Context(C), Session(std::move(S)), Incoming(std::move(R)) {}

void GatewayRequest::start() {
  this->Context.Counters.Requests.add();
  CallerListener Listener;
  Listener.Disconnected = [Self = this->shared_from_this()] {
    Self->onCallerDisconnected();
  };
  Listener.SendBufferDrained = [Self = this->shared_from_this()] {
    Self->resumeReading();
  };
  Listener.DrainEnding = [Self = this->shared_from_this()] {
    Self->giveUp(RefusalReason::Stopping);
  };
  this->Session->setListener(std::move(Listener));
  this->Context.ActiveRequests.insert(this);
  if (!this->admit())
    return;
  if (this->crashesServers()) {
    this->IsProbe = this->acquireProbe();
    if (!this->IsProbe) {
      this->refuse(RefusalReason::CrashesServers);
      return;
    }
  }
  this->DeadlineTimer = this->Context.Loop.after(
      std::max(this->timeLeft(), Duration::zero()),
      [Self = this->shared_from_this()] { Self->onDeadline(); });
  if (this->isResumption()) {
    this->findOrigin();
    return;
  }
  this->chooseService();
  this->begin();
}

void GatewayRequest::begin() {
  this->ServiceHash = hashName(this->Service);
  const auto Listed = this->Configuration->Services.find(this->Service);
  this->IsEngine = Listed != this->Configuration->Services.end() &&
                   Listed->second.KvCapacityTokens > 0;
  this->SharesSlots =
      !this->IsEngine && this->Context.Agent.sharesSlots(this->ServiceHash);
  RetryAllowance &Allowance = this->Context.retryAllowance(this->Service);
  Allowance.recordRequest(this->Context.BootClock.now());
  this->Charge.emplace(Allowance, this->Context.SlackShare,
                       this->Context.BootClock);
  this->startAttempt();
}

/// If this router lacks the processor time to serve all requests, each account
/// is due its share of what is served.
bool GatewayRequest::isAdmitted() const {
  const TimePoint Now = this->Context.Loop.clock().now();
  const std::uint64_t Asking = hashName(this->accountText());
  AdmissionShare &Shares = this->Context.Admissions;
  Shares.recordAsked(Asking, Now);
  const bool IsAdmitted =
      Shares.mayAdmit(Asking, relativeLag(this->Context.Loop.lag()), Now);
  if (IsAdmitted)
    Shares.recordAdmitted(Asking, Now);
  return IsAdmitted;
}

bool GatewayRequest::admit() {
  auto Fields = this->Context.Format.ParseCallerRequest(this->Incoming.Head);
  if (!Fields) {
    this->sendLocalReply(HttpBadRequest, "Bad Request");
    return false;
  }
  this->CallerFields = std::move(*Fields);
  this->Configuration = this->Context.View->Configuration;
  if (this->Configuration == nullptr) {
    this->refuse(RefusalReason::NoConfiguration);
    return false;
  }
  const std::string_view Target = this->Incoming.Head.Target;
  const std::string_view TargetPath = Target.substr(0, Target.find('?'));
  this->Route =
      this->Configuration->findRoute(this->CallerFields.Host, TargetPath);
  this->Context.Accounts.recordAsked(this->accountText(), this->tokens());
  // Serving a request costs some 0.2 ms of CPU time, a refusal a tenth of it.
  // Refusing part of a flood leaves time to serve the rest in time; serving all
  // of it would make all requests late.
  if (!this->isAdmitted()) {
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
  if (this->Incoming.BodyRefused) {
    this->refuse(RefusalReason::BuffersFull);
    return false;
  }
  const Duration MaxProofAge = std::chrono::duration_cast<Duration>(
      this->Context.Settings.ConfigurationBound * MaxDenialProofFraction);
  if (this->Route == nullptr) {
    // An outdated configuration may lack a route that exists by now.
    if (this->Context.proofAge() > MaxProofAge)
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
  // A router that may have missed a revocation must not accept any key.
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
  const Duration MaxProofAge = std::chrono::duration_cast<Duration>(
      this->Context.Settings.ConfigurationBound * MaxDenialProofFraction);
  if (this->Context.proofAge() > MaxProofAge)
    this->refuse(RefusalReason::KeyMayBeNew);
  else
    this->sendLocalReply(HttpUnauthorized, "Unauthorized");
  return false;
}

/// Weighted choice between the targets of a route by the hash of the request
/// ID, which needs no state.
void GatewayRequest::chooseService() {
  std::uint64_t TotalWeight = 0;
  for (const RouteTarget &Target : this->Route->Targets)
    TotalWeight += Target.Weight;
  std::uint64_t Point =
      TotalWeight == 0 ? 0
                       : hashName(this->CallerFields.RequestId) % TotalWeight;
  for (const RouteTarget &Target : this->Route->Targets) {
    if (Point < Target.Weight) {
      this->Service = Target.Service;
      return;
    }
    Point -= Target.Weight;
  }
}

Duration GatewayRequest::elapsed() const {
  return this->Context.Loop.clock().now() - this->Incoming.ReceivedAt;
}

Duration GatewayRequest::timeLeft() const {
  return this->Deadline - this->Context.Loop.clock().now();
}

/// Estimated from the caller's timeout: a caller that retries after a refusal
/// sends what is left of its first timeout.
Duration GatewayRequest::elapsedBeforeArrival() const {
  if (!this->CallerFields.Timeout)
    return Duration::zero();
  Duration &MaxTimeout = this->Context.MaxTimeoutByRoute[this->Route->Name];
  MaxTimeout = std::max(MaxTimeout, *this->CallerFields.Timeout);
  return MaxTimeout - *this->CallerFields.Timeout;
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
  const CrashRegistry &Registry = this->Context.Crashes.registry();
  if (Registry.size() == 0)
    return false;
  if (!this->ShortHash)
    this->ShortHash = shortHashOf(this->content());
  return Registry.mayContain(*this->ShortHash);
}

bool GatewayRequest::crashesServers() {
  if (this->IsProbe)
    return false;
  this->RefusedParts =
      this->Context.PartCrashes.refusedParts(this->CallerFields.PromptParts);
  return !this->RefusedParts.empty() ||
         (this->mayBeSuspect() &&
          this->Context.Crashes.checkRefused(this->identity()));
}

bool GatewayRequest::acquireProbe() {
  return this->RefusedParts.empty()
             ? this->Context.Crashes.acquireProbe(this->identity())
             : this->Context.PartCrashes.acquireProbe(this->RefusedParts);
}

/// Closes the server connection, to stop the request before it crashes this
/// server as well. A part crashes servers as they begin to answer, so that an
/// answer that was begun shows whether the refusal is right.
void GatewayRequest::endIfRefused() {
  if (this->Ended || this->Route == nullptr || !this->crashesServers())
    return;
  if (!this->RefusedParts.empty() && this->Current.isOpen() &&
      this->Current.BegunAt)
    return;
  this->cancelAllocation();
  this->Cause = TerminationReason::CrashesServers;
  if (this->Current.Upstream != nullptr) {
    if (this->Current.Upstream->mayHaveSent())
      ++this->Progress.Runs;
    this->closeUpstream();
    this->recordAttemptEnd(this->Current, ServerVerdict::Healthy);
  }
  this->closeUnresponsive(ServerVerdict::Silent);
  this->endUnserved(RefusalReason::CrashesServers);
}

void GatewayRequest::onDeadline() {
  this->DeadlineTimer = 0;
  this->giveUp(RefusalReason::DeadlineExceeded);
}

void GatewayRequest::giveUp(RefusalReason Reason) {
  if (this->Ended)
    return;
  this->cancelAllocation();
  this->Cause = Reason == RefusalReason::Stopping ? TerminationReason::Draining
                                                  : TerminationReason::Deadline;
  const bool Sent = this->Current.Upstream != nullptr &&
                    this->Current.Upstream->mayHaveSent();
  if (this->Current.Upstream != nullptr) {
    this->closeUpstream();
    // A shutdown of the router must not count against the server.
    const bool ServerFailed =
        !this->Current.HeadReceived && Reason != RefusalReason::Stopping;
    if (Sent && ServerFailed)
      this->reportSuspectedCrash(this->Current,
                                 CrashDetector::AttemptEnd::Silent);
    this->recordAttemptEnd(this->Current, ServerFailed
                                              ? ServerVerdict::Silent
                                              : ServerVerdict::Healthy);
  }
  this->closeUnresponsive(ServerVerdict::Silent);
  logLazily(LogPart::Caller, [this, Sent, Reason] {
    return "request=" + this->CallerFields.RequestId +
           " given up: " + std::string(nameOf(RefusalReasonNames, Reason)) +
           " server=" + (Sent ? this->Current.ServerId : "-") +
           " answer-begun=" + (this->Progress.ResponseStarted ? "yes" : "no") +
           " after=" + secondsText(this->elapsed());
  });
  if (this->Progress.ResponseStarted) {
    this->executeStep(NextStep::Truncate);
    return;
  }
  if (Sent || this->mayHaveRun())
    this->failUncertain(HttpGatewayTimeout, "Gateway Timeout");
  else
    this->refuse(Reason);
}

void GatewayRequest::onCallerDisconnected() {
  if (this->Ended)
    return;
  this->cancelAllocation();
  if (this->Current.Upstream != nullptr) {
    // Closing the connection makes the server stop processing the request.
    this->closeUpstream();
    this->recordAttemptEnd(this->Current, ServerVerdict::Healthy);
  }
  this->closeUnresponsive(ServerVerdict::Silent);
  this->Cause = TerminationReason::CallerLeft;
  this->terminate("caller-left", this->Context.Counters.CallersDisconnected);
}

std::size_t GatewayRequest::buffered() const {
  std::size_t Bytes = this->Session->buffered() + this->Current.bufferedBytes();
  if (this->Current.Upstream != nullptr)
    Bytes += this->Current.Upstream->buffered();
  if (this->Unresponsive) {
    Bytes += this->Unresponsive->bufferedBytes();
    if (this->Unresponsive->Upstream != nullptr)
      Bytes += this->Unresponsive->Upstream->buffered();
  }
  return Bytes;
}

void GatewayRequest::endForBuffers() {
  if (!this->Ended)
    this->endForCaller(TerminationReason::BuffersFull);
}

void GatewayRequest::endForCaller(TerminationReason Reason) {
  this->cancelAllocation();
  const bool Sent = this->Current.Upstream != nullptr &&
                    this->Current.Upstream->mayHaveSent();
  if (this->Current.Upstream != nullptr) {
    this->closeUpstream();
    this->recordAttemptEnd(this->Current, ServerVerdict::Healthy);
  }
  this->closeUnresponsive(ServerVerdict::Healthy);
  this->Current.ReadingPaused = false;
  this->Cause = Reason;
  // An answer would only add to unsent bytes of earlier responses.
  if (this->Progress.ResponseStarted || this->Session->unsent() > 0)
    this->executeStep(NextStep::Truncate);
  else if (Sent || this->mayHaveRun())
    this->executeStep(NextStep::FailUncertain);
  else
    this->refuse(RefusalReason::BuffersFull);
}

void GatewayRequest::cancelAllocation() {
  if (this->PendingAllocation)
    this->Context.Agent.cancel(*this->PendingAllocation);
  this->PendingAllocation.reset();
}

void GatewayRequest::terminate(const char *Outcome, Counter &OutcomeCounter) {
  if (this->Ended)
    return;
  // Servers can send responses that contradict themselves.
  if (!this->Cause)
    this->Cause = TerminationReason::InvalidResponse;
  this->Terminated = true;
  this->Context.Counters.terminatedBy(*this->Cause).add();
  this->finish(Outcome, OutcomeCounter);
}

void GatewayRequest::finish(const char *Outcome, Counter &OutcomeCounter) {
  if (this->Ended)
    return;
  this->Ended = true;
  this->Context.ActiveRequests.erase(this);
  if (this->PendingLookup)
    this->Context.Streams.cancel(*this->PendingLookup);
  this->endProofWait();
  PARSLEYWING_INVARIANT(!this->Unresponsive,
                        "a request that has ended has no open attempt");
  OutcomeCounter.add();
  this->releaseCharge();
  this->Charge.reset();
  this->Context.Loop.cancel(this->DeadlineTimer);
  this->Context.Loop.cancel(this->ProgressTimer);
  this->Context.Counters.RequestDuration.observe(this->elapsed());
  this->logEnd(Outcome);
}

void GatewayRequest::logEnd(const char *Outcome) const {
  logLazily(LogPart::Caller, [this, Outcome] {
    return "request=" + this->CallerFields.RequestId +
           " account=" + this->accountText() +
           " route=" + (this->Route == nullptr ? "-" : this->Route->Name) +
           " outcome=" + Outcome +
           " status=" + std::to_string(this->FinalStatus) +
           this->refusalText() + this->terminationText() +
           " servers=" + this->TriedServerIds + this->streamText() +
           (this->AllocatorName.empty()
                ? ""
                : " group=" + Poco::NumberFormatter::formatHex(this->Group) +
                      " allocator=" + this->AllocatorName +
                      " allocated=" + secondsText(this->AllocationTime)) +
           " unread=" + std::to_string(this->Current.Choice.PrefillTokens) +
           " backlog=" + std::to_string(this->Current.Choice.BacklogTokens) +
           (this->Current.Choice.FetchSource == 0 ? "" : " fetched=yes") +
           this->signalText() + " first=" +
           (this->TimeToFirstChunk ? secondsText(*this->TimeToFirstChunk)
                                   : "-") +
           " total=" + secondsText(this->elapsed()) + " configuration=" +
           (this->Configuration == nullptr
                ? "-"
                : std::to_string(this->Configuration->Version));
  });
}

/// The tokens of the request as they count for its account's share.
std::uint64_t GatewayRequest::tokens() const {
  return this->CallerFields.PromptTokens +
         static_cast<std::uint64_t>(OutputWeight) *
             this->CallerFields.MaxOutputTokens;
}

/// The account for the log. A request that is refused before it is authorized
/// has not looked it up.
std::string GatewayRequest::accountText() const {
  if (!this->Account.empty() || this->Configuration == nullptr)
    return this->Account;
  const auto Found =
      this->Configuration->AccountOfKey.find(this->CallerFields.AccountKey);
  return Found == this->Configuration->AccountOfKey.end() ? std::string()
                                                          : Found->second;
}

std::string GatewayRequest::terminationText() const {
  if (!this->Terminated)
    return {};
  return " cause=" + std::string(nameOf(TerminationReasonNames, *this->Cause)) +
         (this->NoRetryReason
              ? " not-continued=" + std::string(nameOf(RefusalReasonNames,
                                                       *this->NoRetryReason))
              : "");
}

/// The reason of a refusal, and the facts behind it.
std::string GatewayRequest::refusalText() const {
  if (!this->Refusal)
    return {};
  return " refused=" + std::string(nameOf(RefusalReasonNames, *this->Refusal)) +
         (*this->Refusal != RefusalReason::CrashesServers ||
                  this->RefusedParts.empty()
              ? ""
              : " parts=" + combinationText(this->RefusedParts)) +
         " proof-age=" + secondsText(this->Context.proofAge()) +
         (this->RefusedAllocation ? " ask=" + textOf(*this->RefusedAllocation)
                                  : "");
}

} // namespace parsleywing
