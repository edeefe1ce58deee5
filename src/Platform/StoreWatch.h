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

/// Watches a prefix on a thread of its own and reports that something under it
/// changed. Its reports are hints: changes may come late, out of order or not
/// at all, so a reader asks the store what holds now. Costs one waiting call,
/// and two calls at each renewal.
class StoreWatch {
public:
  struct Options {
    std::string Prefix;
    /// A watch that told nothing for so long is replaced: its connection may
    /// have gone silent, which nothing else on it would show.
    Duration SilenceTimeout = std::chrono::seconds(10);
    std::uint64_t Seed = 1;
  };

  /// Called on the watch's thread with the changes of one message; with none
  /// each time a watch begins, since changes may have been missed before.
  using ChangeHandler = std::function<void(const std::vector<StoreChange> &)>;

  StoreWatch(StoreSettings S, std::shared_ptr<StoreBudget> B, Clock C,
             Options O, ChangeHandler R);
  ~StoreWatch();

  StoreWatch(const StoreWatch &) = delete;
  StoreWatch &operator=(const StoreWatch &) = delete;

private:
  void run();
  /// Watches until the connection fails or is silent. Whether it began at all.
  bool watchOnce();
  void readChanges(std::istream &In);
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
