#ifndef PARSLEYWING_PROGRAM_GATEWAYPROCESS_H
#define PARSLEYWING_PROGRAM_GATEWAYPROCESS_H

#include "Gateway/FleetFeed.h"
#include "Gateway/GatewayFront.h"
#include "Gateway/GatewaySettingsReader.h"
#include "Program/StopSignals.h"

#include <memory>

namespace parsleywing {

/// Joins the parts of a gateway: the loop of its traffic on one thread, the
/// feed that keeps its view of the fleet on others, the signals on the first.
class GatewayProcess {
public:
  GatewayProcess(std::string SettingsPath, GatewayFileSettings S);

  /// Serves until a stop signal and the drain behind it. Fails where an address
  /// cannot be listened on.
  Result<void> run();

private:
  void handleSignals();
  /// Says what a changed settings file would change; it comes in force with
  /// the next start.
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
