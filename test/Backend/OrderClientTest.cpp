#include "Backend/OrderClient.h"
#include "Backend/EngineFixture.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using parsleywing::test::EngineFixture;

namespace {

/// A holder whose lease has this number and lasts.
OrderClient::PermitProvider holds(FencingNumber Number) {
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

Test(OrderClient, AnAdapterIsLoadedAndUnloaded) {
  EngineFixture Fixture;
  OrderClient Client(Fixture.Counters);
  EngineOrder Order = orderFor(Fixture, FencingCheck::Ignored);
  cr_expect(Client.sendOrder(Order, holds(1)) == OrderOutcome::Done);
  cr_expect(Fixture.Engine.loadedModels().contains("swahili-v2"));
  cr_expect(Client.sendOrder(Order, holds(1)) == OrderOutcome::AlreadyInEffect);
  Order.Kind = OrderKind::UnloadAdapter;
  cr_expect(Client.sendOrder(Order, holds(1)) == OrderOutcome::Done);
  cr_expect(!Fixture.Engine.loadedModels().contains("swahili-v2"));
}

// Symptom: an engine goes back to an old adapter.
// Sequence: a holder is paused past its lease; its successor gives order 5;
// the first wakes and sends order 4.
// Cause: a lease alone cannot stop an order that is already on its way.
// Fails without the fencing header in OrderClient::send.
Test(OrderClient, AnEngineThatChecksRefusesAnOldNumber) {
  EngineFixture Fixture(EngineFixture::pausedSettings(),
                        engineThat(FencingCheck::Checked));
  OrderClient Client(Fixture.Counters);
  EngineOrder Newer = orderFor(Fixture, FencingCheck::Checked);
  Newer.Kind = OrderKind::LoadAdapter;
  cr_expect(Client.sendOrder(Newer, holds(5)) == OrderOutcome::Done);
  EngineOrder Older = orderFor(Fixture, FencingCheck::Checked);
  Older.Kind = OrderKind::UnloadAdapter;
  cr_expect(Client.sendOrder(Older, holds(4)) == OrderOutcome::Stale);
  cr_expect(Fixture.Engine.loadedModels().contains("swahili-v2"));
  cr_expect_eq(Fixture.Counters.StaleOrders.load(), 1);
}

// Symptom: as above, at an engine that ignores the number.
// Sequence: the holder is paused between the check of the report and the
// send; its lease lapses meanwhile.
// Cause: the lease was looked at too early.
// Fails without the question to `Lease` in OrderClient::send.
Test(OrderClient, ALostLeaseStopsAnOrderToAnEngineThatIgnoresTheNumber) {
  EngineFixture Fixture;
  OrderClient Client(Fixture.Counters);
  const EngineOrder Order = orderFor(Fixture, FencingCheck::Ignored);
  cr_expect(Client.sendOrder(Order, [] { return std::nullopt; }) ==
            OrderOutcome::LeaseLost);
  cr_expect(!Fixture.Engine.loadedModels().contains("swahili-v2"));
}

// Symptom: an order that took effect is reported as failed, or given twice.
// Sequence: the engine obeys and its answer is lost.
// Cause: a lost answer says nothing about the effect.
// Fails without the check of the report after the send.
Test(OrderClient, ALostAnswerIsSettledByTheReport) {
  for (const FencingCheck Check :
       {FencingCheck::Checked, FencingCheck::Ignored}) {
    EngineFixture Fixture(EngineFixture::pausedSettings(), engineThat(Check));
    standin::EngineFaults Faults;
    Faults.LoseAnswer = true;
    Fixture.Engine.setFaults(Faults);
    OrderClient Client(Fixture.Counters);
    cr_expect(Client.sendOrder(orderFor(Fixture, Check), holds(1)) ==
              OrderOutcome::Done);
  }
}

Test(OrderClient, AnEngineThatCannotBeReachedGotNothing) {
  EngineFixture Fixture;
  OrderClient Client(Fixture.Counters);
  EngineOrder Order = orderFor(Fixture, FencingCheck::Checked);
  Order.Address = "127.0.0.1:1";
  cr_expect(Client.sendOrder(Order, holds(1)) == OrderOutcome::NotSent);
}
