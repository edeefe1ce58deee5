#ifndef PARSLEYWING_RUNTIME_LATENCYHISTOGRAM_H
#define PARSLEYWING_RUNTIME_LATENCYHISTOGRAM_H

#include "Runtime/Clock.h"

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <vector>

namespace parsleywing {

/// Histogram of durations from 100 µs to 1,000 s with logarithmic bins, ten per
/// decade, so that a quantile is accurate to about a quarter of its value.
/// Thread safe without a lock: each bin is an atomic counter. The bins and the
/// sum are updated separately, so a concurrent reader may see them disagree.
class LatencyHistogram {
public:
  LatencyHistogram();

  /// Adds one value. Costs one logarithm and two atomic additions.
  void observe(Duration Value);

  /// The upper edge of the bin that contains the quantile `Fraction` (0 to 1);
  /// zero if there are no values.
  Duration quantile(double Fraction) const;

  /// One bin: values up to `UpperEdgeSeconds` that are in no lower bin.
  struct Bin {
    double UpperEdgeSeconds;
    std::uint64_t Count;
  };

  /// All bins in ascending order; the upper edge of the last one is infinite.
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
