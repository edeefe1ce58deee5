#ifndef PARSLEYWING_DECISION_SERVERS_SERVERNOTICE_H
#define PARSLEYWING_DECISION_SERVERS_SERVERNOTICE_H

#include <cstdint>
#include <tuple>
#include <vector>

namespace parsleywing {

/// A fact about a backend server. Each one is set, gossiped and cleared
/// independently because its source does not know the others: an engine
/// responds normally until its VM is removed, and the platform's list may lag
/// behind the engine.
enum class ServerFact : std::uint8_t {
  ListedLeaving,  ///< The platform's list shows its VM as leaving.
  ReportsLeaving, ///< It reports that it is leaving.
  Unreachable,    ///< It does not respond to its owner's probes.
};

inline constexpr std::uint8_t ServerFactCount = 3;

/// One fact about one server, as observed by a router itself. Of two notices
/// on the same fact, the one with the higher counter is newer: a router
/// increments the highest counter that it knows. If two routers used the same
/// counter, the notice that the fact holds wins.
struct ServerNotice {
  std::uint64_t Server = 0;
  std::uint8_t Fact = 0; ///< A `ServerFact`.
  bool Holds = false;
  std::uint32_t Counter = 0;
  std::uint64_t Origin = 0;            ///< The router that observed it.
  std::uint64_t IncarnationNumber = 0; ///< The incarnation of that router.

  bool isNewerThan(const ServerNotice &Other) const {
    return std::tie(this->Counter, this->Holds, this->Origin,
                    this->IncarnationNumber) >
           std::tie(Other.Counter, Other.Holds, Other.Origin,
                    Other.IncarnationNumber);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Server, this->Fact, this->Holds, this->Counter, this->Origin,
       this->IncarnationNumber);
  }
};

/// Several notices to one router; each takes 30 bytes on the wire.
struct ServerNotices {
  std::vector<ServerNotice> Notices;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Notices); }
};

} // namespace parsleywing

#endif
