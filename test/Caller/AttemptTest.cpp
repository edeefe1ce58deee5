#include "Caller/CallerFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// The fixture's declarations, with a second server for its model that is not
/// running.
DeclarationsPtr withDeadServer(CallerFixture &Fixture) {
  const DeclarationsPtr Original =
      Fixture.server().context().declarations().Active;
  auto Declared = std::make_shared<Declarations>(*Original);
  const auto Dead = idOf<ServerId>("dead");
  Declared->Generation = Original->Generation + 1;
  Declared->Servers[Dead] =
      ServerDeclaration{"dead", freeAddress(), "z1", FencingCheck::Ignored, 8};
  Declared->Services[idOf<ServiceId>("advisory")].Servers.push_back(Dead);
  return Declared;
}

} // namespace

// Guards against requests that are all tried on a dead server first. One server
// of a model is down, and an attempt does not report that it could not connect.
// Fails without RequestHandler::reportServer.
Test(Attempts, AnUnreachableServerGetsNoMoreRequests) {
  CallerFixture Fixture;
  const DeclarationsPtr Declared = withDeadServer(Fixture);
  Fixture.server().context().setDeclarations(Declared);
  Fixture.control().post(DeclarationsChanged{Declared});
  for (int Call = 0; Call < 8; ++Call)
    cr_assert_eq(statusOfResponse(Fixture.exchange(CallerFixture::post(
                     R"({"model":"advisory","input":"tokens=1"})"))),
                 200);
  cr_assert_eq(processCounters().NotSent.load(), 1);
}

// Guards against engine slots occupied by responses that nobody reads. A stream
// breaks repeatedly until the router stops resuming it, but the engine
// continues the background response. Fails without
// RequestHandler::cancelAbandoned.
Test(Attempts, AnAbandonedResponseFreesItsSlot, .timeout = 60) {
  CallerFixture Fixture;
  standin::EngineFaults Faults;
  Faults.CutAfter = 2;
  Faults.OnResume = true;
  Fixture.engine().setFaults(Faults);
  const std::string Response = Fixture.exchange(CallerFixture::post(
      R"({"model":"advisory","input":"tokens=100000","stream":true,)"
      R"("max_output_tokens":100000})"));
  cr_assert(Response.find("response.incomplete") != std::string::npos);
  cr_assert(Response.find("\"outcome\":\"unknown\"") != std::string::npos);
  cr_assert(eventually([&] { return Fixture.engine().running() == 0; }));
}
