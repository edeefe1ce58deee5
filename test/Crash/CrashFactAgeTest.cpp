#include "Crash/CrashRegistry.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

/// Facts of a request that was last seen before this are not sent any more,
/// with some time for the facts that are on their way.
constexpr Duration MaxSendingTime = 35s;
constexpr Duration ExchangeInterval = 250ms;
constexpr std::size_t FactsPerMessage = 12;

} // namespace

// Guards against facts that two routers keep alive by sending them to each
// other: each receipt must not make the request look as if just seen.
Test(CrashFactAge, exchangedFactsAreNotSentForever) {
  CrashRegistry First;
  CrashRegistry Second;
  TimePoint Now(1000s);
  const TimePoint SeenAt = Now;
  First.record({RequestIdentity{}, {1, 1}, false, 0}, Now);
  TimePoint LastSentAt = Now;
  for (int Round = 0; Now < SeenAt + 2 * MaxSendingTime; ++Round) {
    Now += ExchangeInterval;
    CrashRegistry &Sender = Round % 2 == 0 ? First : Second;
    CrashRegistry &Receiver = Round % 2 == 0 ? Second : First;
    for (const CrashFact &Each : Sender.nextFacts(FactsPerMessage, Now)) {
      Receiver.record(Each, Now);
      LastSentAt = Now;
    }
  }
  cr_assert_leq((LastSentAt - SeenAt).count(),
                Duration(MaxSendingTime).count());
}
