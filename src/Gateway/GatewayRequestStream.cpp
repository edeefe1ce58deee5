#include "Gateway/GatewayRequest.h"

#include "Placement/StreamLifetime.h"
#include "Runtime/Id.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// How long a request waits for a proof of the lists that is newer than its
/// arrival. Proofs are at most 1.2 s apart while the store is reachable.
constexpr Duration MaxProofWait = std::chrono::milliseconds(1200);

/// The length up to which an id that a caller states is logged.
constexpr std::size_t MaxLoggedId = 64;

} // namespace

bool GatewayRequest::isResumption() const {
  return this->Route->Kind == RequestKind::Stream &&
         this->CallerFields.IsResumption;
}

void GatewayRequest::findOrigin() {
  this->Context.Counters.Resumptions.add();
  if (this->CallerFields.StreamBegunBy.empty()) {
    this->continueUnnamed();
    return;
  }
  const CorrelationId Id = this->Context.Streams.find(
      streamKeyOf(this->Account, this->CallerFields.StreamBegunBy),
      [Self = this->shared_from_this()](const StreamOrigin &Found) {
        Self->onOriginFound(Found);
      });
  if (!this->Origin && !this->Ended)
    this->PendingLookup = Id;
}

void GatewayRequest::onOriginFound(const StreamOrigin &Found) {
  this->PendingLookup.reset();
  this->Origin = Found;
  if (this->Ended)
    return;
  if (Found.Result == StreamLookupResult::Known)
    this->beginWith(Found.Software);
  else
    this->refuse(Found.AllAnswered ? RefusalReason::StreamUnknown
                                   : RefusalReason::StreamNotFound);
}

void GatewayRequest::beginWith(SoftwareId Origin) {
  const auto Target =
      std::ranges::find_if(this->Route->Targets, [&](const RouteTarget &Each) {
        return Each.Weight > 0 && this->Context.Servers.anyOfSoftware(
                                      hashName(Each.Service), Origin);
      });
  if (Target == this->Route->Targets.end()) {
    this->refuse(RefusalReason::VersionGone);
    return;
  }
  this->Software = Origin;
  this->Service = Target->Service;
  this->begin();
}

/// Callers of before `Resumes` name no attempt, so that nothing can be looked
/// up. The stream goes on only if one software alone can have begun it.
void GatewayRequest::continueUnnamed() {
  if (this->Ended)
    return;
  const TimePoint Now = this->Context.BootClock.now();
  if (!this->UnnamedSince)
    this->UnnamedSince = Now;
  this->ProofWait = Now - *this->UnnamedSince;
  const VersionHistory::Answer Known =
      this->Context.Versions.evidenceFor(*this->Route, *this->UnnamedSince);
  this->Evidence = Known.Evidence;
  switch (Known.Evidence) {
  case VersionEvidence::Several:
    this->refuse(RefusalReason::StreamUnknown);
    return;
  case VersionEvidence::TooShort:
    this->refuse(RefusalReason::StreamNotFound);
    return;
  case VersionEvidence::One:
    break;
  }
  // The stream may have begun at a server or by a route that this router does
  // not know yet.
  const FleetView &View = *this->Context.View;
  if (std::min(View.ListsProvenAt, View.ProvenAt) < *this->UnnamedSince) {
    this->awaitProof();
    return;
  }
  this->endProofWait();
  // A server that has restarted has another software until the list shows it.
  if (this->onlySoftwareOfRoute() == Known.Software)
    this->beginWith(Known.Software);
  else
    this->refuse(RefusalReason::StreamNotFound);
}

void GatewayRequest::awaitProof() {
  if (!this->Context.AwaitingProof.insert(this).second)
    return;
  this->ProofTimer =
      this->Context.Loop.after(MaxProofWait, [Self = this->shared_from_this()] {
        Self->ProofWait = MaxProofWait;
        Self->refuse(RefusalReason::StreamNotFound);
      });
}

void GatewayRequest::endProofWait() {
  this->Context.AwaitingProof.erase(this);
  this->Context.Loop.cancel(std::exchange(this->ProofTimer, 0));
}

std::optional<SoftwareId> GatewayRequest::onlySoftwareOfRoute() const {
  std::set<SoftwareId> Listed;
  for (const RouteTarget &Each : this->Route->Targets)
    if (Each.Weight > 0)
      Listed.merge(
          this->Context.Servers.softwareOfGroup(hashName(Each.Service)));
  if (Listed.size() != 1)
    return std::nullopt;
  return *Listed.begin();
}

void GatewayRequest::bindStream() {
  if (this->StreamBound || !this->Route->repeatable())
    return;
  this->StreamBound = true;
  this->Software = this->Current.ServerSoftware;
  const bool Resumes = this->isResumption();
  if (Resumes)
    this->Context.Counters.ResumptionsContinued.add();
  const std::string &BegunBy =
      Resumes && !this->CallerFields.StreamBegunBy.empty()
          ? this->CallerFields.StreamBegunBy
          : this->CallerFields.RequestId;
  const Duration Timeout =
      std::min(this->CallerFields.Timeout.value_or(this->Route->Timeout),
               maxStreamTimeout(*this->Route));
  this->Context.Streams.bind(
      streamKeyOf(this->Account, BegunBy), this->Current.ServerSoftware,
      std::max(Timeout - this->elapsed(), Duration::zero()) +
          StreamLifetimeMargin);
}

bool GatewayRequest::isVersionGone() const {
  return this->Software &&
         !this->Context.Servers.anyOfSoftware(
             this->ServiceHash, *this->Software, this->TriedServers);
}

/// Log fields of a stream: its version, and of a stream that is taken up, what
/// the caller states and how its software was found.
std::string GatewayRequest::streamText() const {
  std::string Text;
  if (this->Software)
    Text += " version=" + this->Current.ServerVersion;
  if (!this->CallerFields.IsResumption)
    return Text;
  Text += " resumes=" +
          (this->CallerFields.StreamBegunBy.empty()
               ? "-"
               : this->CallerFields.StreamBegunBy.substr(0, MaxLoggedId)) +
          " last-event=" +
          (this->CallerFields.LastEventId
               ? std::to_string(*this->CallerFields.LastEventId)
               : "-");
  if (this->Evidence)
    Text += " versions=" +
            std::string(nameOf(VersionEvidenceNames, *this->Evidence)) +
            " proof-wait=" + secondsText(this->ProofWait);
  if (!this->Origin)
    return Text;
  Text += " origin=" +
          std::string(nameOf(StreamLookupResultNames, this->Origin->Result)) +
          " origin-by=" + (this->Origin->IsOwn ? "own-record" : "routers");
  Text += this->Origin->IsOwn
              ? " origin-age=" + secondsText(this->Origin->Age)
              : " origin-wait=" + secondsText(this->Origin->WaitTime);
  return Text;
}

} // namespace parsleywing
