#include "Gateway/GatewayContext.h"

namespace parsleywing {

namespace {

Counter &outcome(Metrics &Into, const char *Name) {
  return Into.counter({"requests_ended_total",
                       "Requests of callers by how they ended.",
                       "outcome=\"" + std::string(Name) + "\""});
}

Counter &loss(Metrics &Into, const char *Bytes) {
  return Into.counter(
      {"caller_connections_lossy_total",
       "Connections of callers that ended with bytes lost: of an answer "
       "(unsent), of the caller (unread), or sent behind the end that the "
       "router had given the connection (discarded).",
       "bytes=\"" + std::string(Bytes) + "\""});
}

} // namespace

GatewayCounters::GatewayCounters(Metrics &Into)
    : Requests(Into.counter(
          {"requests_total", "Requests of callers that were read whole.", ""})),
      Served(outcome(Into, "served")), Refused(outcome(Into, "refused")),
      Failed(outcome(Into, "failed")),
      FailedByServer(outcome(Into, "failed_by_server")),
      Denied(outcome(Into, "denied")), Truncated(outcome(Into, "cut_off")),
      CallersDisconnected(outcome(Into, "caller_left")),
      CallersOverLimit(
          Into.counter({"callers_turned_away_total",
                        "Requests refused for want of room.", ""})),
      ClosedWithUnsent(loss(Into, "unsent")),
      ClosedWithUnread(loss(Into, "unread")),
      ClosedWithDiscarded(loss(Into, "discarded")),
      Attempts(Into.counter({"sends_total", "Requests sent to servers.", ""})),
      Retries(Into.counter(
          {"repeats_total", "Requests sent to a server once more.", ""})),
      Resumed(Into.counter(
          {"resumed_total", "Streams continued at another server.", ""})),
      NewConnections(Into.counter(
          {"server_connections_total", "New connections to servers.", ""})),
      StreamEvents(Into.counter(
          {"stream_events_total", "Stream events passed on to callers.", ""})),
      TimeToFirstChunk(
          Into.latency({"first_piece_seconds",
                        "From a request's arrival to the first byte of "
                        "its answer.",
                        ""})),
      RequestDuration(Into.latency(
          {"request_seconds", "From a request's arrival to its end.", ""})) {
  for (const auto &[Why, Name] : RefusalReasonNames)
    this->RefusedByReason[Why] =
        &Into.counter({"requests_refused_total", "Requests refused, by reason.",
                       "reason=\"" + std::string(Name) + "\""});
}

} // namespace parsleywing
