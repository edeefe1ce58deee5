#include "Backend/EngineFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr std::uint64_t Tokens = 10;

/// Runs a call whose stream breaks off after five tokens; the engine has
/// made six, with version v1.
EngineResult breakOff(EngineFixture &Fixture, EngineCall &Call) {
  Fixture.Engine.setVersion("v1");
  standin::EngineFaults Faults;
  Faults.CutAfter = 5;
  Faults.HoldAfter = 6;
  Fixture.Engine.setFaults(Faults);
  EngineResult Broken = Fixture.run(Call);
  cr_assert(Broken.Resume.has_value());
  Fixture.Engine.setFaults({});
  Call.ResumeFrom = Broken.Resume;
  return Broken;
}

} // namespace

// Guards against a response that goes on at another version of the software,
// which a restart has put at the engine's address with all its responses.
Test(EngineVersion, responseDoesNotGoOnAtAnotherVersion, .timeout = 60) {
  EngineFixture Fixture;
  EngineCall Call = Fixture.call(Tokens);
  breakOff(Fixture, Call);
  Fixture.Engine.setVersion("v2");
  const EngineResult Rest = Fixture.run(Call);
  cr_assert(Fixture.Text.find("v2") == std::string::npos, "%s",
            Fixture.Text.c_str());
  cr_assert(Rest.Outcome == AttemptOutcome::Interrupted);
  cr_assert_not(Rest.Resume.has_value(), "it cannot go on anywhere");
}

// Guards against a response that is given up although its version still runs.
Test(EngineVersion, responseGoesOnAtItsVersion, .timeout = 60) {
  EngineFixture Fixture;
  EngineCall Call = Fixture.call(Tokens);
  breakOff(Fixture, Call);
  cr_assert(Fixture.run(Call).Outcome == AttemptOutcome::Completed);
  cr_assert(Fixture.Text.ends_with("v1-t9 "), "%s", Fixture.Text.c_str());
}
