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

/// A number that only grows. One relaxed atomic addition a call.
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

/// A number that goes up and down. One relaxed atomic operation a call.
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

/// The kinds of the text form, with its names.
enum class MetricKind { Counter, Gauge, Histogram };

inline constexpr EnumNames<MetricKind, 3> MetricKindNames{{
    {MetricKind::Counter, "counter"},
    {MetricKind::Gauge, "gauge"},
    {MetricKind::Histogram, "histogram"},
}};

/// Names one time series. The name is given without the prefix `parsleywing_`,
/// which the registry adds; a counter's name ends in `_total`, and a name says
/// its unit. Labels are written as `key="value"`, separated by commas. Series
/// of one name share the help of the one registered first.
struct MetricName {
  std::string Name;
  std::string Help;
  std::string Labels;
};

/// Holds the metrics of a process and renders them in the text form of
/// Prometheus (exposition format 0.0.4). Registering takes a lock and is meant
/// for the start of a part; the references stay good as long as the registry.
/// Registering a series twice is a broken invariant.
class Metrics {
public:
  Counter &counter(MetricName Name);
  Gauge &gauge(MetricName Name);
  LatencyHistogram &latency(MetricName Name);

  /// Reads a value that another part keeps, at the time of rendering. `Read`
  /// must be safe from any thread and outlive the registry's use.
  void callback(MetricKind Kind, MetricName Name, std::function<double()> Read);

  /// The whole text. Costs one pass over all series.
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

  void insert(Series Added);

  mutable std::mutex Mutex;
  /// Ordered by name, so that series of one name stand together.
  std::vector<Series> All;
};

} // namespace parsleywing

#endif
