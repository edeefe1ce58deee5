#include "Runtime/LatencyHistogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace parsleywing {

namespace {

constexpr unsigned BinCount = 70;
constexpr double LowestEdgeSeconds = 1e-4;
constexpr double HighestEdgeSeconds = 1e3;

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
    : Counts(std::make_tuple(
          Axis(BinCount, LowestEdgeSeconds, HighestEdgeSeconds))) {}

void LatencyHistogram::observe(Duration Value) {
  // Zero has no logarithm and would be counted above the highest edge.
  const Duration Clamped = std::max(Value, Duration(1));
  this->Counts(toSeconds(Clamped));
  this->SumMicroseconds.fetch_add(Clamped.count(), std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bin> LatencyHistogram::bins() const {
  std::vector<Bin> Bins;
  const Axis &Edges = this->Counts.axis();
  Bins.reserve(BinCount + 2);
  for (int Index = -1; Index <= static_cast<int>(BinCount); ++Index) {
    const bool IsLast = Index == static_cast<int>(BinCount);
    const double Edge = IsLast ? std::numeric_limits<double>::infinity()
                               : Edges.value(Index + 1);
    Bins.push_back({Edge, this->Counts.at(Index).load()});
  }
  return Bins;
}

Duration LatencyHistogram::quantile(double Fraction) const {
  const std::vector<Bin> Bins = this->bins();
  std::uint64_t Total = 0;
  for (const Bin &Each : Bins)
    Total += Each.Count;
  if (Total == 0)
    return Duration::zero();
  const auto Rank =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(
                                     Fraction * static_cast<double>(Total))));
  std::uint64_t Cumulative = 0;
  for (const Bin &Each : Bins) {
    Cumulative += Each.Count;
    if (Cumulative < Rank)
      continue;
    const double Edge = std::min(Each.UpperEdgeSeconds, HighestEdgeSeconds);
    return std::chrono::round<Duration>(std::chrono::duration<double>(Edge));
  }
  return Duration::zero();
}

double LatencyHistogram::sumSeconds() const {
  return toSeconds(
      Duration(this->SumMicroseconds.load(std::memory_order_relaxed)));
}

} // namespace parsleywing
