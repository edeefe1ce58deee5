#include "Program/RouterLinks.h"

#include "Backend/EngineClient.h"
#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

constexpr const char *ConfigurationKeys = "config/";
constexpr const char *RouterKeys = "routers/";
constexpr const char *RunRecordKeys = "runs/";

RunRecordVerdict toDecision(RunVerdict Verdict) {
  switch (Verdict) {
  case RunVerdict::Claimed:
    return RunRecordVerdict::Claimed;
  case RunVerdict::TakenByOther:
    return RunRecordVerdict::TakenByOther;
  case RunVerdict::Unavailable:
    return RunRecordVerdict::Unavailable;
  }
  return RunRecordVerdict::Unavailable;
}

StoreSettings storeSettings(const Settings &Wanted) {
  StoreSettings Store;
  Store.Address = Wanted.Platform.Address;
  Store.CallTimeout = Wanted.Platform.RequestTimeout;
  return Store;
}

std::shared_ptr<StoreBudget> budgetFor(std::uint32_t PerSecond, TimePoint Now) {
  constexpr double BurstSeconds = 2;
  return std::make_shared<StoreBudget>(PerSecond, BurstSeconds * PerSecond,
                                       Now);
}

} // namespace

RouterCoreSettings coreSettings(const Settings &Wanted, Incarnation Life) {
  RouterCoreSettings Core = Wanted.Core;
  const auto Self = idOf<RouterId>(Wanted.Name);
  const std::uint64_t Seed = rendezvousScore(Self.Value, Life);
  Core.Requests.Seed = Seed;
  Core.Fairness.Seed = Seed;
  Core.Configuration.Seed = Seed;
  Core.Membership.RandomSeed = Seed;
  Core.Servers.Seed = Seed;
  if (Wanted.Policy == FairnessMode::Local)
    Core.Fairness.Policy = LocalOnlyPolicy{};
  RouterRecord &Record = Core.Membership.Self;
  Record.Router = Self;
  Record.Life = Life;
  Record.Zone = static_cast<std::uint32_t>(hashName(Wanted.Zone));
  Record.Name = Wanted.Name;
  Record.PeerAddress = Wanted.PeerAddress;
  Record.CallerAddress = Wanted.Callers.Address;
  for (const auto &[Name, Address] : Wanted.Peers.KnownRouters)
    if (Name != Wanted.Name)
      Core.Membership.Seeds.push_back(Address);
  return Core;
}

RouterLinks::RouterLinks(const Settings &W, Incarnation L, ControlLoop &C,
                         std::function<void(DeclarationsPtr)> PutInForce)
    : RouterSettings(W), IncarnationNumber(L), Control(C),
      Loader(std::move(PutInForce)) {}

RouterLinks::~RouterLinks() {
  // The loader's thread may still bring declarations, and with them watches.
  std::unique_ptr<LoadPoller> Ending;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Ending = std::move(this->Poller);
}

Result<void> RouterLinks::start() {
  auto PeersStarted = this->startPeers();
  if (!PeersStarted)
    return PeersStarted;
  this->startPlatform();
  this->Poller = std::make_unique<LoadPoller>(
      this->RouterSettings.Polling, processCounters(),
      [this](Event Told) { this->Control.post(std::move(Told)); });
  return {};
}

Result<void> RouterLinks::startPeers() {
  if (this->RouterSettings.PeerAddress.empty())
    return {};
  PeerSettings Peer;
  Peer.Self = idOf<RouterId>(this->RouterSettings.Name);
  Peer.Life = this->IncarnationNumber;
  Peer.BindAddress = this->RouterSettings.PeerAddress;
  Peer.FleetSecret = this->RouterSettings.Peers.Secret;
  Peer.BytesPerSecond = this->RouterSettings.Peers.MaxBytesPerSecond;
  Peer.FaultInjectionAllowed = this->RouterSettings.Peers.FaultInjection;
  auto Started = PeerTransport::start(Peer, [this](PeerPartReceived Received) {
    this->Control.post(std::move(Received));
  });
  if (!Started)
    return tl::unexpected<Error>(Started.error());
  this->Peers = std::move(*Started);
  return {};
}

void RouterLinks::startPlatform() {
  const PlatformAccess &Access = this->RouterSettings.Platform;
  if (Access.Address.empty()) {
    log(LogPart::Platform, LogLevel::Warn,
        "No platform is set: requests with an idempotency key that may not be "
        "repeated are refused.");
    return;
  }
  const Clock Time = this->Control.clock();
  this->Budget = budgetFor(Access.MaxCallsPerSecond, Time.now());
  this->RecordBudget = budgetFor(Access.MaxRecordCallsPerSecond, Time.now());
  ConfigurationStoreSettings Configuration;
  Configuration.Prefix = Access.Prefix + ConfigurationKeys;
  PlatformSettings Platform;
  Platform.RouterPrefix = Access.Prefix + RouterKeys;
  Platform.VmPrefix = Access.VmPrefix;
  Platform.LeaseTtl =
      std::chrono::duration_cast<std::chrono::seconds>(Access.LeaseTtl);
  Platform.KeepAliveInterval = Access.LeaseTtl / 3;
  Platform.Seed = this->IncarnationNumber;
  const RouterRegistration Self{this->RouterSettings.Name,
                                this->RouterSettings.Zone,
                                this->RouterSettings.Callers.Address,
                                this->RouterSettings.PeerAddress,
                                this->IncarnationNumber,
                                this->RouterSettings.OperatorAddress};
  this->Platform = std::make_unique<PlatformThread>(
      Platform, Configuration, storeSettings(this->RouterSettings),
      this->Budget, Self, Time,
      [this](const PlatformEvent &Told) { this->onPlatformEvent(Told); });
  RunRecordSettings Record;
  Record.Prefix = Access.Prefix + RunRecordKeys;
  Record.WriterId =
      this->RouterSettings.Name + "-" + std::to_string(this->IncarnationNumber);
  Record.ClaimTimeout = this->RouterSettings.Core.Requests.Records.ClaimLimit;
  this->RunRecords = std::make_unique<RunRecordWriter>(
      Record, storeSettings(this->RouterSettings), this->RecordBudget, Time);
}

std::uint64_t RouterLinks::storeCallCount(StoreCall Kind) const {
  if (!this->Budget)
    return 0;
  return this->Budget->callCount(Kind) + this->RecordBudget->callCount(Kind);
}

void RouterLinks::execute(const Action &A) {
  std::visit([this](const auto &Asked) { this->on(Asked); }, A);
}

template <typename OtherAction> void RouterLinks::on(const OtherAction &Asked) {
  if constexpr (std::is_constructible_v<PlatformRequest, OtherAction>)
    if (this->Platform)
      this->Platform->submit(Asked);
}

void RouterLinks::on(const SendToPeer &Asked) {
  if (this->Peers)
    this->Peers->send(Asked);
}

void RouterLinks::on(const ContactAddress &Asked) {
  if (this->Peers)
    this->Peers->sendToAddress(Asked.Address, Asked.Message);
}

void RouterLinks::on(const PeerAddressLearned &Asked) {
  if (!this->Peers)
    return;
  const auto Set = this->Peers->setAddress(Asked.Router, Asked.Address);
  if (!Set)
    log(LogPart::Peer, LogLevel::Warn, Set.error().Message);
}

void RouterLinks::on(const Superseded &) {
  log(LogPart::Program, LogLevel::Error,
      "A later process bears this router's name. This one ends.");
  this->IsSuperseded = true;
}

void RouterLinks::on(const ClaimRunRecord &Asked) {
  const RequestId Request = Asked.Request;
  if (!this->RunRecords) {
    this->Control.post(
        RunRecordAnswered{Request, RunRecordVerdict::Unavailable});
    return;
  }
  this->RunRecords->claim(
      Asked.Account, Asked.Key, Asked.Identity,
      [this, Request](RunVerdict Verdict) {
        this->Control.post(RunRecordAnswered{Request, toDecision(Verdict)});
      });
}

void RouterLinks::on(const CompleteRunRecord &Asked) {
  if (this->RunRecords)
    this->RunRecords->complete(Asked.Account, Asked.Key, Asked.Identity);
}

void RouterLinks::on(const ReleaseRunRecord &Asked) {
  if (this->RunRecords)
    this->RunRecords->release(Asked.Account, Asked.Key, Asked.Identity);
}

void RouterLinks::on(const WatchServers &Asked) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->WatchedServers = Asked.Servers;
  }
  this->watchServers(Asked.Servers);
}

void RouterLinks::setDeclarations(const DeclarationsPtr &Declared) {
  std::vector<ServerId> Servers;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ActiveDeclarations = Declared;
    Servers = this->WatchedServers;
  }
  // Where a server moved to another address, the set watched stays the same
  // and nobody else would ask for it anew.
  this->watchServers(Servers);
}

void RouterLinks::watchServers(const std::vector<ServerId> &Servers) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<LoadPoller::Watched> Targets;
  for (const ServerId Server : Servers) {
    const auto Declared = this->ActiveDeclarations->Servers.find(Server);
    if (Declared == this->ActiveDeclarations->Servers.end())
      continue;
    bool IsEngine = false;
    for (const auto &[Id, Service] : this->ActiveDeclarations->Services)
      if (Service.Kind == ServiceKind::Engine &&
          std::ranges::find(Service.Servers, Server) != Service.Servers.end())
        IsEngine = true;
    Targets.push_back({Server, Declared->second.Address, IsEngine});
  }
  if (this->Poller)
    this->Poller->watch(Targets);
}

void RouterLinks::onPlatformEvent(const PlatformEvent &Told) {
  std::visit(Overloaded{
                 // The platform's thread has said so in the log.
                 [](const RouterLeaseChanged &) {},
                 [this](const RoutersListed &Listed) {
                   this->onRoutersListed(Listed);
                 },
                 [this](const VmsListed &Listed) { this->onVmsListed(Listed); },
                 [this](const auto &Other) { this->Control.post(Other); },
             },
             Told);
}

void RouterLinks::onRoutersListed(const RoutersListed &Listed) {
  LeaseListed Leases;
  for (const RouterRegistration &Router : Listed.Routers)
    Leases.Holders.push_back({idOf<RouterId>(Router.Name),
                              Router.IncarnationNumber, Router.PeerAddress});
  this->Control.post(std::move(Leases));
}

void RouterLinks::onVmsListed(const VmsListed &Listed) {
  VmListChanged Routers;
  ServersListed Servers;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const VmListing &Vm : Listed.Vms) {
      const bool IsLeaving = Vm.State == VmState::Leaving;
      const auto Server = idOf<ServerId>(Vm.Name);
      if (this->ActiveDeclarations->Servers.contains(Server))
        (IsLeaving ? Servers.Leaving : Servers.Live).push_back(Server);
      else
        (IsLeaving ? Routers.Leaving : Routers.Live)
            .push_back({idOf<RouterId>(Vm.Name), 0, ""});
    }
  }
  this->Control.post(std::move(Routers));
  this->Control.post(std::move(Servers));
}

Poco::JSON::Object::Ptr RouterLinks::dump() const {
  Poco::JSON::Object::Ptr All = new Poco::JSON::Object;
  if (this->Peers)
    All->set("peers", this->Peers->dump());
  if (this->Platform)
    All->set("platform", this->Platform->dump());
  if (this->RunRecords)
    All->set("run_records", this->RunRecords->dump());
  if (this->Poller)
    All->set("load_reports", this->Poller->dump());
  return All;
}

Result<void> RouterLinks::setFaults(const PeerFaultOrder &Order) {
  if (!this->Peers)
    return failure(ErrorCode::NotFound, "this router has no peers");
  std::set<RouterId> Blocked;
  for (const std::string &Name : Order.CutFrom)
    Blocked.insert(idOf<RouterId>(Name));
  auto Set = this->Peers->setFaults({Order.LossPercent, Order.Delay});
  if (!Set)
    return Set;
  return this->Peers->setBlockedPeers(std::move(Blocked));
}

} // namespace parsleywing
