#ifndef PARSLEYWING_DECISION_MEMBERSHIP_VIEW_H
#define PARSLEYWING_DECISION_MEMBERSHIP_VIEW_H

#include "Runtime/Id.h"

#include <cstdint>
#include <vector>

namespace parsleywing {

/// Distinguishes a router process from earlier and later ones of the same name.
/// Taken from the wall clock at the start, so that a later process has a higher
/// number.
using Incarnation = std::uint64_t;

/// One router in a view.
struct Member {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  /// It accepts no new callers and owns nothing, but finishes its current work.
  bool Draining = false;
  /// The hash of its availability zone's name; equal in all processes.
  std::uint32_t Zone = 0;

  friend bool operator==(const Member &, const Member &) = default;
};

/// The routers that one router believes alive, including itself, ordered by
/// identity. The views of two routers may differ at any time; no safety
/// property may depend on their being equal.
struct View {
  RouterId Self;
  std::vector<Member> Members;

  friend bool operator==(const View &, const View &) = default;
};

/// The set of routers believed alive has changed.
struct ViewChanged {
  View Current;
};

/// The operator or the platform requests that this router finish its work and
/// leave.
struct DrainRequested {};

/// The owner of the key by rendezvous hashing among the members that are not
/// draining; this router if there are none. Costs one hash per member.
RouterId ownerOf(const View &Current, std::uint64_t Key);

} // namespace parsleywing

#endif
