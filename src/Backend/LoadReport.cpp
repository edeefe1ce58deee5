#include "Backend/LoadReport.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace parsleywing {

namespace {

constexpr std::string_view RunningName = "vllm:num_requests_running";
constexpr std::string_view WaitingName = "vllm:num_requests_waiting";
constexpr std::string_view CacheName = "vllm:kv_cache_usage_perc";
constexpr std::string_view OldCacheName = "vllm:gpu_cache_usage_perc";

/// Parses the value in the part of a sample line after the metric name; ignores
/// labels and timestamp.
std::optional<double> valueOf(std::string_view Rest) {
  if (Rest.starts_with('{')) {
    const std::size_t End = Rest.rfind('}');
    if (End == std::string_view::npos)
      return std::nullopt;
    Rest.remove_prefix(End + 1);
  }
  while (Rest.starts_with(' ') || Rest.starts_with('\t'))
    Rest.remove_prefix(1);
  double Value = 0;
  const auto Parsed =
      std::from_chars(Rest.data(), Rest.data() + Rest.size(), Value);
  if (Parsed.ec != std::errc() || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return Value;
}

/// Returns the rest of the line after the metric name, or nullopt if the line
/// is not a sample of this metric.
std::optional<std::string_view> sampleOf(std::string_view Line,
                                         std::string_view Name) {
  if (!Line.starts_with(Name))
    return std::nullopt;
  Line.remove_prefix(Name.size());
  if (Line.empty() || (Line[0] != '{' && Line[0] != ' ' && Line[0] != '\t'))
    return std::nullopt;
  return Line;
}

bool addCount(std::string_view Rest, std::uint32_t &Sum) {
  const auto Value = valueOf(Rest);
  if (!Value || *Value > std::numeric_limits<std::uint32_t>::max() - Sum)
    return false;
  Sum += static_cast<std::uint32_t>(*Value);
  return true;
}

} // namespace

std::optional<LoadReport> parseLoadReport(std::string_view Text) {
  LoadReport Report;
  bool HasRunning = false;
  bool HasWaiting = false;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (const auto Rest = sampleOf(Line, RunningName)) {
      HasRunning = addCount(*Rest, Report.Running);
      if (!HasRunning)
        return std::nullopt;
    } else if (const auto Queued = sampleOf(Line, WaitingName)) {
      HasWaiting = addCount(*Queued, Report.Waiting);
      if (!HasWaiting)
        return std::nullopt;
    } else if (const auto Cache = sampleOf(Line, CacheName)) {
      Report.CacheUsage = valueOf(*Cache).value_or(0);
    } else if (const auto OldCache = sampleOf(Line, OldCacheName)) {
      Report.CacheUsage = valueOf(*OldCache).value_or(0);
    }
  }
  if (!HasRunning || !HasWaiting)
    return std::nullopt;
  return Report;
}

} // namespace parsleywing
