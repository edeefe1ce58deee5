#ifndef PARSLEYWING_CALLER_PROGRESSREPORTER_H
#define PARSLEYWING_CALLER_PROGRESSREPORTER_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <functional>

namespace parsleywing {

/// Tells the control thread of an attempt's tokens in batches: one event for
/// each token would make the control thread's work grow with the tokens of the
/// fleet. What the scheduler charges lags by at most one batch.
class ProgressReporter {
public:
  static constexpr std::uint64_t MaxTokens = 16;
  /// Above 16 tokens at 25 ms, so that it is the tokens that fill a batch at
  /// the usual pace of engines; 100 ms made a batch of each fourth token.
  static constexpr Duration MaxDelay = std::chrono::milliseconds(500);

  /// `Post` receives the tokens of the attempt so far.
  ProgressReporter(const Clock &C, std::function<void(std::uint64_t)> Post)
      : Time(C), Post(std::move(Post)), LastTime(C.now()) {}

  /// Takes the tokens of the attempt so far.
  void report(std::uint64_t Generated) {
    this->Tokens = Generated;
    if (Generated - this->Reported >= MaxTokens ||
        this->Time.now() - this->LastTime >= MaxDelay)
      this->flush();
  }

  /// Reports what is not yet reported; at the end of the attempt.
  void flush() {
    if (this->Tokens == this->Reported)
      return;
    this->Reported = this->Tokens;
    this->LastTime = this->Time.now();
    this->Post(this->Tokens);
  }

private:
  const Clock &Time;
  std::function<void(std::uint64_t)> Post;
  TimePoint LastTime;
  std::uint64_t Tokens = 0;
  std::uint64_t Reported = 0;
};

} // namespace parsleywing

#endif
