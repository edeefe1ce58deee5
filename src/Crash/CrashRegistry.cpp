#include "Crash/CrashRegistry.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// A request with this many crashes that are not attributed to another request
/// is refused.
constexpr std::size_t CrashesToRefuse = 3;

/// A request with this many crashes is refused even if they are attributed to
/// another request: two requests that cause crashes may have been at the same
/// servers.
constexpr std::size_t CrashesToRefuseAlways = 5;

/// The minimum time between the last crash or probe of a refused request and
/// its next probe: `FirstProbeDelay` while it has only the `CrashesToRefuse`
/// crashes for which it was refused, `SecondProbeDelay` with more crashes, for
/// example after a probe that crashed another server.
constexpr Duration FirstProbeDelay = std::chrono::minutes(10);
constexpr Duration SecondProbeDelay = std::chrono::hours(1);

/// The maximum number of recorded requests, which bounds the memory if many
/// servers crash.
constexpr std::size_t MaxSuspects = 4096;

/// The maximum number of recorded crashes of one request. A request is refused
/// with fewer, so the rest are cleared crashes.
constexpr std::size_t MaxCrashesPerSuspect = 12;

/// A request that was not seen for this time is removed.
constexpr Duration SuspectLifetime = std::chrono::hours(24);

/// How long after a request was last seen its facts are sent to other routers,
/// unless it is refused. After this time the request has probably ended.
constexpr Duration FactSendingPeriod = std::chrono::seconds(30);

/// Rounded up: a receiver must not take the request for seen later than it was,
/// since routers that exchange facts would then never stop sending them.
std::uint32_t secondsBetween(TimePoint From, TimePoint To) {
  const auto Elapsed =
      std::chrono::ceil<std::chrono::seconds>(To - From).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Elapsed, 0));
}

void dropOneCrash(std::map<ServerProcess, bool> &Crashes) {
  const auto Cleared =
      std::find_if(Crashes.begin(), Crashes.end(),
                   [](const auto &Each) { return Each.second; });
  Crashes.erase(Cleared == Crashes.end() ? Crashes.begin() : Cleared);
}

} // namespace

std::size_t CrashRegistry::Suspect::unclearedCrashes() const {
  return static_cast<std::size_t>(
      std::count_if(this->Crashes.begin(), this->Crashes.end(),
                    [](const auto &Each) { return !Each.second; }));
}

bool CrashRegistry::record(const CrashFact &Fact, TimePoint Now) {
  const TimePoint Seen = Now - std::chrono::seconds(Fact.AgeSeconds);
  if (Now - Seen > SuspectLifetime)
    return false;
  const auto [Found, Inserted] = this->Suspects.try_emplace(Fact.Request);
  Suspect &Suspected = Found->second;
  if (Inserted)
    this->ShortHashes.insert(Fact.Request.ShortHash);
  Suspected.LastSeen = Inserted ? Seen : std::max(Suspected.LastSeen, Seen);
  const auto [Crash, NewCrash] =
      Suspected.Crashes.try_emplace(Fact.Process, Fact.Cleared);
  const bool ClearedNow = Fact.Cleared && !Crash->second;
  const bool Changed = NewCrash || ClearedNow;
  if (NewCrash)
    Suspected.LastCrashOrProbe = std::max(Suspected.LastCrashOrProbe, Seen);
  const bool AffectedBefore = affectsRefusals(Suspected);
  Crash->second = Crash->second || Fact.Cleared;
  if (Suspected.Crashes.size() > MaxCrashesPerSuspect)
    dropOneCrash(Suspected.Crashes);
  if (Changed && (AffectedBefore || affectsRefusals(Suspected)))
    this->updateRefusals();
  if (Inserted)
    this->evictExcess();
  return Changed;
}

std::vector<CrashFact> CrashRegistry::clear(const RequestIdentity &Request,
                                            TimePoint Now) {
  std::vector<CrashFact> Changed;
  const auto Found = this->Suspects.find(Request);
  if (Found == this->Suspects.end())
    return Changed;
  const bool AffectsRefusals = affectsRefusals(Found->second);
  for (auto &[Process, Cleared] : Found->second.Crashes) {
    if (Cleared)
      continue;
    Cleared = true;
    Changed.push_back({Request, Process, true, 0});
  }
  if (Changed.empty())
    return Changed;
  Found->second.LastSeen = Now;
  if (AffectsRefusals)
    this->updateRefusals();
  return Changed;
}

void CrashRegistry::setAttributedElsewhere(std::set<ServerProcess> Processes) {
  this->AttributedElsewhere = std::move(Processes);
  this->updateRefusals();
}

bool CrashRegistry::isRefused(const RequestIdentity &Request) const {
  const auto Found = this->Suspects.find(Request);
  return Found != this->Suspects.end() && Found->second.Refused;
}

void CrashRegistry::recordRefusedAgain(const RequestIdentity &Request,
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
  const std::size_t Crashes = Found->second.unclearedCrashes();
  const Duration Delay =
      Crashes <= CrashesToRefuse ? FirstProbeDelay : SecondProbeDelay;
  return Crashes < CrashesToRefuseAlways &&
         Now - Found->second.LastCrashOrProbe >= Delay;
}

void CrashRegistry::recordProbe(const RequestIdentity &Request, TimePoint Now) {
  const auto Found = this->Suspects.find(Request);
  if (Found != this->Suspects.end())
    Found->second.LastCrashOrProbe = Now;
}

std::size_t CrashRegistry::crashCount(const RequestIdentity &Request) const {
  const auto Found = this->Suspects.find(Request);
  return Found == this->Suspects.end() ? 0 : Found->second.unclearedCrashes();
}

std::size_t CrashRegistry::refusedCount() const {
  return static_cast<std::size_t>(
      std::count_if(this->Suspects.begin(), this->Suspects.end(),
                    [](const auto &Each) { return Each.second.Refused; }));
}

bool CrashRegistry::affectsRefusals(const Suspect &Suspected) {
  return Suspected.unclearedCrashes() >= CrashesToRefuse;
}

void CrashRegistry::updateRefusals() {
  std::vector<Suspect *> Undecided;
  for (auto &[Request, Suspected] : this->Suspects) {
    const std::size_t Count = Suspected.unclearedCrashes();
    Suspected.Refused = Count >= CrashesToRefuseAlways;
    if (Count >= CrashesToRefuse)
      Undecided.push_back(&Suspected);
  }
  std::set<ServerProcess> Attributed = this->AttributedElsewhere;
  const auto Unattributed = [&Attributed](const Suspect &Suspected) {
    return std::count_if(Suspected.Crashes.begin(), Suspected.Crashes.end(),
                         [&Attributed](const auto &Each) {
                           return !Each.second &&
                                  !Attributed.contains(Each.first);
                         });
  };
  while (!Undecided.empty()) {
    std::map<const Suspect *, std::ptrdiff_t> Remaining;
    std::ptrdiff_t MaxRemaining = 0;
    for (const Suspect *Each : Undecided) {
      Remaining[Each] = Unattributed(*Each);
      MaxRemaining = std::max(MaxRemaining, Remaining[Each]);
    }
    if (MaxRemaining < static_cast<std::ptrdiff_t>(CrashesToRefuse))
      return;
    // Requests with the same number of crashes cannot be distinguished and are
    // refused together.
    for (Suspect *Each : Undecided)
      if (Remaining[Each] == MaxRemaining) {
        Each->Refused = true;
        for (const auto &[Process, Cleared] : Each->Crashes)
          if (!Cleared)
            Attributed.insert(Process);
      }
    std::erase_if(Undecided, [&](const Suspect *Each) {
      return Remaining[Each] == MaxRemaining;
    });
  }
}

/// Removes the request with the fewest crashes; of several, the one that was
/// seen least recently.
void CrashRegistry::evictExcess() {
  if (this->Suspects.size() <= MaxSuspects)
    return;
  const auto Least = std::min_element(
      this->Suspects.begin(), this->Suspects.end(),
      [](const auto &Left, const auto &Right) {
        return std::pair(Left.second.unclearedCrashes(), Left.second.LastSeen) <
               std::pair(Right.second.unclearedCrashes(),
                         Right.second.LastSeen);
      });
  this->erase(Least);
}

void CrashRegistry::erase(SuspectMap::iterator Position) {
  this->ShortHashes.erase(this->ShortHashes.find(Position->first.ShortHash));
  this->Suspects.erase(Position);
}

void CrashRegistry::removeExpired(TimePoint Now) {
  bool Changed = false;
  for (auto Each = this->Suspects.begin(); Each != this->Suspects.end();) {
    const auto Next = std::next(Each);
    if (Now - Each->second.LastSeen > SuspectLifetime) {
      this->erase(Each);
      Changed = true;
    }
    Each = Next;
  }
  if (Changed)
    this->updateRefusals();
}

void CrashRegistry::appendFacts(const SuspectMap::value_type &Entry,
                                TimePoint Now, std::vector<CrashFact> &Facts) {
  const auto &[Request, Suspected] = Entry;
  if (!Suspected.Refused && Now - Suspected.LastSeen >= FactSendingPeriod)
    return;
  for (const auto &[Process, Cleared] : Suspected.Crashes)
    Facts.push_back(
        {Request, Process, Cleared, secondsBetween(Suspected.LastSeen, Now)});
}

std::vector<CrashFact> CrashRegistry::allFacts(TimePoint Now) const {
  std::vector<CrashFact> Facts;
  for (const auto &Each : this->Suspects)
    appendFacts(Each, Now, Facts);
  return Facts;
}

std::vector<CrashFact> CrashRegistry::nextFacts(std::size_t MaxFacts,
                                                TimePoint Now) {
  std::vector<CrashFact> Facts;
  auto Each = this->Suspects.upper_bound(this->LastVisited);
  for (std::size_t Examined = 0;
       Examined < this->Suspects.size() && Facts.size() < MaxFacts;
       ++Examined) {
    if (Each == this->Suspects.end())
      Each = this->Suspects.begin();
    if (Facts.size() + Each->second.Crashes.size() > MaxFacts)
      break;
    appendFacts(*Each, Now, Facts);
    this->LastVisited = Each->first;
    ++Each;
  }
  return Facts;
}

} // namespace parsleywing
