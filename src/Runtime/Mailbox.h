#ifndef PARSLEYWING_RUNTIME_MAILBOX_H
#define PARSLEYWING_RUNTIME_MAILBOX_H

#include "Runtime/Clock.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace parsleywing {

/// A blocking queue with any number of producer threads and one consumer
/// thread. Unbounded: the limits on requests and connections bound the
/// producers.
template <typename Message> class Mailbox {
public:
  /// Appends a message and wakes the consumer. Does nothing after `close`.
  void put(Message M) {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Closed)
        return;
      this->Messages.push_back(std::move(M));
    }
    this->Wakeup.notify_one();
  }

  /// Removes and returns the oldest message, waiting up to `Timeout` for one.
  /// Returns nothing on timeout, or if the mailbox is closed and empty.
  std::optional<Message> take(Duration Timeout) {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Wakeup.wait_for(Lock, Timeout, [this] {
      return this->Closed || !this->Messages.empty();
    });
    if (this->Messages.empty())
      return std::nullopt;
    Message First = std::move(this->Messages.front());
    this->Messages.pop_front();
    return First;
  }

  /// The number of messages that wait now.
  std::size_t size() {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Messages.size();
  }

  /// Ignores further messages and wakes the consumer.
  void close() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Closed = true;
    }
    this->Wakeup.notify_all();
  }

private:
  std::mutex Mutex;
  std::condition_variable Wakeup;
  std::deque<Message> Messages;
  bool Closed = false;
};

} // namespace parsleywing

#endif
