#include "Decision/RequestHarness.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using std::chrono::seconds;

namespace {

constexpr RequestId First{1};

/// Longer than any backoff.
constexpr Duration LongBackoff = seconds(3);

/// The longest limit on the progress of an attempt at an engine.
constexpr Duration Silence = seconds(30);

} // namespace

// Guards against a stream that is cut off minutes before its deadline: its
// engine is silent at each resume, nobody else can continue the stream, and the
// resumes are used up.
Test(StreamSilence, aSilentStreamIsWaitedForWhenItsResumesAreUsedUp) {
  RequestHarness H;
  H.stream(H.makeRequest(1), 3);
  for (AttemptNumber Attempt = 1; Attempt <= 5; ++Attempt) {
    H.tickAfter(Silence);
    cr_assert(!H.action<FinishRequest>());
    if (!H.action<CancelAttempt>())
      return;
    H.send(AttemptEnded{First, Attempt, AttemptOutcome::Cancelled, 3, 3});
    cr_assert(!H.action<FinishRequest>());
    if (!H.action<ResumeAttempt>())
      H.tickAfter(LongBackoff);
  }
}
