#include "standin/StoreStandIn.h"

#include "standin/StoreHandler.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <numeric>

namespace parsleywing::standin {

namespace {

constexpr int MaxThreads = 512;

class StoreHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit StoreHandlerFactory(StoreStandIn &S) : Store(S) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new StoreHandler(this->Store);
  }

private:
  StoreStandIn &Store;
};

} // namespace

StoreStandIn::StoreStandIn(StoreOptions O) : Options(std::move(O)) {}

StoreStandIn::~StoreStandIn() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  {
    std::lock_guard<std::mutex> Lock(this->OutageMutex);
    if (this->OutageThread.joinable())
      this->OutageThread.join();
  }
  if (this->Server)
    this->Server->stopAll(true);
  if (this->Pool)
    this->Pool->joinAll();
}

void StoreStandIn::start() {
  this->Pool = std::make_unique<Poco::ThreadPool>(2, MaxThreads);
  this->BoundAddress = this->Options.Address;
  this->listen();
}

void StoreStandIn::listen() {
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxThreads);
  Params->setKeepAlive(true);
  Params->setMaxKeepAliveRequests(0);
  Params->setKeepAliveTimeout(Poco::Timespan(60, 0));
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(this->BoundAddress), true, false);
  Socket.listen(MaxThreads);
  this->BoundAddress = Socket.address().toString();
  this->Server = std::make_unique<Poco::Net::HTTPServer>(
      new StoreHandlerFactory(*this), *this->Pool, Socket, Params);
  this->Server->start();
}

std::string StoreStandIn::address() const { return this->BoundAddress; }

void StoreStandIn::changeFaults(
    const std::function<void(StoreFaults &)> &Change) {
  int AwayMs = 0;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const bool WasStale = this->Faults.Stale;
    const bool WasSilent = this->Faults.SilentExisting;
    Change(this->Faults);
    if (this->Faults.Stale && !WasStale)
      this->Data.captureStaleSnapshot();
    if (this->Faults.SilentExisting && !WasSilent)
      this->SilentConnections = this->Connections;
    if (!this->Faults.SilentExisting)
      this->SilentConnections.clear();
    std::swap(AwayMs, this->Faults.AwayMs);
  }
  this->Changed.notify_all();
  if (AwayMs > 0)
    this->startOutage(std::chrono::milliseconds(AwayMs));
}

void StoreStandIn::startOutage(std::chrono::milliseconds Time) {
  std::lock_guard<std::mutex> OutageLock(this->OutageMutex);
  if (this->OutageThread.joinable())
    this->OutageThread.join();
  this->OutageThread = std::thread([this, Time] {
    this->leave();
    std::unique_lock<std::mutex> Lock(this->Mutex);
    this->Changed.wait_for(Lock, Time, [this] { return this->Stopping; });
    if (this->Stopping)
      return;
    Lock.unlock();
    this->listen();
  });
}

void StoreStandIn::leave() {
  this->Server->stopAll(true);
  this->Server.reset();
}

void StoreStandIn::advance(TimePoint Now) {
  this->Data.advance(Now);
  while (!this->VmChanges.empty() && this->VmChanges.front().DueAt <= Now) {
    const VmChange Change = this->VmChanges.front();
    this->VmChanges.pop_front();
    const std::string Key = this->Options.VmPrefix + Change.Name;
    if (Change.State.empty())
      this->Data.commit({{}, {deleteKey(Key)}, {}}, false);
    else
      this->Data.put(putKey(Key, Change.State));
  }
}

void StoreStandIn::setVm(const std::string &Name, const std::string &State) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const TimePoint Now = this->Time.now();
    const std::chrono::milliseconds Lag(this->Faults.VmLagMs);
    this->VmChanges.push_back({Now + Lag, Name, State});
    this->advance(Now);
  }
  this->Changed.notify_all();
}

std::uint64_t StoreStandIn::calls(StoreCall Kind) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->CallCounts[static_cast<std::size_t>(Kind)];
}

std::uint64_t StoreStandIn::allCalls() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::accumulate(this->CallCounts.begin(), this->CallCounts.end(),
                         std::uint64_t{0});
}

int StoreStandIn::watches() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->WaitingWatches;
}

StoreRange StoreStandIn::peek(const std::string &Prefix) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Data.range(Prefix, prefixRangeEnd(Prefix), false);
}

} // namespace parsleywing::standin
