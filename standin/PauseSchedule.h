#ifndef PARSLEYWING_STANDIN_PAUSESCHEDULE_H
#define PARSLEYWING_STANDIN_PAUSESCHEDULE_H

#include "Runtime/Clock.h"
#include "standin/EngineFaults.h"

#include <mutex>
#include <random>

namespace parsleywing::standin {

/// A pause of one connection.
struct ConnectionPause {
  Duration Length{};
  /// The number of tokens that have been sent before it.
  std::uint64_t AfterTokens = 0;
};

/// When a stand-in's process, or one of its connections, pauses: as the faults
/// say, and by their seed. All calls are thread-safe.
class PauseSchedule {
public:
  /// Starts anew with these faults.
  void start(const EngineFaults &Faults, TimePoint Now);

  /// Whether the process pauses now.
  bool isPaused(TimePoint Now);

  /// The pause of the connection that asks first after the start; no length for
  /// all others.
  ConnectionPause takeConnectionPause();

private:
  /// A length from a quarter of `Max` to all of it; without a seed, all of it.
  Duration draw(Duration Max);

  std::mutex Mutex;
  std::mt19937_64 Random;
  bool IsDrawn = false;
  Duration MaxPause{};
  TimePoint PauseStart;
  TimePoint PauseEnd;
  ConnectionPause Connection;
};

} // namespace parsleywing::standin

#endif
