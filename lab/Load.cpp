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

/// Sizes are cut at this many times their mean, as requests have limits.
constexpr double MostTimesMean = 8;
constexpr double SharedSpread = 0.6;

/// Draws the calls of one play.
class Drawing {
public:
  Drawing(const Scenario &P, std::uint64_t Seed) : Played(P), Random(Seed) {
    for (std::uint32_t I = 0; I < P.Accounts; ++I)
      this->Weights.push_back(std::pow(I + 1.0, -P.AccountSkew));
  }

  std::vector<Call> draw() {
    std::vector<Call> Calls;
    for (std::size_t I = 0; I < this->Played.Classes.size(); ++I)
      this->drawClass(I, Calls);
    std::stable_sort(
        Calls.begin(), Calls.end(),
        [](const Call &Left, const Call &Right) { return Left.At < Right.At; });
    return Calls;
  }

private:
  void drawClass(std::size_t Index, std::vector<Call> &Into) {
    const RequestClass &Drawn = this->Played.Classes[Index];
    this->drawShared(Drawn);
    Milliseconds Now = 0;
    while (Drawn.RequestsPerSecond > 0) {
      const double Times = this->timesAt(Now);
      boost::random::exponential_distribution<double> Gap(
          Drawn.RequestsPerSecond * Times / 1000);
      Now += Gap(this->Random);
      if (Now >= this->Played.Length)
        return;
      Into.push_back(this->drawCall(Index, Now));
    }
  }

  /// Sizes of shared parts belong to the part, not to the request.
  void drawShared(const RequestClass &Drawn) {
    this->Shared.assign(Drawn.SharedLevels.size(), {});
    for (std::size_t Link = 0; Link < Drawn.SharedLevels.size(); ++Link)
      for (std::uint32_t I = 0; I < Drawn.SharedLevels[Link].Variants; ++I)
        this->Shared[Link].push_back(
            {++this->LastPart,
             this->size(Drawn.SharedLevels[Link].MeanTokens, SharedSpread)});
  }

  Call drawCall(std::size_t Index, Milliseconds Now) {
    const RequestClass &Drawn = this->Played.Classes[Index];
    Call Made;
    Made.At = Now;
    Made.Class = Index;
    Made.Account = this->drawAccount(Now);
    for (const auto &Link : this->Shared) {
      boost::random::uniform_int_distribution<std::size_t> Which(
          0, Link.size() - 1);
      Made.Parts.push_back(Link[Which(this->Random)]);
    }
    Made.Parts.push_back(
        {++this->LastPart, this->size(Drawn.MeanOwnTokens, Drawn.OwnSpread)});
    for (const PromptPart &Part : Made.Parts)
      Made.PromptTokens += Part.Tokens;
    Made.OutputTokens = this->size(Drawn.MeanOutputTokens, Drawn.OutputSpread);
    return Made;
  }

  /// Log-normal with this mean.
  std::uint32_t size(double Mean, double Spread) {
    boost::random::normal_distribution<double> Normal(-Spread * Spread / 2,
                                                      Spread);
    const double Drawn = Mean * std::exp(Normal(this->Random));
    return static_cast<std::uint32_t>(
        std::clamp(Drawn, 1.0, std::max(Mean * MostTimesMean, 1.0)));
  }

  double timesOf(std::uint32_t Account, Milliseconds Now) const {
    double Times = 1;
    for (const Flood &Each : this->Played.Floods)
      if (Each.Account == Account && Each.From <= Now && Now < Each.To)
        Times *= Each.RateFactor;
    return Times;
  }

  double timesAt(Milliseconds Now) const {
    double Usual = 0;
    double Whole = 0;
    for (std::uint32_t I = 0; I < this->Weights.size(); ++I) {
      Usual += this->Weights[I];
      Whole += this->Weights[I] * this->timesOf(I, Now);
    }
    return Whole / Usual;
  }

  std::uint32_t drawAccount(Milliseconds Now) {
    std::vector<double> Present = this->Weights;
    for (std::uint32_t I = 0; I < Present.size(); ++I)
      Present[I] *= this->timesOf(I, Now);
    boost::random::discrete_distribution<std::uint32_t> Which(Present);
    return Which(this->Random);
  }

  const Scenario &Played;
  boost::random::mt19937_64 Random;
  std::vector<double> Weights;
  std::vector<std::vector<PromptPart>> Shared;
  std::uint64_t LastPart = 0;
};

} // namespace

std::vector<Call> generateCalls(const Scenario &Played, std::uint64_t Seed) {
  return Drawing(Played, Seed).draw();
}

} // namespace parsleywing::lab
