#include "Overload/HeadroomPeers.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// Draws per router that is wanted: a router that was drawn before is dropped.
constexpr std::size_t DrawsPerRouter = 4;

} // namespace

void HeadroomPeers::setPeers(std::vector<HeadroomPeer> New) {
  this->InOwnZone.clear();
  this->Elsewhere.clear();
  for (HeadroomPeer &Each : New)
    (Each.IsInOwnZone ? this->InOwnZone : this->Elsewhere)
        .push_back(std::move(Each));
}

std::vector<HeadroomPeer> HeadroomPeers::choose(std::size_t Count) {
  std::vector<HeadroomPeer> Chosen;
  const std::size_t FromElsewhere =
      this->InOwnZone.empty() ? Count : (Count + 2) / 3;
  this->draw(this->Elsewhere, FromElsewhere, Chosen);
  this->draw(this->InOwnZone, Count, Chosen);
  this->draw(this->Elsewhere, Count, Chosen);
  return Chosen;
}

/// Draws until `Count` routers are chosen in all.
void HeadroomPeers::draw(const std::vector<HeadroomPeer> &From,
                         std::size_t Count, std::vector<HeadroomPeer> &Chosen) {
  if (From.empty())
    return;
  std::uniform_int_distribution<std::size_t> Index(0, From.size() - 1);
  for (std::size_t Draw = 0;
       Draw < Count * DrawsPerRouter && Chosen.size() < Count; ++Draw) {
    const HeadroomPeer &First = From[Index(this->Random)];
    const HeadroomPeer &Second = From[Index(this->Random)];
    const HeadroomPeer &Larger = First.Cores >= Second.Cores ? First : Second;
    if (std::none_of(Chosen.begin(), Chosen.end(), [&](const auto &Each) {
          return Each.Name == Larger.Name;
        }))
      Chosen.push_back(Larger);
  }
}

} // namespace parsleywing
