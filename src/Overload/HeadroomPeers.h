#ifndef PARSLEYWING_OVERLOAD_HEADROOMPEERS_H
#define PARSLEYWING_OVERLOAD_HEADROOMPEERS_H

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace parsleywing {

/// A router that may be asked for its spare processor time.
struct HeadroomPeer {
  std::string Name;
  double Cores = 1;
  bool IsInOwnZone = false;
};

/// Chooses which routers to ask for their spare processor time. Each is the
/// larger one of two that are drawn at random, so that large routers are asked
/// more often and not all routers ask the same ones. Two of three are in this
/// router's zone; the others show whether the other zones are reachable.
class HeadroomPeers {
public:
  explicit HeadroomPeers(std::uint64_t Seed) : Random(Seed) {}

  void setPeers(std::vector<HeadroomPeer> New);

  /// Up to `Count` different routers.
  std::vector<HeadroomPeer> choose(std::size_t Count);

  /// Whether all peers are in this router's zone.
  bool hasOneZone() const { return this->Elsewhere.empty(); }

private:
  void draw(const std::vector<HeadroomPeer> &From, std::size_t Count,
            std::vector<HeadroomPeer> &Chosen);

  std::mt19937_64 Random;
  std::vector<HeadroomPeer> InOwnZone;
  std::vector<HeadroomPeer> Elsewhere;
};

} // namespace parsleywing

#endif
