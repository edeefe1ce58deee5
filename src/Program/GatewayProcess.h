#ifndef PARSLEYWING_PROGRAM_GATEWAYPROCESS_H
#define PARSLEYWING_PROGRAM_GATEWAYPROCESS_H

#include "Gateway/FleetFeed.h"
#include "Gateway/GatewayFront.h"
#include "Gateway/GatewaySettingsReader.h"
#include "Program/StopSignals.h"

#include <memory>

namespace parsleywing {

/// Runs the parts of a gateway: the event loop for the traffic on one thread,
/// the feed that updates its view of the fleet on others, and signal handling
/// on the main thread.
class GatewayProcess {
public:
  GatewayProcess(std::string SettingsPath, GatewayFileSettings S);

  /// Serves until a stop signal and the drain that follows it. Fails if it
  /// cannot listen on an address.
  Result<void> run();

private:
  void handleSignals();
  /// Logs whether the current settings file is valid. Changed settings take
  /// effect at the next start.
  void checkSettingsFile() const;

  std::string Path;
  GatewayFileSettings Settings;
  StopSignals Signals;
  Metrics MetricsRegistry;
  GatewayFront Front;
  std::unique_ptr<FleetFeed> Feed;
  std::atomic<bool> TrafficEnded{false};
};

} // namespace parsleywing

#endif
