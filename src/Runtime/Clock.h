#ifndef PARSLEYWING_RUNTIME_CLOCK_H
#define PARSLEYWING_RUNTIME_CLOCK_H

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace parsleywing {

/// The unit in which the program measures time.
using Duration = std::chrono::microseconds;

/// Marks time points of this program's clock, so that the wall clock's cannot
/// be mixed with them. It never runs backwards and says nothing of the date.
struct ClockEpoch {
  using duration = Duration;
};

/// A moment on the program's clock, comparable only within one process.
using TimePoint = std::chrono::time_point<ClockEpoch, Duration>;

/// Reads the machine's steady clock.
struct SteadySource {};

/// Reads the machine's clock that also counts the time in which the machine is
/// suspended: the ages of proofs and leases go on while nothing runs.
struct SuspendAwareSource {};

/// Stands still until a test moves it. Copies share the same moment.
struct PausedSource {
  std::shared_ptr<std::atomic<Duration::rep>> Elapsed =
      std::make_shared<std::atomic<Duration::rep>>(0);
};

/// Gives the time to every part of the program. The process makes one from
/// the machine's clock; a test makes a paused one and advances it by hand.
/// Copying is cheap. Reading costs one call of the system's steady clock.
class Clock {
public:
  static Clock steady() { return Clock(SteadySource{}); }
  static Clock sinceBoot() { return Clock(SuspendAwareSource{}); }
  static Clock paused() { return Clock(PausedSource{}); }

  TimePoint now() const;

  /// Whether only `advance` moves it. Whoever blocks on something else until a
  /// moment of such a clock has to look at it again and again.
  bool isPaused() const {
    return std::holds_alternative<PausedSource>(this->Source);
  }

  /// Moves a paused clock forward. On a steady clock it is a broken invariant.
  void advance(Duration Step);

private:
  using Sources = std::variant<SteadySource, SuspendAwareSource, PausedSource>;
  explicit Clock(Sources S) : Source(std::move(S)) {}

  Sources Source;
};

/// A duration in seconds with three decimals, for log lines.
std::string secondsText(Duration Time);

} // namespace parsleywing

#endif
