#include "Gateway/GatewayContext.h"

namespace parsleywing {

namespace {

Counter &outcomeCounter(Metrics &Registry, const char *Name) {
  return Registry.counter({"requests_ended_total",
                           "Requests of callers by how they ended.",
                           "outcome=\"" + std::string(Name) + "\""});
}

Counter &lossCounter(Metrics &Registry, const char *Bytes) {
  return Registry.counter(
      {"caller_connections_lossy_total",
       "Connections of callers that ended with bytes lost: of an answer "
       "(unsent), of the caller (unread), or sent behind the end that the "
       "router had given the connection (discarded).",
       "bytes=\"" + std::string(Bytes) + "\""});
}

} // namespace

GatewayCounters::GatewayCounters(Metrics &Registry)
    : Requests(Registry.counter(
          {"requests_total", "Requests of callers that were read whole.", ""})),
      Served(outcomeCounter(Registry, "served")),
      Refused(outcomeCounter(Registry, "refused")),
      Failed(outcomeCounter(Registry, "failed")),
      FailedByServer(outcomeCounter(Registry, "failed_by_server")),
      Denied(outcomeCounter(Registry, "denied")),
      Truncated(outcomeCounter(Registry, "cut_off")),
      CallersDisconnected(outcomeCounter(Registry, "caller_left")),
      CallersOverLimit(
          Registry.counter({"callers_turned_away_total",
                            "Requests refused for want of room.", ""})),
      ClosedWithUnsent(lossCounter(Registry, "unsent")),
      ClosedWithUnread(lossCounter(Registry, "unread")),
      ClosedWithDiscarded(lossCounter(Registry, "discarded")),
      Attempts(
          Registry.counter({"sends_total", "Requests sent to servers.", ""})),
      Retries(Registry.counter(
          {"repeats_total", "Requests sent to a server once more.", ""})),
      RetriesCharged(Registry.counter(
          {"retries_charged_total",
           "Retries charged to the retry budget of their service.", ""})),
      RetriesDenied(
          Registry.counter({"retries_denied_total",
                            "Retries denied for want of such a budget.", ""})),
      Resumed(Registry.counter(
          {"resumed_total", "Streams continued at another server.", ""})),
      NewConnections(Registry.counter(
          {"server_connections_total", "New connections to servers.", ""})),
      StreamEvents(Registry.counter(
          {"stream_events_total", "Stream events passed on to callers.", ""})),
      TimeToFirstChunk(Registry.latency(
          {"first_piece_seconds",
           "From a request's arrival to the first byte of its answer.", ""})),
      RequestDuration(Registry.latency(
          {"request_seconds", "From a request's arrival to its end.", ""})) {
  for (const auto &[Reason, Name] : RefusalReasonNames)
    this->RefusedByReason[Reason] = &Registry.counter(
        {"requests_refused_total", "Requests refused, by reason.",
         "reason=\"" + std::string(Name) + "\""});
}

} // namespace parsleywing
