#ifndef PARSLEYWING_BENCH_LOADSTATISTICS_H
#define PARSLEYWING_BENCH_LOADSTATISTICS_H

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace parsleywing::bench {

/// The value below which `Fraction` (0 to 1) of the values lie, by nearest
/// rank; zero where there are no values. Sorts a copy.
double percentile(std::vector<double> Values, double Fraction);

/// Sizes of answers in tokens: a bounded Pareto distribution, in which few
/// answers hold a large part of all tokens.
class AnswerSizes {
public:
  /// `Smallest` and `Largest` are in tokens; a smaller `Shape` means a heavier
  /// tail. `Shape` must not be 1.
  AnswerSizes(double Smallest, double Largest, double Shape);

  std::uint64_t draw(std::mt19937_64 &Random) const;

  /// The mean of the distribution in tokens.
  double mean() const;

private:
  double Smallest;
  double Largest;
  double Shape;
};

/// A hint for an answer of this size: wrong by a factor that is spread evenly
/// on a logarithmic scale from 1/`WorstFactor` to `WorstFactor`; at least 1.
std::uint64_t drawHint(std::uint64_t Size, double WorstFactor,
                       std::mt19937_64 &Random);

/// The largest difference in weighted service between any two accounts.
struct ServiceGap {
  /// The largest over all samples, in tokens per share.
  double Largest = 0;
  /// At the last sample, in tokens per share.
  double AtEnd = 0;
};

/// The service of every account at one moment, in tokens per share.
using ServiceSample = std::vector<double>;

/// Compares the chosen accounts (indexes into the samples) at each moment.
/// Fewer than two accounts have no gap.
ServiceGap serviceGap(const std::vector<ServiceSample> &Samples,
                      const std::vector<std::size_t> &Accounts);

/// The gap in the service of the last `Length` samples before and with `Index`.
double recentGap(const std::vector<ServiceSample> &Samples,
                 const std::vector<std::size_t> &Accounts, std::size_t Index,
                 std::size_t Length);

/// The number of samples from `Fault` until the recent gap is within `Limit`
/// (tokens per share) and stays there; nothing where it exceeds the limit
/// still at the last sample.
std::optional<std::size_t>
samplesUntilRestored(const std::vector<ServiceSample> &Samples,
                     const std::vector<std::size_t> &Accounts,
                     std::size_t Fault, std::size_t Length, double Limit);

} // namespace parsleywing::bench

#endif
