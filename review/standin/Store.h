#ifndef PARSLEYWING_REVIEW_STANDIN_STORE_H
#define PARSLEYWING_REVIEW_STANDIN_STORE_H

#include "Http.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace review {

/// The platform's store, as PROTOCOL.md describes it: keys with revisions,
/// pages, watches and leases. Plain reads are linearizable; reads with
/// `allowStale` come from a copy that may be behind.
class Store {
public:
  static constexpr std::size_t MaxPageItems = 500;

  /// How far the copies are behind that answer the first page and the further
  /// pages of a read that allows stale data.
  std::atomic<int> FirstPageLagMs{100};
  std::atomic<int> FurtherPagesLagMs{100};

  Store(const std::string &Address, int Port);

  /// Both return the revision of the change.
  std::int64_t put(const std::string &Key, const std::string &Value);
  std::int64_t remove(const std::string &Key);
  /// What calls the store has answered, by kind.
  std::map<std::string, int> calls();

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    /// Without a value, the key was removed.
    std::shared_ptr<const Item> Written;
    std::int64_t Revision = 0;
    Clock::time_point At;
  };
  struct Lease {
    std::chrono::milliseconds Ttl{0};
    Clock::time_point EndsAt;
  };
  using Items = std::map<std::string, std::shared_ptr<const Item>>;

  void serve(Connection &Peer);
  std::string answer(const Message &Request);
  std::string readKey(const std::map<std::string, std::string> &Query);
  std::string readRange(const std::map<std::string, std::string> &Query);
  std::string watch(const std::map<std::string, std::string> &Query);
  std::string commit(const std::string &Body);
  /// The items as they were some time ago, and the revision of then. Requires
  /// `Mutex` to be held.
  Items itemsBehind(std::chrono::milliseconds Lag, std::int64_t &Revision);
  std::int64_t write(const std::string &Key, const std::string &Value,
                     std::int64_t LeaseId);
  std::int64_t erase(const std::string &Key);
  void expireLeases();
  static std::string textOf(const std::string &Key, const Item &Known);

  std::mutex Mutex;
  std::condition_variable Changed;
  Items Current;
  std::deque<Change> History;
  std::int64_t Revision = 100;
  std::int64_t OldestKnown = 100;
  std::int64_t LastLease = 1000;
  std::map<std::int64_t, Lease> Leases;
  std::map<std::string, int> Calls;
  /// Declared last, since its threads use all others.
  Server Listener;
};

} // namespace review

#endif
