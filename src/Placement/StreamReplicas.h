#ifndef PARSLEYWING_PLACEMENT_STREAMREPLICAS_H
#define PARSLEYWING_PLACEMENT_STREAMREPLICAS_H

#include "Placement/FleetView.h"
#include "Placement/StreamKey.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleywing {

/// Which routers remember a stream: for each stream, an order of the routers by
/// rendezvous hashing, the same at all routers with the same list. The first
/// ones keep copies of its record. Streams are divided into shards that share
/// an order, which is computed when needed, in some microseconds with hundreds
/// of routers.
class StreamReplicas {
public:
  /// The number of routers that keep a copy, and of those that are asked. More
  /// are asked, since the lists of routers may differ.
  static constexpr std::size_t Copies = 2;
  static constexpr std::size_t MaxAsked = 6;

  StreamReplicas() = default;
  /// Uses the routers of the list that read the messages about streams.
  explicit StreamReplicas(const RouterList &Listed);

  /// Whether both have the same routers, so that all orders are equal.
  bool hasSameRouters(const StreamReplicas &Other) const;

  /// The routers that keep a copy of the stream's record.
  std::vector<std::string> replicasOf(StreamKey Key);
  /// The routers that may know the stream, without `Self`.
  std::vector<std::string> othersFor(StreamKey Key, const std::string &Self,
                                     std::size_t Count);
  /// Whether the router with this hash of its name may be one of those that
  /// were told of the stream.
  bool mayBeReplica(StreamKey Key, std::uint64_t Router);
  /// The routers that keep copies of the same streams as this one.
  std::set<std::string> peersOf(const std::string &Self);

  bool contains(const std::string &Router) const {
    return this->Routers.contains(Router);
  }
  std::uint64_t hashOf(const std::string &Router) const {
    return this->Routers.at(Router).Hash;
  }

private:
  /// The hashes of a router's name and of its zone's.
  struct Router {
    std::uint64_t Hash = 0;
    std::uint64_t Zone = 0;
  };
  using RouterMap = std::map<std::string, Router>;

  const std::vector<std::string> &orderOf(std::uint64_t Shard);
  std::vector<std::string> computeOrder(std::uint64_t Shard) const;
  bool ranksAmongFirst(std::uint64_t Shard, std::uint64_t Router) const;

  RouterMap Routers;
  std::unordered_map<std::uint64_t, std::vector<std::string>> Orders;
};

} // namespace parsleywing

#endif
