#include "Overload/AcceptGate.h"

#include <algorithm>

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

/// A router of 0.12 cores whose callers, each with a connection of its own,
/// send 2,500 requests a second. Serving one takes 265 us of processor time,
/// reading and refusing one 31 us. All requests that arrive while connections
/// are accepted are read; the lag is what is left to do.
struct FloodedRouter {
  static constexpr double Cores = 0.12;
  static constexpr double ServiceUs = 265;
  static constexpr double RefusalUs = 31;
  static constexpr int RequestsPerMs = 5;
  static constexpr int MsPerStep = 2;
  /// The lag near which requests are refused.
  static constexpr double OverloadMs = 80;

  bool HasGate = true;
  AcceptGate Gate;

  /// The requests that are served per second, over ten seconds.
  double servedPerSecond() {
    double BacklogUs = 0;
    int Served = 0;
    constexpr int Steps = 10'000 / MsPerStep;
    for (int Step = 0; Step < Steps; ++Step) {
      BacklogUs = std::max(0.0, BacklogUs - Cores * MsPerStep * 1000);
      const double LagMs = BacklogUs / Cores / 1000;
      if (this->HasGate &&
          !this->Gate.update(Duration(static_cast<int>(LagMs * 1000))))
        continue;
      for (int I = 0; I < RequestsPerMs; ++I) {
        const bool IsServed = BacklogUs / Cores / 1000 < OverloadMs;
        BacklogUs += IsServed ? ServiceUs : RefusalUs;
        Served += IsServed ? 1 : 0;
      }
    }
    return Served / 10.0;
  }
};

} // namespace

// Guards against a router whose processor time goes to requests that it
// refuses.
Test(AcceptGate, leavesProcessorTimeToServe) {
  constexpr double Capacity =
      FloodedRouter::Cores * 1e6 / FloodedRouter::ServiceUs;
  FloodedRouter Router;
  const double WithGate = Router.servedPerSecond();
  cr_expect_geq(WithGate, 0.9 * Capacity, "%f of %f", WithGate, Capacity);
  Router.HasGate = false;
  const double Without = Router.servedPerSecond();
  cr_expect_leq(Without, 0.5 * Capacity, "the model has no flood: %f of %f",
                Without, Capacity);
}

// Guards against a listener that closes and opens with each measurement.
Test(AcceptGate, opensAtALowerLagThanItCloses) {
  AcceptGate Gate;
  cr_expect(Gate.update(AcceptGate::CloseLag));
  cr_expect_not(Gate.update(AcceptGate::CloseLag + 1us));
  cr_expect_not(Gate.update(AcceptGate::OpenLag + 1us));
  cr_expect(Gate.update(AcceptGate::OpenLag));
}
