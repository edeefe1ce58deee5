#include "Gateway/GatewayRequest.h"

#include "Runtime/Id.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// How much longer than the caller's timeout a stream is remembered. Covers the
/// time that requests take to reach a router.
constexpr Duration LifetimeMargin = std::chrono::seconds(2);

/// A caller's timeout counts up to this multiple of the route's, so that no
/// account can fill the records of all routers for long.
constexpr int MaxTimeoutFactor = 2;

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
    // Callers of before `Resumes` name no attempt, so nothing can be looked up.
    if (const auto Only = this->onlySoftwareOfRoute())
      this->beginWith(*Only);
    else
      this->refuse(RefusalReason::StreamUnknown);
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
               this->Route->Timeout * MaxTimeoutFactor);
  this->Context.Streams.bind(
      streamKeyOf(this->Account, BegunBy), this->Current.ServerSoftware,
      std::max(Timeout - this->elapsed(), Duration::zero()) + LifetimeMargin);
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
