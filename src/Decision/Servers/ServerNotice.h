#ifndef PARSLEYWING_DECISION_SERVERS_SERVERNOTICE_H
#define PARSLEYWING_DECISION_SERVERS_SERVERNOTICE_H

#include <cstdint>
#include <tuple>
#include <vector>

namespace parsleywing {

/// What may be said of a backend server. Each is known, told and taken back by
/// itself, since the source of one knows nothing of the others: an engine
/// answers well until its VM goes, and a list may lag behind the engine.
enum class ServerFact : std::uint8_t {
  ListedLeaving,  ///< The platform's list says that its VM leaves.
  ReportsLeaving, ///< It says itself that it leaves.
  Unreachable,    ///< It does not answer its owner's probes.
};

inline constexpr std::uint8_t ServerFactCount = 3;

/// One fact about one server, as some router learnt it first-hand. Of two
/// notices of one fact the one with the higher counter is the newer: a router
/// counts on from the highest that it knows. Where two routers spoke without
/// knowing of each other, the one that says that the fact holds goes first.
struct ServerNotice {
  std::uint64_t Server = 0;
  std::uint8_t Fact = 0; ///< A `ServerFact`.
  bool Holds = false;
  std::uint32_t Counter = 0;
  std::uint64_t Origin = 0;            ///< The router that learnt it.
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

/// Several notices to one router, 30 bytes each on the wire.
struct ServerNotices {
  std::vector<ServerNotice> Notices;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Notices); }
};

} // namespace parsleywing

#endif
