#ifndef PARSLEYWING_DECISION_MEMBERSHIP_MEMBERSHIPTYPES_H
#define PARSLEYWING_DECISION_MEMBERSHIP_MEMBERSHIPTYPES_H

#include "Decision/Membership/View.h"
#include "Runtime/Clock.h"
#include "Runtime/EnumNames.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace parsleywing {

/// What one router believes of another, in the order in which a claim beats
/// an equally fresh one.
enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead };

inline constexpr EnumNames<MemberStatus, 3> MemberStatusNames{{
    {MemberStatus::Alive, "alive"},
    {MemberStatus::Suspect, "suspect"},
    {MemberStatus::Dead, "dead"},
}};

/// Where a router process can be reached. It does not change in one life.
struct RouterRecord {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  std::uint32_t Zone = 0; ///< Hash of the availability zone's name.
  std::string Name;
  std::string PeerAddress;   ///< IP:port of its peer sockets.
  std::string CallerAddress; ///< IP:port where callers reach it.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Router.Value, this->IncarnationNumber, this->Zone, this->Name,
       this->PeerAddress, this->CallerAddress);
  }
};

/// A claim about a router, passed on from router to router. 22 bytes encoded.
struct MemberRumour {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  /// Raised by the router itself each time it contradicts a claim about it.
  std::uint32_t Refutation = 0;
  MemberStatus Status = MemberStatus::Alive;
  bool Draining = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Router.Value, this->IncarnationNumber, this->Refutation,
       this->Status, this->Draining);
  }
};

/// What a membership message asks or answers.
enum class MembershipKind : std::uint8_t {
  Ping,         ///< Answer with an Ack of the same number.
  Ack,          ///< The answer to a Ping or, passed on, to a PingRequest.
  PingRequest,  ///< Ping `Target` and pass its Ack on to the sender.
  Gossip,       ///< Only carries rumours.
  StateRequest, ///< Answer with a State.
  State,        ///< All rumours and records the sender has; goes in bulk.
};

inline constexpr EnumNames<MembershipKind, 6> MembershipKindNames{{
    {MembershipKind::Ping, "ping"},
    {MembershipKind::Ack, "ack"},
    {MembershipKind::PingRequest, "ping-request"},
    {MembershipKind::Gossip, "gossip"},
    {MembershipKind::StateRequest, "state-request"},
    {MembershipKind::State, "state"},
}};

/// A message between two membership tables.
struct MembershipMessage {
  MembershipKind Kind = MembershipKind::Gossip;
  std::uint32_t Number = 0; ///< Matches an Ack to its Ping.
  RouterId Target;          ///< Of a PingRequest; else zero.
  /// Hash of the sender's view; equal views have equal hashes.
  std::uint64_t ViewHash = 0;
  std::vector<MemberRumour> Rumours;
  std::vector<RouterRecord> Records;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Number, this->Target.Value, this->ViewHash,
       this->Rumours, this->Records);
  }
};

/// A message came from a router process; the transport checked its origin.
struct MembershipMessageReceived {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  MembershipMessage Message;
  /// IP:port it came from; empty for bulk.
  std::string Address;
};

/// A router as the platform knows it. Where the life is not known it is zero.
struct PlatformRouter {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  std::string PeerAddress;
};

/// The platform's list of VMs, which lags: it only suggests whom to ask.
struct VmListChanged {
  std::vector<PlatformRouter> Live;
  std::vector<PlatformRouter> Leaving;
};

/// The routers that hold a lease in the platform's store.
struct LeaseListed {
  std::vector<PlatformRouter> Holders;
};

/// Time went on. Wanted every 50 ms or so; a late one delays, nothing else.
struct MembershipTick {};

using MembershipEvent =
    std::variant<MembershipMessageReceived, VmListChanged, LeaseListed,
                 MembershipTick, DrainRequested>;

/// Send to a router whose address was given by `PeerAddressLearned`.
struct SendMembershipMessage {
  RouterId To;
  MembershipMessage Message;
  bool Urgent = false;
  bool Bulk = false;
};

/// Send to an address whose router is not known yet.
struct ContactAddress {
  std::string Address;
  MembershipMessage Message;
};

/// Where to reach a router from now on. Comes before any send to it.
struct PeerAddressLearned {
  RouterId Router;
  std::string Address;
};

/// A later process bears this router's name: this one must take no callers,
/// own nothing and end. Given once.
struct Superseded {
  Incarnation By = 0;
};

using MembershipAction =
    std::variant<SendMembershipMessage, ContactAddress, PeerAddressLearned,
                 ViewChanged, Superseded>;

} // namespace parsleywing

#endif
