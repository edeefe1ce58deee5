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

std::vector<EngineUse> FleetSampler::finish() {
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
      EngineUse &Use = this->Sums[Service];
      for (unsigned Of = 0; Of < Plan.Services[Service].Engines; ++Of) {
        const auto Said = fetchMetrics(this->Fleet.engines()[Engine++].Address);
        const auto Running =
            Said ? metricIn(*Said, "vllm:num_requests_running") : std::nullopt;
        if (!Running)
          continue;
        ++Use.Samples;
        Use.Running += *Running;
        Use.Waiting += metricIn(*Said, "vllm:num_requests_waiting").value_or(0);
        Use.Capacity += Plan.MaxRunning;
      }
    }
    std::this_thread::sleep_for(SampleInterval);
  }
}

} // namespace parsleywing::bench
