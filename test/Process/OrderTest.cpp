#include "Process/Fleet.h"

#include "Backend/OrderClient.h"
#include "Backend/ShortCall.h"
#include "Program/ExitCode.h"

#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

constexpr const char *LeaseTtl = "4";
constexpr int OutdatedNumber = 1;
constexpr std::uint64_t NewerNumber = 1'000'000;

/// A store, one engine, and active declarations that name it.
struct OrderFleet {
  TemporaryFolder Folder;
  std::string Store = freeAddress();
  std::string Engine = freeAddress();
  ChildProcess StoreProcess;
  ChildProcess EngineProcess;

  explicit OrderFleet(FencingCheck Check)
      : StoreProcess("parsleywing-standin", {"--store", this->Store},
                     this->Folder.path("store.log")),
        EngineProcess("parsleywing-standin", this->engineArguments(Check),
                      this->Folder.path("engine.log")) {
    cr_assert(waitForListener(this->Store));
    cr_assert(waitForListener(this->Engine));
    const std::string File = this->Folder.write(
        "declarations.ini",
        "[account kettle]\nkey_sha256 = " + digestOfKey("kettle-key") +
            "\nservices = advisory\n[service advisory]\nservers = s1\n"
            "[server s1]\navailability_zone = z1\nfencing = " +
            std::string(nameOf(FencingCheckNames, Check)) +
            "\naddress = " + this->Engine + "\n");
    cr_assert_eq(ChildProcess("parsleywing",
                              {"apply", File, "--operator", "test",
                               "--platform", this->Store},
                              this->Folder.path("apply.log"))
                     .wait(),
                 0);
  }

  std::vector<std::string> engineArguments(FencingCheck Check) const {
    std::vector<std::string> Arguments{"--engine", this->Engine};
    if (Check == FencingCheck::Checked)
      Arguments.emplace_back("--checks-fencing");
    return Arguments;
  }

  /// Starts `parsleywing order`, with its output in `<Name>.log`.
  ChildProcess order(const std::string &Name,
                     const std::vector<std::string> &OrderArguments) const {
    std::vector<std::string> Arguments{
        "order",      "--server",  "s1",           "--operator", Name,
        "--platform", this->Store, "--lease-life", LeaseTtl};
    Arguments.insert(Arguments.end(), OrderArguments.begin(),
                     OrderArguments.end());
    return {"parsleywing", Arguments, this->Folder.path(Name + ".log")};
  }

  std::string logOf(const std::string &Name) const {
    std::ostringstream Content;
    Content << std::ifstream(this->Folder.path(Name + ".log")).rdbuf();
    return Content.str();
  }

  bool waitForLog(const std::string &Name, const std::string &Text) const {
    for (int Attempt = 0; Attempt < 6000; ++Attempt) {
      if (this->logOf(Name).find(Text) != std::string::npos)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  int post(const std::string &Path, const std::string &Body,
           std::uint64_t Number = OutdatedNumber) const {
    ShortCall Call;
    Call.Address = this->Engine;
    Call.Method = "POST";
    Call.Path = Path;
    Call.Body = Body;
    Call.Headers = {{FencingHeader, std::to_string(Number)}};
    Call.Timeout = std::chrono::seconds(10);
    const auto Response = runShortCall(Call);
    return Response ? Response->Status : 0;
  }

  bool isAdapterLoaded() const {
    BackendCounters Counters;
    const auto Report = OrderClient(Counters).fetchLoadedModels(
        this->Engine, std::chrono::seconds(10));
    cr_assert(Report.has_value());
    return Report->contains("a");
  }
};

/// Stops the holder of the lease while it waits for permission to load, before
/// its order is sent. Another holder sends a newer order, and the first is
/// continued and later gets permission.
void pauseHolderBeyondItsLease(FencingCheck Check) {
  const OrderFleet Fleet(Check);
  const std::vector<std::string> Rate{"--loads", "1", "--load-period", "40"};
  const auto Load = [&](const std::string &Operator,
                        const std::string &Adapter) {
    std::vector<std::string> Arguments{"--load-adapter", Adapter, "--path",
                                       "/w"};
    Arguments.insert(Arguments.end(), Rate.begin(), Rate.end());
    return Fleet.order(Operator, Arguments);
  };
  cr_assert_eq(Load("first", "b").wait(), 0);
  ChildProcess Old = Load("old", "a");
  cr_assert(Fleet.waitForLog("old", "waiting for leave to load"));
  Old.signal(SIGSTOP);
  ChildProcess New = Fleet.order("new", {"--unload-adapter", "a"});
  cr_assert_eq(New.wait(), 0, "%s", Fleet.logOf("new").c_str());
  Old.signal(SIGCONT);
  const int OldExitCode = Old.wait();
  cr_assert(!Fleet.isAdapterLoaded(), "the old order took effect:\n%s",
            Fleet.logOf("old").c_str());
  cr_assert_eq(OldExitCode, static_cast<int>(ExitCode::LeaseLost), "%s",
               Fleet.logOf("old").c_str());
}

} // namespace

// Guards against an engine that ignores fencing numbers and reverts to an old
// order: the process that holds the server's lease is stopped (SIGSTOP) before
// its order is sent, its lease expires, another holder sends a newer order, and
// the first process is continued. It must neither rely on its earlier state nor
// acquire the lease again and send the old order under the new number. Fails
// without the check of the lease or the comparison of the number in
// ServerOrder::currentPermit.
Test(Order, aHolderPausedBeyondItsLeaseSendsNoOrderIfFencingIsIgnored) {
  pauseHolderBeyondItsLease(FencingCheck::Ignored);
}

// Guards against the same failure at an engine that checks fencing numbers.
// Without the check of the lease, the engine itself refuses the old order, and
// only the exit code differs; without the comparison of the number, the old
// order takes effect.
Test(Order, aHolderPausedBeyondItsLeaseSendsNoOrderIfFencingIsChecked) {
  pauseHolderBeyondItsLease(FencingCheck::Checked);
}

// Guards against an engine that ignores fencing numbers and keeps the effect of
// an old order, while the operator was told that the newer one is done: the old
// order is sent in time but delayed in transit, another holder sends a newer
// order, and the old one arrives. Bytes that have been sent cannot be stopped,
// so the newer holder watches the engine's report and sends its order again.
// Fails if ServerOrder::remainsInEffect always returns true.
Test(Order, aLateStaleOrderIsDetectedAndReverted) {
  const OrderFleet Fleet(FencingCheck::Ignored);
  ChildProcess New =
      Fleet.order("new", {"--load-adapter", "a", "--path", "/w/a"});
  cr_assert(Fleet.waitForLog("new", "watching the report"));
  cr_assert_eq(Fleet.post("/v1/unload_lora_adapter", R"({"lora_name":"a"})"),
               200);
  cr_assert_eq(Fleet.post("/v1/load_lora_adapter", R"({"lora_name":"b"})"),
               200);
  cr_assert_eq(New.wait(), 0);
  cr_assert(Fleet.isAdapterLoaded());
  const std::string Log = Fleet.logOf("new");
  cr_assert(Log.find("repeats 1") != std::string::npos, "%s", Log.c_str());
  cr_assert(Log.find("older lease: +b") != std::string::npos, "%s",
            Log.c_str());
}

// Guards against an old order that takes effect at an engine that checks
// fencing numbers, or that is reported as done although the engine refused it.
// Fails if OrderClient treats the 409 as done.
Test(Order, anOutdatedNumberIsRefusedAndReported) {
  const OrderFleet Fleet(FencingCheck::Checked);
  cr_assert_eq(
      Fleet.post("/v1/load_lora_adapter", R"({"lora_name":"a"})", NewerNumber),
      200);
  ChildProcess Old = Fleet.order("old", {"--unload-adapter", "a"});
  cr_assert_eq(Old.wait(), static_cast<int>(ExitCode::StaleOrder));
  cr_assert(Fleet.logOf("old").find("stale: ") != std::string::npos);
  cr_assert(Fleet.isAdapterLoaded());
}

// Guards against exceeding the rate limit of the weight store: one load uses up
// the period's limit, another operator orders a load, and each process counts
// only its own loads. Fails if LoadRateLimiter always permits a load.
Test(Order, loadsShareTheRateLimitOfTheWeightStore) {
  const OrderFleet Fleet(FencingCheck::Checked);
  const auto Load = [&](const std::string &Name) {
    const std::vector<std::string> Arguments{
        "--loads", "1",  "--load-period",  "600", "--wait", "8",
        "--path",  "/w", "--load-adapter", Name};
    return Fleet.order("load-" + Name, Arguments).wait();
  };
  cr_assert_eq(Load("b"), 0);
  cr_assert_eq(Load("a"), static_cast<int>(ExitCode::TimedOut));
  cr_assert(Fleet.logOf("load-a").find("rate") != std::string::npos);
  cr_assert(!Fleet.isAdapterLoaded());
  // A load of an adapter that is already loaded reads nothing from the weight
  // store.
  cr_assert_eq(Load("b"), 0);
}
