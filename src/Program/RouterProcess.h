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

/// Builds the parts of a router in order, joins them, and takes them down.
/// Each part has one function here that makes it and one line in `start`.
class RouterProcess {
public:
  explicit RouterProcess(Settings S);
  ~RouterProcess();
  RouterProcess(const RouterProcess &) = delete;
  RouterProcess &operator=(const RouterProcess &) = delete;

  /// Serves until a stop signal or an operator's drain, then drains: new
  /// requests are refused, those in hand are finished, up to the drain limit.
  /// A second signal ends the drain at once. Gives the number of requests left
  /// unanswered. Fails where a part cannot start: `Unreachable` for an address
  /// that cannot be listened on, else as the reader of the declarations says.
  Result<std::size_t> run();

private:
  Result<void> start();
  Result<void> startDeclarations();
  Result<void> startOperatorServer();
  void activateDeclarations(DeclarationsPtr Declared);

  void addMetrics();
  void addTrafficMetrics();
  void addControlMetrics();
  void addCounter(MetricName Name, std::function<double()> Read);
  void addStateSources();

  /// A source whose state belongs to the control thread.
  StateSource
  controlThreadSource(std::function<Poco::JSON::Object::Ptr()> Read);

  void waitForStop();
  std::size_t drain();
  bool isIdle() const;

  Settings RouterSettings;
  StopSignals Signals;
  /// From the wall clock, so that a later process of the name has a higher one.
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
