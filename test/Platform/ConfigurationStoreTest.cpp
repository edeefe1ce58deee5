#include "Platform/ConfigurationStore.h"
#include "standin/StoreStandIn.h"

#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  Fixture() : Store({"127.0.0.1:0"}) { this->Store.start(); }

  ConfigurationStore open(Duration Timeout = 5s) {
    ConfigurationStoreSettings Settings;
    Settings.Timeout = Timeout;
    Settings.GenerationsPerCollection = 4;
    Settings.RetainedPartGenerations = 2;
    Settings.RetainedHistoryEntries = 6;
    return ConfigurationStore(Settings,
                              StoreClient({this->Store.address(), 200ms, 500ms},
                                          this->Budget, Clock::steady()),
                              Clock::steady());
  }

  std::uint64_t generation() { return this->open().readManifest()->Generation; }

  standin::StoreStandIn Store;
  std::shared_ptr<StoreBudget> Budget =
      std::make_shared<StoreBudget>(10000, 10000, Clock::steady().now());
};

std::string fileOf(int Accounts, int Share) {
  std::string Text = "# made for a test\n";
  for (int Index = 0; Index < Accounts; ++Index)
    Text += "[account " + std::to_string(Index) +
            "]\nshare = " + std::to_string(Index == 7 ? Share : 1) + "\n";
  return Text;
}

std::uint64_t acceptedGeneration(const ApplyOutcome &Outcome) {
  const auto *Accepted = std::get_if<ApplyAccepted>(&Outcome);
  return Accepted != nullptr ? Accepted->Generation : 0;
}

} // namespace

Test(ConfigurationStore, appliesAndReadsACompleteFile) {
  Fixture F;
  auto Store = F.open();
  cr_assert_eq(Store.read()->Manifest.Generation, 0U);
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(2000, 1), "asha")), 1U);
  const auto Before = F.Store.calls(StoreCall::Transaction);
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(2000, 2), "asha")), 2U);
  cr_assert_eq(F.Store.calls(StoreCall::Transaction) - Before, 2U);
  const auto Read = Store.read();
  cr_assert(Read.has_value());
  cr_assert_eq(Read->Manifest.Operator, "asha");
  cr_assert_eq(Read->Text, ConfigurationText(fileOf(2000, 2)).fullText());
  cr_assert_gt(Read->Manifest.Parts.size(), 4U);
}

// Guards against overwriting another operator's accepted file: two operators
// start from the same generation, and the second apply does not compare the
// generation that it is based on.
Test(ConfigurationStore, reportsInterveningChangesToTheSecondOperator) {
  Fixture F;
  auto Store = F.open();
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 1), "asha")), 1U);
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 2), "juma", 1)), 2U);
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 3), "neema")), 3U);
  const auto Outcome = Store.apply(fileOf(3, 4), "asha", 1);
  const auto *Conflict = std::get_if<ApplyConflict>(&Outcome);
  cr_assert_not_null(Conflict);
  cr_assert_eq(Conflict->Current.Operator, "neema");
  cr_assert_eq(Conflict->ChangesSinceBase.size(), 2U);
  cr_assert_eq(Conflict->ChangesSinceBase[0].Operator, "juma");
  cr_assert_eq(Store.read()->Text, ConfigurationText(fileOf(3, 3)).fullText());
}

// Guards against accepting two files under the same generation: many operators
// apply at once, and the manifest is written without comparing its revision.
// Fails without the first condition in ConfigurationStore::swapManifest.
Test(ConfigurationStore, acceptsOneOfManyConcurrentAppliesPerGeneration) {
  Fixture F;
  constexpr int Operators = 6;
  constexpr int Rounds = 8;
  std::vector<std::vector<std::uint64_t>> AcceptedByOperator(Operators);
  std::vector<std::thread> Threads;
  Threads.reserve(Operators);
  for (int Operator = 0; Operator < Operators; ++Operator)
    Threads.emplace_back([&, Operator] {
      auto Store = F.open();
      for (int Round = 0; Round < Rounds; ++Round)
        if (const auto Generation = acceptedGeneration(Store.apply(
                fileOf(300, Operator * 100 + Round), std::to_string(Operator))))
          AcceptedByOperator[Operator].push_back(Generation);
    });
  for (auto &Each : Threads)
    Each.join();
  std::set<std::uint64_t> DistinctGenerations;
  std::size_t Count = 0;
  for (const auto &Each : AcceptedByOperator) {
    DistinctGenerations.insert(Each.begin(), Each.end());
    Count += Each.size();
  }
  cr_assert_eq(DistinctGenerations.size(), Count,
               "two applies were accepted under the same generation");
  cr_assert_eq(*DistinctGenerations.rbegin(), DistinctGenerations.size(),
               "a generation belongs to no accepted apply");
  cr_assert_eq(F.generation(), Count);
  const auto Read = F.open().read();
  cr_assert_eq(toString(ConfigurationText(Read->Text).hash()),
               toString(Read->Manifest.Hash));
}

// Guards against an apply that took effect but is reported as failed or is
// applied twice: the response of the swap is lost, and the retry mistakes the
// changed manifest for another operator's. Fails without the comparison of
// ApplyId in ConfigurationStore::resolveFailedSwap.
Test(ConfigurationStore, recognisesItsOwnApplyAfterALostResponse) {
  Fixture F;
  auto Store = F.open();
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 1), "asha")), 1U);
  // The text is the same, so that the swap is the only write.
  F.Store.changeFaults([](auto &Faults) { Faults.LoseReplies = 1; });
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 1), "asha")), 2U);
  cr_assert_eq(F.generation(), 2U);
}

// Guards against the same failure when another operator applies before the
// first one retries: the newest manifest alone does not show the first apply.
// Fails without the lookup in the history in
// ConfigurationStore::resolveFailedSwap.
Test(ConfigurationStore, recognisesItsOwnApplyFollowedByALaterOne) {
  Fixture F;
  auto Store = F.open();
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 1), "asha")), 1U);
  F.Store.changeFaults([](auto &Faults) {
    Faults.LoseReplies = 1;
    Faults.LagMs = 0;
  });
  std::thread Other([&] {
    auto Second = F.open();
    while (F.Store.peek("config/history/").Entries.size() < 2)
      std::this_thread::yield();
    (void)Second.apply(fileOf(3, 1), "juma", 2);
  });
  const auto Generation = acceptedGeneration(Store.apply(fileOf(3, 1), "asha"));
  Other.join();
  cr_assert_eq(Generation, 2U);
}

// Guards against reporting an apply as failed that is active later: the swap
// takes effect, its response is lost, and the store is unreachable until the
// timeout. A missing response does not mean that the swap had no effect.
Test(ConfigurationStore, reportsUnknownIfTheOutcomeCannotBeKnown) {
  Fixture F;
  auto Store = F.open(1s);
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 1), "asha")), 1U);
  std::thread Silencer([&] {
    while (F.Store.calls(StoreCall::Transaction) < 3)
      std::this_thread::yield();
    F.Store.changeFaults([](auto &Faults) { Faults.Silent = true; });
  });
  F.Store.changeFaults([](auto &Faults) { Faults.LoseReplies = 1; });
  const auto Outcome = Store.apply(fileOf(3, 1), "asha");
  F.Store.changeFaults([](auto &Faults) { Faults.Silent = true; });
  Silencer.join();
  // Either the retry succeeded before the store fell silent, or the outcome is
  // unknown.
  cr_assert(acceptedGeneration(Outcome) == 2 ||
            std::holds_alternative<ApplyUnknown>(Outcome));
  const auto Failed = Store.apply(fileOf(3, 9), "asha");
  cr_assert(std::holds_alternative<ApplyFailed>(Failed));
  F.Store.changeFaults([](auto &Faults) { Faults.Silent = false; });
  cr_assert_eq(F.generation(), 2U);
}

Test(ConfigurationStore, removesOldPartsAndKeepsActiveOnes) {
  Fixture F;
  auto Store = F.open();
  for (int Round = 1; Round <= 16; ++Round)
    cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, Round), "asha")),
                 static_cast<std::uint64_t>(Round));
  cr_assert_leq(F.Store.peek("config/parts/").Entries.size(), 4U);
  cr_assert_leq(F.Store.peek("config/history/").Entries.size(), 8U);
  cr_assert_eq(Store.read()->Text, ConfigurationText(fileOf(3, 16)).fullText());
}

// Guards against an active configuration that references a missing part, which
// no router can load: an apply finds an old part present, a collection deletes
// it, and the apply then swaps the manifest. Fails without the second condition
// in ConfigurationStore::swapManifest.
Test(ConfigurationStore, uploadsAPartAgainAfterItsRemoval) {
  Fixture F;
  auto Store = F.open();
  cr_assert_eq(acceptedGeneration(Store.apply(fileOf(3, 1), "asha")), 1U);
  // The text is the same, so that the swap is the only write. It is delayed in
  // transit while the parts are removed, as a collection does.
  const auto Before = F.Store.calls(StoreCall::Transaction);
  F.Store.changeFaults([](auto &Faults) {
    Faults.LateWrites = 1;
    Faults.LateMs = 150;
  });
  std::thread Collector([&] {
    while (F.Store.calls(StoreCall::Transaction) == Before)
      std::this_thread::yield();
    StoreClient Client({F.Store.address(), 200ms, 500ms}, F.Budget,
                       Clock::steady());
    StoreTransaction Removal{{}, {putKey("config/collector", "idle")}, {}};
    for (const StoreEntry &Part : F.Store.peek("config/parts/").Entries)
      Removal.Then.push_back(deleteKey(Part.Key));
    cr_assert(Client.commit(Removal).has_value());
  });
  const auto Outcome = Store.apply(fileOf(3, 1), "asha");
  Collector.join();
  cr_assert_eq(acceptedGeneration(Outcome), 2U);
  const auto Read = Store.read();
  cr_assert(Read.has_value());
  cr_assert_eq(Read->Text, ConfigurationText(fileOf(3, 1)).fullText());
}

// Operators apply concurrently while every fourth generation removes old parts.
// The configuration that is active at the end can be loaded.
Test(ConfigurationStore, neverReferencesARemovedPart) {
  Fixture F;
  constexpr int Operators = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(Operators);
  for (int Operator = 0; Operator < Operators; ++Operator)
    Threads.emplace_back([&, Operator] {
      auto Store = F.open();
      for (int Round = 0; Round < 40; ++Round)
        (void)Store.apply(fileOf(3, Round % 5), std::to_string(Operator));
    });
  for (auto &Each : Threads)
    Each.join();
  const auto Read = F.open().read();
  cr_assert(Read.has_value());
  cr_assert_eq(toString(ConfigurationText(Read->Text).hash()),
               toString(Read->Manifest.Hash));
}
