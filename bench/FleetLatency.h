#ifndef PARSLEYWING_BENCH_FLEETLATENCY_H
#define PARSLEYWING_BENCH_FLEETLATENCY_H

#include <cstdint>
#include <functional>
#include <string>

namespace parsleywing::bench {

/// The latency of small responses on one path to the engine, in seconds.
struct PathLatency {
  double P50 = 0;
  double P99 = 0;
  double RequestsPerSecond = 0;
  std::uint64_t Failed = 0;
};

/// Small responses directly from an engine and through one router, measured
/// alternately.
struct LatencyResults {
  std::string Error;
  PathLatency Direct;
  PathLatency Routed;
};

/// Starts one engine and one router. Measures `Requests` requests sequentially
/// on each path; then `Callers` threads saturate each path for two seconds.
LatencyResults measureLatency(unsigned Requests, unsigned Callers,
                              const std::function<bool()> &Stop);

} // namespace parsleywing::bench

#endif
