#include "Gateway/GatewayContext.h"

namespace parsleywing {

namespace {

Counter &outcomeCounter(Metrics &Registry, const char *Name) {
  return Registry.counter({"requests_ended_total",
                           "Caller requests by outcome.",
                           "outcome=\"" + std::string(Name) + "\""});
}

Counter &lossCounter(Metrics &Registry, const char *Bytes) {
  return Registry.counter(
      {"caller_connections_lossy_total",
       "Caller connections that ended with lost bytes: of a response (unsent), "
       "of the caller (unread), or received after the router had finished the "
       "connection (discarded).",
       "bytes=\"" + std::string(Bytes) + "\""});
}

} // namespace

GatewayCounters::GatewayCounters(Metrics &Registry)
    : Requests(Registry.counter(
          {"requests_total", "Completely received caller requests.", ""})),
      Served(outcomeCounter(Registry, "served")),
      Refused(outcomeCounter(Registry, "refused")),
      Failed(outcomeCounter(Registry, "failed")),
      FailedByServer(outcomeCounter(Registry, "failed_by_server")),
      Denied(outcomeCounter(Registry, "denied")),
      Truncated(outcomeCounter(Registry, "cut_off")),
      CallersDisconnected(outcomeCounter(Registry, "caller_left")),
      CallersOverLimit(Registry.counter(
          {"callers_turned_away_total",
           "Requests refused because too many callers were connected.", ""})),
      ClosedWithUnsent(lossCounter(Registry, "unsent")),
      ClosedWithUnread(lossCounter(Registry, "unread")),
      ClosedWithDiscarded(lossCounter(Registry, "discarded")),
      Attempts(Registry.counter(
          {"sends_total", "Attempts to send a request to a server.", ""})),
      Retries(Registry.counter(
          {"repeats_total", "Requests sent to a server again.", ""})),
      Resumed(Registry.counter(
          {"resumed_total", "Streams continued at another server.", ""})),
      NewConnections(Registry.counter(
          {"server_connections_total", "New connections to servers.", ""})),
      StreamEvents(Registry.counter(
          {"stream_events_total", "Stream events forwarded to callers.", ""})),
      TimeToFirstChunk(Registry.latency(
          {"first_piece_seconds",
           "Time from a request's arrival to the first byte of the response "
           "body.",
           ""})),
      RequestDuration(
          Registry.latency({"request_seconds",
                            "Time from a request's arrival to its end.", ""})) {
  for (const auto &[Reason, Name] : RefusalReasonNames)
    this->RefusedByReason[Reason] = &Registry.counter(
        {"requests_refused_total", "Requests refused, by reason.",
         "reason=\"" + std::string(Name) + "\""});
}

} // namespace parsleywing
