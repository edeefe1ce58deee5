#ifndef PARSLEYWING_CALLER_PROGRESSREPORTER_H
#define PARSLEYWING_CALLER_PROGRESSREPORTER_H

#include "Control/ControlLoop.h"

namespace parsleywing {

/// Tells the control thread of an attempt's tokens in batches: one event for
/// each token would make the control thread's work grow with the tokens of the
/// fleet. What the scheduler charges lags by at most one batch.
class ProgressReporter {
public:
  static constexpr std::uint64_t MaxTokens = 16;
  static constexpr Duration MaxDelay = std::chrono::milliseconds(100);

  ProgressReporter(ControlLoop &C, RequestId R, AttemptNumber A)
      : Control(C), Request(R), Attempt(A), LastTime(C.clock().now()) {}

  /// Takes the tokens of the attempt so far.
  void report(std::uint64_t Tokens) {
    this->Tokens = Tokens;
    if (Tokens - this->Reported >= MaxTokens ||
        this->Control.clock().now() - this->LastTime >= MaxDelay)
      this->flush();
  }

  /// Reports what is not yet reported; at the end of the attempt.
  void flush() {
    if (this->Tokens == this->Reported)
      return;
    this->Reported = this->Tokens;
    this->LastTime = this->Control.clock().now();
    this->Control.post(
        AttemptProgressed{this->Request, this->Attempt, this->Tokens});
  }

private:
  ControlLoop &Control;
  RequestId Request;
  AttemptNumber Attempt;
  TimePoint LastTime;
  std::uint64_t Tokens = 0;
  std::uint64_t Reported = 0;
};

} // namespace parsleywing

#endif
