#ifndef PARSLEYWING_RUNTIME_CLOCK_H
#define PARSLEYWING_RUNTIME_CLOCK_H

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace parsleywing {

/// All durations in the program have microsecond resolution.
using Duration = std::chrono::microseconds;

/// Clock tag of `TimePoint`. Makes time points of the program's monotonic clock
/// a type of their own, so that they cannot be mixed with wall clock time.
struct ClockEpoch {
  using duration = Duration;
};

/// A point in time on the program's clock, comparable only within one process.
using TimePoint = std::chrono::time_point<ClockEpoch, Duration>;

/// Reads the system's monotonic clock.
struct SteadySource {};

/// Reads the system's boot time clock, which also advances while the machine is
/// suspended, because proofs and leases age during that time too.
struct SuspendAwareSource {};

/// Advances only by `Clock::advance`. Copies share the same time.
struct PausedSource {
  /// Called before each reading; may advance the clock.
  std::shared_ptr<std::function<void()>> BeforeRead =
      std::make_shared<std::function<void()>>();
  std::shared_ptr<std::atomic<Duration::rep>> Elapsed =
      std::make_shared<std::atomic<Duration::rep>>(0);
};

/// The time source that is passed to every component. A process creates it from
/// one of the system's clocks; a test creates a paused one and advances it
/// itself. Copying is cheap. Reading costs one call of the system's clock.
class Clock {
public:
  static Clock steady() { return Clock(SteadySource{}); }
  static Clock sinceBoot() { return Clock(SuspendAwareSource{}); }
  static Clock paused() { return Clock(PausedSource{}); }

  TimePoint now() const;

  /// Whether only `advance` moves this clock. Code that blocks until a time
  /// point of a paused clock has to poll `now`.
  bool isPaused() const {
    return std::holds_alternative<PausedSource>(this->Source);
  }

  /// Moves a paused clock forward. Calling it on any other clock violates an
  /// invariant.
  void advance(Duration Step);

  /// Sets a function that is called before each reading of a paused clock, so
  /// that a test can let time pass at any step of the code under test. Must be
  /// called before other threads read the clock.
  void setBeforeRead(std::function<void()> Callback);

private:
  using Sources = std::variant<SteadySource, SuspendAwareSource, PausedSource>;
  explicit Clock(Sources S) : Source(std::move(S)) {}

  Sources Source;
};

/// Formats a duration as seconds with three decimals, for log lines.
std::string secondsText(Duration Time);

} // namespace parsleywing

#endif
