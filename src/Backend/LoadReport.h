#ifndef PARSLEYWING_BACKEND_LOADREPORT_H
#define PARSLEYWING_BACKEND_LOADREPORT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace parsleywing {

/// What an engine publishes of its load.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  /// Part of the cache in use, 0 to 1.
  double CacheUsage = 0;
};

/// Reads the Prometheus text form with the names that vLLM publishes. Values
/// of several models of one engine are added up. Nothing where the requests
/// running or waiting are missing, or a value is not a number of at least 0.
std::optional<LoadReport> parseLoadReport(std::string_view Text);

} // namespace parsleywing

#endif
