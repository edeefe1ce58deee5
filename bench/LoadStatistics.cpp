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

AnswerSizes::AnswerSizes(double S, double L, double A)
    : Smallest(S), Largest(L), Shape(A) {}

std::uint64_t AnswerSizes::draw(std::mt19937_64 &Random) const {
  const double Uniform = std::uniform_real_distribution<double>(0, 1)(Random);
  const double Cut = 1 - std::pow(this->Smallest / this->Largest, this->Shape);
  const double Size =
      this->Smallest * std::pow(1 - Uniform * Cut, -1 / this->Shape);
  return static_cast<std::uint64_t>(std::min(Size, this->Largest));
}

double AnswerSizes::mean() const {
  const double Cut = 1 - std::pow(this->Smallest / this->Largest, this->Shape);
  return std::pow(this->Smallest, this->Shape) / Cut * this->Shape /
         (this->Shape - 1) *
         (std::pow(this->Smallest, 1 - this->Shape) -
          std::pow(this->Largest, 1 - this->Shape));
}

std::uint64_t drawHint(std::uint64_t Size, double WorstFactor,
                       std::mt19937_64 &Random) {
  const double Limit = std::log(WorstFactor);
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
    double Least = Sample[Accounts.front()];
    double Most = Least;
    for (const std::size_t Account : Accounts) {
      Least = std::min(Least, Sample[Account]);
      Most = std::max(Most, Sample[Account]);
    }
    Gap.AtEnd = Most - Least;
    Gap.Largest = std::max(Gap.Largest, Gap.AtEnd);
  }
  return Gap;
}

double recentGap(const std::vector<ServiceSample> &Samples,
                 const std::vector<std::size_t> &Accounts, std::size_t Index,
                 std::size_t Length) {
  const ServiceSample &Then = Samples[Index < Length ? 0 : Index - Length];
  ServiceSample Gained = Samples[Index];
  for (std::size_t Account = 0; Account < Gained.size(); ++Account)
    Gained[Account] -= Then[Account];
  return serviceGap({Gained}, Accounts).AtEnd;
}

std::optional<std::size_t>
samplesUntilRestored(const std::vector<ServiceSample> &Samples,
                     const std::vector<std::size_t> &Accounts,
                     std::size_t Fault, std::size_t Length, double Limit) {
  std::size_t Restored = Samples.size();
  while (Restored > Fault &&
         recentGap(Samples, Accounts, Restored - 1, Length) <= Limit)
    --Restored;
  if (Restored == Samples.size())
    return std::nullopt;
  return Restored - Fault;
}

} // namespace parsleywing::bench
