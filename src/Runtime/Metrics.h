#ifndef PARSLEYWING_RUNTIME_METRICS_H
#define PARSLEYWING_RUNTIME_METRICS_H

#include "Runtime/EnumNames.h"
#include "Runtime/LatencyHistogram.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// A value that only increases. Each call is one relaxed atomic operation.
class Counter {
public:
  void add(std::uint64_t Amount = 1) {
    this->Total.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const {
    return this->Total.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> Total{0};
};

/// A value that goes up and down. Each call is one relaxed atomic operation.
class Gauge {
public:
  void set(std::int64_t Value) {
    this->Current.store(Value, std::memory_order_relaxed);
  }
  void add(std::int64_t Amount) {
    this->Current.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::int64_t value() const {
    return this->Current.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> Current{0};
};

/// The metric types of the Prometheus text format.
enum class MetricKind { Counter, Gauge, Histogram };

inline constexpr EnumNames<MetricKind, 3> MetricKindNames{{
    {MetricKind::Counter, "counter"},
    {MetricKind::Gauge, "gauge"},
    {MetricKind::Histogram, "histogram"},
}};

/// Identifies one time series. The name is given without the prefix
/// `parsleywing_`, which the registry adds. A counter's name ends in `_total`,
/// and a name includes its unit. Labels are written as `key="value"`, separated
/// by commas. Series with the same name share one help text, that of the series
/// whose labels sort first.
struct MetricName {
  std::string Name;
  std::string Help;
  std::string Labels;
};

/// The metrics registry of a process. Renders all metrics in the Prometheus
/// text exposition format 0.0.4. Registration takes a lock and belongs in the
/// set-up of a component. The returned references are valid as long as the
/// registry. Registering a series twice violates an invariant.
class Metrics {
public:
  Counter &counter(MetricName Name);
  Gauge &gauge(MetricName Name);
  LatencyHistogram &latency(MetricName Name);

  /// Registers a function that returns the value each time metrics are
  /// rendered. `Read` must be thread safe and remain callable as long as the
  /// registry is in use.
  void callback(MetricKind Kind, MetricName Name, std::function<double()> Read);

  /// Renders all metrics. Costs one pass over all series.
  std::string render() const;

private:
  using Source =
      std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                   std::unique_ptr<LatencyHistogram>, std::function<double()>>;
  struct Series {
    MetricKind Kind;
    MetricName Name;
    Source Value;
  };

  void insert(Series NewSeries);

  mutable std::mutex Mutex;
  /// Ordered by name and labels, so that series of one name are adjacent.
  std::vector<Series> All;
};

} // namespace parsleywing

#endif
