#include "LoadStatistics.h"

#include <algorithm>
#include <cmath>

namespace parsleywing::bench {

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  const double Rank = std::ceil(Fraction * static_cast<double>(Values.size()));
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Values[std::min(Index, Values.size() - 1)];
}

ResponseSizes::ResponseSizes(double S, double L, double A)
    : Smallest(S), Largest(L), Shape(A) {}

std::uint64_t ResponseSizes::draw(std::mt19937_64 &Random) const {
  const double Uniform = std::uniform_real_distribution<double>(0, 1)(Random);
  const double Normaliser =
      1 - std::pow(this->Smallest / this->Largest, this->Shape);
  const double Size =
      this->Smallest * std::pow(1 - Uniform * Normaliser, -1 / this->Shape);
  return static_cast<std::uint64_t>(std::min(Size, this->Largest));
}

double ResponseSizes::mean() const {
  const double Normaliser =
      1 - std::pow(this->Smallest / this->Largest, this->Shape);
  return std::pow(this->Smallest, this->Shape) / Normaliser * this->Shape /
         (this->Shape - 1) *
         (std::pow(this->Smallest, 1 - this->Shape) -
          std::pow(this->Largest, 1 - this->Shape));
}

std::uint64_t drawHint(std::uint64_t Size, double MaxFactor,
                       std::mt19937_64 &Random) {
  const double Limit = std::log(MaxFactor);
  const double Exponent =
      std::uniform_real_distribution<double>(-Limit, Limit)(Random);
  const double Hint =
      std::round(static_cast<double>(Size) * std::exp(Exponent));
  return static_cast<std::uint64_t>(std::max(Hint, 1.0));
}

ServiceGap serviceGap(const std::vector<ServiceSample> &Samples,
                      const std::vector<std::size_t> &Accounts) {
  ServiceGap Gap;
  if (Accounts.size() < 2)
    return Gap;
  for (const ServiceSample &Sample : Samples) {
    double Min = Sample[Accounts.front()];
    double Max = Min;
    for (const std::size_t Account : Accounts) {
      Min = std::min(Min, Sample[Account]);
      Max = std::max(Max, Sample[Account]);
    }
    Gap.AtEnd = Max - Min;
    Gap.Largest = std::max(Gap.Largest, Gap.AtEnd);
  }
  return Gap;
}

double recentGap(const std::vector<ServiceSample> &Samples,
                 const std::vector<std::size_t> &Accounts, std::size_t Index,
                 std::size_t Length) {
  const ServiceSample &Earlier = Samples[Index < Length ? 0 : Index - Length];
  ServiceSample Gained = Samples[Index];
  for (std::size_t Account = 0; Account < Gained.size(); ++Account)
    Gained[Account] -= Earlier[Account];
  return serviceGap({Gained}, Accounts).AtEnd;
}

std::optional<std::size_t>
samplesUntilRecovered(const std::vector<ServiceSample> &Samples,
                      const std::vector<std::size_t> &Accounts,
                      std::size_t Fault, std::size_t Length, double Limit) {
  std::size_t Recovered = Samples.size();
  while (Recovered > Fault &&
         recentGap(Samples, Accounts, Recovered - 1, Length) <= Limit)
    --Recovered;
  if (Recovered == Samples.size())
    return std::nullopt;
  return Recovered - Fault;
}

} // namespace parsleywing::bench
