#include "Decision/Membership/OwnerCache.h"

#include <criterion/criterion.h>
#include <random>
#include <set>

using namespace parsleywing;

namespace {

View viewOf(const std::set<std::uint64_t> &Routers,
            std::uint64_t DrainingRouter = 0) {
  View Result{RouterId{1}, {}};
  for (const std::uint64_t Router : Routers)
    Result.Members.push_back(
        {RouterId{Router}, 1, Router == DrainingRouter, 0});
  return Result;
}

} // namespace

// The cache returns the same owners as `ownerOf` during 300 random view
// changes, and reports exactly the keys that moved.
Test(MembershipOwnership, CacheEqualsFullComputation) {
  std::mt19937_64 Random(7);
  std::set<std::uint64_t> Routers{1, 2, 3};
  View Current = viewOf(Routers);
  OwnerCache Cache(Current);
  for (std::uint64_t Key = 0; Key < 200; ++Key)
    Cache.ownerOf(Key);
  for (int Change = 0; Change < 300; ++Change) {
    const std::uint64_t Router = 1 + Random() % 20;
    if (Router != 1 && !Routers.erase(Router))
      Routers.insert(Router);
    const View Next = viewOf(Routers, Random() % 3 == 0 ? 1 + Random() % 5 : 0);
    std::set<std::uint64_t> Expected;
    for (std::uint64_t Key = 0; Key < 200; ++Key)
      if (ownerOf(Current, Key) != ownerOf(Next, Key))
        Expected.insert(Key);
    const auto Moved = Cache.update(Next);
    cr_assert(std::set<std::uint64_t>(Moved.begin(), Moved.end()) == Expected);
    for (std::uint64_t Key = 0; Key < 200; ++Key)
      cr_assert(Cache.ownerOf(Key) == ownerOf(Next, Key));
    Current = Next;
  }
}

// When one of 32 routers leaves, its own keys move and no others.
Test(MembershipOwnership, LeavingMovesOnlyItsKeys) {
  std::set<std::uint64_t> Routers;
  for (std::uint64_t Router = 1; Router <= 32; ++Router)
    Routers.insert(Router);
  const View Before = viewOf(Routers);
  OwnerCache Cache(Before);
  std::size_t Owned = 0;
  for (std::uint64_t Key = 0; Key < 3200; ++Key)
    Owned += Cache.ownerOf(Key) == RouterId{9} ? 1 : 0;
  Routers.erase(9);
  cr_assert_eq(Cache.update(viewOf(Routers)).size(), Owned);
}
