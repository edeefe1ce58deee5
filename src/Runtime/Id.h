#ifndef PARSLEYWING_RUNTIME_ID_H
#define PARSLEYWING_RUNTIME_ID_H

#include <cstdint>
#include <functional>
#include <string_view>

namespace parsleywing {

/// A 64-bit identifier, with a distinct type for each kind of entity. Small
/// enough for datagrams; the full names are only in the declarations.
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

/// Hashes a declared name to 64 bits (xxHash3). The result is the same in every
/// process. Validation of the declarations rejects two names of one kind with
/// equal hashes.
std::uint64_t hashName(std::string_view Name);

/// The identifier of the entity with this name.
template <typename IdType> IdType idOf(std::string_view Name) {
  return IdType{hashName(Name)};
}

/// The score of a node for a key in rendezvous hashing: the node with the
/// highest score owns the key. Adding or removing a node moves only the keys of
/// that node.
std::uint64_t rendezvousScore(std::uint64_t Node, std::uint64_t Key);

/// Weighted rendezvous hashing: a node owns a share of all keys in proportion
/// to its weight, which must be above zero.
double weightedRendezvousScore(std::uint64_t Node, std::uint64_t Key,
                               double Weight);

} // namespace parsleywing

template <typename Tag> struct std::hash<parsleywing::Id<Tag>> {
  std::size_t operator()(const parsleywing::Id<Tag> &Identity) const noexcept {
    return static_cast<std::size_t>(Identity.Value);
  }
};

#endif
