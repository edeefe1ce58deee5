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

// Guards against losing an accepted file: two processes read generation 1, both
// swap the manifest, and both are reported as accepted. Fails without the
// comparison of the revision in ConfigurationStore::swapManifest.
Test(ConfigurationApply, OneOfTwoConcurrentAppliesSucceeds, .timeout = 200) {
  ConfigurationFleet Fleet(3);
  cr_assert_eq(Fleet.apply(Fleet.writeDeclarations("kettle"), "first").Code, 0);
  cr_assert(Fleet.waitForGeneration(1));
  // Each reply is delayed, so that both processes read before either swaps.
  Fleet.setStoreFaults(R"({"lagMs":400})");
  auto PendingA = std::async(std::launch::async, [&] {
    return Fleet.apply(Fleet.writeDeclarations("almond"), "operator-a");
  });
  const CommandResult ApplyB =
      Fleet.apply(Fleet.writeDeclarations("basil"), "operator-b");
  const CommandResult ApplyA = PendingA.get();
  Fleet.setStoreFaults(R"({"lagMs":0})");
  const bool BSucceeded = ApplyB.Code == 0;
  const CommandResult &Accepted = BSucceeded ? ApplyB : ApplyA;
  const CommandResult &Rejected = BSucceeded ? ApplyA : ApplyB;
  cr_assert_eq(Accepted.Code, 0, "%s", Accepted.Output.c_str());
  cr_assert_eq(Rejected.Code, codeOf(ExitCode::Conflict), "%s",
               Rejected.Output.c_str());
  const std::string AcceptedOperator = BSucceeded ? "operator-b" : "operator-a";
  cr_assert(Rejected.Output.find("generation 2 by " + AcceptedOperator) !=
                std::string::npos,
            "%s", Rejected.Output.c_str());
  cr_assert(Fleet.waitForGeneration(2));
  const std::string Shown = Fleet.show().Output;
  cr_assert(Shown.find(BSucceeded ? "basil" : "almond") != std::string::npos);
  cr_assert_eq(Shown.find(BSucceeded ? "almond" : "basil"), std::string::npos);
  for (std::size_t Index = 0; Index < 3; ++Index) {
    cr_expect_eq(Fleet.router(Index).generation()->Generation, 2);
    cr_expect_eq(Fleet.requestStatusAt(Index, BSucceeded ? "basil" : "almond"),
                 200);
    cr_expect_eq(Fleet.requestStatusAt(Index, BSucceeded ? "almond" : "basil"),
                 401);
  }
}

// Guards against an apply that is active but reported as failed or as
// conflicting, or that is applied twice: the swap takes effect, the connection
// breaks before its reply, and the retried swap fails because the process does
// not recognise its own write. Fails without the comparison of ApplyId in
// ConfigurationStore::resolveFailedSwap.
Test(ConfigurationApply, AnApplyWithALostReplySucceedsOnce, .timeout = 200) {
  ConfigurationFleet Fleet(3);
  cr_assert_eq(Fleet.apply(Fleet.writeDeclarations("kettle"), "first").Code, 0);
  std::uint64_t ExpectedGeneration = 1;
  for (const int LostReplies : {1, 2, 3}) {
    const std::string Account = "account" + std::to_string(LostReplies);
    std::ostringstream File;
    File << std::ifstream(Fleet.writeDeclarations(Account)).rdbuf();
    // The routers are stopped meanwhile, since otherwise a write for one of
    // their leases could lose its reply instead. The first write is that of a
    // part, the next one the swap.
    for (const FleetRouter &Router : Fleet.routers())
      Router.Process->signal(SIGSTOP);
    Fleet.setStoreFaults("{\"loseReplies\":" + std::to_string(LostReplies) +
                         "}");
    const auto Result = applyToPlatform({{Fleet.storeAddress(), "parsleywing/"},
                                         File.str(),
                                         "second",
                                         std::chrono::seconds(30)});
    Fleet.setStoreFaults(R"({"loseReplies":0})");
    for (const FleetRouter &Router : Fleet.routers())
      Router.Process->signal(SIGCONT);
    ++ExpectedGeneration;
    cr_assert(Result.has_value(), "%d lost replies: %s", LostReplies,
              Result.has_value() ? "" : Result.error().Message.c_str());
    cr_assert_eq(Result->Generation, ExpectedGeneration);
    cr_assert(Fleet.waitForGeneration(ExpectedGeneration));
    for (std::size_t Index = 0; Index < 3; ++Index) {
      cr_expect_eq(Fleet.router(Index).generation()->Generation,
                   ExpectedGeneration);
      cr_expect_eq(Fleet.requestStatusAt(Index, Account), 200);
    }
  }
}

// Guards against an apply that reports success while a router still uses the
// old file: a router is stopped, a change is applied, and acceptance by the
// store is mistaken for activation at every router. Fails without the wait in
// ApplyCommand.
Test(ConfigurationApply, WaitInForceNamesTheOutdatedRouter, .timeout = 200) {
  ConfigurationFleet Fleet(3);
  const std::vector<std::string> LongWait{"--wait-in-force", "60"};
  cr_assert(Fleet.waitForViewSize(3, {0, 1, 2}));
  const CommandResult First =
      Fleet.apply(Fleet.writeDeclarations("kettle"), "first", LongWait);
  cr_assert_eq(First.Code, 0, "%s", First.Output.c_str());
  for (std::size_t Index = 0; Index < 3; ++Index)
    cr_expect_eq(Fleet.router(Index).generation()->Generation, 1);
  Fleet.router(2).Process->signal(SIGSTOP);
  const CommandResult Second = Fleet.apply(Fleet.writeDeclarations("almond"),
                                           "first", {"--wait-in-force", "2"});
  cr_expect_eq(Second.Code, codeOf(ExitCode::TimedOut));
  cr_expect(Second.Output.find("in force as generation 2") !=
            std::string::npos);
  cr_expect(Second.Output.find("\n  r3: ") != std::string::npos, "%s",
            Second.Output.c_str());
  cr_expect_eq(Second.Output.find("\n  r1: "), std::string::npos);
  Fleet.router(2).Process->signal(SIGCONT);
  const CommandResult Third =
      Fleet.apply(Fleet.writeDeclarations("basil"), "first", LongWait);
  cr_expect_eq(Third.Code, 0, "%s", Third.Output.c_str());
}

// Guards against fault injection by anyone who reaches the operator address:
// `POST /faults` must be refused by a router whose settings do not allow it.
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
  const auto Disallowed =
      OperatorClient(Operators).post("/faults", R"({"cutFrom":["r2"]})");
  cr_assert(!Disallowed.has_value());
  cr_expect(Disallowed.error().Message.find("403") != std::string::npos);
  const auto Malformed =
      OperatorClient(Operators).post("/faults", R"({"lossPercent":101})");
  cr_assert(!Malformed.has_value());
  cr_expect(Malformed.error().Message.find("400") != std::string::npos);
}
