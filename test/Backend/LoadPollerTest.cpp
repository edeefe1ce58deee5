#include "Backend/LoadPoller.h"
#include "Backend/EngineFixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace parsleywing;
using parsleywing::test::EngineFixture;
using parsleywing::test::eventually;
using std::chrono::milliseconds;

namespace {

const ServerId Watched = idOf<ServerId>("s1");

struct PollerFixture {
  explicit PollerFixture(Duration RepeatEvery = std::chrono::hours(1))
      : Poller(settings(RepeatEvery), Engines.Counters, this->sink()) {
    this->Poller.watch({{Watched, this->Engines.Engine.address()}});
  }

  static PollSettings settings(Duration RepeatEvery) {
    PollSettings Settings;
    Settings.RepeatInterval = RepeatEvery;
    Settings.Interval = milliseconds(20);
    Settings.Timeout = milliseconds(500);
    Settings.Threads = 2;
    return Settings;
  }

  std::function<void(Event)> sink() {
    return [this](const Event &Received) {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (const auto *Load = std::get_if<LoadReported>(&Received))
        this->Last = *Load;
      if (const auto *Change = std::get_if<ServerConditionChanged>(&Received))
        this->Conditions.push_back(Change->Condition);
    };
  }

  bool reported(std::uint32_t Running, std::uint32_t Waiting) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Last && this->Last->Running == Running &&
           this->Last->Waiting == Waiting;
  }

  bool became(const std::vector<ServerCondition> &Expected) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Conditions == Expected;
  }

  std::ptrdiff_t timesUsable() {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return std::ranges::count(this->Conditions, ServerCondition::Usable);
  }

  void set(bool standin::EngineFaults::*Fault) {
    standin::EngineFaults Faults;
    if (Fault)
      Faults.*Fault = true;
    this->Engines.Engine.setFaults(Faults);
  }

  std::mutex Mutex;
  std::optional<LoadReported> Last;
  std::vector<ServerCondition> Conditions;
  EngineFixture Engines;
  LoadPoller Poller;
};

} // namespace

Test(LoadPoller, ReportsThePublishedLoad, .timeout = 60) {
  PollerFixture Fixture;
  Fixture.set(&standin::EngineFaults::Stall);
  cr_expect(eventually([&] { return Fixture.reported(0, 0); }));
  auto Response = std::make_shared<standin::EngineResponse>();
  Response->Metadata = "{}";
  Response->TokensWanted = 1;
  Fixture.Engines.Engine.submit(Response);
  cr_expect(eventually([&] { return Fixture.reported(0, 1); }));
  cr_expect_gt(Fixture.Engines.Counters.PollBytes.load(), 0);
  cr_expect(Fixture.became({}));
}

// Guards against requests to a server that is dead or draining, and against a
// recovered server that gets none. The server closes every new connection, then
// is healthy again, then refuses because it drains; servers are checked only by
// requests. Fails without LoadPoller::applyObservation.
Test(LoadPoller, ReportsFailureRecoveryAndDrain, .timeout = 60) {
  PollerFixture Fixture;
  Fixture.set(&standin::EngineFaults::Close);
  cr_expect(
      eventually([&] { return Fixture.became({ServerCondition::Failed}); }));
  Fixture.set(nullptr);
  cr_expect(eventually([&] {
    return Fixture.became({ServerCondition::Failed, ServerCondition::Usable});
  }));
  Fixture.set(&standin::EngineFaults::Leaving);
  cr_expect(eventually([&] {
    return Fixture.became({ServerCondition::Failed, ServerCondition::Usable,
                           ServerCondition::Leaving});
  }));
}

// Guards against a healthy server that gets no requests. The router that owns
// it reports it as leaving and crashes; the next owner's poller finds it
// usable, which is no change for this poller, so it reports nothing.
Test(LoadPoller, RepeatsAnUnchangedCondition, .timeout = 60) {
  PollerFixture Fixture{milliseconds(50)};
  cr_expect(eventually([&] { return Fixture.timesUsable() >= 2; }));
}

Test(LoadPoller, ParsesThePublishedFormatAndRejectsOthers) {
  const auto Report = parseLoadReport("# TYPE vllm:num_requests_running gauge\n"
                                      "vllm:num_requests_running{m=\"a\"} 3.0\n"
                                      "vllm:num_requests_running{m=\"b\"} 2\n"
                                      "vllm:num_requests_waiting 1e1\n"
                                      "vllm:kv_cache_usage_perc 0.5\n");
  cr_assert(Report.has_value());
  cr_expect_eq(Report->Running, 5);
  cr_expect_eq(Report->Waiting, 10);
  cr_expect_eq(Report->CacheUsage, 0.5);
  for (const char *Invalid :
       {"", "vllm:num_requests_running 3\n",
        "vllm:num_requests_running NaN\nvllm:num_requests_waiting 1\n",
        "vllm:num_requests_running -1\nvllm:num_requests_waiting 1\n",
        "vllm:num_requests_running{\nvllm:num_requests_waiting 1\n",
        "vllm:num_requests_running 9e99\nvllm:num_requests_waiting 1\n"})
    cr_expect(!parseLoadReport(Invalid), "%s", Invalid);
}
