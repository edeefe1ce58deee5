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
  /// traffic thread may be blocked in a read from the backend server.
  void put(const Action &Decision);

  /// Waits up to `Wait` for the next decision.
  std::optional<Action> take(Duration Wait) {
    return this->Decisions.take(Wait);
  }

  /// Sets what ends a blocked read; an empty function clears it. It is called
  /// from the control thread and must not block.
  void setBreaker(std::function<void()> NewBreaker);

private:
  Mailbox<Action> Decisions;
  std::mutex Guard;
  std::function<void()> Breaker;
};

} // namespace parsleywing

#endif
