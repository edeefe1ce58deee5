#include "Placement/CrashRegistry.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// Crashes that nothing else explains, from which on a request is refused.
constexpr std::size_t CrashesToRefuse = 3;

/// Crashes from which on a request is refused whatever else explains them: two
/// requests that crash servers may have been at the same ones.
constexpr std::size_t CrashesToRefuseAlways = 5;

/// How long a refused request rests before it is tried once more, at first and
/// behind a try that crashed a fourth server.
constexpr Duration FirstRest = std::chrono::minutes(10);
constexpr Duration SecondRest = std::chrono::hours(1);

/// Requests that are remembered, which bounds the memory in a flood of crashes.
constexpr std::size_t MaxRecords = 4096;

/// Crashes that are remembered of one request. It is refused with fewer, so the
/// others are cleared ones.
constexpr std::size_t MaxCrashes = 12;

/// A request that was not seen for so long is forgotten.
constexpr Duration RecordLife = std::chrono::hours(24);

/// Facts of a request that is not refused are told on for so long after it was
/// last seen; later it is likely to be over.
constexpr Duration TellingLife = std::chrono::seconds(30);

std::uint32_t secondsBetween(TimePoint From, TimePoint To) {
  const auto Gone =
      std::chrono::duration_cast<std::chrono::seconds>(To - From).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Gone, 0));
}

void dropCleared(std::map<ServerProcess, bool> &Crashes) {
  const auto Cleared =
      std::find_if(Crashes.begin(), Crashes.end(),
                   [](const auto &Each) { return Each.second; });
  Crashes.erase(Cleared == Crashes.end() ? Crashes.begin() : Cleared);
}

} // namespace

std::size_t CrashRegistry::Suspect::activeCrashes() const {
  return static_cast<std::size_t>(
      std::count_if(this->Crashes.begin(), this->Crashes.end(),
                    [](const auto &Each) { return !Each.second; }));
}

bool CrashRegistry::record(const CrashFact &Fact, TimePoint Now) {
  const TimePoint Seen = Now - std::chrono::seconds(Fact.AgeSeconds);
  if (Now - Seen > RecordLife)
    return false;
  const auto [Place, Fresh] = this->Suspects.try_emplace(Fact.Request);
  Suspect &Known = Place->second;
  if (Fresh)
    this->ShortHashes.insert(Fact.Request.ShortHash);
  Known.LastSeen = Fresh ? Seen : std::max(Known.LastSeen, Seen);
  const auto [Crash, New] =
      Known.Crashes.try_emplace(Fact.Process, Fact.Cleared);
  const bool ClearedNow = Fact.Cleared && !Crash->second;
  const bool Changed = New || ClearedNow;
  if (New)
    Known.LastCrashOrProbe = std::max(Known.LastCrashOrProbe, Seen);
  const bool WasOfWeight = affectsRefusals(Known);
  Crash->second = Crash->second || Fact.Cleared;
  if (Known.Crashes.size() > MaxCrashes)
    dropCleared(Known.Crashes);
  if (Changed && (WasOfWeight || affectsRefusals(Known)))
    this->updateRefusals();
  if (Fresh)
    this->evictExcess();
  return Changed;
}

std::vector<CrashFact> CrashRegistry::clear(const RequestIdentity &Request,
                                            TimePoint Now) {
  std::vector<CrashFact> Changed;
  const auto Found = this->Suspects.find(Request);
  if (Found == this->Suspects.end())
    return Changed;
  const bool Matters = affectsRefusals(Found->second);
  for (auto &[Process, Cleared] : Found->second.Crashes) {
    if (Cleared)
      continue;
    Cleared = true;
    Changed.push_back({Request, Process, true, 0});
  }
  if (Changed.empty())
    return Changed;
  Found->second.LastSeen = Now;
  if (Matters)
    this->updateRefusals();
  return Changed;
}

bool CrashRegistry::isRefused(const RequestIdentity &Request) const {
  const auto Found = this->Suspects.find(Request);
  return Found != this->Suspects.end() && Found->second.Refused;
}

void CrashRegistry::recordRefused(const RequestIdentity &Request,
                                  TimePoint Now) {
  const auto Found = this->Suspects.find(Request);
  if (Found != this->Suspects.end())
    Found->second.LastSeen = Now;
}

bool CrashRegistry::mayProbe(const RequestIdentity &Request,
                             TimePoint Now) const {
  const auto Found = this->Suspects.find(Request);
  if (Found == this->Suspects.end() || !Found->second.Refused)
    return false;
  const std::size_t Crashes = Found->second.activeCrashes();
  const Duration Rest = Crashes <= CrashesToRefuse ? FirstRest : SecondRest;
  return Crashes < CrashesToRefuseAlways &&
         Now - Found->second.LastCrashOrProbe >= Rest;
}

void CrashRegistry::recordProbe(const RequestIdentity &Request, TimePoint Now) {
  const auto Found = this->Suspects.find(Request);
  if (Found != this->Suspects.end())
    Found->second.LastCrashOrProbe = Now;
}

std::size_t CrashRegistry::crashCount(const RequestIdentity &Request) const {
  const auto Found = this->Suspects.find(Request);
  return Found == this->Suspects.end() ? 0 : Found->second.activeCrashes();
}

std::size_t CrashRegistry::refusedCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->Suspects.begin(), this->Suspects.end(),
                    [](const auto &Each) { return Each.second.Refused; }));
}

bool CrashRegistry::affectsRefusals(const Suspect &Known) {
  return Known.activeCrashes() >= CrashesToRefuse;
}

void CrashRegistry::updateRefusals() {
  std::vector<Suspect *> Open;
  for (auto &[Request, Known] : this->Suspects) {
    const std::size_t Count = Known.activeCrashes();
    Known.Refused = Count >= CrashesToRefuseAlways;
    if (Count >= CrashesToRefuse)
      Open.push_back(&Known);
  }
  std::set<ServerProcess> Explained;
  const auto Unexplained = [&Explained](const Suspect &Of) {
    return std::count_if(
        Of.Crashes.begin(), Of.Crashes.end(), [&Explained](const auto &Each) {
          return !Each.second && !Explained.contains(Each.first);
        });
  };
  while (!Open.empty()) {
    std::map<const Suspect *, std::ptrdiff_t> Left;
    std::ptrdiff_t Most = 0;
    for (const Suspect *Each : Open) {
      Left[Each] = Unexplained(*Each);
      Most = std::max(Most, Left[Each]);
    }
    if (Most < static_cast<std::ptrdiff_t>(CrashesToRefuse))
      return;
    // Requests that cannot be told apart are refused together.
    for (Suspect *Each : Open)
      if (Left[Each] == Most) {
        Each->Refused = true;
        for (const auto &[Process, Cleared] : Each->Crashes)
          if (!Cleared)
            Explained.insert(Process);
      }
    std::erase_if(Open,
                  [&](const Suspect *Each) { return Left[Each] == Most; });
  }
}

/// The least suspicious that was seen longest ago goes first.
void CrashRegistry::evictExcess() {
  if (this->Suspects.size() <= MaxRecords)
    return;
  const auto Least = std::min_element(
      this->Suspects.begin(), this->Suspects.end(),
      [](const auto &Left, const auto &Right) {
        return std::pair(Left.second.activeCrashes(), Left.second.LastSeen) <
               std::pair(Right.second.activeCrashes(), Right.second.LastSeen);
      });
  this->erase(Least);
}

void CrashRegistry::erase(SuspectMap::iterator Each) {
  this->ShortHashes.erase(this->ShortHashes.find(Each->first.ShortHash));
  this->Suspects.erase(Each);
}

void CrashRegistry::removeExpired(TimePoint Now) {
  bool Changed = false;
  for (auto Each = this->Suspects.begin(); Each != this->Suspects.end();) {
    const auto Next = std::next(Each);
    if (Now - Each->second.LastSeen > RecordLife) {
      this->erase(Each);
      Changed = true;
    }
    Each = Next;
  }
  if (Changed)
    this->updateRefusals();
}

void CrashRegistry::appendFacts(const SuspectMap::value_type &Of, TimePoint Now,
                                std::vector<CrashFact> &Into) {
  const auto &[Request, Known] = Of;
  if (!Known.Refused && Now - Known.LastSeen >= TellingLife)
    return;
  for (const auto &[Process, Cleared] : Known.Crashes)
    Into.push_back(
        {Request, Process, Cleared, secondsBetween(Known.LastSeen, Now)});
}

std::vector<CrashFact> CrashRegistry::allFacts(TimePoint Now) const {
  std::vector<CrashFact> Facts;
  for (const auto &Each : this->Suspects)
    appendFacts(Each, Now, Facts);
  return Facts;
}

std::vector<CrashFact> CrashRegistry::nextFacts(std::size_t Most,
                                                TimePoint Now) {
  std::vector<CrashFact> Facts;
  auto Each = this->Suspects.upper_bound(this->LastSent);
  for (std::size_t Looked = 0;
       Looked < this->Suspects.size() && Facts.size() < Most; ++Looked) {
    if (Each == this->Suspects.end())
      Each = this->Suspects.begin();
    if (Facts.size() + Each->second.Crashes.size() > Most)
      break;
    appendFacts(*Each, Now, Facts);
    this->LastSent = Each->first;
    ++Each;
  }
  return Facts;
}

} // namespace parsleywing
