#ifndef PARSLEYWING_CONTROL_CONTROLLOOP_H
#define PARSLEYWING_CONTROL_CONTROLLOOP_H

#include "Control/RequestChannel.h"
#include "Decision/RouterCore.h"
#include "Runtime/Clock.h"
#include "Runtime/Mailbox.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <variant>

namespace parsleywing {

/// Runs the control thread, on which the router core makes all decisions. Other
/// threads post events; actions on a request go to its channel.
class ControlLoop {
public:
  explicit ControlLoop(Clock C, const RouterCoreSettings &S = {})
      : Time(std::move(C)), Core(S) {}
  ~ControlLoop() { this->stop(); }
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;

  /// Sets the receiver of actions that concern no single request. Must be set
  /// before `start`. The sink is called on the control thread and must not
  /// block.
  void setSink(std::function<void(const Action &)> NewSink) {
    this->Sink = std::move(NewSink);
  }

  void start();

  /// Stops the thread after the current event and joins it.
  void stop();

  /// Posts an event to the control thread. Never waits for the decisions.
  void post(Event NewEvent) { this->Events.put(std::move(NewEvent)); }

  /// Opens the channel of a request. Must be called before the request's
  /// `RequestArrived` is posted.
  std::shared_ptr<RequestChannel> openChannel(RequestId Request);

  /// Closes the channel. Called after the request's final response.
  void closeChannel(RequestId Request);

  /// The number of requests without a final response, as of the last event.
  std::size_t openRequests() const { return this->Open.load(); }

  /// The number of open channels, which includes the requests whose final
  /// response a traffic thread is still writing.
  std::size_t openChannels() const;

  /// Runs a function on the control thread between two events and waits for it
  /// for at most `Limit`. Returns false on timeout; the function is then never
  /// run. Must not be called from the control thread.
  bool ask(std::function<void()> Work, Duration Limit);

  /// The state of the router core. Only for use in a function passed to `ask`.
  const RouterCore &core() const { return this->Core; }

  const Clock &clock() const { return this->Time; }

private:
  void run();
  void processNext(Duration MaxWait);
  void handle(const Event &NewEvent);
  void deliver(const Action &NewAction);

  Clock Time;
  Mailbox<std::variant<Event, std::function<void()>>> Events;
  RouterCore Core;
  std::function<void(const Action &)> Sink;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Open{0};
  std::thread Thread;

  mutable std::mutex ChannelMutex;
  std::unordered_map<RequestId, std::shared_ptr<RequestChannel>> Channels;
};

} // namespace parsleywing

#endif
