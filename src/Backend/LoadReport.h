#ifndef PARSLEYWING_BACKEND_LOADREPORT_H
#define PARSLEYWING_BACKEND_LOADREPORT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleywing {

/// Load of an engine as published by its metrics.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Fraction of the KV cache in use, 0 to 1.
  double CacheUsage = 0;
};

/// Parses the Prometheus text format with the metric names of vLLM. Sums the
/// counts of all models of an engine. Returns nullopt if the number of running
/// or waiting requests is missing, or is not a number of at least 0.
std::optional<LoadReport> parseLoadReport(std::string_view Text);

} // namespace parsleywing

#endif
