#include "Placement/CrashBook.h"

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

std::size_t CrashBook::Record::counted() const {
  return static_cast<std::size_t>(
      std::count_if(this->Crashes.begin(), this->Crashes.end(),
                    [](const auto &Each) { return !Each.second; }));
}

bool CrashBook::note(const CrashFact &Fact, TimePoint Now) {
  const TimePoint Seen = Now - std::chrono::seconds(Fact.AgeSeconds);
  if (Now - Seen > RecordLife)
    return false;
  const auto [Place, Fresh] = this->Records.try_emplace(Fact.Request);
  Record &Known = Place->second;
  if (Fresh)
    this->Sketches.insert(Fact.Request.Sketch);
  Known.LastSeen = Fresh ? Seen : std::max(Known.LastSeen, Seen);
  const auto [Crash, New] =
      Known.Crashes.try_emplace(Fact.Process, Fact.Cleared);
  const bool ClearedNow = Fact.Cleared && !Crash->second;
  const bool Changed = New || ClearedNow;
  if (New)
    Known.LastCrashOrTry = std::max(Known.LastCrashOrTry, Seen);
  const bool WasOfWeight = isOfWeight(Known);
  Crash->second = Crash->second || Fact.Cleared;
  if (Known.Crashes.size() > MaxCrashes)
    dropCleared(Known.Crashes);
  if (Changed && (WasOfWeight || isOfWeight(Known)))
    this->judge();
  if (Fresh)
    this->makeRoom();
  return Changed;
}

std::vector<CrashFact> CrashBook::clear(const RequestIdentity &Request,
                                        TimePoint Now) {
  std::vector<CrashFact> Changed;
  const auto Found = this->Records.find(Request);
  if (Found == this->Records.end())
    return Changed;
  const bool Matters = isOfWeight(Found->second);
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
    this->judge();
  return Changed;
}

bool CrashBook::refuses(const RequestIdentity &Request) const {
  const auto Found = this->Records.find(Request);
  return Found != this->Records.end() && Found->second.Refused;
}

void CrashBook::noteRefused(const RequestIdentity &Request, TimePoint Now) {
  const auto Found = this->Records.find(Request);
  if (Found != this->Records.end())
    Found->second.LastSeen = Now;
}

bool CrashBook::mayTry(const RequestIdentity &Request, TimePoint Now) const {
  const auto Found = this->Records.find(Request);
  if (Found == this->Records.end() || !Found->second.Refused)
    return false;
  const std::size_t Crashes = Found->second.counted();
  const Duration Rest = Crashes <= CrashesToRefuse ? FirstRest : SecondRest;
  return Crashes < CrashesToRefuseAlways &&
         Now - Found->second.LastCrashOrTry >= Rest;
}

void CrashBook::noteTry(const RequestIdentity &Request, TimePoint Now) {
  const auto Found = this->Records.find(Request);
  if (Found != this->Records.end())
    Found->second.LastCrashOrTry = Now;
}

std::size_t CrashBook::crashesOf(const RequestIdentity &Request) const {
  const auto Found = this->Records.find(Request);
  return Found == this->Records.end() ? 0 : Found->second.counted();
}

std::size_t CrashBook::refused() const {
  return static_cast<std::size_t>(
      std::count_if(this->Records.begin(), this->Records.end(),
                    [](const auto &Each) { return Each.second.Refused; }));
}

bool CrashBook::isOfWeight(const Record &Known) {
  return Known.counted() >= CrashesToRefuse;
}

void CrashBook::judge() {
  std::vector<Record *> Open;
  for (auto &[Request, Known] : this->Records) {
    const std::size_t Count = Known.counted();
    Known.Refused = Count >= CrashesToRefuseAlways;
    if (Count >= CrashesToRefuse)
      Open.push_back(&Known);
  }
  std::set<ServerProcess> Explained;
  const auto Unexplained = [&Explained](const Record &Of) {
    return std::count_if(
        Of.Crashes.begin(), Of.Crashes.end(), [&Explained](const auto &Each) {
          return !Each.second && !Explained.contains(Each.first);
        });
  };
  while (!Open.empty()) {
    std::map<const Record *, std::ptrdiff_t> Left;
    std::ptrdiff_t Most = 0;
    for (const Record *Each : Open) {
      Left[Each] = Unexplained(*Each);
      Most = std::max(Most, Left[Each]);
    }
    if (Most < static_cast<std::ptrdiff_t>(CrashesToRefuse))
      return;
    // Requests that cannot be told apart are refused together.
    for (Record *Each : Open)
      if (Left[Each] == Most) {
        Each->Refused = true;
        for (const auto &[Process, Cleared] : Each->Crashes)
          if (!Cleared)
            Explained.insert(Process);
      }
    std::erase_if(Open, [&](const Record *Each) { return Left[Each] == Most; });
  }
}

/// The least suspicious that was seen longest ago goes first.
void CrashBook::makeRoom() {
  if (this->Records.size() <= MaxRecords)
    return;
  const auto Least = std::min_element(
      this->Records.begin(), this->Records.end(),
      [](const auto &Left, const auto &Right) {
        return std::pair(Left.second.counted(), Left.second.LastSeen) <
               std::pair(Right.second.counted(), Right.second.LastSeen);
      });
  this->erase(Least);
}

void CrashBook::erase(RecordMap::iterator Each) {
  this->Sketches.erase(this->Sketches.find(Each->first.Sketch));
  this->Records.erase(Each);
}

void CrashBook::forgetOld(TimePoint Now) {
  bool Changed = false;
  for (auto Each = this->Records.begin(); Each != this->Records.end();) {
    const auto Next = std::next(Each);
    if (Now - Each->second.LastSeen > RecordLife) {
      this->erase(Each);
      Changed = true;
    }
    Each = Next;
  }
  if (Changed)
    this->judge();
}

void CrashBook::addFacts(const RecordMap::value_type &Of, TimePoint Now,
                         std::vector<CrashFact> &Into) {
  const auto &[Request, Known] = Of;
  if (!Known.Refused && Now - Known.LastSeen >= TellingLife)
    return;
  for (const auto &[Process, Cleared] : Known.Crashes)
    Into.push_back(
        {Request, Process, Cleared, secondsBetween(Known.LastSeen, Now)});
}

std::vector<CrashFact> CrashBook::allToTell(TimePoint Now) const {
  std::vector<CrashFact> Facts;
  for (const auto &Each : this->Records)
    addFacts(Each, Now, Facts);
  return Facts;
}

std::vector<CrashFact> CrashBook::nextToTell(std::size_t Most, TimePoint Now) {
  std::vector<CrashFact> Facts;
  auto Each = this->Records.upper_bound(this->Told);
  for (std::size_t Looked = 0;
       Looked < this->Records.size() && Facts.size() < Most; ++Looked) {
    if (Each == this->Records.end())
      Each = this->Records.begin();
    if (Facts.size() + Each->second.Crashes.size() > Most)
      break;
    addFacts(*Each, Now, Facts);
    this->Told = Each->first;
    ++Each;
  }
  return Facts;
}

} // namespace parsleywing
