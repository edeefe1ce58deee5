#ifndef PARSLEYWING_TEST_ADAPTER_FAKEPLATFORMSTORE_H
#define PARSLEYWING_TEST_ADAPTER_FAKEPLATFORMSTORE_H

#include "Gateway/ScriptedServer.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace parsleywing::test {

/// The fault that the store currently has.
enum class StoreFault {
  None,
  Unreachable,
  Silent,
  Slow,
  /// Silent; and watches that wait meanwhile are never answered, also after the
  /// fault.
  WatchesLost,
};

/// A fake of the platform's store with injectable faults. Implements keys with
/// revisions, prefix reads, watches and leases as the platform documents them.
class FakePlatformStore {
public:
  FakePlatformStore();

  std::string address() const { return this->Server->address(); }

  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  void setFault(StoreFault NewFault) {
    if (NewFault == StoreFault::WatchesLost)
      ++this->WatchLosses;
    this->Fault = NewFault;
  }
  /// Number of reads that allowed stale data.
  int staleReads() const { return this->StaleReads; }
  /// Compacts the history: watches from earlier revisions fail afterwards.
  void dropHistory();

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::int64_t Revision = 0;
    bool Deleted = false;
  };

  bool handleRequest(Poco::Net::StreamSocket &Connection,
                     const std::string &Request);
  std::string dispatchCall(const std::string &Method, const std::string &Target,
                           const std::string &Body, int &Status);
  std::string readKey(const std::string &Key, int &Status);
  std::string readPrefix(const std::string &Prefix);
  std::string watch(const std::string &Prefix, std::int64_t After, int WaitMs,
                    int &Status);
  std::string commit(const std::string &Body);
  void write(const std::string &Key, const Item &New);
  void erase(const std::string &Key);
  void expireLeases();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::map<std::int64_t, std::chrono::steady_clock::time_point> Leases;
  std::map<std::int64_t, std::chrono::milliseconds> LeaseTtls;
  std::int64_t Revision = 1;
  std::int64_t OldestRevision = 0;
  std::int64_t LastLease = 0;
  static void awaitClose(Poco::Net::StreamSocket &Connection);

  std::atomic<int> StaleReads{0};
  std::atomic<int> WatchLosses{0};
  std::atomic<StoreFault> Fault{StoreFault::None};
  /// Declared last, because its threads use all other members.
  std::unique_ptr<ScriptedServer> Server;
};

} // namespace parsleywing::test

#endif
