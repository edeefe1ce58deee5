#ifndef PARSLEYWING_RUNTIME_ID_H
#define PARSLEYWING_RUNTIME_ID_H

#include <cstdint>
#include <functional>
#include <string_view>

namespace parsleywing {

/// A 64-bit identity that cannot be mixed up with one of another kind. Small
/// enough for datagrams; the names themselves stay in the declarations.
template <typename Tag> struct Id {
  std::uint64_t Value = 0;

  friend bool operator==(const Id &, const Id &) = default;
  friend bool operator<(const Id &Left, const Id &Right) {
    return Left.Value < Right.Value;
  }
};

using AccountId = Id<struct AccountTag>; ///< A client account.
using ServiceId = Id<struct ServiceTag>; ///< A model or a plain service.
using ServerId = Id<struct ServerTag>;   ///< A backend server.
using RouterId = Id<struct RouterTag>;   ///< A router process, by its name.
using RequestId = Id<struct RequestTag>; ///< A request at its entry router.

/// Hashes a declared name to 64 bits (xxHash3), equal in every process. The
/// check of the declarations refuses two names of one kind with equal hashes.
std::uint64_t hashName(std::string_view Name);

/// The identity of the thing of this kind that bears this name.
template <typename IdType> IdType idOf(std::string_view Name) {
  return IdType{hashName(Name)};
}

/// The score of a holder for a key in rendezvous hashing: the holder with the
/// highest score has the key. A change of holders moves only the keys of those
/// that left or joined.
std::uint64_t rendezvousScore(std::uint64_t Holder, std::uint64_t Key);

/// The same where holders have weights above zero: a holder has its part of all
/// keys by its weight.
double weightedRendezvousScore(std::uint64_t Holder, std::uint64_t Key,
                               double Weight);

} // namespace parsleywing

template <typename Tag> struct std::hash<parsleywing::Id<Tag>> {
  std::size_t operator()(const parsleywing::Id<Tag> &Identity) const noexcept {
    return static_cast<std::size_t>(Identity.Value);
  }
};

#endif
