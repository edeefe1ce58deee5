#include "Backend/OrderClient.h"
#include "Backend/EngineFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using parsleywing::test::EngineFixture;

namespace {

/// Provides permits of a lease with this fencing number that does not expire
/// during the test.
OrderClient::PermitProvider permit(FencingNumber Number) {
  return [Number] {
    return LeasePermit{Number,
                       Clock::steady().now() + std::chrono::seconds(30)};
  };
}

standin::EngineOptions engineThat(FencingCheck Check) {
  standin::EngineOptions Options = EngineFixture::quickEngine();
  Options.ChecksFencing = Check == FencingCheck::Checked;
  return Options;
}

EngineOrder orderFor(const EngineFixture &Fixture, FencingCheck Check) {
  EngineOrder Order;
  Order.Address = Fixture.Engine.address();
  Order.Name = "swahili-v2";
  Order.Path = "/weights/swahili-v2";
  Order.Fencing = Check;
  return Order;
}

} // namespace

Test(OrderClient, LoadsAndUnloadsAnAdapter) {
  EngineFixture Fixture;
  OrderClient Client(Fixture.Counters);
  EngineOrder Order = orderFor(Fixture, FencingCheck::Ignored);
  cr_expect(Client.sendOrder(Order, permit(1)) == OrderOutcome::Done);
  cr_expect(Fixture.Engine.loadedModels().contains("swahili-v2"));
  cr_expect(Client.sendOrder(Order, permit(1)) ==
            OrderOutcome::AlreadyInEffect);
  Order.Kind = OrderKind::UnloadAdapter;
  cr_expect(Client.sendOrder(Order, permit(1)) == OrderOutcome::Done);
  cr_expect(!Fixture.Engine.loadedModels().contains("swahili-v2"));
}

// Guards against an engine that returns to an old adapter. A holder is paused
// beyond the end of its lease; its successor sends order 5, then the first
// resumes and sends order 4. A lease alone cannot stop an order in transit.
// Fails without the fencing header in OrderClient::postOrder.
Test(OrderClient, AnEngineThatChecksFencingRefusesAnOldNumber) {
  EngineFixture Fixture(EngineFixture::pausedSettings(),
                        engineThat(FencingCheck::Checked));
  OrderClient Client(Fixture.Counters);
  EngineOrder Newer = orderFor(Fixture, FencingCheck::Checked);
  Newer.Kind = OrderKind::LoadAdapter;
  cr_expect(Client.sendOrder(Newer, permit(5)) == OrderOutcome::Done);
  EngineOrder Older = orderFor(Fixture, FencingCheck::Checked);
  Older.Kind = OrderKind::UnloadAdapter;
  cr_expect(Client.sendOrder(Older, permit(4)) == OrderOutcome::Stale);
  cr_expect(Fixture.Engine.loadedModels().contains("swahili-v2"));
  cr_expect_eq(Fixture.Counters.StaleOrders.load(), 1);
}

// Guards against the same failure at an engine that ignores fencing numbers.
// The holder is paused between reading the model list and sending the order,
// its lease expires meanwhile, and the lease was checked too early. Fails
// without the call of `GetPermit` in OrderClient::postOrder.
Test(OrderClient, ALostLeaseStopsAnOrderToAnEngineThatIgnoresFencing) {
  EngineFixture Fixture;
  OrderClient Client(Fixture.Counters);
  const EngineOrder Order = orderFor(Fixture, FencingCheck::Ignored);
  cr_expect(Client.sendOrder(Order, [] { return std::nullopt; }) ==
            OrderOutcome::LeaseLost);
  cr_expect(!Fixture.Engine.loadedModels().contains("swahili-v2"));
}

// Guards against an order that took effect and is reported as failed or is sent
// twice: the engine obeys and its response is lost, which does not show whether
// the order took effect. Fails without reading the model list after the order.
Test(OrderClient, AfterALostResponseTheModelListDecides) {
  for (const FencingCheck Check :
       {FencingCheck::Checked, FencingCheck::Ignored}) {
    EngineFixture Fixture(EngineFixture::pausedSettings(), engineThat(Check));
    standin::EngineFaults Faults;
    Faults.LoseAnswer = true;
    Fixture.Engine.setFaults(Faults);
    OrderClient Client(Fixture.Counters);
    cr_expect(Client.sendOrder(orderFor(Fixture, Check), permit(1)) ==
              OrderOutcome::Done);
  }
}

Test(OrderClient, AnUnreachableEngineCountsAsNotSent) {
  EngineFixture Fixture;
  OrderClient Client(Fixture.Counters);
  EngineOrder Order = orderFor(Fixture, FencingCheck::Checked);
  Order.Address = "127.0.0.1:1";
  cr_expect(Client.sendOrder(Order, permit(1)) == OrderOutcome::NotSent);
}
