#include "Runtime/Clock.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <Poco/Clock.h>
#include <cstdlib>
#include <ctime>
#include <utility>

namespace parsleywing {

namespace {

TimePoint timeSinceBoot() {
  timespec Spec{};
  const int Status = clock_gettime(CLOCK_BOOTTIME, &Spec);
  PARSLEYWING_INVARIANT(Status == 0, "the system provides a boot time clock");
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Spec.tv_sec) +
      std::chrono::nanoseconds(Spec.tv_nsec)));
}

} // namespace

TimePoint Clock::now() const {
  return std::visit(
      Overloaded{
          [](const SteadySource &) {
            return TimePoint(Duration(Poco::Clock().microseconds()));
          },
          [](const SuspendAwareSource &) { return timeSinceBoot(); },
          [](const PausedSource &Paused) {
            if (*Paused.BeforeRead)
              (*Paused.BeforeRead)();
            return TimePoint(Duration(Paused.Elapsed->load()));
          },
      },
      this->Source);
}

void Clock::advance(Duration Step) {
  auto *Paused = std::get_if<PausedSource>(&this->Source);
  PARSLEYWING_INVARIANT(Paused != nullptr, "only a paused clock is advanced");
  PARSLEYWING_INVARIANT(Step >= Duration::zero(), "time moves forward");
  Paused->Elapsed->fetch_add(Step.count());
}

void Clock::setBeforeRead(std::function<void()> Callback) {
  auto *Paused = std::get_if<PausedSource>(&this->Source);
  PARSLEYWING_INVARIANT(Paused != nullptr, "only a paused clock is observed");
  *Paused->BeforeRead = std::move(Callback);
}

std::string secondsText(Duration Time) {
  // Integer arithmetic only: formatting a floating-point number takes about
  // 2 microseconds, and the log line of a request contains four durations.
  constexpr Duration::rep PerSecond = 1000;
  constexpr std::size_t Decimals = 3;
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
  const std::string Fraction =
      std::to_string(std::abs(Milliseconds % PerSecond));
  return (Milliseconds < 0 ? "-" : "") +
         std::to_string(std::abs(Milliseconds / PerSecond)) + "." +
         std::string(Decimals - Fraction.size(), '0') + Fraction;
}

} // namespace parsleywing
