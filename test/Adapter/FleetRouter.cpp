#include "Adapter/FleetRouter.h"

#include "FreeAddress.h"
#include "platform/StoreCalls.h"
#include "platform/WireNames.h"

#include <criterion/criterion.h>
#include <utility>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

/// The store's calls of a process that may be killed.
std::function<FleetSource()> sourceOf(const std::string &StoreAddress,
                                      const std::atomic<bool> &Killed) {
  return [Make = platformFleetSource(StoreAddress), &Killed] {
    FleetSource Source = Make();
    Source.Unregister = [Unregister = Source.Unregister,
                         &Killed](LeaseId Lease) -> Result<void> {
      if (Killed)
        return failure(ErrorCode::Interrupted, "the process was killed");
      return Unregister(Lease);
    };
    return Source;
  };
}

} // namespace

FleetRouter::FleetRouter(const std::string &StoreAddress,
                         const std::string &Name, const std::string &Address,
                         double Cores)
    : Messenger(this->Loop, {Name, Address, Cores}, this->MetricsRegistry),
      Distributor(this->Loop, this->Messenger,
                  static_cast<std::uint64_t>(
                      Clock::sinceBoot().now().time_since_epoch().count()),
                  RelayTimes::of({})) {
  cr_assert(this->Messenger.open([this](const RouterMessage &Message,
                                        const Poco::Net::SocketAddress &From) {
    if (const auto *Request = std::get_if<FleetStatusRequest>(&Message))
      this->Distributor.onStatusRequest(*Request, From);
    else if (const auto *Status = std::get_if<FleetStatus>(&Message))
      this->Distributor.onStatus(*Status, From);
    else if (const auto *Update = std::get_if<FleetUpdate>(&Message))
      this->Distributor.onUpdate(*Update);
  }));
  FleetFeed::Options Options;
  Options.RouterName = Name;
  Options.RouterAddress = Address;
  Options.RouterCores = Cores;
  Options.Role = [this] { return this->Distributor.role(); };
  Options.SwitchRelay = [this] {
    this->Loop.post([this] { this->Distributor.switchRelay(); });
  };
  this->Feed = std::make_unique<FleetFeed>(
      Options, sourceOf(StoreAddress, this->Killed), this->MetricsRegistry,
      [this](const std::shared_ptr<const FleetView> &View) {
        this->Loop.post([this, View] { this->applyView(View); });
      });
  this->Loop.post([this] {
    this->Distributor.start([this](const RelayMessage &Message) {
      this->Feed->onRelayMessage(Message);
    });
  });
  this->Traffic = std::thread([this] { this->Loop.run(); });
}

FleetRouter::~FleetRouter() {
  this->Killed = true;
  this->Feed->stop();
  this->Loop.post([this] { this->Loop.stop(); });
  this->Traffic.join();
  this->Feed.reset();
}

void FleetRouter::applyView(const std::shared_ptr<const FleetView> &View) {
  if (View->RouterEndpoints != nullptr)
    this->Messenger.setRouters(*View->RouterEndpoints);
  this->Distributor.updateView(View);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->LastView = View;
}

std::shared_ptr<const FleetView> FleetRouter::view() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LastView;
}

bool FleetRouter::isCurrent(Revision Seen) {
  const auto View = this->view();
  return View != nullptr && View->SeenRevision >= Seen &&
         this->Distributor.role() != RelayRole::Unknown;
}

std::uint64_t FleetRouter::listReads() const {
  const std::string Text = this->MetricsRegistry.render();
  const std::string Name = "parsleywing_fleet_reloads_total ";
  const std::size_t Begin = Text.find("\n" + Name);
  cr_assert_neq(Begin, std::string::npos);
  return std::stoull(Text.substr(Begin + Name.size() + 1));
}

RouterFleet::RouterFleet(FakePlatformStore &S) : Store(S) {
  putConfiguration(S, 1);
  putServer(S, "a");
}

FleetRouter &RouterFleet::start(const std::string &Name) {
  if (!this->Addresses.contains(Name)) {
    // Rendezvous orders are drawn from names, and weighted by cores.
    this->Cores[Name] = this->Addresses.empty() ? 1000 : 0.001;
    this->Addresses[Name] = freeLoopbackAddress();
  }
  return *(this->Running[Name] = std::make_unique<FleetRouter>(
               this->Store.address(), Name, this->Addresses[Name],
               this->Cores[Name]));
}

std::vector<std::string> RouterFleet::relays() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Each] : this->Running)
    if (Each->isRelay())
      Names.push_back(Name);
  return Names;
}

bool RouterFleet::becomesCurrent(std::chrono::milliseconds Limit) {
  return eventually(Limit, [this] {
    const Revision Newest = this->Store.revision();
    for (const auto &[Name, Each] : this->Running) {
      const auto View = Each->view();
      if (!Each->isCurrent(Newest) ||
          View->RouterEndpoints->size() < this->Running.size())
        return false;
    }
    constexpr std::size_t RoutersOfARelay = 40;
    const std::size_t Relays = this->relays().size();
    return Relays > 0 && Relays <= 1 + this->Running.size() / RoutersOfARelay;
  });
}

bool RouterFleet::eventually(std::chrono::milliseconds Limit,
                             const std::function<bool()> &Holds) {
  const TimePoint End = Clock::steady().now() + Limit;
  while (Clock::steady().now() < End) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return Holds();
}

void putConfiguration(FakePlatformStore &Store, int Version) {
  Store.put(wire::ConfigurationKey,
            R"({"version":)" + std::to_string(Version) +
                R"(,"routes":[],"services":[{"name":"s"}],"limits":{},)"
                R"("tenants":[]})");
}

void putServer(FakePlatformStore &Store, const std::string &Id,
               const std::string &State) {
  Store.put(wire::ServerPrefix + Id,
            R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":8,)"
            R"("version":"v1","seqNo":1,"coldLeftMs":0,"state":")" +
                State + "\"}");
}

void removeServer(FakePlatformStore &Store, const std::string &Id) {
  Store.remove(wire::ServerPrefix + Id);
}

bool takesRequests(const FleetView &View, const std::string &Id) {
  const auto Found = View.Servers->find(Id);
  return Found != View.Servers->end() && Found->second.acceptsRequests();
}

} // namespace parsleywing::test
