#ifndef PARSLEYWING_RUNTIME_MAILBOX_H
#define PARSLEYWING_RUNTIME_MAILBOX_H

#include "Runtime/Clock.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace parsleywing {

/// A queue from any number of threads to one thread. Unbounded: its writers
/// are bounded by the limits on requests and connections.
template <typename Message> class Mailbox {
public:
  /// Appends a message and wakes the reader. Does nothing after `close`.
  void put(Message M) {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Closed)
        return;
      this->Messages.push_back(std::move(M));
    }
    this->Arrived.notify_one();
  }

  /// Takes the oldest message, waiting up to `Wait` for one. Nothing where
  /// none came in time or the mailbox is closed and empty.
  std::optional<Message> take(Duration Wait) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Arrived.wait_for(
        Lock, Wait, [this] { return this->Closed || !this->Messages.empty(); });
    if (this->Messages.empty())
      return std::nullopt;
    Message First = std::move(this->Messages.front());
    this->Messages.pop_front();
    return First;
  }

  /// Refuses further messages and wakes the reader.
  void close() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Closed = true;
    }
    this->Arrived.notify_all();
  }

private:
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::deque<Message> Messages;
  bool Closed = false;
};

} // namespace parsleywing

#endif
