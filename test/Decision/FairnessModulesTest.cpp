#include "Decision/Fairness/AccountHome.h"
#include "Decision/Fairness/AccountLedger.h"
#include "Decision/Fairness/AdmissionWindow.h"
#include "Decision/Fairness/FairScheduler.h"
#include "Decision/Fairness/SlotOwner.h"
#include "Decision/Fairness/SlotTable.h"

#include <cereal/archives/portable_binary.hpp>
#include <criterion/criterion.h>

#include <sstream>

using namespace parsleywing;

namespace {

const RouterId A{1};
const RouterId B{2};
const ServerId Server{5};

TimePoint at(int Seconds) { return TimePoint(std::chrono::seconds(Seconds)); }

} // namespace

Test(AccountHome, excludesTheSenderAndIgnoresOlderVersions) {
  AccountHome Home(std::chrono::seconds(0));
  Home.applyContribution(at(1), A, 1, 5, {9, 100, 0, 0});
  cr_assert_eq(Home.applyContribution(at(1), B, 1, 1, {9, 30, 0, 0}).Others,
               100.0);
  cr_assert_eq(Home.applyContribution(at(1), A, 1, 4, {9, 50, 0, 0}).Others,
               30.0);
  cr_assert_eq(Home.applyContribution(at(1), B, 1, 2, {9, 30, 0, 0}).Others,
               100.0);
}

// Guards against an account that is served twice for the same tokens: a router
// charges 100, restarts without state and reports 0, and this contribution
// overwrites that of the earlier process. Fails if the home does not add the
// earlier contribution to its base.
Test(AccountHome, keepsTokensChargedByAnEarlierProcess) {
  AccountHome Home(std::chrono::seconds(0));
  Home.applyContribution(at(1), A, 1, 5, {9, 100, 0, 0});
  cr_assert_eq(Home.applyContribution(at(2), A, 2, 1, {9, 0, 0, 0}).Others,
               100.0);
  Home.applyContribution(at(2), A, 1, 9, {9, 500, 0, 0});
  cr_assert_eq(Home.applyContribution(at(2), A, 2, 2, {9, 0, 0, 0}).Others,
               100.0);
}

Test(AccountHome, takesOverTheTotalsThatRoutersReport) {
  AccountHome Home(std::chrono::seconds(5));
  cr_assert_eq(Home.applyContribution(at(1), A, 1, 1, {9, 40, 60, 0}).Others,
               60.0);
  cr_assert_eq(Home.applyContribution(at(1), B, 1, 1, {9, 50, 45, 0}).Others,
               50.0);
}

Test(AccountLedger, increasesPermanentlyOnlyAfterConfirmation) {
  AccountLedger Ledger;
  const PairId Pair = pairOf(AccountId{1}, ServiceId{2});
  Ledger.open(AccountId{1}, ServiceId{2}, 2);
  Ledger.reenter(Pair, 1000, 500);
  cr_assert_eq(Ledger.at(Pair).virtualTime(), 1000.0);
  cr_assert_eq(Ledger.contributionOf(Pair).Lift, 0.0F);
  cr_assert(Ledger.applyReply(at(1), A, 1, 3, {Pair, 1800, 0}));
  cr_assert_eq(Ledger.at(Pair).virtualTime(), 900.0);
  cr_assert(!Ledger.applyReply(at(1), A, 1, 2, {Pair, 0, 0}));
  Ledger.raiseTo(Pair, 1000);
  cr_assert_geq(Ledger.at(Pair).virtualTime(), 1000.0);
  Ledger.reenter(Pair, 100, 500);
  cr_assert_float_eq(Ledger.at(Pair).virtualTime(), 600, 0.01);
}

Test(AdmissionWindow, adaptsToLateReportsUpToTheDeclaredConcurrency) {
  const FairnessSettings Settings;
  AdmissionWindow Window(8);
  Window.report(at(10), 4, 4, Settings);
  cr_assert_eq(Window.size(), 5U);
  Window.report(at(10), 2, 6, Settings);
  cr_assert_eq(Window.size(), 5U,
               "reduced again before the first reduction is visible");
  for (int I = 0; I < 20; ++I)
    Window.report(at(11), 4, 0, Settings);
  cr_assert_eq(Window.size(), 8U);
  Window.report(at(20), 1, 7, Settings);
  Window.tick(at(21), Settings);
  cr_assert_eq(Window.size(), 2U);
  Window.tick(at(26), Settings);
  cr_assert_eq(Window.size(), 3U, "reports stopped");
}

// Guards against slots that leak or double when messages are lost, duplicated
// or reordered: each grant and report is applied twice, the older one last.
// Fails if the owner adds up returns instead of comparing totals.
Test(Slots, repeatedAndOldCountersChangeNothing) {
  SlotOwner Owner;
  SlotTable Table;
  Owner.add(Server, 3, at(0));
  Table.setOwner(Server, A, 1);
  Owner.grant(Server, B, 7);
  const SlotGrant OlderGrant = Owner.grantOf(at(1), Server, B);
  Owner.grant(Server, B, 7);
  const SlotGrant NewerGrant = Owner.grantOf(at(1), Server, B);
  for (const SlotGrant &Grant : {NewerGrant, OlderGrant, NewerGrant})
    Table.applyGrant(at(1), A, 1, Grant, std::chrono::seconds(1));
  cr_assert_eq(Table.find(Server)->held(), 2U);
  Table.returnSlot(Server);
  const SlotReport Report = Table.reportOf(at(1), Server);
  cr_assert(Owner.applyReport(B, 7, Report));
  cr_assert(!Owner.applyReport(B, 7, Report));
  cr_assert_eq(Owner.outAt(Server), 1U);
  cr_assert_eq(Owner.freeSlots(at(1), Server), 2U);
  Owner.dropGone(View{A, {{A, 1, false}}});
  cr_assert_eq(Owner.freeSlots(at(1), Server), 3U);
}

Test(Slots, aNewOwnerLearnsHeldSlotsFromReports) {
  SlotOwner Owner;
  SlotTable Table;
  Table.setOwner(Server, A, 1);
  Table.applyGrant(at(1), A, 1, {Server.Value, 2, 0, 65535},
                   std::chrono::seconds(1));
  Table.setOwner(Server, B, 1);
  Owner.add(Server, 3, at(0));
  Owner.applyReport(A, 1, Table.reportOf(at(1), Server));
  cr_assert_eq(Owner.freeSlots(at(1), Server), 1U);
}

Test(FairMessage, computesItsEncodedSize) {
  FairMessage Message;
  Message.Digests.resize(2);
  Message.Contributions.resize(3);
  Message.Replies.resize(1);
  Message.Grants.resize(2);
  Message.Reports.resize(4);
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(Out);
    Archive(Message);
  }
  // The archive itself starts with one byte for the byte order.
  cr_assert_eq(Out.str().size(), Message.bytes() + 1);
}

Test(FairScheduler, admitsUpToTheDeclaredConcurrencyButNotToALeavingServer) {
  FairScheduler Scheduler;
  Declarations All;
  All.Servers[Server].MaxConcurrent = 2;
  All.Services[ServiceId{3}].Servers = {Server};
  Scheduler.handle(
      at(0), DeclarationsChanged{std::make_shared<const Declarations>(All)});
  std::size_t Admitted = 0;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Admitted += Scheduler
                    .handle(at(0), RequestQueued{RequestId{I}, AccountId{1},
                                                 ServiceId{3}, 10})
                    .size();
  cr_assert_eq(Admitted, 2U);
  Scheduler.handle(at(1),
                   ServerConditionChanged{Server, ServerCondition::Leaving});
  cr_assert(Scheduler.handle(at(2), RequestReleased{RequestId{1}, 5}).empty());
  cr_assert_eq(
      Scheduler
          .handle(at(3),
                  ServerConditionChanged{Server, ServerCondition::Usable})
          .size(),
      1U);
}
