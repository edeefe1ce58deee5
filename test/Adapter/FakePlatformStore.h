#ifndef PARSLEYWING_TEST_ADAPTER_FAKEPLATFORMSTORE_H
#define PARSLEYWING_TEST_ADAPTER_FAKEPLATFORMSTORE_H

#include "Gateway/ScriptedServer.h"

#include <condition_variable>
#include <functional>
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
  ~FakePlatformStore();
  FakePlatformStore(const FakePlatformStore &) = delete;
  FakePlatformStore &operator=(const FakePlatformStore &) = delete;

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

  /// The store's newest revision.
  std::int64_t revision();
  /// The newest revision at an earlier time. For use in a `CopyRevision`.
  std::int64_t revisionBefore(std::chrono::milliseconds Age);
  /// Lets lists have several pages.
  void setPageSize(std::size_t Items) { this->PageSize = Items; }
  /// The revision of the copy that answers a stale read of a page of a list, or
  /// of a single key. Pages are counted from zero.
  using CopyRevision =
      std::function<std::int64_t(const std::string &Prefix, int Page)>;
  /// Without it, stale reads are answered from the newest revision.
  void setCopies(CopyRevision Copies);
  /// Number of reads of pages of lists, and of watches.
  int pageReads() const { return this->PageReads; }
  int watches() const { return this->Watches; }
  /// Bytes of all answers, without their heads.
  std::int64_t bytesSent() const { return this->BytesSent; }

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Lease = 0;
  };
  /// One write or removal of a key.
  struct Change {
    std::string Key;
    Item Written;
    bool Deleted = false;
    std::chrono::steady_clock::time_point At;
  };

  bool handleRequest(Poco::Net::StreamSocket &Connection,
                     const std::string &Request);
  std::string dispatchCall(const std::string &Method, const std::string &Target,
                           const std::string &Body, int &Status);
  std::string readKey(const std::string &Key, std::int64_t AsOf, int &Status);
  std::string readPrefix(const std::string &Prefix, const std::string &After,
                         bool AllowStale);
  /// The revision of the copy that answers a read. Requires `Mutex` to be held.
  std::int64_t copyFor(const std::string &Prefix, int Page, bool AllowStale);
  /// The item of a key at a revision; null if there was none.
  const Item *itemAt(const std::string &Key, std::int64_t AsOf) const;
  std::string watch(const std::string &Prefix, std::int64_t After, int WaitMs,
                    int &Status);
  std::string commit(const std::string &Body);
  void write(const std::string &Key, const Item &New);
  void erase(const std::string &Key);
  void record(const std::string &Key, const Item &Written, bool Deleted);
  void expireLeases();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  /// All changes, also those that watches no longer get.
  std::vector<Change> History;
  /// The positions of each key's changes in `History`.
  std::map<std::string, std::vector<std::size_t>> ChangesOfKey;
  CopyRevision Copies;
  /// The page that each key was on when its list was last read.
  std::map<std::string, int> PageOfKey;
  std::map<std::int64_t, std::chrono::steady_clock::time_point> Leases;
  std::map<std::int64_t, std::chrono::milliseconds> LeaseTtls;
  std::int64_t Revision = 1;
  std::int64_t OldestRevision = 0;
  std::int64_t LastLease = 0;
  bool Stopping = false;
  static void awaitClose(Poco::Net::StreamSocket &Connection);

  std::atomic<std::size_t> PageSize{500};
  std::atomic<int> StaleReads{0};
  std::atomic<int> PageReads{0};
  std::atomic<int> Watches{0};
  std::atomic<std::int64_t> BytesSent{0};
  std::atomic<int> WatchLosses{0};
  std::atomic<StoreFault> Fault{StoreFault::None};
  /// Declared last, because its threads use all other members.
  std::unique_ptr<ScriptedServer> Server;
};

} // namespace parsleywing::test

#endif
