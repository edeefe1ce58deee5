#ifndef PARSLEYWING_PROGRAM_ROUTERPROCESS_H
#define PARSLEYWING_PROGRAM_ROUTERPROCESS_H

#include "Caller/CallerServer.h"
#include "Control/ControlLoop.h"
#include "Operator/OperatorServer.h"
#include "Operator/StateSources.h"
#include "Program/RouterLinks.h"
#include "Program/Settings.h"
#include "Program/StopSignals.h"
#include "Runtime/Metrics.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace parsleywing {

/// Creates the parts of a router in order, connects them and shuts them down.
/// Each part is created by one function here and started by one line in
/// `start`.
class RouterProcess {
public:
  explicit RouterProcess(Settings S);
  ~RouterProcess();
  RouterProcess(const RouterProcess &) = delete;
  RouterProcess &operator=(const RouterProcess &) = delete;

  /// Serves until a stop signal or an operator's drain, then drains: refuses
  /// new requests and finishes those in progress, up to the drain limit. A
  /// second signal ends the drain at once. Returns the number of requests left
  /// unanswered. Fails if a part cannot start: with `Unreachable` if it cannot
  /// listen on an address, else with the error of the declarations reader.
  Result<std::size_t> run();

private:
  Result<void> start();
  Result<void> startDeclarations();
  Result<void> startOperatorServer();
  void activateDeclarations(DeclarationsPtr Active);

  void addMetrics();
  void addTrafficMetrics();
  void addControlMetrics();
  void addCounter(MetricName Name, std::function<double()> Read);
  void addStateSources();

  /// Returns a source that reads its state on the control thread.
  StateSource
  controlThreadSource(std::function<Poco::JSON::Object::Ptr()> Read);

  void waitForStop();
  std::size_t drain();
  bool isIdle() const;

  Settings RouterSettings;
  StopSignals Signals;
  /// Taken from the wall clock, so that a later process of the same name has a
  /// higher number.
  std::uint64_t IncarnationNumber;
  TimePoint StartedAt;
  std::atomic<bool> DrainOrdered{false};
  std::atomic<bool> Draining{false};
  Metrics MetricsRegistry;
  StateSources State;
  ControlLoop Control;
  CallerServer Callers;
  RouterLinks Links;
  std::optional<OperatorServer> Operators;
};

} // namespace parsleywing

#endif
