#include "Process/Fleet.h"

#include "Operator/OperatorClient.h"
#include "Program/ExitCode.h"

#include <Poco/JSON/Parser.h>
#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <future>
#include <sstream>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *Secret = "a-secret-of-the-fleet";

std::string readFile(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

/// One engine and one router with an operator address.
struct SmallFleet {
  TemporaryFolder Folder;
  std::string Engine = freeAddress();
  std::string CallerAddress = freeAddress();
  std::string OperatorAddress = freeAddress();
  ChildProcess EngineProcess;
  ChildProcess Router;

  explicit SmallFleet(const std::string &ExtraSettings = "")
      : EngineProcess("parsleywing-standin", {"--engine", this->Engine},
                      this->Folder.path("engine.log")),
        Router("parsleywing",
               {"router", "--settings", this->writeFiles(ExtraSettings)},
               this->Folder.path("router.log")) {
    cr_assert(waitForListener(this->Engine));
    cr_assert(waitForListener(this->CallerAddress));
  }

  std::string writeFiles(const std::string &ExtraSettings) {
    const std::string Declarations = this->Folder.write(
        "declarations.ini",
        "[account kettle]\nkey_sha256 = " + digestOfKey("kettle-key") +
            "\nservices = advisory\n[service advisory]\n"
            "servers = s1\n[server s1]\n"
            "availability_zone = z1\naddress = " +
            this->Engine + "\n");
    return this->Folder.write(
        "router.ini",
        "[router]\nname = r1\navailability_zone = z1\n[listen]\n"
        "callers = " +
            this->CallerAddress + "\noperators = " + this->OperatorAddress +
            "\n[peers]\nsecret = " + Secret +
            "\n[declarations]\nfile = " + Declarations + "\n" + ExtraSettings);
  }

  std::future<CallerResponse> call(int Tokens) const {
    return std::async(std::launch::async, [this, Tokens] {
      return callRouter(this->CallerAddress, "kettle-key",
                        R"({"model":"advisory","input":"tokens=)" +
                            std::to_string(Tokens) + R"(","stream":true})");
    });
  }

  /// Waits until the router has this number of open requests.
  bool waitForOpenRequests(std::size_t Count) const {
    const OperatorClient Client(this->OperatorAddress);
    for (int Attempt = 0; Attempt < 500; ++Attempt) {
      const auto Health = Client.health();
      if (Health && Health->find("\"open_requests\": " +
                                 std::to_string(Count)) != std::string::npos)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
};

/// The exit code and the output of a command.
struct CommandResult {
  int Code;
  std::string Output;
};

CommandResult runCommand(std::vector<std::string> Arguments) {
  const TemporaryFolder Folder;
  ChildProcess Command("parsleywing", std::move(Arguments), Folder.path("out"));
  const int Code = Command.wait();
  return {Code, readFile(Folder.path("out"))};
}

int toInt(ExitCode Code) { return static_cast<int>(Code); }

} // namespace

Test(Commands, EachFailureHasItsExitCodeAndOneLine) {
  const TemporaryFolder Folder;
  const std::string Invalid =
      Folder.write("wrong.ini", "[router]\ncolor = red\n");
  const std::string Valid = std::string(SOURCE_FOLDER) + "/examples/router.ini";
  const std::string Declarations =
      std::string(SOURCE_FOLDER) + "/examples/tz-north.ini";
  const std::string UnusedAddress = freeAddress();
  struct Case {
    std::vector<std::string> Arguments;
    ExitCode Code;
    std::string Message;
  };
  const std::vector<Case> Cases{
      {{"fly"}, ExitCode::WrongUsage, "'fly' is not a command"},
      {{"check"}, ExitCode::WrongUsage, "either --settings or --declarations"},
      {{"check", "--sett", Valid}, ExitCode::WrongUsage, "--sett"},
      {{"router"}, ExitCode::WrongUsage, "--settings"},
      {{"drain", "--router", UnusedAddress, "--wait", "x"},
       ExitCode::WrongUsage,
       "x"},
      {{"check", "--settings", Invalid},
       ExitCode::InvalidInput,
       Invalid + ":2: [router] color is not a known key"},
      {{"router", "--settings", Invalid},
       ExitCode::InvalidInput,
       Invalid + ":2: [router] color is not a known key"},
      {{"dump", "--router", "here"}, ExitCode::InvalidInput, "IP:port"},
      {{"check", "--declarations", "/nowhere.ini"},
       ExitCode::MissingFile,
       "/nowhere.ini: file cannot be read"},
      {{"dump", "--router", UnusedAddress},
       ExitCode::Unreachable,
       UnusedAddress},
      {{"drain", "--router", UnusedAddress},
       ExitCode::Unreachable,
       UnusedAddress},
  };
  for (const Case &TestCase : Cases) {
    const CommandResult Result = runCommand(TestCase.Arguments);
    cr_expect_eq(Result.Code, toInt(TestCase.Code), "%d: %s", Result.Code,
                 Result.Output.c_str());
    cr_expect(Result.Output.find(TestCase.Message) != std::string::npos, "%s",
              Result.Output.c_str());
    cr_expect_eq(std::ranges::count(Result.Output, '\n'), 1, "%s",
                 Result.Output.c_str());
  }
}

Test(Commands, HelpAndChecksSucceed) {
  const std::string Declarations =
      std::string(SOURCE_FOLDER) + "/examples/gulf-south.ini";
  for (const std::string Name : {"router", "check", "apply", "show", "dump",
                                 "metrics", "drain", "settings", "version"}) {
    const CommandResult Result = runCommand({Name, "--help"});
    cr_expect_eq(Result.Code, 0);
    cr_expect(Result.Output.starts_with("Usage: parsleywing " + Name));
  }
  cr_expect_eq(runCommand({"check", "--declarations", Declarations}).Code, 0);
  cr_expect(runCommand({"version"}).Output.starts_with("parsleywing 0."));
}

Test(Router, AnAddressInUsePreventsTheStart) {
  const SmallFleet Fleet;
  const CommandResult Result =
      runCommand({"router", "--settings", Fleet.Folder.path("router.ini")});
  cr_assert_eq(Result.Code, toInt(ExitCode::CannotStart), "%s",
               Result.Output.c_str());
  cr_assert(Result.Output.find(Fleet.OperatorAddress) != std::string::npos);
}

Test(Router, DumpAndMetricsShowTheRunningProcess) {
  const SmallFleet Fleet;
  auto Response = Fleet.call(200);
  cr_assert(Fleet.waitForOpenRequests(1));
  const CommandResult Dump =
      runCommand({"dump", "--router", Fleet.OperatorAddress});
  cr_assert_eq(Dump.Code, 0, "%s", Dump.Output.c_str());
  const auto State = Poco::JSON::Parser()
                         .parse(Dump.Output)
                         .extract<Poco::JSON::Object::Ptr>();
  cr_assert_eq(State->getObject("process")->getValue<std::string>("name"),
               "r1");
  cr_assert_eq(State->getObject("configuration")->getValue<int>("accounts"), 1);
  cr_assert_eq(State->getObject("requests")->getValue<int>("open"), 1);
  cr_assert_eq(Dump.Output.find(Secret), std::string::npos);
  cr_assert_eq(Dump.Output.find(digestOfKey("kettle-key")), std::string::npos);
  const CommandResult Metrics =
      runCommand({"metrics", "--router", Fleet.OperatorAddress});
  cr_assert(Metrics.Output.find("\nparsleywing_requests_open 1\n") !=
            std::string::npos);
  cr_assert_eq(Response.get().Status, 200);
}

// Guards against streams that are truncated when a router is replaced: the
// router is stopped while a request streams. Fails without the wait in
// RouterProcess::drain.
Test(Router, ADrainCutsOffNoRequestInFlight) {
  SmallFleet Fleet;
  auto Response = Fleet.call(200);
  cr_assert(Fleet.waitForOpenRequests(1));
  Fleet.Router.signal(SIGTERM);
  const CallerResponse Complete = Response.get();
  cr_assert_eq(Complete.Status, 200);
  cr_assert(Complete.Body.find("t199 ") != std::string::npos);
  cr_assert(Complete.Body.find("response.completed") != std::string::npos);
  cr_assert_eq(Fleet.Router.wait(), toInt(ExitCode::Success));
}

Test(Router, AnOperatorDrainRefusesNewRequestsAndExits) {
  SmallFleet Fleet;
  auto Response = Fleet.call(200);
  cr_assert(Fleet.waitForOpenRequests(1));
  cr_assert_eq(runCommand({"drain", "--router", Fleet.OperatorAddress}).Code,
               0);
  const OperatorClient Client(Fleet.OperatorAddress);
  cr_assert(!Client.get("/health").has_value());
  cr_assert(Client.health()->find("draining") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const CallerResponse Late = Fleet.call(1).get();
  cr_assert_eq(Late.Status, 503);
  cr_assert_eq(Late.Outcome, "not-run");
  cr_assert_neq(Late.RetryAfter, "");
  const CommandResult Wait =
      runCommand({"drain", "--router", Fleet.OperatorAddress, "--wait", "30"});
  cr_assert_eq(Wait.Code, 0, "%s", Wait.Output.c_str());
  cr_assert_eq(Response.get().Status, 200);
  cr_assert_eq(Fleet.Router.wait(), toInt(ExitCode::Success));
}

// Guards against a router that never exits although its VM is to be replaced: a
// request runs for minutes, far longer than a drain may take, and the drain has
// no limit.
Test(Router, TheDrainLimitEndsTheProcessWithItsOwnCode, .timeout = 60) {
  SmallFleet Fleet("[requests]\ndrain_limit_seconds = 1\n");
  auto Response = Fleet.call(100'000);
  cr_assert(Fleet.waitForOpenRequests(1));
  Fleet.Router.signal(SIGTERM);
  cr_assert_eq(Fleet.Router.wait(), toInt(ExitCode::Unfinished));
  const std::string Log = readFile(Fleet.Folder.path("router.log"));
  cr_assert(Log.find("ended with 1 requests unanswered") != std::string::npos);
}

Test(Router, ASecondSignalEndsTheDrainAtOnce, .timeout = 60) {
  SmallFleet Fleet;
  auto Response = Fleet.call(100'000);
  cr_assert(Fleet.waitForOpenRequests(1));
  Fleet.Router.signal(SIGTERM);
  // Two pending signals of the same number are delivered as one.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  Fleet.Router.signal(SIGTERM);
  cr_assert_eq(Fleet.Router.wait(), toInt(ExitCode::Unfinished));
}
