#ifndef PARSLEYWING_CRASH_CRASHREGISTRY_H
#define PARSLEYWING_CRASH_CRASHREGISTRY_H

#include "Crash/RequestIdentity.h"
#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace parsleywing {

/// One process of a backend server: the hash of the server's identity, and a
/// number that is higher for later processes of the same server, such as the
/// time of their start.
struct ServerProcess {
  std::uint64_t Server = 0;
  std::int64_t Start = 0;

  friend bool operator==(const ServerProcess &,
                         const ServerProcess &) = default;
  friend bool operator<(const ServerProcess &Left, const ServerProcess &Right) {
    return std::tie(Left.Server, Left.Start) <
           std::tie(Right.Server, Right.Start);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->Start);
  }
};

/// States that a request was in progress at a server's process when that
/// process crashed. Facts may arrive in any order and more than once.
struct CrashFact {
  RequestIdentity Request;
  ServerProcess Process;
  /// The request has had a complete response since, so that this crash no
  /// longer counts against it.
  bool Cleared = false;
  /// Seconds since the request was last seen, as far as the sender knows.
  std::uint32_t AgeSeconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Process, this->Cleared, this->AgeSeconds);
  }
};

/// Records which requests were in progress at servers that crashed, and decides
/// which requests cause crashes and must be refused. All routers eventually
/// hold the same facts, and make the same decisions from the same facts.
///
/// A crash also ends requests at the server that did not cause it, and their
/// retries may be at the next server that crashes by chance. A crash is
/// therefore attributed to the refused requests with the most crashes, and no
/// longer counts against others: of all requests with enough crashes, those
/// with the most are refused first, and only the crashes that are still
/// unattributed decide on the remaining requests. A new fact may cause a
/// request to be refused or to be accepted again. A request that gets a
/// complete response starts over.
///
/// Performs no I/O and has no clock of its own.
class CrashRegistry {
public:
  /// Records a fact; returns false if it was already known.
  bool record(const CrashFact &Fact, TimePoint Now);

  /// Clears all crashes of a request that had a complete response, and returns
  /// the facts that changed.
  std::vector<CrashFact> clear(const RequestIdentity &Request, TimePoint Now);

  /// Sets the crashes that are attributed to something other than a request,
  /// and therefore count against none.
  void setAttributedElsewhere(std::set<ServerProcess> Processes);

  /// Whether the request must not be sent to a server.
  bool isRefused(const RequestIdentity &Request) const;
  /// Records that a refused request was received again, which extends the
  /// lifetime of its entry.
  void recordRefusedAgain(const RequestIdentity &Request, TimePoint Now);

  /// Whether a refused request may be sent once, as a probe, to find out
  /// whether it still crashes servers: it may not have caused the crashes, or
  /// the servers may have been fixed. Permitted a long time after the last
  /// crash and the last probe, until the request has five crashes that are not
  /// cleared. At most two probes therefore crash a server.
  bool mayProbe(const RequestIdentity &Request, TimePoint Now) const;
  void recordProbe(const RequestIdentity &Request, TimePoint Now);

  /// The number of crashes that count against the request.
  std::size_t crashCount(const RequestIdentity &Request) const;

  /// Whether a request with this short hash may be recorded. If not, the digest
  /// of its identity need not be computed.
  bool mayContain(std::uint32_t ShortHash) const {
    return this->ShortHashes.contains(ShortHash);
  }

  /// The next facts to send to another router, at most `MaxFacts`, which must
  /// be at least `MaxCrashesPerSuspect` (12). Cycles through the facts of
  /// refused requests and of requests that were seen recently.
  std::vector<CrashFact> nextFacts(std::size_t MaxFacts, TimePoint Now);
  /// All facts through which `nextFacts` cycles.
  std::vector<CrashFact> allFacts(TimePoint Now) const;

  /// Removes requests that were not seen for a long time. Called periodically.
  void removeExpired(TimePoint Now);

  std::size_t size() const { return this->Suspects.size(); }
  std::size_t refusedCount() const;

  /// Calls `Visit` with each recorded request, for the state dump.
  template <typename Visitor> void visit(Visitor Visit) const {
    for (const auto &[Request, Suspected] : this->Suspects)
      Visit(Request, Suspected.unclearedCrashes(), Suspected.Refused);
  }

private:
  struct Suspect {
    /// Maps each crashed process to whether the crash is cleared.
    std::map<ServerProcess, bool> Crashes;
    TimePoint LastSeen{};
    TimePoint LastCrashOrProbe{};
    bool Refused = false;

    std::size_t unclearedCrashes() const;
  };
  using SuspectMap = std::map<RequestIdentity, Suspect>;

  /// Whether a change of this request's crashes may change which requests are
  /// refused.
  static bool affectsRefusals(const Suspect &Suspected);
  void updateRefusals();
  void evictExcess();
  void erase(SuspectMap::iterator Position);
  /// Appends the facts of a request, unless they need not be sent any more.
  static void appendFacts(const SuspectMap::value_type &Entry, TimePoint Now,
                          std::vector<CrashFact> &Facts);

  SuspectMap Suspects;
  std::multiset<std::uint32_t> ShortHashes;
  std::set<ServerProcess> AttributedElsewhere;
  /// The request that `nextFacts` visited last.
  RequestIdentity LastVisited;
};

} // namespace parsleywing

#endif
