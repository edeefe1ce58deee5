#include "Runtime/Metrics.h"

#include <criterion/criterion.h>
#include <thread>

using namespace parsleywing;

namespace {

bool hasLine(const std::string &Text, const std::string &Line) {
  return ("\n" + Text).find("\n" + Line + "\n") != std::string::npos;
}

} // namespace

Test(Metrics, RendersEachKindWithHelpAndTypeOnce) {
  Metrics All;
  All.counter({"answers_total", "Answers.", "outcome=\"completed\""}).add(3);
  All.counter({"answers_total", "Answers.", "outcome=\"not-run\""}).add();
  Gauge &Waiting = All.gauge({"requests_waiting", "Waiting requests.", ""});
  Waiting.set(5);
  Waiting.add(-7);
  All.callback(MetricKind::Gauge, {"uptime_seconds", "Uptime.", ""},
               [] { return 1.5; });
  const std::string Text = All.render();
  cr_assert(hasLine(Text, "# HELP parsleywing_answers_total Answers."));
  cr_assert(hasLine(Text, "# TYPE parsleywing_answers_total counter"));
  cr_assert_eq(Text.find("# TYPE parsleywing_answers_total"),
               Text.rfind("# TYPE parsleywing_answers_total"));
  cr_assert(
      hasLine(Text, "parsleywing_answers_total{outcome=\"completed\"} 3"));
  cr_assert(hasLine(Text, "parsleywing_answers_total{outcome=\"not-run\"} 1"));
  cr_assert(hasLine(Text, "parsleywing_requests_waiting -2"));
  cr_assert(hasLine(Text, "parsleywing_uptime_seconds 1.5"));
}

Test(Metrics, HistogramBucketsAddUpToTheCount) {
  Metrics All;
  LatencyHistogram &Latency = All.latency({"wait_seconds", "Wait.", ""});
  Latency.observe(Duration::zero());
  Latency.observe(std::chrono::milliseconds(2));
  Latency.observe(std::chrono::hours(2));
  const std::string Text = All.render();
  cr_assert(hasLine(Text, "# TYPE parsleywing_wait_seconds histogram"));
  cr_assert(hasLine(Text, "parsleywing_wait_seconds_bucket{le=\"0.0001\"} 1"));
  cr_assert(hasLine(Text, "parsleywing_wait_seconds_bucket{le=\"1000\"} 2"));
  cr_assert(hasLine(Text, "parsleywing_wait_seconds_bucket{le=\"+Inf\"} 3"));
  cr_assert(hasLine(Text, "parsleywing_wait_seconds_count 3"));
}

Test(Metrics, QuantilesAreAccurateToOneBin) {
  LatencyHistogram Latency;
  cr_assert(Latency.quantile(0.5) == Duration::zero());
  for (int Milliseconds = 1; Milliseconds <= 1000; ++Milliseconds)
    Latency.observe(std::chrono::milliseconds(Milliseconds));
  const double BinRatio = 1.26;
  for (const double Fraction : {0.5, 0.95, 0.99}) {
    const auto Estimate =
        static_cast<double>(Latency.quantile(Fraction).count());
    const double Exact = Fraction * 1e6;
    cr_assert_geq(Estimate, Exact * 0.999, "quantile %f is %f", Fraction,
                  Estimate);
    cr_assert_leq(Estimate, Exact * BinRatio, "quantile %f is %f", Fraction,
                  Estimate);
  }
}

// A histogram shows fewer observations than there were requests: several
// threads observe concurrently, and a bin is incremented non-atomically. With
// plain integers as cells the total is too low.
Test(Metrics, ConcurrentObservationsAreAllCounted) {
  constexpr std::uint64_t ObservationsPerWriter = 100'000;
  LatencyHistogram Latency;
  constexpr int Writers = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(Writers);
  for (int Index = 0; Index < Writers; ++Index)
    Threads.emplace_back([&Latency] {
      for (std::uint64_t Round = 0; Round < ObservationsPerWriter; ++Round)
        Latency.observe(std::chrono::milliseconds(5));
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::uint64_t Total = 0;
  for (const LatencyHistogram::Bin &Bin : Latency.bins())
    Total += Bin.Count;
  cr_assert_eq(Total, Writers * ObservationsPerWriter);
}
