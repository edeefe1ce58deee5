#include "Process/ConfigurationFleet.h"

#include "Operator/OperatorClient.h"
#include "Program/ExitCode.h"
#include "Program/PlatformDeclarations.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <sstream>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

int codeOf(ExitCode Code) { return static_cast<int>(Code); }

} // namespace

// Symptom: two operators both read "in force", and one file is gone.
// Sequence: two processes read generation 1, then both swap the manifest.
// Cause: a swap that does not compare the revision that the apply began from.
// Run without that comparison in ConfigurationStore::swap: both are accepted.
Test(ConfigurationApply, OfTwoOperatorsAtOnceOneWins, .timeout = 200) {
  ConfigurationFleet Fleet(3);
  cr_assert_eq(Fleet.apply(Fleet.declare("kettle"), "first").Code, 0);
  cr_assert(Fleet.waitForGeneration(1));
  // Each reply waits, so that both read long before either swaps.
  Fleet.orderStoreFaults(R"({"lagMs":400})");
  auto Other = std::async(std::launch::async, [&] {
    return Fleet.apply(Fleet.declare("almond"), "operator-a");
  });
  const CommandResult Mine = Fleet.apply(Fleet.declare("basil"), "operator-b");
  const CommandResult Theirs = Other.get();
  Fleet.orderStoreFaults(R"({"lagMs":0})");
  const bool MineWon = Mine.Code == 0;
  const CommandResult &Won = MineWon ? Mine : Theirs;
  const CommandResult &Lost = MineWon ? Theirs : Mine;
  cr_assert_eq(Won.Code, 0, "%s", Won.Printed.c_str());
  cr_assert_eq(Lost.Code, codeOf(ExitCode::Conflict), "%s",
               Lost.Printed.c_str());
  const std::string Winner = MineWon ? "operator-b" : "operator-a";
  cr_assert(Lost.Printed.find("generation 2 by " + Winner) != std::string::npos,
            "%s", Lost.Printed.c_str());
  cr_assert(Fleet.waitForGeneration(2));
  const std::string Shown = Fleet.show().Printed;
  cr_assert(Shown.find(MineWon ? "basil" : "almond") != std::string::npos);
  cr_assert_eq(Shown.find(MineWon ? "almond" : "basil"), std::string::npos);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    cr_expect_eq(Fleet.router(Index).generation()->Generation, 2);
    cr_expect_eq(Fleet.callAt(Index, MineWon ? "basil" : "almond"), 200);
    cr_expect_eq(Fleet.callAt(Index, MineWon ? "almond" : "basil"), 401);
  }
}

// Symptom: an operator is told of a failure, or that another file came first,
// and the file is in force; or it is in force twice.
// Sequence: the swap takes effect; the connection breaks before its reply.
// Cause: the repeated swap fails, and its own first write is not recognised.
// Run without the looks for the own identity in ConfigurationStore::judge: the
// second of these applies is told that another file came first.
Test(ConfigurationApply, ALostReplyIsAppliedOnceAndAccepted, .timeout = 200) {
  ConfigurationFleet Fleet(3);
  cr_assert_eq(Fleet.apply(Fleet.declare("kettle"), "first").Code, 0);
  std::uint64_t Expected = 1;
  for (const int Lost : {1, 2, 3}) {
    const std::string Account = "account" + std::to_string(Lost);
    std::ostringstream File;
    File << std::ifstream(Fleet.declare(Account)).rdbuf();
    // The routers stand still meanwhile, lest the loss meets a write for one
    // of their leases. The first write is that of the part, the next the swap.
    for (const FleetRouter &Router : Fleet.routers())
      Router.Process->signal(SIGSTOP);
    Fleet.orderStoreFaults("{\"loseReplies\":" + std::to_string(Lost) + "}");
    const auto Done = applyToPlatform({{Fleet.storeAddress(), "parsleywing/"},
                                       File.str(),
                                       "second",
                                       std::chrono::seconds(30)});
    Fleet.orderStoreFaults(R"({"loseReplies":0})");
    for (const FleetRouter &Router : Fleet.routers())
      Router.Process->signal(SIGCONT);
    ++Expected;
    cr_assert(Done.has_value(), "%d lost: %s", Lost,
              Done.has_value() ? "" : Done.error().Message.c_str());
    cr_assert_eq(Done->Generation, Expected);
    cr_assert(Fleet.waitForGeneration(Expected));
    for (std::size_t Index = 0; Index < 3; ++Index) {
      cr_expect_eq(Fleet.router(Index).generation()->Generation, Expected);
      cr_expect_eq(Fleet.callAt(Index, Account), 200);
    }
  }
}

// Symptom: an operator goes home, and one router still has the old file.
// Sequence: a router is frozen; a change is applied; the command succeeds.
// Cause: accepted in the store was taken for in force everywhere.
// With the wait taken out of ApplyCommand the command ends with 0 at once.
Test(ConfigurationApply, WaitInForceNamesTheRouterThatIsBehind,
     .timeout = 200) {
  ConfigurationFleet Fleet(3);
  const std::vector<std::string> Patient{"--wait-in-force", "60"};
  cr_assert(Fleet.waitForViews(3, {0, 1, 2}));
  const CommandResult First =
      Fleet.apply(Fleet.declare("kettle"), "first", Patient);
  cr_assert_eq(First.Code, 0, "%s", First.Printed.c_str());
  for (std::size_t Index = 0; Index < 3; ++Index)
    cr_expect_eq(Fleet.router(Index).generation()->Generation, 1);
  Fleet.router(2).Process->signal(SIGSTOP);
  const CommandResult Second =
      Fleet.apply(Fleet.declare("almond"), "first", {"--wait-in-force", "2"});
  cr_expect_eq(Second.Code, codeOf(ExitCode::TimedOut));
  cr_expect(Second.Printed.find("in force as generation 2") !=
            std::string::npos);
  cr_expect(Second.Printed.find("\n  r3: ") != std::string::npos, "%s",
            Second.Printed.c_str());
  cr_expect_eq(Second.Printed.find("\n  r1: "), std::string::npos);
  Fleet.router(2).Process->signal(SIGCONT);
  const CommandResult Third =
      Fleet.apply(Fleet.declare("basil"), "first", Patient);
  cr_expect_eq(Third.Code, 0, "%s", Third.Printed.c_str());
}

// Symptom: somebody who reaches the operator address cuts a router off.
// Sequence: `POST /faults` at a router whose settings do not allow it.
// Cause: the order is not checked against the settings.
Test(ConfigurationApply, FaultsAreRefusedUnlessTheSettingsAllowThem,
     .timeout = 100) {
  const TemporaryFolder Folder;
  const std::string Operators = freeAddress();
  const std::string Settings = Folder.write(
      "router.ini", "[router]\nname = r1\navailability_zone = z1\n[listen]\n"
                    "callers = " +
                        freeAddress() + "\npeers = " + freeAddress() +
                        "\noperators = " + Operators +
                        "\n[peers]\nsecret = a-secret-of-the-fleet\n");
  const ChildProcess Router("parsleywing", {"router", "--settings", Settings},
                            Folder.path("log"));
  cr_assert(waitForListener(Operators));
  const auto Done =
      OperatorClient(Operators).post("/faults", R"({"cutFrom":["r2"]})");
  cr_assert(!Done.has_value());
  cr_expect(Done.error().Message.find("403") != std::string::npos);
  const auto Wrong =
      OperatorClient(Operators).post("/faults", R"({"lossPercent":101})");
  cr_assert(!Wrong.has_value());
  cr_expect(Wrong.error().Message.find("400") != std::string::npos);
}
