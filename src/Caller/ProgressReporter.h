#ifndef PARSLEYWING_CALLER_PROGRESSREPORTER_H
#define PARSLEYWING_CALLER_PROGRESSREPORTER_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <functional>

namespace parsleywing {

/// Reports the tokens of an attempt to the control thread in batches. With one
/// event per token, the load of the control thread would grow with all tokens
/// that are generated. The scheduler's accounting lags by at most one batch.
class ProgressReporter {
public:
  static constexpr std::uint64_t MaxTokens = 16;
  /// Longer than an engine usually needs for 16 tokens (25 ms each), so that
  /// `MaxTokens` normally ends a batch. With 100 ms, every fourth token caused
  /// an event.
  static constexpr Duration MaxDelay = std::chrono::milliseconds(500);

  /// `Post` is called with the total number of tokens of the attempt so far.
  ProgressReporter(const Clock &C, std::function<void(std::uint64_t)> Post)
      : Time(C), Post(std::move(Post)), LastTime(C.now()) {}

  /// Updates the total number of tokens of the attempt so far.
  void report(std::uint64_t Generated) {
    this->Tokens = Generated;
    if (Generated - this->Reported >= MaxTokens ||
        this->Time.now() - this->LastTime >= MaxDelay)
      this->flush();
  }

  /// Posts the tokens not posted yet. Must be called at the end of the attempt.
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
