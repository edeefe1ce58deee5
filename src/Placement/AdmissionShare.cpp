#include "Placement/AdmissionShare.h"

#include <algorithm>
#include <vector>

namespace parsleywing {

namespace {

/// How often all counts are halved and the shares are computed again.
constexpr Duration HalvingInterval = std::chrono::milliseconds(500);
/// Accounts with a smaller count are forgotten.
constexpr double MinCount = 0.1;
/// An account may always be admitted this often in some seconds, also by a
/// router that has served nothing lately.
constexpr double MinLevel = 8;

/// Up to the first lag everything is admitted, from the second one on the
/// smallest part of the shares, and above the third one nothing. Relative to
/// the lag at which the router lacks processor time, which lies between the
/// first two.
constexpr double RelativeLagOfWholeShares = 0.75;
constexpr double RelativeLagOfMinPart = 1.25;
constexpr double MaxRelativeLag = 4;
/// With this part, an account that was not admitted lately still is.
constexpr double MinPart = 1.0 / 16;

} // namespace

void AdmissionShare::recordAsked(std::uint64_t Account, TimePoint Now) {
  this->decay(Now);
  this->Counts[Account].Asked += 1;
}

void AdmissionShare::recordAdmitted(std::uint64_t Account, TimePoint Now) {
  this->decay(Now);
  this->Counts[Account].Admitted += 1;
}

bool AdmissionShare::mayAdmit(std::uint64_t Account, double RelativeLag,
                              TimePoint Now) {
  if (RelativeLag <= RelativeLagOfWholeShares)
    return true;
  if (RelativeLag > MaxRelativeLag)
    return false;
  const double Part = (RelativeLagOfMinPart - RelativeLag) /
                      (RelativeLagOfMinPart - RelativeLagOfWholeShares);
  return this->isBelow(Account, std::max(Part, MinPart), Now);
}

bool AdmissionShare::isBelow(std::uint64_t Account, double Part,
                             TimePoint Now) {
  this->decay(Now);
  return this->Counts[Account].Admitted < Part * this->Level;
}

void AdmissionShare::decay(TimePoint Now) {
  if (Now - this->DecayedAt < HalvingInterval)
    return;
  const bool IsRecent = Now - this->DecayedAt < HalvingInterval * 8;
  this->DecayedAt = Now;
  if (!IsRecent)
    this->Counts.clear();
  this->updateLevel();
  for (auto &[Account, Each] : this->Counts) {
    Each.Asked /= 2;
    Each.Admitted /= 2;
  }
  std::erase_if(this->Counts,
                [](const auto &Each) { return Each.second.Asked < MinCount; });
}

/// Divides what was admitted evenly among the accounts, none of which gets more
/// than it has asked. The level is what those get that have asked for more.
void AdmissionShare::updateLevel() {
  std::vector<double> Asked;
  double Remaining = 0;
  for (const auto &[Account, Each] : this->Counts) {
    Asked.push_back(Each.Asked);
    Remaining += Each.Admitted;
  }
  std::sort(Asked.begin(), Asked.end());
  double Level = 0;
  for (std::size_t I = 0; I < Asked.size(); ++I) {
    Level = Remaining / static_cast<double>(Asked.size() - I);
    if (Asked[I] >= Level)
      break;
    Remaining -= Asked[I];
  }
  this->Level = std::max(Level, MinLevel);
}

} // namespace parsleywing
