#include "Gateway/OverloadAgent.h"

#include "Runtime/Overloaded.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace parsleywing {

namespace {

/// The most queries of a router, 24 a second, cost some 2.6 KB/s with their
/// replies, of the 4 KB/s that control traffic may take.
constexpr Duration QueryInterval = std::chrono::milliseconds(250);
constexpr std::size_t QueriesAtOnce = 6;
/// While no router has spare time, all query each other at the same time.
constexpr Duration FullFleetQueryInterval = std::chrono::seconds(1);

constexpr Duration SampleInterval = std::chrono::milliseconds(250);
constexpr std::size_t MaxSamples = 5;

/// A router whose loop lags more than this has no spare time. As the lag up to
/// which it reports ready to the load balancer again.
constexpr Duration MaxSpareLag = std::chrono::milliseconds(10);

std::uint32_t milliseconds(Duration Time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

OverloadAgent::OverloadAgent(EventLoop &L, RouterMessenger &R, std::uint64_t P,
                             RedirectSettings S, double C,
                             std::size_t MaxRelays, Metrics &M)
    : Loop(L), Routers(R), RouterProcess(P), Settings(S), Cores(C), Peers(P),
      Relays(P, MaxRelays),
      Redirects(M.counter(
          {"redirects_total",
           "Requests that were refused at once so that the caller's retry "
           "reaches another router.",
           ""})),
      Queries(M.counter({"headroom_queries_total",
                         "Queries for the spare processor time of other "
                         "routers.",
                         ""})),
      Reports(M.counter({"headroom_reports_total",
                         "Replies to such queries that were received.", ""})) {
  M.callback(
      MetricKind::Gauge,
      {"spare_cores",
       "Processor time that this router reports to have left, in seconds "
       "per second.",
       ""},
      [this] { return this->spareCores(); });
  M.callback(
      MetricKind::Gauge,
      {"known_spare_cores",
       "The same of the routers that have reported within a second, less "
       "what was redirected since.",
       ""},
      [this] { return this->knownSpareCores(); });
}

void OverloadAgent::start(std::function<bool()> Serving, std::string Address) {
  this->IsServing = std::move(Serving);
  this->CallerAddress = std::move(Address);
  this->tick();
}

/// Routers of earlier releases cannot read the query.
void OverloadAgent::setRouters(const RouterList &Listed) {
  std::vector<double> AllCores;
  std::vector<HeadroomPeer> NewPeers;
  for (const auto &[Name, Endpoint] : Listed) {
    AllCores.push_back(Endpoint.Cores);
    if (Name != this->Routers.self() &&
        Endpoint.Format >= MessageFormat::WithHeadroom)
      NewPeers.push_back(
          {Name, Endpoint.Cores, Endpoint.Zone == this->Routers.zone()});
  }
  this->Active = this->Settings.appliesTo(AllCores);
  this->RelayActive = this->Settings.relaysApplyTo(AllCores);
  this->Peers.setPeers(std::move(NewPeers));
}

void OverloadAgent::tick() {
  this->Samples.push_back(
      {this->Loop.clock().now(), this->Loop.waited(), std::clock()});
  if (this->Samples.size() > MaxSamples)
    this->Samples.pop_front();
  this->checkLag();
  this->Loop.after(SampleInterval, [this] { this->tick(); });
}

void OverloadAgent::checkLag() {
  if ((this->Active || this->RelayActive) &&
      this->Loop.lag() > RedirectPolicy::QueryLag)
    this->query();
}

bool OverloadAgent::canRedirect(Cause Reason) {
  if (!this->Active)
    return false;
  if (Reason != Cause::Lag)
    this->query();
  const TimePoint Now = this->Loop.clock().now();
  return this->Table.hasRoom(Now) ||
         (Reason == Cause::OldKnowledge && this->Table.isCutOff(Now));
}

void OverloadAgent::recordRedirect() {
  this->Redirects.add();
  ++this->RedirectTotal;
  this->Table.recordRedirect();
}

void OverloadAgent::query() {
  const TimePoint Now = this->Loop.clock().now();
  const Duration Interval =
      this->Table.isFleetFull(Now) ? FullFleetQueryInterval : QueryInterval;
  if (this->QueriedAt && Now - *this->QueriedAt < Interval)
    return;
  this->QueriedAt = Now;
  for (const HeadroomPeer &Each : this->Peers.choose(QueriesAtOnce)) {
    const CorrelationId Id{this->RouterProcess, ++this->LastNumber};
    this->Table.recordQuery(Each.Name, Id.Number,
                            !Each.IsInOwnZone || this->Peers.hasOneZone(), Now);
    this->Relays.recordQuery(Each.Name, Id.Number, Each.IsInOwnZone, Now);
    this->Queries.add();
    this->Routers.send(Each.Name, HeadroomQuery{Id});
  }
}

/// The processor time counts for the whole process, whose threads share the
/// cores. A router whose processor time is limited by a quota waits in polls
/// even while little of its quota is left, and one that shares a processor with
/// others uses less of it while it is busy, so the smaller figure counts.
double OverloadAgent::spareCores() const {
  if (this->Samples.size() < 2 || this->Loop.lag() > MaxSpareLag ||
      !this->IsServing())
    return 0;
  const Sample &First = this->Samples.front();
  const Sample &Last = this->Samples.back();
  const std::chrono::duration<double> Elapsed = Last.At - First.At;
  if (Elapsed.count() <= 0)
    return 0;
  const double WaitingPart = (Last.Waited - First.Waited) / Elapsed;
  const double Used =
      static_cast<double>(Last.ProcessTime - First.ProcessTime) /
      CLOCKS_PER_SEC / Elapsed.count();
  return std::max(0.0, std::min(this->Cores * WaitingPart, this->Cores - Used));
}

double OverloadAgent::knownSpareCores() const {
  return this->Table.spareCores(this->Loop.clock().now());
}

std::size_t OverloadAgent::knownReports() const {
  return this->Table.freshCount(this->Loop.clock().now());
}

HeadroomReport OverloadAgent::makeReport(const CorrelationId &Id) const {
  constexpr double PerSecond = 1000;
  return {Id, static_cast<std::uint32_t>(this->spareCores() * PerSecond),
          milliseconds(this->Loop.lag()), this->CallerAddress};
}

void OverloadAgent::onMessage(const RouterMessage &Message,
                              const Poco::Net::SocketAddress &From) {
  std::visit(Overloaded{
                 [&](const HeadroomQuery &M) {
                   this->Routers.send(From, this->makeReport(M.Id));
                 },
                 [&](const HeadroomReport &M) {
                   if (M.Id.Process != this->RouterProcess)
                     return;
                   constexpr double PerSecond = 1000;
                   this->Reports.add();
                   this->Table.recordReport(M.Id.Number,
                                            M.SpareMsPerSecond / PerSecond);
                   this->Relays.recordReport(M.Id.Number,
                                             M.SpareMsPerSecond / PerSecond,
                                             M.CallerAddress);
                 },
                 [](const auto &) {},
             },
             Message);
}

} // namespace parsleywing
