#ifndef PARSLEYWING_PLACEMENT_CRASHREGISTRY_H
#define PARSLEYWING_PLACEMENT_CRASHREGISTRY_H

#include "Placement/RequestIdentity.h"
#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace parsleywing {

/// One process of a backend server: the hash of its identity, and the start of
/// its process as its entry tells it.
struct ServerProcess {
  std::uint64_t Server = 0;
  std::int64_t StartedMs = 0;

  friend bool operator==(const ServerProcess &,
                         const ServerProcess &) = default;
  friend bool operator<(const ServerProcess &Left, const ServerProcess &Right) {
    return std::tie(Left.Server, Left.StartedMs) <
           std::tie(Right.Server, Right.StartedMs);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->StartedMs);
  }
};

/// A request was in hand at a server's process as that crashed. Facts may come
/// in any order and more than once.
struct CrashFact {
  RequestIdentity Request;
  ServerProcess Process;
  /// The request has been answered whole since, so this speaks against it no
  /// longer.
  bool Cleared = false;
  /// Seconds since the request was last seen, as far as the teller knows.
  std::uint32_t AgeSeconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Request, this->Process, this->Cleared, this->AgeSeconds);
  }
};

/// Remembers which requests were in hand at servers that crashed, and judges
/// which of them are the cause. All routers hold the same facts sooner or
/// later, and judge alike from the same facts.
///
/// A crash ends the innocent requests at its server too, and sent again they
/// meet the next one by chance. So a crash that a refused request explains does
/// not count against the others: of all requests with enough crashes those with
/// the most are refused first, and each of the rest is judged by what is left.
/// One more fact may refuse a request or return one. A request that has been
/// answered whole begins anew.
///
/// Makes no calls and has no clock of its own.
class CrashRegistry {
public:
  /// False where the fact was known.
  bool record(const CrashFact &Fact, TimePoint Now);

  /// The request has been answered whole: nothing known speaks against it any
  /// more. The facts that changed by it.
  std::vector<CrashFact> clear(const RequestIdentity &Request, TimePoint Now);

  /// Whether the request must not be sent to a server.
  bool isRefused(const RequestIdentity &Request) const;
  /// It came again and was refused: it is remembered for longer.
  void recordRefused(const RequestIdentity &Request, TimePoint Now);

  /// Whether a refused request may be sent once to find out whether it still
  /// crashes servers: it was innocent, or servers have been mended. Twice in
  /// its life, long behind its last crash and the last try.
  bool mayProbe(const RequestIdentity &Request, TimePoint Now) const;
  void recordProbe(const RequestIdentity &Request, TimePoint Now);

  /// Crashes of servers that speak against the request.
  std::size_t crashCount(const RequestIdentity &Request) const;

  /// Whether a request with this sketch may be known. False spares its
  /// identity's digest.
  bool mayContain(std::uint32_t Sketch) const {
    return this->ShortHashes.contains(Sketch);
  }

  /// The next facts to tell another router, at most so many (and at least 12),
  /// round after round:
  /// of refused requests, and of those that were seen lately.
  std::vector<CrashFact> nextFacts(std::size_t Most, TimePoint Now);
  /// All of these.
  std::vector<CrashFact> allFacts(TimePoint Now) const;

  /// Drops what was not seen for long. Called now and then.
  void removeExpired(TimePoint Now);

  std::size_t size() const { return this->Suspects.size(); }
  std::size_t refusedCount() const;

  /// For the dump of state.
  template <typename Visitor> void visit(Visitor Each) const {
    for (const auto &[Request, Known] : this->Suspects)
      Each(Request, Known.activeCrashes(), Known.Refused);
  }

private:
  struct Suspect {
    /// Each with whether it was cleared.
    std::map<ServerProcess, bool> Crashes;
    TimePoint LastSeen{};
    TimePoint LastCrashOrProbe{};
    bool Refused = false;

    std::size_t activeCrashes() const;
  };
  using SuspectMap = std::map<RequestIdentity, Suspect>;

  /// Whether a change of the record may change what is refused.
  static bool affectsRefusals(const Suspect &Known);
  void updateRefusals();
  void evictExcess();
  void erase(SuspectMap::iterator Each);
  /// Where they are to be told.
  static void appendFacts(const SuspectMap::value_type &Of, TimePoint Now,
                          std::vector<CrashFact> &Into);

  SuspectMap Suspects;
  std::multiset<std::uint32_t> ShortHashes;
  /// The request whose facts were told last.
  RequestIdentity LastSent;
};

} // namespace parsleywing

#endif
