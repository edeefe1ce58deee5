#ifndef PARSLEYWING_CONTROL_REQUESTCHANNEL_H
#define PARSLEYWING_CONTROL_REQUESTCHANNEL_H

#include "Decision/Actions.h"
#include "Runtime/Mailbox.h"

#include <functional>
#include <mutex>

namespace parsleywing {

/// Passes actions on one request from the control thread to the traffic thread
/// that serves the request.
class RequestChannel {
public:
  /// Delivers an action. A `CancelAttempt` also calls the canceller, since the
  /// traffic thread may be blocked in a read from the backend server. If it
  /// arrives before the attempt has set its canceller, it is remembered, and
  /// the canceller is called as soon as it is set. Otherwise the cancellation
  /// of a silent attempt would be lost, and the attempt would hold its slot
  /// until the silence limit.
  void put(const Action &NewAction);

  /// Waits up to `Timeout` for the next action.
  std::optional<Action> take(Duration Timeout) {
    return this->Actions.take(Timeout);
  }

  /// Sets the attempt that the next canceller belongs to.
  void beginAttempt(AttemptNumber Number);

  /// Sets the function that interrupts a blocked read; an empty function clears
  /// it. The function is called on the control thread, or by this call if the
  /// attempt has already been cancelled, and must not block.
  void setCanceller(std::function<void()> NewCanceller);

private:
  Mailbox<Action> Actions;
  std::mutex Mutex;
  std::function<void()> Canceller;
  AttemptNumber CurrentAttempt = 0;
  AttemptNumber CancelledAttempt = 0;
};

} // namespace parsleywing

#endif
