#include "Program/CallerMetrics.h"

namespace parsleywing {

namespace {

void addCount(Metrics &Registry, MetricKind Kind, MetricName Name,
              const CallerCounters::Count &Value) {
  Registry.callback(Kind, std::move(Name),
                    [&Value] { return static_cast<double>(Value); });
}

void addConnections(Metrics &Registry, const CallerCounters &Counters) {
  const auto AddCounter = [&](const char *Name, const char *Help,
                              const CallerCounters::Count &Value) {
    addCount(Registry, MetricKind::Counter, {Name, Help, ""}, Value);
  };
  addCount(
      Registry, MetricKind::Gauge,
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
             Counters.CallersDisconnected);
}

void addProblems(Metrics &Registry, const CallerCounters &Counters) {
  for (const auto &[Type, Name] : ProblemTypeNames)
    addCount(Registry, MetricKind::Counter,
             {"caller_problems_total", "Error answers to callers.",
              "type=\"" + std::string(Name) + "\""},
             Counters.ProblemsByType[static_cast<std::size_t>(Type)]);
}

void addLatencies(Metrics &Registry, CallerServer &Callers) {
  LatencyHistogram &Queued = Registry.latency(
      {"request_queue_seconds", "Time until the first attempt began.", ""});
  LatencyHistogram &FirstToken =
      Registry.latency({"request_first_token_seconds",
                        "Time until the first piece of the answer.", ""});
  LatencyHistogram &Total = Registry.latency(
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

void addCallerMetrics(Metrics &Registry, CallerServer &Callers) {
  addConnections(Registry, Callers.counters());
  addProblems(Registry, Callers.counters());
  addLatencies(Registry, Callers);
}

} // namespace parsleywing
