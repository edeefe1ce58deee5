#include "Placement/ServerGroups.h"
#include "Runtime/Id.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace parsleywing;

namespace {

ServerList engines(int Count) {
  ServerList Servers;
  for (int I = 0; I < Count; ++I) {
    GatewayServer Server;
    Server.Id = "engine-" + std::to_string(I);
    Server.Service = "engines";
    Servers.emplace(Server.Id, Server);
  }
  return Servers;
}

std::map<std::uint64_t, int> sizes(const ServerGroups &Groups,
                                   const ServerList &Listed) {
  std::map<std::uint64_t, int> Counts;
  for (const auto &[Id, Server] : Listed)
    ++Counts[Groups.groupOfServer(Id, Server.Service)];
  return Counts;
}

} // namespace

Test(ServerGroups, areAsLargeAsAnAllocatorCanHandle) {
  cr_expect_eq(sizes(ServerGroups(engines(40)), engines(40)).size(), 1U);
  cr_expect_eq(sizes(ServerGroups(engines(140)), engines(140)).size(), 4U);
  for (const auto &[Group, Count] :
       sizes(ServerGroups(engines(3000)), engines(3000)))
    // The mean is 23; hashing makes some groups larger.
    cr_expect_leq(Count, 48);
}

// Guards against refusing requests while engines are idle. If a few accounts
// send ten times their usual load, their prompt parts map to a few groups, and
// each request is bound to the group of its shared part. At most a fraction of
// 0.07 of the work may find its group full. With groups of 17 engines instead
// of 35, the fraction is 0.084 and the test fails.
Test(ServerGroups, areLargeEnoughForAFlood) {
  const ServerList Listed = engines(140);
  const ServerGroups Groups(Listed);
  const auto GroupSizes = sizes(Groups, Listed);
  double RefusedFraction = 0;
  constexpr int Floods = 40;
  for (int Flood = 0; Flood < Floods; ++Flood) {
    std::mt19937_64 Random(static_cast<std::uint64_t>(Flood));
    std::map<std::uint64_t, double> LoadByGroup;
    // Thirteen accounts with two large shared parts each, and many small ones.
    for (int Part = 0; Part < 26; ++Part)
      LoadByGroup[Groups.groupForRequest(hashName("engines"),
                                         {{Random(), 100}, {1, 1}}, 0)] += 2.5;
    for (int Part = 0; Part < 350; ++Part)
      LoadByGroup[Groups.groupForRequest(hashName("engines"),
                                         {{Random(), 100}, {1, 1}}, 0)] += 0.2;
    // Each engine handles one unit of work; 135 of 140 units are used.
    for (const auto &[Group, GroupLoad] : LoadByGroup)
      RefusedFraction += std::max(GroupLoad - GroupSizes.at(Group), 0.0) / 135;
  }
  cr_expect_lt(RefusedFraction / Floods, 0.07, "%.3f of the work",
               RefusedFraction / Floods);
}
