#include "Placement/StreamReplicas.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace parsleywing {

namespace {

constexpr std::uint64_t ShardCount = 1024;

/// The length of an order: those that are asked, and the one that asks.
constexpr std::size_t OrderLength = StreamReplicas::MaxAsked + 1;

/// The routers that are told of a stream, if one of the keepers has begun it.
constexpr std::size_t MaxTold = StreamReplicas::Copies + 1;

std::uint64_t shardOf(StreamKey Key) { return Key.Value % ShardCount; }

std::vector<std::string> firstOf(const std::vector<std::string> &Order,
                                 std::size_t Count) {
  return {Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(
                                             std::min(Count, Order.size()))};
}

} // namespace

StreamReplicas::StreamReplicas(const RouterList &Listed) {
  for (const auto &[Name, Endpoint] : Listed)
    if (Endpoint.Format >= MessageFormat::WithStreams)
      this->Routers[Name] = {hashName(Name), hashName(Endpoint.Zone)};
}

bool StreamReplicas::hasSameRouters(const StreamReplicas &Other) const {
  return std::ranges::equal(this->Routers, Other.Routers,
                            [](const auto &Left, const auto &Right) {
                              return Left.first == Right.first &&
                                     Left.second.Zone == Right.second.Zone;
                            });
}

/// The second router is in another zone than the first if there is one.
std::vector<std::string>
StreamReplicas::computeOrder(std::uint64_t Shard) const {
  using Scored = std::pair<std::uint64_t, const RouterMap::value_type *>;
  std::vector<Scored> Scores;
  Scores.reserve(this->Routers.size());
  for (const RouterMap::value_type &Each : this->Routers)
    Scores.emplace_back(rendezvousScore(Each.second.Hash, Shard), &Each);
  const std::size_t Count = std::min(OrderLength, Scores.size());
  const auto End = Scores.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Scores.begin(), End, Scores.end(), std::greater<>());
  if (Count >= 2) {
    const std::uint64_t FirstZone = Scores.front().second->second.Zone;
    const auto Second = std::max_element(
        Scores.begin() + 1, Scores.end(),
        [FirstZone](const Scored &Left, const Scored &Right) {
          const bool LeftIsElsewhere = Left.second->second.Zone != FirstZone;
          const bool RightIsElsewhere = Right.second->second.Zone != FirstZone;
          return std::pair(LeftIsElsewhere, Left.first) <
                 std::pair(RightIsElsewhere, Right.first);
        });
    if (Second >= End) {
      std::iter_swap(Second, End - 1);
      std::rotate(Scores.begin() + 1, End - 1, End);
    } else {
      std::rotate(Scores.begin() + 1, Second, Second + 1);
    }
  }
  std::vector<std::string> Order;
  Order.reserve(Count);
  for (auto Each = Scores.begin(); Each != End; ++Each)
    Order.push_back(Each->second->first);
  return Order;
}

const std::vector<std::string> &StreamReplicas::orderOf(std::uint64_t Shard) {
  const auto Known = this->Orders.find(Shard);
  if (Known != this->Orders.end())
    return Known->second;
  return this->Orders.emplace(Shard, this->computeOrder(Shard)).first->second;
}

std::vector<std::string> StreamReplicas::replicasOf(StreamKey Key) {
  return firstOf(this->orderOf(shardOf(Key)), Copies);
}

std::vector<std::string> StreamReplicas::othersFor(StreamKey Key,
                                                   const std::string &Self,
                                                   std::size_t Count) {
  std::vector<std::string> Others = this->orderOf(shardOf(Key));
  std::erase(Others, Self);
  return firstOf(Others, Count);
}

bool StreamReplicas::mayBeReplica(StreamKey Key, std::uint64_t Router) {
  return std::ranges::any_of(
      firstOf(this->orderOf(shardOf(Key)), MaxTold),
      [&](const std::string &Name) { return this->hashOf(Name) == Router; });
}

/// Whether the router is near the front of the order. Far cheaper than the
/// order, since most routers are soon found not to be.
bool StreamReplicas::ranksAmongFirst(std::uint64_t Shard,
                                     std::uint64_t Router) const {
  const std::uint64_t Score = rendezvousScore(Router, Shard);
  std::size_t Higher = 0;
  for (const auto &[Name, Listed] : this->Routers) {
    Higher += rendezvousScore(Listed.Hash, Shard) > Score ? 1 : 0;
    if (Higher >= OrderLength)
      return false;
  }
  return true;
}

std::set<std::string> StreamReplicas::peersOf(const std::string &Self) {
  std::set<std::string> Peers;
  if (!this->contains(Self))
    return Peers;
  for (std::uint64_t Shard = 0; Shard < ShardCount; ++Shard) {
    if (!this->ranksAmongFirst(Shard, this->hashOf(Self)))
      continue;
    const std::vector<std::string> Told =
        firstOf(this->orderOf(Shard), MaxTold);
    if (std::ranges::find(Told, Self) != Told.end())
      Peers.insert(Told.begin(), Told.end());
  }
  Peers.erase(Self);
  return Peers;
}

} // namespace parsleywing
