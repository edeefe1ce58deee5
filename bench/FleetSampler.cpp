#include "FleetSampler.h"

#include "FleetProbe.h"

namespace parsleywing::bench {

namespace {

constexpr auto SampleInterval = std::chrono::milliseconds(250);

} // namespace

FleetSampler::FleetSampler(const FleetDeployment &F)
    : Fleet(F), Sums(F.plan().Services.size()),
      Thread([this] { this->run(); }) {}

FleetSampler::~FleetSampler() { this->finish(); }

std::vector<EngineUsage> FleetSampler::finish() {
  this->Stopping = true;
  if (this->Thread.joinable())
    this->Thread.join();
  return this->Sums;
}

void FleetSampler::run() {
  const DeploymentPlan &Plan = this->Fleet.plan();
  while (!this->Stopping) {
    std::size_t Engine = 0;
    for (std::size_t Service = 0; Service < Plan.Services.size(); ++Service) {
      EngineUsage &Usage = this->Sums[Service];
      for (unsigned Index = 0; Index < Plan.Services[Service].Engines;
           ++Index) {
        const auto Metrics =
            fetchMetrics(this->Fleet.engines()[Engine++].Address);
        const auto Running =
            Metrics ? metricSum(*Metrics, "vllm:num_requests_running")
                    : std::nullopt;
        if (!Running)
          continue;
        ++Usage.Samples;
        Usage.Running += *Running;
        Usage.Waiting +=
            metricSum(*Metrics, "vllm:num_requests_waiting").value_or(0);
        Usage.Capacity += Plan.MaxRunning;
      }
    }
    std::this_thread::sleep_for(SampleInterval);
  }
}

} // namespace parsleywing::bench
