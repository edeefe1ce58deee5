#include "Gateway/ServerSignals.h"

#include "Runtime/Id.h"
#include "Runtime/Log.h"

namespace parsleywing {

ServerSignals::ServerSignals(EventLoop &L, ServerTable &S, UpstreamPool &P,
                             AllocationAgent &A, Metrics &M)
    : Loop(L), Servers(S), Pool(P), Agent(A),
      LeavingNotices(M.counter(
          {"server_leaving_notices_total",
           "Servers that stated in a response that they leave.", ""})),
      Pauses(M.counter(
          {"server_pauses_total",
           "Pauses that servers asked this router for, with extensions.",
           ""})) {
  M.callback(
      MetricKind::Gauge,
      {"servers_leaving_by_response",
       "Listed servers that get no requests since then.", ""},
      [this] { return static_cast<double>(this->Servers.leavingCount()); });
  M.callback(MetricKind::Gauge,
             {"servers_paused",
              "Listed servers that get no requests during such a pause.", ""},
             [this] {
               return static_cast<double>(
                   this->Servers.pausedCount(this->Loop.clock().now()));
             });
}

void ServerSignals::onResponse(const AttemptTarget &Target,
                               const ServerResponseFields &Fields) {
  if (Fields.WrongServer)
    return;
  if (Fields.Leaving)
    this->onLeaving(Target);
  if (Fields.Pause)
    this->onPause(Target, *Fields.Pause);
}

/// Not told to the local allocator: it also grants the server to other routers,
/// which the server has not asked for a pause.
void ServerSignals::onPause(const AttemptTarget &Target, Duration Pause) {
  const TimePoint Until = this->Loop.clock().now() + Pause;
  if (!this->Servers.recordPause(hashName(Target.ServerId), Target.StartedMs,
                                 Until))
    return;
  this->Pauses.add();
  log(LogPart::Backend, LogLevel::Info,
      "server=" + Target.ServerId +
          " wants a pause: seconds=" + secondsText(Pause));
  if (this->OnAvoided)
    this->OnAvoided();
}

void ServerSignals::onLeaving(const AttemptTarget &Target) {
  const std::uint64_t Server = hashName(Target.ServerId);
  if (!this->Servers.recordLeaving(Server, Target.StartedMs,
                                   this->Loop.clock().now()))
    return;
  this->LeavingNotices.add();
  log(LogPart::Backend, LogLevel::Info,
      "server=" + Target.ServerId + " leaves: source=response");
  // The servers that this router allocates to others leave as well.
  this->Agent.recordLeaving(Server, Target.StartedMs);
  this->Pool.closeIdle(Target.ServerId);
  if (this->OnAvoided)
    this->OnAvoided();
}

} // namespace parsleywing
