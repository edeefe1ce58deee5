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

/// Runs the one thread that decides. Other threads post events; decisions on a
/// request go to its channel.
class ControlLoop {
public:
  explicit ControlLoop(Clock C, const RouterCoreSettings &S = {})
      : Time(std::move(C)), Core(S) {}
  ~ControlLoop() { this->stop(); }
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;

  /// Sets what receives the actions that are not for the thread that serves a
  /// request. Before `start`. It is called from the control thread and must not
  /// block.
  void setSink(std::function<void(const Action &)> NewSink) {
    this->Sink = std::move(NewSink);
  }

  void start();

  /// Ends the thread after the event it handles. Waits for it.
  void stop();

  /// Hands an event to the control thread. Never blocks on decisions.
  void post(Event Happened) { this->Events.put(std::move(Happened)); }

  /// Opens the channel of a request; before its `RequestArrived` is posted.
  std::shared_ptr<RequestChannel> openChannel(RequestId Request);

  /// Forgets the channel; after the request's final answer.
  void closeChannel(RequestId Request);

  /// Requests without a final answer, as of the last event handled.
  std::size_t openRequests() const { return this->Open.load(); }

  /// Requests whose final answer the traffic threads still write.
  std::size_t openChannels() const;

  /// Runs a function on the control thread between two events and waits for
  /// it, `Limit` at most. False where the thread did not come to it in time;
  /// then it never runs. Not to be called from the control thread itself.
  bool ask(std::function<void()> Work, Duration Limit);

  /// The state of the decisions; only inside a function given to `ask`.
  const RouterCore &core() const { return this->Core; }

  const Clock &clock() const { return this->Time; }

private:
  void run();
  void handle(const Event &Happened);
  void deliver(const Action &Decision);

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
