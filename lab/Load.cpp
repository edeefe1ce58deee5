#include "lab/Load.h"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace parsleywing::lab {

namespace {

/// Sizes are clamped to this multiple of their mean, since real calls have size
/// limits.
constexpr double MaxTimesMean = 8;
constexpr double SharedPartSpread = 0.6;

/// Generates the calls of one simulation.
class CallGenerator {
public:
  CallGenerator(const Scenario &S, std::uint64_t Seed)
      : TheScenario(S), Random(Seed) {
    for (std::uint32_t I = 0; I < S.Accounts; ++I)
      this->AccountWeights.push_back(std::pow(I + 1.0, -S.AccountSkew));
  }

  std::vector<Call> generate() {
    std::vector<Call> Calls;
    for (std::size_t I = 0; I < this->TheScenario.Classes.size(); ++I)
      this->generateClass(I, Calls);
    std::stable_sort(
        Calls.begin(), Calls.end(),
        [](const Call &Left, const Call &Right) { return Left.At < Right.At; });
    return Calls;
  }

private:
  void generateClass(std::size_t Index, std::vector<Call> &Calls) {
    const CallClass &Class = this->TheScenario.Classes[Index];
    this->drawSharedParts(Class);
    Milliseconds Now = 0;
    while (Class.CallsPerSecond > 0) {
      const double RateFactor = this->meanRateFactor(Now);
      boost::random::exponential_distribution<double> Interval(
          Class.CallsPerSecond * RateFactor / 1000);
      Now += Interval(this->Random);
      if (Now >= this->TheScenario.Length)
        return;
      Calls.push_back(this->generateCall(Index, Now));
    }
  }

  /// Draws the sizes of shared parts once, since all calls that use a part
  /// have to agree on its size.
  void drawSharedParts(const CallClass &Class) {
    this->SharedParts.assign(Class.SharedLevels.size(), {});
    for (std::size_t Level = 0; Level < Class.SharedLevels.size(); ++Level)
      for (std::uint32_t I = 0; I < Class.SharedLevels[Level].Variants; ++I)
        this->SharedParts[Level].push_back(
            {++this->LastPartId,
             this->drawSize(Class.SharedLevels[Level].MeanTokens,
                            SharedPartSpread)});
  }

  Call generateCall(std::size_t Index, Milliseconds Now) {
    const CallClass &Class = this->TheScenario.Classes[Index];
    Call NewCall;
    NewCall.At = Now;
    NewCall.Class = Index;
    NewCall.Account = this->drawAccount(Now);
    for (const auto &Level : this->SharedParts) {
      boost::random::uniform_int_distribution<std::size_t> Distribution(
          0, Level.size() - 1);
      NewCall.Parts.push_back(Level[Distribution(this->Random)]);
    }
    NewCall.Parts.push_back(
        {++this->LastPartId,
         this->drawSize(Class.MeanOwnTokens, Class.OwnSpread)});
    for (const PromptPart &Part : NewCall.Parts)
      NewCall.PromptTokens += Part.Tokens;
    NewCall.OutputTokens =
        this->drawSize(Class.MeanOutputTokens, Class.OutputSpread);
    return NewCall;
  }

  /// Draws a size from a log-normal distribution with this mean.
  std::uint32_t drawSize(double Mean, double Spread) {
    boost::random::normal_distribution<double> Normal(-Spread * Spread / 2,
                                                      Spread);
    const double Size = Mean * std::exp(Normal(this->Random));
    return static_cast<std::uint32_t>(
        std::clamp(Size, 1.0, std::max(Mean * MaxTimesMean, 1.0)));
  }

  double rateFactorOf(std::uint32_t Account, Milliseconds Now) const {
    double RateFactor = 1;
    for (const Flood &Each : this->TheScenario.Floods)
      if (Each.Account == Account && Each.From <= Now && Now < Each.To)
        RateFactor *= Each.RateFactor;
    return RateFactor;
  }

  double meanRateFactor(Milliseconds Now) const {
    double WeightSum = 0;
    double WeightedSum = 0;
    for (std::uint32_t I = 0; I < this->AccountWeights.size(); ++I) {
      WeightSum += this->AccountWeights[I];
      WeightedSum += this->AccountWeights[I] * this->rateFactorOf(I, Now);
    }
    return WeightedSum / WeightSum;
  }

  std::uint32_t drawAccount(Milliseconds Now) {
    std::vector<double> CurrentWeights = this->AccountWeights;
    for (std::uint32_t I = 0; I < CurrentWeights.size(); ++I)
      CurrentWeights[I] *= this->rateFactorOf(I, Now);
    boost::random::discrete_distribution<std::uint32_t> Distribution(
        CurrentWeights);
    return Distribution(this->Random);
  }

  const Scenario &TheScenario;
  boost::random::mt19937_64 Random;
  std::vector<double> AccountWeights;
  std::vector<std::vector<PromptPart>> SharedParts;
  std::uint64_t LastPartId = 0;
};

} // namespace

std::vector<Call> generateCalls(const Scenario &TheScenario,
                                std::uint64_t Seed) {
  return CallGenerator(TheScenario, Seed).generate();
}

} // namespace parsleywing::lab
