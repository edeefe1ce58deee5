#ifndef PARSLEYWING_PLATFORM_STOREWATCH_H
#define PARSLEYWING_PLATFORM_STOREWATCH_H

#include "Platform/StoreClient.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing {

namespace internal {
class TimedSocket;
} // namespace internal

/// Watches a key prefix on its own thread and reports changes. The reports are
/// hints: changes may arrive late, out of order or not at all, so the receiver
/// reads the current state from the store. Costs one long-lived call, and two
/// calls at each renewal.
class StoreWatch {
public:
  struct Options {
    std::string Prefix;
    /// A watch that received nothing for this long is replaced: a dead
    /// connection and a watch without changes look the same.
    Duration SilenceTimeout = std::chrono::seconds(10);
    std::uint64_t Seed = 1;
  };

  /// Called on the watch's thread with the changes of one message. Called with
  /// no changes each time a watch starts, since earlier changes may have been
  /// missed.
  using ChangeHandler = std::function<void(const std::vector<StoreChange> &)>;

  StoreWatch(StoreSettings S, std::shared_ptr<StoreBudget> B, Clock C,
             Options O, ChangeHandler R);
  ~StoreWatch();

  StoreWatch(const StoreWatch &) = delete;
  StoreWatch &operator=(const StoreWatch &) = delete;

private:
  void run();
  /// Watches until the connection fails or is silent. Returns whether the watch
  /// started.
  bool watchOnce();
  void startMessage(internal::TimedSocket &Socket) const;
  void readChanges(internal::TimedSocket &Socket, std::istream &In);
  void waitOrStop(Duration Wait);

  StoreSettings Settings;
  std::shared_ptr<StoreBudget> Budget;
  Clock Time;
  Options WatchOptions;
  ChangeHandler OnChanges;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::condition_variable Wakeup;
  Poco::Net::HTTPClientSession *ActiveSession = nullptr;
  std::thread Worker;
};

} // namespace parsleywing

#endif
