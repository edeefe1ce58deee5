#include "Adapter/FakePlatformStore.h"

#include "Http/HttpHead.h"
#include "Platform/StoreCodec.h"
#include "platform/WireNames.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <algorithm>
#include <sstream>
#include <thread>
#include <utility>

namespace parsleywing::test {

using Poco::JSON::Array;
using Poco::JSON::Object;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int HistoryCompacted = 410;

/// The value of a query parameter.
std::string parameterOf(const std::string &Target, const std::string &Name) {
  for (const auto &[Key, Value] : Poco::URI(Target).getQueryParameters())
    if (Key == Name)
      return Value;
  return {};
}

std::string toJsonText(const Object &Message) {
  std::ostringstream Text;
  Message.stringify(Text);
  return Text.str();
}

} // namespace

FakePlatformStore::FakePlatformStore() {
  this->Server = std::make_unique<ScriptedServer>(
      [this](Poco::Net::StreamSocket &Connection, const std::string &Request) {
        return this->handleRequest(Connection, Request);
      });
}

/// Ends the watches that still wait.
FakePlatformStore::~FakePlatformStore() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Stopping = true;
  this->Changed.notify_all();
}

bool FakePlatformStore::handleRequest(Poco::Net::StreamSocket &Connection,
                                      const std::string &Request) {
  const std::size_t Length = headLength(Request);
  const auto Head = parseRequestHead(Request.substr(0, Length));
  if (!Head || this->Fault == StoreFault::Unreachable)
    return false;
  const bool IsWatch = Head->Target.starts_with(wire::WatchPath);
  const int LossesBefore = this->WatchLosses;
  if (IsWatch && this->Fault == StoreFault::WatchesLost) {
    awaitClose(Connection);
    return false;
  }
  if (this->Fault == StoreFault::Silent ||
      this->Fault == StoreFault::WatchesLost) {
    std::this_thread::sleep_for(2s);
    return false;
  }
  if (this->Fault == StoreFault::Slow)
    std::this_thread::sleep_for(240ms);
  int Status = Ok;
  const std::string Body = this->dispatchCall(Head->Method, Head->Target,
                                              Request.substr(Length), Status);
  if (IsWatch && this->WatchLosses != LossesBefore) {
    awaitClose(Connection);
    return false;
  }
  this->BytesSent += static_cast<std::int64_t>(Body.size());
  sendText(Connection, "HTTP/1.1 " + std::to_string(Status) +
                           " X\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body);
  return true;
}

/// Waits until the caller gives a call up that is never answered.
void FakePlatformStore::awaitClose(Poco::Net::StreamSocket &Connection) {
  const Poco::Timespan Limit(12, 0);
  (void)Connection.poll(Limit, Poco::Net::Socket::SELECT_READ);
}

std::string FakePlatformStore::dispatchCall(const std::string &Method,
                                            const std::string &Target,
                                            const std::string &Body,
                                            int &Status) {
  const std::string Path = Target.substr(0, Target.find('?'));
  if (Path == wire::WatchPath)
    return this->watch(parameterOf(Target, "prefix"),
                       std::stoll(parameterOf(Target, "after")),
                       std::stoi(parameterOf(Target, "waitMs")), Status);
  const bool AllowStale =
      Target.find(std::string("&") + wire::AllowStaleParameter) !=
      std::string::npos;
  if (AllowStale)
    ++this->StaleReads;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->expireLeases();
  if (Path == wire::ReadKeyPath) {
    const std::string Key = parameterOf(Target, "key");
    return this->readKey(Key, this->copyFor(Key, 0, AllowStale), Status);
  }
  if (Path == wire::ReadPrefixPath)
    return this->readPrefix(parameterOf(Target, "prefix"),
                            parameterOf(Target, "after"), AllowStale);
  if (Path == wire::CommitPath)
    return this->commit(Body);
  if (Path == wire::GrantLeasePath) {
    const auto Message =
        Poco::JSON::Parser().parse(Body).extract<Object::Ptr>();
    const std::int64_t Lease = ++this->LastLease;
    this->LeaseTtls[Lease] =
        std::chrono::milliseconds(Message->getValue<std::int64_t>("ttlMs"));
    this->Leases[Lease] = SteadyClock::now() + this->LeaseTtls[Lease];
    return "{\"lease\":" + std::to_string(Lease) + "}";
  }
  const std::int64_t Lease =
      std::stoll(Path.substr(Path.find_last_of('/') + 1));
  const auto Found = this->Leases.find(Lease);
  if (Found == this->Leases.end()) {
    Status = NotFound;
    return "{}";
  }
  if (Method == "DELETE")
    Found->second = SteadyClock::now() - 1s;
  else
    Found->second = SteadyClock::now() + this->LeaseTtls[Lease];
  this->expireLeases();
  return "{}";
}

std::int64_t FakePlatformStore::copyFor(const std::string &Prefix, int Page,
                                        bool AllowStale) {
  if (!AllowStale || !this->Copies)
    return this->Revision;
  return std::min(this->Copies(Prefix, Page), this->Revision);
}

const FakePlatformStore::Item *
FakePlatformStore::itemAt(const std::string &Key, std::int64_t AsOf) const {
  const Change *Last = nullptr;
  if (const auto Found = this->ChangesOfKey.find(Key);
      Found != this->ChangesOfKey.end())
    for (const std::size_t Position : Found->second)
      if (this->History[Position].Written.Revision <= AsOf)
        Last = &this->History[Position];
  return Last == nullptr || Last->Deleted ? nullptr : &Last->Written;
}

std::string FakePlatformStore::readKey(const std::string &Key,
                                       std::int64_t AsOf, int &Status) {
  const Item *Found = this->itemAt(Key, AsOf);
  if (Found == nullptr) {
    Status = NotFound;
    return "{}";
  }
  Object Message;
  Message.set("key", Key);
  Message.set("value", internal::toBase64(Found->Value));
  Message.set("revision", Found->Revision);
  Message.set("storeRevision", AsOf);
  return toJsonText(Message);
}

std::string FakePlatformStore::readPrefix(const std::string &Prefix,
                                          const std::string &After,
                                          bool AllowStale) {
  ++this->PageReads;
  // A list begins with its first page; the others follow in order.
  const int Page = After.empty() ? 0 : this->PageOfKey[After] + 1;
  const std::int64_t AsOf = this->copyFor(Prefix, Page, AllowStale);
  Array::Ptr ItemList = new Array;
  bool MorePages = false;
  for (auto Each = this->ChangesOfKey.upper_bound(std::max(Prefix, After));
       Each != this->ChangesOfKey.end() && Each->first.starts_with(Prefix);
       ++Each) {
    const Item *Existing = this->itemAt(Each->first, AsOf);
    if (Existing == nullptr)
      continue;
    if (ItemList->size() >= this->PageSize) {
      MorePages = true;
      break;
    }
    Object::Ptr Entry = new Object;
    Entry->set("key", Each->first);
    Entry->set("value", internal::toBase64(Existing->Value));
    Entry->set("revision", Existing->Revision);
    Entry->set("lease", Existing->Lease);
    ItemList->add(Entry);
    this->PageOfKey[Each->first] = Page;
  }
  Object Message;
  Message.set("items", ItemList);
  Message.set("morePages", MorePages);
  Message.set("storeRevision", AsOf);
  return toJsonText(Message);
}

std::string FakePlatformStore::watch(const std::string &Prefix,
                                     std::int64_t After, int WaitMs,
                                     int &Status) {
  ++this->Watches;
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (After < this->OldestRevision) {
    Status = HistoryCompacted;
    return "{}";
  }
  this->Changed.wait_for(
      Lock, std::chrono::milliseconds(WaitMs),
      [this, After] { return this->Stopping || this->Revision > After; });
  Array::Ptr Events = new Array;
  for (const Change &Each : this->History) {
    if (Each.Written.Revision <= After || !Each.Key.starts_with(Prefix))
      continue;
    Object::Ptr Entry = new Object;
    Entry->set("key", Each.Key);
    Entry->set("revision", Each.Written.Revision);
    if (Each.Deleted)
      Entry->set("deleted", true);
    else
      Entry->set("value", internal::toBase64(Each.Written.Value));
    Events->add(Entry);
  }
  Object Message;
  Message.set("events", Events);
  Message.set("storeRevision", this->Revision);
  return toJsonText(Message);
}

std::string FakePlatformStore::commit(const std::string &Body) {
  const auto Message = Poco::JSON::Parser().parse(Body).extract<Object::Ptr>();
  const Array::Ptr Writes = Message->getArray("writes");
  for (unsigned I = 0; I < Writes->size(); ++I) {
    const Object::Ptr Entry = Writes->getObject(I);
    this->write(Entry->getValue<std::string>("key"),
                {internal::fromBase64(Entry->getValue<std::string>("value")), 0,
                 Entry->optValue<std::int64_t>("lease", 0)});
  }
  return "{\"revision\":" + std::to_string(this->Revision) + "}";
}

void FakePlatformStore::record(const std::string &Key, const Item &Written,
                               bool Deleted) {
  this->ChangesOfKey[Key].push_back(this->History.size());
  this->History.push_back({Key, Written, Deleted, SteadyClock::now()});
  this->Changed.notify_all();
}

void FakePlatformStore::write(const std::string &Key, const Item &New) {
  Item &Stored = this->Items[Key] = New;
  Stored.Revision = ++this->Revision;
  this->record(Key, Stored, false);
}

void FakePlatformStore::erase(const std::string &Key) {
  if (this->Items.erase(Key) == 0)
    return;
  this->record(Key, {"", ++this->Revision, 0}, true);
}

void FakePlatformStore::expireLeases() {
  const auto Now = SteadyClock::now();
  std::vector<std::string> ExpiredKeys;
  for (const auto &[Key, Existing] : this->Items)
    if (Existing.Lease != 0 && this->Leases.contains(Existing.Lease) &&
        this->Leases[Existing.Lease] < Now)
      ExpiredKeys.push_back(Key);
  std::erase_if(this->Leases,
                [Now](const auto &Lease) { return Lease.second < Now; });
  for (const std::string &Key : ExpiredKeys)
    this->erase(Key);
}

void FakePlatformStore::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->write(Key, {Value, 0, 0});
}

void FakePlatformStore::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->erase(Key);
}

void FakePlatformStore::dropHistory() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->OldestRevision = ++this->Revision;
  this->Changed.notify_all();
}

std::int64_t FakePlatformStore::revision() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Revision;
}

std::int64_t FakePlatformStore::revisionBefore(std::chrono::milliseconds Age) {
  const auto At = SteadyClock::now() - Age;
  std::int64_t Newest = this->Revision;
  for (auto Each = this->History.rbegin();
       Each != this->History.rend() && Each->At > At; ++Each)
    Newest = Each->Written.Revision - 1;
  return Newest;
}

void FakePlatformStore::setCopies(CopyRevision Copies) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Copies = std::move(Copies);
}

} // namespace parsleywing::test
