#ifndef PARSLEYWING_RUNTIME_LATENCYHISTOGRAM_H
#define PARSLEYWING_RUNTIME_LATENCYHISTOGRAM_H

#include "Runtime/Clock.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace parsleywing {

/// Counts durations from 100 µs to 1,000 s in bins of equal ratio, ten a
/// decade, so that a quantile is known to about a quarter of its value. Safe
/// from every thread without a lock: each bin is an atomic counter. A reader
/// may see a count that a concurrent writer has not finished adding up.
class LatencyHistogram {
public:
  LatencyHistogram();

  /// Costs one logarithm and two atomic additions.
  void observe(Duration Value);

  /// The upper edge of the bin that holds this part (0 to 1) of all values;
  /// zero where there are none.
  Duration quantile(double Part) const;

  /// One bin: values up to `UpperEdge`, not counting those of lower bins. The
  /// last bin has no upper edge.
  struct Bin {
    double UpperEdgeSeconds;
    std::uint64_t Count;
  };

  /// All bins in rising order; the last one's edge is infinite.
  std::vector<Bin> bins() const;

  double sumSeconds() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;

  boost::histogram::histogram<std::tuple<Axis>,
                              boost::histogram::dense_storage<Cell>>
      Counts;
  std::atomic<std::int64_t> SumMicroseconds{0};
};

} // namespace parsleywing

#endif
