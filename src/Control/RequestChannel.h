#ifndef PARSLEYWING_CONTROL_REQUESTCHANNEL_H
#define PARSLEYWING_CONTROL_REQUESTCHANNEL_H

#include "Decision/Actions.h"
#include "Runtime/Mailbox.h"

#include <functional>
#include <mutex>

namespace parsleywing {

/// Carries the decisions on one request from the control thread to the traffic
/// thread that serves it.
class RequestChannel {
public:
  /// Delivers a decision. A `CancelAttempt` also calls the breaker, since the
  /// traffic thread may be blocked in a read from the backend server. One that
  /// comes before the attempt has set its breaker is remembered and called as
  /// soon as it does; else the cancel of a silent attempt would be lost and its
  /// slot held until the limit of silence.
  void put(const Action &Decision);

  /// Waits up to `Wait` for the next decision.
  std::optional<Action> take(Duration Wait) {
    return this->Decisions.take(Wait);
  }

  /// Says which attempt the breaker set next belongs to.
  void beginAttempt(AttemptNumber Number);

  /// Sets what ends a blocked read; an empty function clears it. It is called
  /// from the control thread, or from here where a cancel came first, and must
  /// not block.
  void setCanceller(std::function<void()> NewBreaker);

private:
  Mailbox<Action> Decisions;
  std::mutex Mutex;
  std::function<void()> Canceller;
  AttemptNumber Current = 0;
  AttemptNumber Cancelled = 0;
};

} // namespace parsleywing

#endif
