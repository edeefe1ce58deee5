#include "Gateway/GatewayRequest.h"

#include "Runtime/Id.h"
#include "Runtime/Invariant.h"
#include "Runtime/Log.h"

namespace parsleywing {

namespace {

/// After this time without a byte, another server is asked to continue a
/// stream. Half of the shortest gap after which callers abandon a stream (2 s),
/// which leaves the other half to the other server.
constexpr Duration StreamSilenceTimeout = std::chrono::milliseconds(1000);

/// Min time that a server has to start its response before another server is
/// asked.
constexpr Duration MinFirstChunkTimeout = std::chrono::milliseconds(500);

} // namespace

Duration GatewayRequest::silenceLimit(const GatewayAttempt &Attempt) const {
  if (Attempt.HeadReceived)
    return StreamSilenceTimeout;
  return std::max(this->Route->LatencyObjective * 2, MinFirstChunkTimeout);
}

/// A later process does not know the request, even if it responds to others.
bool GatewayRequest::isRestarted(const GatewayAttempt &Attempt) const {
  return Attempt.Load.ServerStartedMs <
         this->Context.Servers.startOf(Attempt.Choice.Server);
}

/// A silent server may have paused, and is then the one that finishes the
/// response first, or the only one that does.
void GatewayRequest::startHedge(Duration Silence) {
  PARSLEYWING_INVARIANT(!this->Unresponsive,
                        "a request has one attempt at a silent server");
  this->Cause = TerminationReason::ServerUnresponsive;
  this->Context.Counters.Unresponsive.add();
  logLazily(LogPart::Caller, [this, Silence] {
    return "request=" + this->CallerFields.RequestId +
           " server=" + this->Current.ServerId +
           " unresponsive:" + this->silenceText(Silence) + this->chargeText() +
           this->brokenAttemptText(this->Current);
  });
  this->reportSuspectedCrash(this->Current, CrashDetector::AttemptEnd::Silent);
  this->Unresponsive = std::exchange(this->Current, {});
  this->startAttemptAfterCheck(*this->Unresponsive);
}

bool GatewayRequest::isCurrent(std::uint32_t Number) {
  if (this->Unresponsive && this->Unresponsive->Number == Number)
    this->recoverUnresponsive();
  return this->Current.Number == Number;
}

void GatewayRequest::recoverUnresponsive() {
  logLazily(LogPart::Caller, [this] {
    return "request=" + this->CallerFields.RequestId +
           " server=" + this->Unresponsive->ServerId +
           " responds again: silence=" +
           secondsText(this->Context.Loop.clock().now() -
                       this->Unresponsive->LastReceivedAt) +
           " other-server=" +
           (this->Current.isOpen() ? this->Current.ServerId : "-");
  });
  this->Context.Counters.UnresponsiveRecovered.add();
  this->Context.Crashes.onRecovered(this->identity(),
                                    this->Unresponsive->process());
  this->cancelHedge();
  this->keepWaiting();
}

void GatewayRequest::cancelHedge() {
  this->cancelAllocation();
  ++this->StartNumber;
  if (!this->Current.isOpen())
    return;
  if (this->Current.Upstream->mayHaveSent()) {
    ++this->Progress.Runs;
    this->Charge->onServerReached();
  } else {
    this->Charge->onNotSent();
  }
  this->closeUpstream();
  this->recordAttemptEnd(this->Current, ServerVerdict::Healthy);
}

void GatewayRequest::keepWaiting() {
  this->releaseCharge();
  this->Current = std::move(*this->Unresponsive);
  this->Unresponsive.reset();
  this->armProgressTimer(this->silenceLimit(this->Current));
}

void GatewayRequest::supersedeUnresponsive() {
  if (!this->Unresponsive)
    return;
  this->Context.Counters.UnresponsiveSuperseded.add();
  if (this->Progress.ResponseStarted)
    this->Context.Counters.Resumed.add();
  logLazily(LogPart::Caller, [this] {
    return "request=" + this->CallerFields.RequestId +
           " server=" + this->Unresponsive->ServerId +
           " superseded: by=" + this->Current.ServerId + " silence=" +
           secondsText(this->Context.Loop.clock().now() -
                       this->Unresponsive->LastReceivedAt);
  });
  this->closeUnresponsive(ServerVerdict::Silent);
}

void GatewayRequest::closeUnresponsive(ServerVerdict Verdict) {
  if (!this->Unresponsive)
    return;
  const GatewayAttempt Closed = std::move(*this->Unresponsive);
  this->Unresponsive.reset();
  ++this->Progress.Runs;
  Closed.Upstream->close();
  const bool RespondsToOthers = this->Context.Servers.receivedSince(
      Closed.Choice.Server, Closed.LastReceivedAt);
  if (Verdict == ServerVerdict::Silent && RespondsToOthers)
    Verdict = ServerVerdict::Healthy;
  this->recordAttemptEnd(Closed, Verdict);
}

/// Another server has already been asked, and the request depends on it from
/// now on.
void GatewayRequest::onUnresponsiveEnd(UpstreamEnd End) {
  this->Cause = End == UpstreamEnd::Malformed
                    ? TerminationReason::InvalidResponse
                    : TerminationReason::ServerDisconnected;
  this->Context.Counters.UnresponsiveLost.add();
  logLazily(LogPart::Caller, [this, End] {
    return "request=" + this->CallerFields.RequestId +
           " server=" + this->Unresponsive->ServerId +
           " lost: end=" + std::string(nameOf(UpstreamEndNames, End)) +
           this->brokenAttemptText(*this->Unresponsive);
  });
  if (End == UpstreamEnd::Broken)
    this->reportSuspectedCrash(*this->Unresponsive,
                               CrashDetector::AttemptEnd::Broken);
  this->closeUnresponsive(ServerVerdict::Failed);
}

void GatewayRequest::releaseCharge() {
  if (!this->Charge || !this->Charge->isUnused())
    return;
  this->Context.Counters.retriesOf(this->Service).Returned.add();
  this->Charge->release();
}

} // namespace parsleywing
