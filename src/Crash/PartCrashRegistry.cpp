#include "Crash/PartCrashRegistry.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// A part with this many successive crashes is refused.
constexpr std::size_t CrashesToRefuse = 3;

/// How long a part must have gone without an answer since the first of these
/// crashes: a sound one that is in use is answered within this time.
constexpr Duration AnswerTime = std::chrono::milliseconds(1500);

/// How long a router must have known of these crashes, so that it also knows
/// what was answered since.
constexpr Duration ReviewTime = std::chrono::milliseconds(700);

/// If parts of more different requests explain the same crashes, the crashes
/// have another cause.
constexpr std::size_t MaxEqualSuspects = 4;

/// A part that explains a smaller fraction of the crashes since its first one
/// was there by chance.
constexpr std::size_t MinExplainedDivisor = 5;

/// The minimum time between the last crash or reserved probe of a refused part
/// and its first probe, which ends a wrong refusal early, and its next one.
/// Each probe may cost a server, also if its caller leaves before the answer.
constexpr Duration FirstProbeDelay = std::chrono::seconds(3);
constexpr Duration SecondProbeDelay = std::chrono::minutes(10);
constexpr std::size_t MaxProbes = 2;

/// The maximum number of recorded parts, which bounds the memory if many
/// servers crash.
constexpr std::size_t MaxSuspects = 4096;

/// The maximum number of recorded crashes of one part.
constexpr std::size_t MaxCrashesPerSuspect = 12;

/// A part whose last crash was this long ago is removed.
constexpr Duration SuspectLifetime = std::chrono::hours(24);

/// How long after its last crash the facts of a part that is not refused are
/// sent to other routers.
constexpr Duration FactSendingPeriod = std::chrono::seconds(30);

/// Rounded up: a receiver must not take a crash for a later one, since an
/// answer may have come in between.
std::uint32_t millisecondsBetween(TimePoint From, TimePoint To) {
  const auto Elapsed =
      std::chrono::ceil<std::chrono::milliseconds>(To - From).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(Elapsed, 0));
}

void dropOneCrash(std::map<ServerProcess, PartCrashRegistry::Crash> &Crashes) {
  const auto Dropped = std::min_element(
      Crashes.begin(), Crashes.end(), [](const auto &Left, const auto &Right) {
        return std::tuple(!Left.second.Cleared, Left.second.Probed,
                          Left.second.At) < std::tuple(!Right.second.Cleared,
                                                       Right.second.Probed,
                                                       Right.second.At);
      });
  Crashes.erase(Dropped);
}

} // namespace

std::size_t PartCrashRegistry::Suspect::unclearedCrashes() const {
  return static_cast<std::size_t>(
      std::count_if(this->Crashes.begin(), this->Crashes.end(),
                    [](const auto &Each) { return !Each.second.Cleared; }));
}

std::size_t PartCrashRegistry::Suspect::probes() const {
  const auto Failed = std::count_if(
      this->Crashes.begin(), this->Crashes.end(), [](const auto &Each) {
        return Each.second.Probed && !Each.second.Cleared;
      });
  return std::max(this->SentProbes, static_cast<std::size_t>(Failed));
}

const PartCrashRegistry::Suspect *PartCrashRegistry::find(PartId Part) const {
  const auto Found = this->Suspects.find(Part);
  return Found == this->Suspects.end() ? nullptr : &Found->second;
}

bool PartCrashRegistry::record(const PartCrash &Fact, TimePoint Now) {
  const TimePoint At = Now - std::chrono::milliseconds(Fact.AgeMs);
  if (Now - At > SuspectLifetime)
    return false;
  this->Crashes.try_emplace(Fact.Process, At);
  const auto [Found, IsNewPart] = this->Suspects.try_emplace(Fact.Part);
  Suspect &Suspected = Found->second;
  const auto [Entry, IsNew] = Suspected.Crashes.try_emplace(
      Fact.Process, Crash{At, Now, TimePoint::min()});
  Crash &Known = Entry->second;
  const bool IsClearedNow = Fact.Cleared && !Known.Cleared;
  Known.Cleared = Known.Cleared || Fact.Cleared;
  if (IsClearedNow)
    Suspected.SentProbes = 0;
  Known.Probed = Known.Probed || Fact.Probed;
  // The time of the crash is kept as it was first told, since each way from
  // router to router adds an error.
  const TimePoint SentAt =
      Known.At - std::chrono::milliseconds(Fact.SentBeforeMs);
  if (SentAt > Known.SentAt) {
    Known.SentAt = SentAt;
    Known.Request = Fact.Request;
  }
  Suspected.LastCrash = std::max(Suspected.LastCrash, Known.At);
  if (Suspected.Crashes.size() > MaxCrashesPerSuspect)
    dropOneCrash(Suspected.Crashes);
  if (IsNewPart)
    this->evictExcess();
  return IsNew || IsClearedNow;
}

std::vector<PartCrash>
PartCrashRegistry::recordAnswer(const std::vector<PartId> &Parts,
                                TimePoint BegunAt, TimePoint Now) {
  std::vector<PartCrash> News;
  for (const PartId Part : Parts) {
    const auto Found = this->Suspects.find(Part);
    if (Found == this->Suspects.end())
      continue;
    bool Changed = false;
    for (auto &[Process, Each] : Found->second.Crashes) {
      if (Each.Cleared || Each.At > BegunAt)
        continue;
      Each.Cleared = true;
      Changed = true;
    }
    if (Changed)
      Found->second.SentProbes = 0;
    // One crash alone is no reason to refuse a part, here or elsewhere.
    if (Changed && Found->second.Crashes.size() > 1)
      appendFacts(*Found, Now, News);
  }
  std::erase_if(News, [](const PartCrash &Each) { return !Each.Cleared; });
  return News;
}

std::vector<PartCrash>
PartCrashRegistry::corrections(const std::vector<PartCrash> &Facts,
                               TimePoint Now) const {
  std::vector<PartCrash> Corrections;
  for (const PartCrash &Told : Facts) {
    const Suspect *Suspected = this->find(Told.Part);
    if (Told.Cleared || Suspected == nullptr)
      continue;
    const auto Known = Suspected->Crashes.find(Told.Process);
    if (Known == Suspected->Crashes.end() || !Known->second.Cleared)
      continue;
    Corrections.push_back(Told);
    Corrections.back().Cleared = true;
    Corrections.back().AgeMs = millisecondsBetween(Known->second.At, Now);
  }
  return Corrections;
}

std::vector<PartCrash> PartCrashRegistry::accept(PartId Part, TimePoint Now) {
  std::vector<PartCrash> News;
  const auto Found = this->Suspects.find(Part);
  if (Found == this->Suspects.end())
    return News;
  for (auto &[Process, Each] : Found->second.Crashes)
    Each.Cleared = true;
  Found->second.SentProbes = 0;
  appendFacts(*Found, Now, News);
  return News;
}

PartCrashRegistry::Evidence
PartCrashRegistry::evidenceOf(const Suspect &Suspected) const {
  std::vector<std::pair<const ServerProcess *, const Crash *>> Counted;
  for (const auto &[Process, Each] : Suspected.Crashes)
    if (!Each.Cleared && !this->Attributed.contains(Process))
      Counted.emplace_back(&Process, &Each);
  std::sort(Counted.begin(), Counted.end(),
            [](const auto &Left, const auto &Right) {
              return Left.second->At < Right.second->At;
            });
  Evidence Against;
  std::set<std::uint64_t> Successors;
  TimePoint Last{};
  for (const auto &[Process, Each] : Counted) {
    Against.Processes.push_back(*Process);
    Against.Requests.push_back(Each->Request);
    const bool IsSuccessive = Against.Successive == 0 || Each->SentAt >= Last;
    if (!IsSuccessive || !Successors.insert(Each->Request).second)
      continue;
    if (Against.Successive++ == 0)
      Against.Since = Each->At;
    if (Against.Successive <= CrashesToRefuse)
      Against.KnownSince = std::max(Against.KnownSince, Each->KnownSince);
    Last = Each->At;
  }
  return Against;
}

bool PartCrashRegistry::isConclusive(PartId Part, const Evidence &Against,
                                     const std::set<PartId> &RefusedBefore,
                                     TimePoint Now) const {
  if (Against.Successive < CrashesToRefuse)
    return false;
  if (RefusedBefore.contains(Part))
    return true;
  const auto Explainable = static_cast<std::size_t>(std::count_if(
      this->Crashes.begin(), this->Crashes.end(), [&](const auto &Each) {
        return Each.second >= Against.Since &&
               !this->Attributed.contains(Each.first);
      }));
  return Now - Against.Since >= AnswerTime &&
         Now - Against.KnownSince >= ReviewTime &&
         Against.Processes.size() * MinExplainedDivisor >= Explainable;
}

PartCrashRegistry::EvidenceMap
PartCrashRegistry::strongestEvidence(const std::set<PartId> &Undecided,
                                     const std::set<PartId> &RefusedBefore,
                                     TimePoint Now) const {
  EvidenceMap Strongest;
  std::size_t Most = 0;
  for (const PartId Part : Undecided) {
    Evidence Against = this->evidenceOf(this->Suspects.at(Part));
    if (!this->isConclusive(Part, Against, RefusedBefore, Now))
      continue;
    Most = std::max(Most, Against.Processes.size());
    Strongest.emplace(Part, std::move(Against));
  }
  std::erase_if(Strongest, [Most](const auto &Each) {
    return Each.second.Processes.size() < Most;
  });
  return Strongest;
}

bool PartCrashRegistry::refuse(const EvidenceMap &Strongest) {
  struct Equal {
    Combination Parts;
    std::set<std::vector<std::uint64_t>> Requests;
  };
  std::map<std::vector<ServerProcess>, Equal> ByCrashes;
  for (const auto &[Part, Against] : Strongest) {
    Equal &Equals = ByCrashes[Against.Processes];
    Equals.Parts.push_back(Part);
    Equals.Requests.insert(Against.Requests);
  }
  bool Found = false;
  for (const auto &[Processes, Equals] : ByCrashes) {
    if (Equals.Requests.size() > MaxEqualSuspects)
      continue;
    Found = true;
    this->Refused.insert(Equals.Parts);
    this->RefusedParts.insert(Equals.Parts.begin(), Equals.Parts.end());
    this->Attributed.insert(Processes.begin(), Processes.end());
  }
  return Found;
}

std::vector<PartCrashRegistry::Change>
PartCrashRegistry::update(TimePoint Now) {
  const std::set<Combination> Before = std::exchange(this->Refused, {});
  const std::set<PartId> PartsBefore = std::exchange(this->RefusedParts, {});
  this->Attributed.clear();
  std::set<PartId> Undecided;
  for (const auto &[Part, Suspected] : this->Suspects)
    if (Suspected.unclearedCrashes() >= CrashesToRefuse)
      Undecided.insert(Part);
  while (!Undecided.empty()) {
    const EvidenceMap Strongest =
        this->strongestEvidence(Undecided, PartsBefore, Now);
    if (Strongest.empty() || !this->refuse(Strongest))
      break;
    for (const auto &[Part, Against] : Strongest)
      Undecided.erase(Part);
  }
  std::vector<Change> Changes;
  for (const Combination &Each : this->Refused)
    if (!Before.contains(Each))
      Changes.push_back({Each, true});
  for (const Combination &Each : Before)
    if (!this->Refused.contains(Each))
      Changes.push_back({Each, false});
  return Changes;
}

const PartCrashRegistry::Combination *
PartCrashRegistry::refusedIn(const std::vector<PartId> &Parts) const {
  for (const Combination &Each : this->Refused)
    if (std::all_of(Each.begin(), Each.end(), [&Parts](PartId Part) {
          return std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
        }))
      return &Each;
  return nullptr;
}

bool PartCrashRegistry::mayProbe(const Combination &Parts,
                                 TimePoint Now) const {
  const Suspect *Suspected = this->find(Parts.front());
  if (Suspected == nullptr || !this->Refused.contains(Parts))
    return false;
  const std::size_t Probes = Suspected->probes();
  const Duration Delay = Probes == 0 ? FirstProbeDelay : SecondProbeDelay;
  const TimePoint Last = std::max(Suspected->LastCrash, Suspected->LastProbe);
  return Probes < MaxProbes && Now - Last >= Delay;
}

void PartCrashRegistry::reserveProbe(const Combination &Parts, TimePoint Now) {
  for (const PartId Part : Parts)
    if (const auto Found = this->Suspects.find(Part);
        Found != this->Suspects.end())
      Found->second.LastProbe = Now;
}

void PartCrashRegistry::recordProbe(const Combination &Parts, TimePoint Now) {
  this->reserveProbe(Parts, Now);
  for (const PartId Part : Parts)
    if (const auto Found = this->Suspects.find(Part);
        Found != this->Suspects.end())
      ++Found->second.SentProbes;
}

void PartCrashRegistry::withdrawProbe(const Combination &Parts) {
  for (const PartId Part : Parts)
    if (const auto Found = this->Suspects.find(Part);
        Found != this->Suspects.end() && Found->second.SentProbes > 0)
      --Found->second.SentProbes;
}

void PartCrashRegistry::evictExcess() {
  if (this->Suspects.size() <= MaxSuspects)
    return;
  const auto Least =
      std::min_element(this->Suspects.begin(), this->Suspects.end(),
                       [this](const auto &Left, const auto &Right) {
                         return std::tuple(this->isRefused(Left.first),
                                           Left.second.unclearedCrashes(),
                                           Left.second.LastCrash) <
                                std::tuple(this->isRefused(Right.first),
                                           Right.second.unclearedCrashes(),
                                           Right.second.LastCrash);
                       });
  this->Suspects.erase(Least);
}

/// The next `update` drops the refusals of parts that are removed.
void PartCrashRegistry::removeExpired(TimePoint Now) {
  std::erase_if(this->Suspects, [Now](const auto &Each) {
    return Now - Each.second.LastCrash > SuspectLifetime;
  });
  std::erase_if(this->Crashes, [Now](const auto &Each) {
    return Now - Each.second > SuspectLifetime;
  });
}

void PartCrashRegistry::appendFacts(const SuspectMap::value_type &Entry,
                                    TimePoint Now,
                                    std::vector<PartCrash> &Facts) {
  const auto &[Part, Suspected] = Entry;
  for (const auto &[Process, Each] : Suspected.Crashes)
    Facts.push_back(
        {Part, Process, Each.Request, millisecondsBetween(Each.SentAt, Each.At),
         millisecondsBetween(Each.At, Now), Each.Cleared, Each.Probed});
}

std::vector<PartCrash> PartCrashRegistry::allFacts(TimePoint Now) const {
  std::vector<PartCrash> Facts;
  for (const auto &Each : this->Suspects)
    if (this->isRefused(Each.first))
      appendFacts(Each, Now, Facts);
  for (const auto &Each : this->Suspects)
    if (!this->isRefused(Each.first) &&
        Now - Each.second.LastCrash < FactSendingPeriod)
      appendFacts(Each, Now, Facts);
  return Facts;
}

std::vector<PartCrash> PartCrashRegistry::nextFacts(std::size_t MaxFacts,
                                                    TimePoint Now) {
  std::vector<PartCrash> Facts;
  std::set<PartId> Told;
  // Half of the space is left for the other parts.
  for (const PartId Part : this->RefusedParts) {
    const auto Entry = this->Suspects.find(Part);
    if (Entry == this->Suspects.end())
      continue;
    if (Facts.size() + Entry->second.Crashes.size() > MaxFacts / 2)
      break;
    appendFacts(*Entry, Now, Facts);
    Told.insert(Part);
  }
  auto Each = this->Suspects.upper_bound(this->LastVisited);
  for (std::size_t Examined = 0; Examined < this->Suspects.size(); ++Examined) {
    if (Each == this->Suspects.end())
      Each = this->Suspects.begin();
    if (Facts.size() + Each->second.Crashes.size() > MaxFacts)
      break;
    const bool IsDue = this->isRefused(Each->first) ||
                       Now - Each->second.LastCrash < FactSendingPeriod;
    if (IsDue && !Told.contains(Each->first))
      appendFacts(*Each, Now, Facts);
    this->LastVisited = Each->first;
    ++Each;
  }
  return Facts;
}

} // namespace parsleywing
