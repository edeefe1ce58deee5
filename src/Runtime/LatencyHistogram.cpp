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
  // Zero has no logarithm and would land above the highest edge.
  const Duration AtLeastOne = std::max(Value, Duration(1));
  this->Counts(toSeconds(AtLeastOne));
  this->SumMicroseconds.fetch_add(AtLeastOne.count(),
                                  std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bin> LatencyHistogram::bins() const {
  std::vector<Bin> All;
  const Axis &Edges = this->Counts.axis();
  All.reserve(BinCount + 2);
  for (int Index = -1; Index <= static_cast<int>(BinCount); ++Index) {
    const bool Last = Index == static_cast<int>(BinCount);
    const double Edge =
        Last ? std::numeric_limits<double>::infinity() : Edges.value(Index + 1);
    All.push_back({Edge, this->Counts.at(Index).load()});
  }
  return All;
}

Duration LatencyHistogram::quantile(double Part) const {
  const std::vector<Bin> All = this->bins();
  std::uint64_t Total = 0;
  for (const Bin &Each : All)
    Total += Each.Count;
  if (Total == 0)
    return Duration::zero();
  const auto Rank = std::max<std::uint64_t>(
      1,
      static_cast<std::uint64_t>(std::ceil(Part * static_cast<double>(Total))));
  std::uint64_t Seen = 0;
  for (const Bin &Each : All) {
    Seen += Each.Count;
    if (Seen < Rank)
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
