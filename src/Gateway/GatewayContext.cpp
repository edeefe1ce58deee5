#include "Gateway/GatewayContext.h"

namespace parsleywing {

namespace {

Counter &outcomeCounter(Metrics &M, const char *Name) {
  return M.counter({"requests_ended_total",
                    "Requests of callers by how they ended.",
                    "outcome=\"" + std::string(Name) + "\""});
}

Counter &silenceEndCounter(Metrics &M, const char *End) {
  return M.counter(
      {"server_silences_ended_total",
       "How the silences ended while another server was asked: the server "
       "responded again, another one continued the request (superseded), or "
       "the server ended the connection (lost).",
       "end=\"" + std::string(End) + "\""});
}

Counter &lossCounter(Metrics &M, const char *Bytes) {
  return M.counter(
      {"caller_connections_lossy_total",
       "Connections of callers that ended with bytes lost: of an answer "
       "(unsent), of the caller (unread), or sent behind the end that the "
       "router had given the connection (discarded).",
       "bytes=\"" + std::string(Bytes) + "\""});
}

} // namespace

GatewayCounters::GatewayCounters(Metrics &M)
    : Requests(M.counter(
          {"requests_total", "Requests of callers that were read whole.", ""})),
      Served(outcomeCounter(M, "served")),
      Refused(outcomeCounter(M, "refused")),
      Failed(outcomeCounter(M, "failed")),
      FailedByServer(outcomeCounter(M, "failed_by_server")),
      Denied(outcomeCounter(M, "denied")),
      Truncated(outcomeCounter(M, "cut_off")),
      CallersDisconnected(outcomeCounter(M, "caller_left")),
      CallersOverLimit(M.counter({"callers_turned_away_total",
                                  "Requests refused for want of room.", ""})),
      ListenerClosed(M.counter(
          {"caller_listener_closed_total",
           "How often connections of callers were refused for some time for "
           "lack of processor time.",
           ""})),
      ClosedWithUnsent(lossCounter(M, "unsent")),
      ClosedWithUnread(lossCounter(M, "unread")),
      ClosedWithDiscarded(lossCounter(M, "discarded")),
      EndedForBuffers(M.counter(
          {"buffer_evictions_total",
           "Connections of callers that were ended since the buffers of the "
           "process exceeded their limit.",
           ""})),
      Attempts(M.counter({"sends_total", "Requests sent to servers.", ""})),
      Retries(M.counter(
          {"repeats_total", "Requests sent to a server once more.", ""})),
      Resumed(M.counter(
          {"resumed_total", "Streams continued at another server.", ""})),
      Unresponsive(M.counter({"server_silences_total",
                              "Times that a server was silent for so long that "
                              "another one was asked.",
                              ""})),
      UnresponsiveRecovered(silenceEndCounter(M, "recovered")),
      UnresponsiveSuperseded(silenceEndCounter(M, "superseded")),
      UnresponsiveLost(silenceEndCounter(M, "lost")),
      Resumptions(
          M.counter({"streams_taken_up_total",
                     "Requests of callers for the rest of a stream.", ""})),
      ResumptionsContinued(M.counter(
          {"streams_taken_up_continued_total",
           "Of these, those to which further events were forwarded.", ""})),
      NewConnections(M.counter(
          {"server_connections_total", "New connections to servers.", ""})),
      StreamEvents(M.counter(
          {"stream_events_total", "Stream events passed on to callers.", ""})),
      TimeToFirstChunk(M.latency(
          {"first_piece_seconds",
           "From a request's arrival to the first byte of its answer.", ""})),
      RequestDuration(M.latency(
          {"request_seconds", "From a request's arrival to its end.", ""})),
      Registry(M) {
  for (const auto &[Reason, Name] : RefusalReasonNames)
    this->RefusedByReason[Reason] =
        &M.counter({"requests_refused_total", "Requests refused, by reason.",
                    "reason=\"" + std::string(Name) + "\""});
  for (const auto &[Reason, Name] : TerminationReasonNames)
    this->TerminatedByReason[Reason] = &M.counter(
        {"requests_terminated_total",
         "Requests that ended with neither a server's response nor a refusal, "
         "by cause.",
         "cause=\"" + std::string(Name) + "\""});
}

RetryCounters &GatewayCounters::retriesOf(const std::string &Service) {
  const auto Found = this->RetriesByService.find(Service);
  if (Found != this->RetriesByService.end())
    return Found->second;
  const std::string Label = "service=\"" + Service + "\"";
  return this->RetriesByService
      .emplace(Service,
               RetryCounters{
                   this->Registry.counter(
                       {"retries_charged_total",
                        "Retries charged to the service's budget.", Label}),
                   this->Registry.counter(
                       {"retries_denied_total",
                        "Retries that the service's budget denied.", Label}),
                   this->Registry.counter(
                       {"retries_returned_total",
                        "Charged retries that were not sent.", Label})})
      .first->second;
}

} // namespace parsleywing
