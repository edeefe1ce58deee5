#ifndef PARSLEYWING_BENCH_FLEETLATENCY_H
#define PARSLEYWING_BENCH_FLEETLATENCY_H

#include <cstdint>
#include <functional>
#include <string>

namespace parsleywing::bench {

/// The time of small answers on one way to the engine, in seconds.
struct PathLatency {
  double P50 = 0;
  double P99 = 0;
  double RequestsPerSecond = 0;
  std::uint64_t Failed = 0;
};

/// Small answers straight from an engine and through one router, in turns.
struct LatencyFigures {
  std::string Missing;
  PathLatency Direct;
  PathLatency Routed;
};

/// Starts one engine and one router. `Requests` are timed one after the other
/// on each way; then `Callers` threads keep each way busy for two seconds.
LatencyFigures measureLatency(unsigned Requests, unsigned Callers,
                              const std::function<bool()> &Stop);

} // namespace parsleywing::bench

#endif
