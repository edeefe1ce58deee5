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

constexpr const char *LeaseLife = "4";
constexpr int OldNumber = 1;
constexpr std::uint64_t HighNumber = 1'000'000;

/// A store, one engine, and declarations in force that name it.
struct OrderFleet {
  TemporaryFolder Folder;
  std::string Store = freeAddress();
  std::string Engine = freeAddress();
  ChildProcess StoreProcess;
  ChildProcess EngineProcess;

  explicit OrderFleet(FencingCheck Check)
      : StoreProcess("parsleywing-standin", {"--store", this->Store},
                     this->Folder.path("store.log")),
        EngineProcess("parsleywing-standin", this->engineWords(Check),
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

  std::vector<std::string> engineWords(FencingCheck Check) const {
    std::vector<std::string> Words{"--engine", this->Engine};
    if (Check == FencingCheck::Checked)
      Words.emplace_back("--checks-fencing");
    return Words;
  }

  /// Starts `parsleywing order`; its output is in `<Name>.log`.
  ChildProcess order(const std::string &Name,
                     const std::vector<std::string> &What) const {
    std::vector<std::string> Words{"order",      "--server",     "s1",
                                   "--operator", Name,           "--platform",
                                   this->Store,  "--lease-life", LeaseLife};
    Words.insert(Words.end(), What.begin(), What.end());
    return {"parsleywing", Words, this->Folder.path(Name + ".log")};
  }

  std::string logOf(const std::string &Name) const {
    std::ostringstream Text;
    Text << std::ifstream(this->Folder.path(Name + ".log")).rdbuf();
    return Text.str();
  }

  bool waitForLog(const std::string &Name, const std::string &Part) const {
    for (int Try = 0; Try < 6000; ++Try) {
      if (this->logOf(Name).find(Part) != std::string::npos)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  int post(const std::string &Path, const std::string &Body,
           std::uint64_t Number = OldNumber) const {
    ShortCall Call;
    Call.Address = this->Engine;
    Call.Method = "POST";
    Call.Path = Path;
    Call.Body = Body;
    Call.Headers = {{FencingHeader, std::to_string(Number)}};
    Call.Timeout = std::chrono::seconds(10);
    const auto Answer = runShortCall(Call);
    return Answer ? Answer->Status : 0;
  }

  bool hasAdapter() const {
    BackendCounters Counters;
    const auto Report = OrderClient(Counters).fetchLoadedModels(
        this->Engine, std::chrono::seconds(10));
    cr_assert(Report.has_value());
    return Report->contains("a");
  }
};

/// The holder of the lease is stopped while it waits for leave to load, so
/// before its order leaves; its successor gives a newer one; the first is
/// continued, and in time may load.
void pauseHolderPastItsLease(FencingCheck Check) {
  const OrderFleet Fleet(Check);
  const std::vector<std::string> Rate{"--loads", "1", "--load-period", "40"};
  const auto Load = [&](const std::string &Who, const std::string &Adapter) {
    std::vector<std::string> Words{"--load-adapter", Adapter, "--path", "/w"};
    Words.insert(Words.end(), Rate.begin(), Rate.end());
    return Fleet.order(Who, Words);
  };
  cr_assert_eq(Load("first", "b").wait(), 0);
  ChildProcess Old = Load("old", "a");
  cr_assert(Fleet.waitForLog("old", "waiting for leave to load"));
  Old.signal(SIGSTOP);
  ChildProcess New = Fleet.order("new", {"--unload-adapter", "a"});
  cr_assert_eq(New.wait(), 0, "%s", Fleet.logOf("new").c_str());
  Old.signal(SIGCONT);
  const int Ended = Old.wait();
  cr_assert(!Fleet.hasAdapter(), "the old order came through:\n%s",
            Fleet.logOf("old").c_str());
  cr_assert_eq(Ended, static_cast<int>(ExitCode::LeaseLost), "%s",
               Fleet.logOf("old").c_str());
}

} // namespace

// Symptom: an engine that ignores the number goes back to an old order.
// Sequence: the process that holds the server's lease is stopped (SIGSTOP)
// before its order leaves, its lease lapses, a successor gives a newer order,
// the first process is continued. Cause: it goes on with what it knew before,
// or takes the lease anew and gives the old order under the new number.
// Failed in one run each without the look at the lease in ServerOrder::leave
// (the adapter was loaded) and without its comparison of the number.
Test(Order, aHolderPausedPastItsLeaseGivesNoOrderWhereTheNumberIsIgnored) {
  pauseHolderPastItsLease(FencingCheck::Ignored);
}

// The same at an engine that checks the number. Without the look at the lease
// the engine itself refused the old order (the test failed on the exit code
// alone); without the comparison of the number the old order came through.
Test(Order, aHolderPausedPastItsLeaseGivesNoOrderWhereTheNumberIsChecked) {
  pauseHolderPastItsLease(FencingCheck::Checked);
}

// Symptom: an engine that ignores the number stays with an old order, and the
// operator was told that the newer one is done. Sequence: an old order leaves
// in time and is held up on its way; a successor gives a newer one; the old one
// arrives. Cause: nothing at this side can stop bytes that have left, so the
// successor watches the report and gives its order again. Failed in one run
// with ServerOrder::staysInEffect always true.
Test(Order, anOldOrderThatArrivesLateIsNoticedAndPutRight) {
  const OrderFleet Fleet(FencingCheck::Ignored);
  ChildProcess New =
      Fleet.order("new", {"--load-adapter", "a", "--path", "/w/a"});
  cr_assert(Fleet.waitForLog("new", "watching the report"));
  cr_assert_eq(Fleet.post("/v1/unload_lora_adapter", R"({"lora_name":"a"})"),
               200);
  cr_assert_eq(Fleet.post("/v1/load_lora_adapter", R"({"lora_name":"b"})"),
               200);
  cr_assert_eq(New.wait(), 0);
  cr_assert(Fleet.hasAdapter());
  const std::string Log = Fleet.logOf("new");
  cr_assert(Log.find("repeats 1") != std::string::npos, "%s", Log.c_str());
  cr_assert(Log.find("older lease: +b") != std::string::npos, "%s",
            Log.c_str());
}

// Symptom: an old order takes effect at an engine that checks the number, or
// its operator is told that it did. Cause: the refusal is taken for done.
// Failed in one run with the 409 counted as done in OrderClient::send.
Test(Order, anOldNumberIsRefusedAndSaidSo) {
  const OrderFleet Fleet(FencingCheck::Checked);
  cr_assert_eq(
      Fleet.post("/v1/load_lora_adapter", R"({"lora_name":"a"})", HighNumber),
      200);
  ChildProcess Old = Fleet.order("old", {"--unload-adapter", "a"});
  cr_assert_eq(Old.wait(), static_cast<int>(ExitCode::StaleOrder));
  cr_assert(Fleet.logOf("old").find("stale: ") != std::string::npos);
  cr_assert(Fleet.hasAdapter());
}

// Symptom: the weight store is asked for more than its rate. Sequence: one load
// took all that the period allows; another operator orders a load. Cause: each
// process counts its own loads alone. Failed in one run with LoadRate::take
// always giving leave.
Test(Order, loadsShareTheRateOfTheWeightStore) {
  const OrderFleet Fleet(FencingCheck::Checked);
  const auto Load = [&](const std::string &Name) {
    const std::vector<std::string> Words{
        "--loads", "1",  "--load-period",  "600", "--wait", "8",
        "--path",  "/w", "--load-adapter", Name};
    return Fleet.order("load-" + Name, Words).wait();
  };
  cr_assert_eq(Load("b"), 0);
  cr_assert_eq(Load("a"), static_cast<int>(ExitCode::TimedOut));
  cr_assert(Fleet.logOf("load-a").find("rate") != std::string::npos);
  cr_assert(!Fleet.hasAdapter());
  // What is loaded already reads nothing from the weight store.
  cr_assert_eq(Load("b"), 0);
}
