#include "Stream/VersionFleet.h"

#include <criterion/criterion.h>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr int Streams = 20;

/// Streams that break off after three events at a router in front of these
/// versions; returns how many were completed. Some are refused, since servers
/// that break off streams are avoided for a while.
int completedOfBroken(const std::vector<std::string> &Versions,
                      bool Allocated) {
  VersionFleet Fleet({1, Allocated});
  for (const std::string &Each : Versions)
    Fleet.addServer(Each);
  Fleet.start();
  Fleet.breakNewStreamsAfter(3);
  int Begun = 0;
  int Completed = 0;
  for (int I = 0; I < Streams; ++I) {
    const StreamResult Result = Fleet.call({0, "q" + std::to_string(I)});
    cr_assert_leq(Result.distinctVersions().size(), 1U, "%s",
                  Result.describe().c_str());
    Begun += Result.Versions.empty() ? 0 : 1;
    cr_assert(Result.InOrder, "%s", Result.describe().c_str());
    cr_assert_lt(Result.Elapsed, 1000ms, "%s", Result.describe().c_str());
    Completed += Result.Status == 200 && Result.Complete ? 1 : 0;
  }
  cr_assert_geq(Begun, 4);
  return Completed;
}

} // namespace

// Guards against a stream that goes on at a server of another version since no
// other server of its own is left.
Test(StreamAnswer, isCutOffAtOnceWithoutAServerOfItsVersion, .timeout = 60) {
  cr_assert_eq(completedOfBroken({"v1", "v2"}, /*Allocated=*/true), 0);
}

// Guards against the same without an allocator.
Test(StreamAnswer, isCutOffAtOnceWithoutAServerOfItsVersionUnallocated,
     .timeout = 60) {
  cr_assert_eq(completedOfBroken({"v1", "v2"}, /*Allocated=*/false), 0);
}

// Guards against a stream that goes on at another version, or not at all,
// although its own version has another server.
Test(StreamAnswer, goesOnAtItsVersion, .timeout = 60) {
  cr_assert_eq(completedOfBroken({"v1", "v1", "v2", "v2"}, /*Allocated=*/true),
               Streams);
}

// Guards against the same without an allocator.
Test(StreamAnswer, goesOnAtItsVersionUnallocated, .timeout = 60) {
  cr_assert_eq(completedOfBroken({"v1", "v1", "v2", "v2"}, /*Allocated=*/false),
               Streams);
}
