#ifndef PARSLEYWING_CRASH_PARTCRASHREGISTRY_H
#define PARSLEYWING_CRASH_PARTCRASHREGISTRY_H

#include "Crash/PartCrash.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace parsleywing {

/// Decides which prompt parts crash the servers that begin to answer requests
/// with them, whatever else these requests hold.
///
/// A crash ends all requests at its server, so it is evidence against each of
/// their parts, also against those that most requests share. Three things tell
/// the cause from its company:
/// - An answer that was begun after a crash and goes on for a while, or is
///   complete, clears its parts of that crash.
/// - Only successive crashes count: of requests that differ, each sent after
///   the crash before. Servers that crash at the same moment are one event.
/// - A crash is attributed to the refused part that explains the most crashes,
///   and no longer counts against others. A part that explains few of the
///   crashes of its time is not refused.
///
/// Parts that explain the same crashes are refused as a combination: a request
/// with only some of them is sent, and shows which of them is the cause.
///
/// Everything is computed anew from the facts, so a part may be accepted again
/// when more is known. Performs no I/O and has no clock of its own.
class PartCrashRegistry {
public:
  /// Records a fact; returns false if it was already known.
  bool record(const PartCrash &Fact, TimePoint Now);

  /// Clears the parts of an answer of all crashes before it was begun. Returns
  /// the facts to tell the other routers.
  std::vector<PartCrash> recordAnswer(const std::vector<PartId> &Parts,
                                      TimePoint BegunAt, TimePoint Now);
  /// Of facts that another router has told: those that it does not know to be
  /// cleared.
  std::vector<PartCrash> corrections(const std::vector<PartCrash> &Facts,
                                     TimePoint Now) const;
  /// Clears the part of all its crashes, whatever was answered.
  std::vector<PartCrash> accept(PartId Part, TimePoint Now);

  /// Parts that are refused together, in ascending order; mostly one alone.
  using Combination = std::vector<PartId>;

  /// A combination that is refused from now on, or accepted again.
  struct Change {
    Combination Parts;
    bool Refused = false;
  };
  /// Decides anew which parts are refused. Called after `record` and
  /// `recordAnswer`, and periodically, since a part may be refused for the time
  /// that has passed without an answer.
  std::vector<Change> update(TimePoint Now);

  /// The combination for which a request with these parts must not be sent to a
  /// server; null if it may be sent.
  const Combination *refusedIn(const std::vector<PartId> &Parts) const;
  /// Whether the part belongs to a refused combination.
  bool isRefused(PartId Part) const {
    return this->RefusedParts.contains(Part);
  }
  const std::set<Combination> &refused() const { return this->Refused; }
  /// Crashes that are attributed to refused parts.
  const std::set<ServerProcess> &attributed() const { return this->Attributed; }

  /// Whether one request with refused parts may be sent, to find out whether
  /// they still crash servers: they may not have caused the crashes, or the
  /// servers may have been fixed. Soon for the first time, and long after a
  /// probe that was sent; at most two are, unless one is answered.
  bool mayProbe(const Combination &Parts, TimePoint Now) const;
  /// Permits no other probe for some seconds.
  void reserveProbe(const Combination &Parts, TimePoint Now);
  /// A probe is being sent to a server.
  void recordProbe(const Combination &Parts, TimePoint Now);
  /// The last probe has not been sent after all.
  void withdrawProbe(const Combination &Parts);

  /// The next facts to send to another router, at most `MaxFacts`: those of
  /// refused parts, and the following others.
  std::vector<PartCrash> nextFacts(std::size_t MaxFacts, TimePoint Now);
  /// All facts that other routers may lack, those of refused parts first.
  std::vector<PartCrash> allFacts(TimePoint Now) const;

  /// Removes parts whose last crash was long ago. Called periodically.
  void removeExpired(TimePoint Now);

  std::size_t size() const { return this->Suspects.size(); }

  /// A crash that counts against a part or has been cleared.
  struct Crash {
    TimePoint At{};
    /// When this router was first told of it.
    TimePoint KnownSince{};
    /// The last of the requests with the part that were in progress.
    TimePoint SentAt{};
    std::uint64_t Request = 0;
    bool Cleared = false;
    /// A probe was in progress.
    bool Probed = false;
  };
  struct Suspect {
    std::map<ServerProcess, Crash> Crashes;
    TimePoint LastCrash{};
    TimePoint LastProbe{};
    /// Probes of this router since the last answer.
    std::size_t SentProbes = 0;

    std::size_t unclearedCrashes() const;
    /// The number of probes since the last answer: those that this router has
    /// sent, or those of all routers that crashed a server.
    std::size_t probes() const;
  };

  /// Calls `Visit` with each recorded part, for the state dump.
  template <typename Visitor> void visit(Visitor Visit) const {
    for (const auto &[Part, Suspected] : this->Suspects)
      Visit(Part, Suspected, this->isRefused(Part));
  }
  /// The recorded crashes of a part; null if there are none.
  const Suspect *find(PartId Part) const;

private:
  using SuspectMap = std::map<PartId, Suspect>;

  /// What speaks against a part: its crashes that are neither cleared nor
  /// attributed to another part.
  struct Evidence {
    std::vector<ServerProcess> Processes;
    /// The request with the part at each of these processes. Parts that only
    /// occur together have the same ones.
    std::vector<std::uint64_t> Requests;
    std::size_t Successive = 0;
    /// Of the first successive crash.
    TimePoint Since{};
    /// When this router has known enough successive crashes.
    TimePoint KnownSince{};
  };
  Evidence evidenceOf(const Suspect &Suspected) const;
  using EvidenceMap = std::map<PartId, Evidence>;
  bool isConclusive(PartId Part, const Evidence &Against,
                    const std::set<PartId> &RefusedBefore, TimePoint Now) const;
  /// The evidence against the parts that explain the most crashes.
  EvidenceMap strongestEvidence(const std::set<PartId> &Undecided,
                                const std::set<PartId> &RefusedBefore,
                                TimePoint Now) const;
  /// Refuses the parts of each set of crashes as one combination. Returns false
  /// if none was refused.
  bool refuse(const EvidenceMap &Strongest);
  void evictExcess();
  static void appendFacts(const SuspectMap::value_type &Entry, TimePoint Now,
                          std::vector<PartCrash> &Facts);

  SuspectMap Suspects;
  /// All crashes of any part.
  std::map<ServerProcess, TimePoint> Crashes;
  std::set<Combination> Refused;
  std::set<PartId> RefusedParts;
  std::set<ServerProcess> Attributed;
  /// The part that `nextFacts` visited last.
  PartId LastVisited = 0;
};

} // namespace parsleywing

#endif
