#include "Program/CallerMetrics.h"

namespace parsleywing {

namespace {

void addCount(Metrics &Measured, MetricKind Kind, MetricName Name,
              const CallerCounters::Count &Value) {
  Measured.callback(Kind, std::move(Name),
                    [&Value] { return static_cast<double>(Value); });
}

void addConnections(Metrics &Measured, const CallerCounters &Counters) {
  const auto AddCounter = [&](const char *Name, const char *Help,
                              const CallerCounters::Count &Value) {
    addCount(Measured, MetricKind::Counter, {Name, Help, ""}, Value);
  };
  addCount(
      Measured, MetricKind::Gauge,
      {"caller_connections_open", "Callers' connections at this moment.", ""},
      Counters.ConnectionsOpen);
  AddCounter("caller_connections_total", "Connections that callers opened.",
             Counters.ConnectionsAccepted);
  AddCounter("caller_connections_refused_total",
             "Connections answered with 503 for want of a thread.",
             Counters.ConnectionsRefused);
  AddCounter("caller_connections_idle_closed_total",
             "Connections closed after a long time without a request.",
             Counters.ConnectionsIdleClosed);
  AddCounter("callers_left_total",
             "Callers that were gone before their final answer.",
             Counters.CallersLeft);
}

void addProblems(Metrics &Measured, const CallerCounters &Counters) {
  for (const auto &[Type, Name] : ProblemTypeNames)
    addCount(Measured, MetricKind::Counter,
             {"caller_problems_total", "Error answers to callers.",
              "type=\"" + std::string(Name) + "\""},
             Counters.ProblemsByType[static_cast<std::size_t>(Type)]);
}

void addLatencies(Metrics &Measured, CallerServer &Callers) {
  LatencyHistogram &Queued = Measured.latency(
      {"request_queue_seconds", "Time until the first attempt began.", ""});
  LatencyHistogram &FirstToken =
      Measured.latency({"request_first_token_seconds",
                        "Time until the first piece of the answer.", ""});
  LatencyHistogram &Total = Measured.latency(
      {"request_total_seconds", "Time until the final answer.", ""});
  Callers.observeTimings(
      [&Queued, &FirstToken, &Total](const RequestTiming &Timing) {
        if (Timing.Queued)
          Queued.observe(*Timing.Queued);
        if (Timing.FirstToken)
          FirstToken.observe(*Timing.FirstToken);
        Total.observe(Timing.Total);
      });
}

} // namespace

void addCallerMetrics(Metrics &Measured, CallerServer &Callers) {
  addConnections(Measured, Callers.counters());
  addProblems(Measured, Callers.counters());
  addLatencies(Measured, Callers);
}

} // namespace parsleywing
