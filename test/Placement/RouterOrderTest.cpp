#include "Placement/RouterOrder.h"

#include <criterion/criterion.h>

using namespace parsleywing;

// Guards against an allocator on a router that lacks the processor time for it,
// since many small routers together outweigh the few large ones.
Test(RouterOrder, fewLargeRoutersGetTheWorkBesideManySmallOnes) {
  RouterList Listed;
  for (int Index = 0; Index < 88; ++Index)
    Listed["r" + std::to_string(Index)].Cores = Index < 6 ? 0.5 : 0.12;
  int Small = 0;
  constexpr int Keys = 1000;
  for (int Key = 1; Key <= Keys; ++Key)
    Small += Listed.at(topRankedRouter(Listed, Key)).Cores < 0.5 ? 1 : 0;
  // 2.6 are expected; a sixth with the third power of the cores.
  cr_expect_leq(Small, Keys / 100);
}
