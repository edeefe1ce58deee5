#include "Gateway/HistoryCheck.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

using namespace parsleywing;
using namespace parsleywing::test;

namespace {

/// Histories that are played at once.
constexpr std::size_t AtOnce = 3;

struct SeedRange {
  std::uint64_t First = 1;
  std::uint64_t Last = 9;
};

/// The variable `HISTORY_SEEDS` names other seeds, as FIRST-LAST.
SeedRange seedRange() {
  const char *Text = std::getenv("HISTORY_SEEDS");
  if (Text == nullptr)
    return {};
  const std::string Range = Text;
  const std::size_t Dash = Range.find('-');
  const std::uint64_t First = std::stoull(Range);
  return {First, Dash == std::string::npos
                     ? First
                     : std::stoull(Range.substr(Dash + 1))};
}

/// The seeds to play. Those in the variable `PASSED_OVER_SEEDS`, as N[,N...],
/// are left out.
std::vector<std::uint64_t> seedsToPlay() {
  const char *Text = std::getenv("PASSED_OVER_SEEDS");
  const std::string PassedOver =
      "," + std::string(Text == nullptr ? "" : Text) + ",";
  const SeedRange Range = seedRange();
  std::vector<std::uint64_t> Seeds;
  for (std::uint64_t Seed = Range.First; Seed <= Range.Last; ++Seed)
    if (PassedOver.find("," + std::to_string(Seed) + ",") == std::string::npos)
      Seeds.push_back(Seed);
  return Seeds;
}

struct HistoryResult {
  std::vector<std::string> Violations;
  std::uint64_t Hedges = 0;
};

HistoryResult playHistory(std::uint64_t Seed) {
  RequestHistory History(Seed);
  History.play();
  HistoryResult Result{HistoryCheck(History).run(),
                       History.metric("server_silences_total")};
  const auto Ended = [&History](const std::string &Outcome) {
    return History.metric("requests_ended_total{outcome=\"" + Outcome + "\"}");
  };
  std::fprintf(stderr,
               "seed=%lu hedges=%lu served=%lu refused=%lu failed=%lu "
               "cut-off=%lu left=%lu violations=%zu\n",
               Seed, Result.Hedges, Ended("served"), Ended("refused"),
               Ended("failed"), Ended("cut_off"), Ended("caller_left"),
               Result.Violations.size());
  return Result;
}

} // namespace

// Guards against requests that are lost, truncated or repeated although a
// server would have gone on with them, in any order of pauses, failures,
// refusals, new views and callers that leave.
Test(RequestHistories, eachRequestHasOneOutcome, .timeout = 3600) {
  const std::vector<std::uint64_t> Seeds = seedsToPlay();
  std::uint64_t Hedges = 0;
  std::string Violations;
  for (std::size_t First = 0; First < Seeds.size(); First += AtOnce) {
    std::vector<std::future<HistoryResult>> Running;
    for (std::size_t Each = First; Each < First + AtOnce && Each < Seeds.size();
         ++Each)
      Running.push_back(
          std::async(std::launch::async, playHistory, Seeds[Each]));
    for (auto &Each : Running) {
      const HistoryResult Result = Each.get();
      Hedges += Result.Hedges;
      for (const std::string &Text : Result.Violations)
        Violations += Text + "\n";
    }
  }
  cr_assert(Violations.empty(), "%s", Violations.c_str());
  cr_assert_gt(Hedges, 0U);
}
