#include "Program/GatewayProcess.h"

#include "Runtime/Log.h"
#include "platform/HeadFormat.h"
#include "platform/StoreCalls.h"

#include <random>
#include <thread>

namespace parsleywing {

namespace {

/// How often the first thread looks for signals and for the end of the drain.
constexpr Duration SignalWait = std::chrono::milliseconds(100);

const WireFormat &wireFormat() {
  static const WireFormat Format = platformWireFormat();
  return Format;
}

} // namespace

GatewayProcess::GatewayProcess(std::string SettingsPath, GatewayFileSettings S)
    : Path(std::move(SettingsPath)), Wanted(std::move(S)),
      Front(this->Wanted.Gateway, wireFormat(), this->Measured) {}

Result<void> GatewayProcess::run() {
  if (auto Opened = this->Front.open(); !Opened)
    return Opened;
  log(LogPart::Program, LogLevel::Info,
      "start router=" + this->Wanted.Gateway.Name +
          " zone=" + this->Wanted.Gateway.Zone +
          " callers=" + this->Wanted.Gateway.CallerAddress);
  FleetFeed::Options Options;
  Options.RouterName = this->Wanted.Gateway.Name;
  Options.RouterAddress = this->Wanted.Gateway.PeerAddress;
  Options.RouterCapacity = this->Wanted.Gateway.Capacity;
  Options.RouterZone = this->Wanted.Gateway.Zone;
  Options.Seed = std::random_device{}();
  Options.Bounds = this->Wanted.Gateway.bounds();
  Options.Role = [this] { return this->Front.relayRole(); };
  Options.DistrustRelay = [this] { this->Front.distrustRelay(); };
  this->Feed = std::make_unique<FleetFeed>(
      Options, platformFleetSource(this->Wanted.StoreAddress), this->Measured,
      [this](std::shared_ptr<const FleetView> View) {
        this->Front.takeView(std::move(View));
      });
  this->Front.askRelay(
      [this](const RelayTold &Told) { this->Feed->takeRelayTold(Told); });
  std::thread Traffic([this] {
    this->Front.run();
    this->Ended = true;
  });
  this->serveSignals();
  Traffic.join();
  log(LogPart::Program, LogLevel::Info,
      "stop router=" + this->Wanted.Gateway.Name);
  return {};
}

void GatewayProcess::serveSignals() {
  while (!this->Ended) {
    const auto Received = this->Signals.wait(SignalWait);
    if (!Received)
      continue;
    if (*Received == SIGHUP) {
      this->reload();
      continue;
    }
    log(LogPart::Program, LogLevel::Info,
        "signal=" + std::to_string(*Received) + " drains");
    this->Front.drain();
    this->Feed->leave();
  }
}

void GatewayProcess::reload() const {
  const auto Read = readGatewaySettings(this->Path);
  if (!Read)
    log(LogPart::Program, LogLevel::Warn,
        "reload refused: " + Read.error().Message);
  else
    log(LogPart::Program, LogLevel::Info, "reload settings=" + this->Path);
}

} // namespace parsleywing
