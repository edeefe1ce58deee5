#ifndef PARSLEYWING_DECISION_MEMBERSHIP_VIEW_H
#define PARSLEYWING_DECISION_MEMBERSHIP_VIEW_H

#include "Runtime/Id.h"

#include <cstdint>
#include <vector>

namespace parsleywing {

/// Tells a router process from an earlier or later one of the same name. Drawn
/// from the wall clock at start, so a later process has the higher number.
using Incarnation = std::uint64_t;

/// One router as another sees it.
struct Member {
  RouterId Router;
  Incarnation IncarnationNumber = 0;
  /// It takes no new callers and owns nothing, but still finishes its work.
  bool Draining = false;
  /// The hash of its availability zone's name; equal in every process.
  std::uint32_t Zone = 0;

  friend bool operator==(const Member &, const Member &) = default;
};

/// The routers that one router believes alive, itself among them, in the order
/// of their identities. Views of two routers may differ at any time; nothing
/// that must hold rests on their being equal.
struct View {
  RouterId Self;
  std::vector<Member> Members;

  friend bool operator==(const View &, const View &) = default;
};

/// The routers believed alive changed.
struct ViewChanged {
  View Current;
};

/// The operator or the platform wants this router to finish what it holds and
/// leave.
struct DrainRequested {};

/// The member that owns the key by rendezvous hashing, among those that do not
/// drain; the router itself where there is no other. Costs one hash a member.
RouterId ownerOf(const View &Current, std::uint64_t Key);

} // namespace parsleywing

#endif
