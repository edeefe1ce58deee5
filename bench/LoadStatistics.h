#ifndef PARSLEYWING_BENCH_LOADSTATISTICS_H
#define PARSLEYWING_BENCH_LOADSTATISTICS_H

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace parsleywing::bench {

/// Returns the percentile at `Fraction` (0 to 1) by nearest rank; zero if there
/// are no values. Sorts a copy.
double percentile(std::vector<double> Values, double Fraction);

/// A distribution of response sizes in tokens: a bounded Pareto distribution,
/// in which a few responses have a large part of all tokens.
class ResponseSizes {
public:
  /// `Smallest` and `Largest` are in tokens; a smaller `Shape` gives a heavier
  /// tail. `Shape` must not be 1.
  ResponseSizes(double Smallest, double Largest, double Shape);

  std::uint64_t draw(std::mt19937_64 &Random) const;

  /// The mean of the distribution in tokens.
  double mean() const;

private:
  double Smallest;
  double Largest;
  double Shape;
};

/// Returns a hint for a response of this size: the size times a factor that is
/// uniform on a logarithmic scale from 1/`MaxFactor` to `MaxFactor`; at least
/// 1.
std::uint64_t drawHint(std::uint64_t Size, double MaxFactor,
                       std::mt19937_64 &Random);

/// The largest difference in weighted service between any two accounts.
struct ServiceGap {
  /// The largest over all samples, in tokens per share.
  double Largest = 0;
  /// At the last sample, in tokens per share.
  double AtEnd = 0;
};

/// The service that each account has received at one time, in tokens per share.
using ServiceSample = std::vector<double>;

/// Compares the chosen accounts (indexes into the samples) at each sample.
/// There is no gap between fewer than two accounts.
ServiceGap serviceGap(const std::vector<ServiceSample> &Samples,
                      const std::vector<std::size_t> &Accounts);

/// The gap in the service of the last `Length` samples up to and including
/// `Index`.
double recentGap(const std::vector<ServiceSample> &Samples,
                 const std::vector<std::size_t> &Accounts, std::size_t Index,
                 std::size_t Length);

/// Returns the number of samples from `Fault` until the recent gap is within
/// `Limit` (tokens per share) and stays there. Returns nothing if it still
/// exceeds the limit at the last sample.
std::optional<std::size_t>
samplesUntilRecovered(const std::vector<ServiceSample> &Samples,
                      const std::vector<std::size_t> &Accounts,
                      std::size_t Fault, std::size_t Length, double Limit);

} // namespace parsleywing::bench

#endif
