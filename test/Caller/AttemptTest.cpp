#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// The fixture's model, served by its engine and by a server that is gone.
DeclarationsPtr withDeadServer(CallerFixture &Fixture) {
  const DeclarationsPtr Before =
      Fixture.server().context().declarations().Active;
  auto Declared = std::make_shared<Declarations>(*Before);
  const auto Dead = idOf<ServerId>("dead");
  Declared->Generation = Before->Generation + 1;
  Declared->Servers[Dead] =
      ServerDeclaration{"dead", freeAddress(), "z1", FencingCheck::Ignored, 8};
  Declared->Services[idOf<ServiceId>("advisory")].Servers.push_back(Dead);
  return Declared;
}

} // namespace

// Symptom: every request to a model meets the dead one of its servers first.
// Sequence: a server is gone; requests come one after another.
// Cause: what an attempt learned of the server was told nobody. Fails without
// RequestServer::reportServer.
Test(Attempts, AServerFoundDeadGetsNoMoreWork) {
  CallerFixture Fixture;
  const DeclarationsPtr Declared = withDeadServer(Fixture);
  Fixture.server().context().setDeclarations(Declared);
  Fixture.control().post(DeclarationsChanged{Declared});
  for (int Call = 0; Call < 8; ++Call)
    cr_assert_eq(statusOfAnswer(Fixture.exchange(CallerFixture::post(
                     R"({"model":"advisory","input":"tokens=1"})"))),
                 200);
  cr_assert_eq(processCounters().NotSent.load(), 1);
}

// Symptom: an engine's slots fill with answers that nobody reads.
// Sequence: a stream breaks again and again, until resuming it is given up.
// Cause: an engine goes on with a background response when its stream breaks.
// Fails without RequestServer::cancelAbandoned.
Test(Attempts, AResponseGivenUpFreesItsSlot, .timeout = 60) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.CutAfter = 2;
  Faults.OnResume = true;
  Fixture.engine().setFaults(Faults);
  const std::string Answer = Fixture.exchange(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=100000","stream":true,)"
      R"("max_output_tokens":100000})"));
  cr_assert(Answer.find("response.incomplete") != std::string::npos);
  cr_assert(Answer.find("\"outcome\":\"unknown\"") != std::string::npos);
  cr_assert(eventually([&] { return Fixture.engine().running() == 0; }));
}
