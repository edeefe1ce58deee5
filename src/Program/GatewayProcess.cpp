#include "Program/GatewayProcess.h"

#include "Runtime/Log.h"
#include "platform/HeadFormat.h"
#include "platform/StoreCalls.h"

#include <random>
#include <thread>

namespace parsleywing {

namespace {

/// Interval at which the main thread checks for signals and the end of the
/// drain.
constexpr Duration SignalPollInterval = std::chrono::milliseconds(100);

const WireFormat &wireFormat() {
  static const WireFormat Format = platformWireFormat();
  return Format;
}

} // namespace

GatewayProcess::GatewayProcess(std::string SettingsPath, GatewayFileSettings S)
    : Path(std::move(SettingsPath)), Settings(std::move(S)),
      Front(this->Settings.Gateway, wireFormat(), this->MetricsRegistry) {}

Result<void> GatewayProcess::run() {
  if (auto Opened = this->Front.open(); !Opened)
    return Opened;
  log(LogPart::Program, LogLevel::Info,
      "start router=" + this->Settings.Gateway.Name +
          " zone=" + this->Settings.Gateway.Zone +
          " callers=" + this->Settings.Gateway.CallerAddress);
  FleetFeed::Options Options;
  Options.RouterName = this->Settings.Gateway.Name;
  Options.RouterAddress = this->Settings.Gateway.PeerAddress;
  Options.RouterCores = this->Settings.Gateway.Cores;
  Options.RouterZone = this->Settings.Gateway.Zone;
  Options.Seed = std::random_device{}();
  Options.Bounds = this->Settings.Gateway.fleetBounds();
  Options.Role = [this] { return this->Front.relayRole(); };
  Options.SwitchRelay = [this] { this->Front.switchRelay(); };
  this->Feed = std::make_unique<FleetFeed>(
      Options, platformFleetSource(this->Settings.StoreAddress),
      this->MetricsRegistry, [this](std::shared_ptr<const FleetView> View) {
        this->Front.updateView(std::move(View));
      });
  this->Front.subscribeToRelay([this](const RelayMessage &Message) {
    this->Feed->onRelayMessage(Message);
  });
  std::thread Traffic([this] {
    this->Front.run();
    this->TrafficEnded = true;
  });
  this->handleSignals();
  Traffic.join();
  log(LogPart::Program, LogLevel::Info,
      "stop router=" + this->Settings.Gateway.Name);
  return {};
}

void GatewayProcess::handleSignals() {
  while (!this->TrafficEnded) {
    const auto Signal = this->Signals.wait(SignalPollInterval);
    if (!Signal)
      continue;
    if (*Signal == SIGHUP) {
      this->checkSettingsFile();
      continue;
    }
    log(LogPart::Program, LogLevel::Info,
        "signal=" + std::to_string(*Signal) + " drains");
    this->Front.drain();
    this->Feed->leave();
  }
}

void GatewayProcess::checkSettingsFile() const {
  const auto Loaded = readGatewaySettings(this->Path);
  if (!Loaded)
    log(LogPart::Program, LogLevel::Warn,
        "reload refused: " + Loaded.error().Message);
  else
    log(LogPart::Program, LogLevel::Info, "reload settings=" + this->Path);
}

} // namespace parsleywing
