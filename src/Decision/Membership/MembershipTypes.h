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

/// The status of a router in the opinion of another one, in ascending order of
/// precedence among rumours with the same refutation number.
enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead };

inline constexpr EnumNames<MemberStatus, 3> MemberStatusNames{{
    {MemberStatus::Alive, "alive"},
    {MemberStatus::Suspect, "suspect"},
    {MemberStatus::Dead, "dead"},
}};

/// The addresses of a router process. They do not change during its lifetime.
struct RouterRecord {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  std::uint32_t Zone = 0; ///< Hash of the availability zone's name.
  std::string Name;
  std::string PeerAddress;   ///< IP:port of its peer sockets.
  std::string CallerAddress; ///< IP:port at which callers reach it.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Router.Value, this->IncarnationNumber, this->Zone, this->Name,
       this->PeerAddress, this->CallerAddress);
  }
};

/// A statement about a router that is passed on from router to router. Encoded
/// in 22 bytes.
struct MemberRumour {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  /// Incremented by the router itself each time it refutes a rumour about
  /// itself.
  std::uint32_t Refutation = 0;
  MemberStatus Status = MemberStatus::Alive;
  bool Draining = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Router.Value, this->IncarnationNumber, this->Refutation,
       this->Status, this->Draining);
  }
};

/// The type of a membership message.
enum class MembershipKind : std::uint8_t {
  Ping,         ///< Requests an Ack with the same number.
  Ack,          ///< Confirms a Ping or, forwarded, a PingRequest.
  PingRequest,  ///< Requests to ping `Target` and to forward its Ack to the
                ///< sender.
  Gossip,       ///< Carries rumours only.
  StateRequest, ///< Requests a State.
  State, ///< All rumours and records of the sender; sent over the bulk channel.
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
  RouterId Target;          ///< Set in a PingRequest; otherwise zero.
  /// Hash of the sender's view; equal views have equal hashes.
  std::uint64_t ViewHash = 0;
  std::vector<MemberRumour> Rumours;
  std::vector<RouterRecord> Records;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Number, this->Target.Value, this->ViewHash,
       this->Rumours, this->Records);
  }
};

/// A message from a router process was received. The transport has
/// authenticated the sender.
struct MembershipMessageReceived {
  RouterId From;
  Incarnation IncarnationNumber = 0;
  MembershipMessage Message;
  /// IP:port of the sender; empty for bulk messages.
  std::string Address;
};

/// A router as listed by the platform. An unknown incarnation number is zero.
struct PlatformRouter {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  std::string PeerAddress;
};

/// The platform's list of VMs. It lags behind, so it only selects which routers
/// to ping.
struct VmListChanged {
  std::vector<PlatformRouter> Live;
  std::vector<PlatformRouter> Leaving;
};

/// The routers that hold a lease in the platform's store.
struct LeaseListed {
  std::vector<PlatformRouter> Holders;
};

/// Time has passed. Expected about every 50 ms; a late tick only delays the
/// protocol.
struct MembershipTick {};

using MembershipEvent =
    std::variant<MembershipMessageReceived, VmListChanged, LeaseListed,
                 MembershipTick, DrainRequested>;

/// Send to a router whose address was reported by `PeerAddressLearned`.
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

/// The address of a router from now on. Precedes any message to it.
struct PeerAddressLearned {
  RouterId Router;
  std::string Address;
};

/// A later process has this router's name. This process must accept no callers,
/// own nothing, and exit. Reported once.
struct Superseded {
  Incarnation By = 0;
};

using MembershipAction =
    std::variant<SendMembershipMessage, ContactAddress, PeerAddressLearned,
                 ViewChanged, Superseded>;

} // namespace parsleywing

#endif
