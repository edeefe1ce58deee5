#include "Program/RouterLinks.h"

#include "Backend/EngineClient.h"
#include "Runtime/Log.h"
#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

constexpr const char *ConfigurationKeys = "config/";
constexpr const char *RouterKeys = "routers/";
constexpr const char *RunRecordKeys = "runs/";

RunRecordVerdict toRunRecordVerdict(RunVerdict Verdict) {
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

StoreSettings storeSettings(const Settings &From) {
  StoreSettings Store;
  Store.Address = From.Platform.Address;
  Store.CallTimeout = From.Platform.RequestTimeout;
  return Store;
}

std::shared_ptr<StoreBudget> makeBudget(std::uint32_t PerSecond,
                                        TimePoint Now) {
  constexpr double BurstSeconds = 2;
  return std::make_shared<StoreBudget>(PerSecond, BurstSeconds * PerSecond,
                                       Now);
}

} // namespace

RouterCoreSettings coreSettings(const Settings &From, Incarnation Number) {
  RouterCoreSettings Core = From.Core;
  const auto Self = idOf<RouterId>(From.Name);
  const std::uint64_t Seed = rendezvousScore(Self.Value, Number);
  Core.Requests.Seed = Seed;
  Core.Fairness.Seed = Seed;
  Core.Configuration.Seed = Seed;
  Core.Membership.RandomSeed = Seed;
  Core.Servers.Seed = Seed;
  Core.CrashSeed = Seed;
  if (From.Policy == FairnessMode::Local)
    Core.Fairness.Policy = LocalOnlyPolicy{};
  RouterRecord &Record = Core.Membership.Self;
  Record.Router = Self;
  Record.IncarnationNumber = Number;
  Record.Zone = static_cast<std::uint32_t>(hashName(From.Zone));
  Record.Name = From.Name;
  Record.PeerAddress = From.PeerAddress;
  Record.CallerAddress = From.Callers.Address;
  for (const auto &[Name, Address] : From.Peers.KnownRouters)
    if (Name != From.Name)
      Core.Membership.Seeds.push_back(Address);
  return Core;
}

RouterLinks::RouterLinks(const Settings &Config, Incarnation Number,
                         ControlLoop &Loop,
                         std::function<void(DeclarationsPtr)> OnDeclarations)
    : RouterSettings(Config), IncarnationNumber(Number), Control(Loop),
      Loader(std::move(OnDeclarations)), Checker(Loop.clock()) {}

RouterLinks::~RouterLinks() {
  // The loader's thread may still deliver declarations, which use the poller.
  // The poller is destroyed after the lock is released.
  std::unique_ptr<LoadPoller> Released;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Released = std::move(this->Poller);
}

Result<void> RouterLinks::start() {
  auto PeersStarted = this->startPeers();
  if (!PeersStarted)
    return PeersStarted;
  this->startPlatform();
  this->Poller = std::make_unique<LoadPoller>(
      this->RouterSettings.Polling, processCounters(),
      [this](Event Received) { this->Control.post(std::move(Received)); });
  return {};
}

Result<void> RouterLinks::startPeers() {
  if (this->RouterSettings.PeerAddress.empty())
    return {};
  PeerSettings Transport;
  Transport.Self = idOf<RouterId>(this->RouterSettings.Name);
  Transport.Life = this->IncarnationNumber;
  Transport.BindAddress = this->RouterSettings.PeerAddress;
  Transport.FleetSecret = this->RouterSettings.Peers.Secret;
  Transport.BytesPerSecond = this->RouterSettings.Peers.MaxBytesPerSecond;
  Transport.FaultInjectionAllowed = this->RouterSettings.Peers.FaultInjection;
  auto Started =
      PeerTransport::start(Transport, [this](PeerPartReceived Received) {
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
        "No platform store is configured: non-repeatable requests with an "
        "idempotency key are refused.");
    return;
  }
  const Clock Time = this->Control.clock();
  this->Budget = makeBudget(Access.MaxCallsPerSecond, Time.now());
  this->RecordBudget = makeBudget(Access.MaxRecordCallsPerSecond, Time.now());
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
      [this](const PlatformEvent &Event) { this->onPlatformEvent(Event); });
  RunRecordSettings RecordSettings;
  RecordSettings.Prefix = Access.Prefix + RunRecordKeys;
  RecordSettings.WriterId =
      this->RouterSettings.Name + "-" + std::to_string(this->IncarnationNumber);
  RecordSettings.ClaimTimeout =
      this->RouterSettings.Core.Requests.Records.ClaimTimeout;
  this->RunRecords = std::make_unique<RunRecordWriter>(
      RecordSettings, storeSettings(this->RouterSettings), this->RecordBudget,
      Time);
}

std::uint64_t RouterLinks::storeCallCount(StoreCall Kind) const {
  if (!this->Budget)
    return 0;
  return this->Budget->callCount(Kind) + this->RecordBudget->callCount(Kind);
}

void RouterLinks::execute(const Action &A) {
  std::visit([this](const auto &Each) { this->on(Each); }, A);
}

template <typename OtherAction> void RouterLinks::on(const OtherAction &A) {
  if constexpr (std::is_constructible_v<PlatformRequest, OtherAction>)
    if (this->Platform)
      this->Platform->submit(A);
}

void RouterLinks::on(const SendToPeer &A) {
  if (this->Peers)
    this->Peers->send(A);
}

void RouterLinks::on(const ContactAddress &A) {
  if (this->Peers)
    this->Peers->sendToAddress(A.Address, A.Message);
}

void RouterLinks::on(const PeerAddressLearned &A) {
  if (!this->Peers)
    return;
  const auto Set = this->Peers->setAddress(A.Router, A.Address);
  if (!Set)
    log(LogPart::Peer, LogLevel::Warn, Set.error().Message);
}

void RouterLinks::on(const Superseded &) {
  log(LogPart::Program, LogLevel::Error,
      "A later process has this router's name. This process ends.");
  this->IsSuperseded = true;
}

void RouterLinks::on(const ClaimRunRecord &A) {
  const RequestId Request = A.Request;
  if (!this->RunRecords) {
    this->Control.post(
        RunRecordVerdictReceived{Request, RunRecordVerdict::Unavailable});
    return;
  }
  this->RunRecords->claim(
      A.Account, A.Key, A.Identity, [this, Request](RunVerdict Verdict) {
        this->Control.post(
            RunRecordVerdictReceived{Request, toRunRecordVerdict(Verdict)});
      });
}

void RouterLinks::on(const CompleteRunRecord &A) {
  if (this->RunRecords)
    this->RunRecords->complete(A.Account, A.Key, A.Identity);
}

void RouterLinks::on(const ReleaseRunRecord &A) {
  if (this->RunRecords)
    this->RunRecords->release(A.Account, A.Key, A.Identity);
}

void RouterLinks::on(const WatchServers &A) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->WatchedServers = A.Servers;
  }
  this->watchServers(A.Servers);
}

ServerDeclaration RouterLinks::declarationOf(ServerId Server) const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->ActiveDeclarations->Servers.find(Server);
  return Found == this->ActiveDeclarations->Servers.end() ? ServerDeclaration{}
                                                          : Found->second;
}

void RouterLinks::on(const CheckServer &A) {
  const ServerDeclaration Server =
      this->declarationOf(ServerId{A.Process.Server});
  this->Checker.check(Server.Address,
                      [this, Process = A.Process](ConnectOutcome Outcome) {
                        this->Control.post(ServerChecked{Process, Outcome});
                      });
}

void RouterLinks::on(const ServerCrashed &A) {
  log(LogPart::Backend, LogLevel::Info,
      "server=" + this->declarationOf(A.Server).Name +
          " crashed: evidence=connection refused in-hand=" +
          std::to_string(A.ActiveRequests));
}

void RouterLinks::on(const ContentRefused &A) {
  log(LogPart::Caller, LogLevel::Warn,
      "content=" + textOf(A.Content) +
          " is refused from now on: crashes=" + std::to_string(A.Crashes));
}

void RouterLinks::setDeclarations(const DeclarationsPtr &Active) {
  std::vector<ServerId> Servers;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ActiveDeclarations = Active;
    Servers = this->WatchedServers;
  }
  // If a server moved to another address, the set of watched servers is the
  // same, and nothing else would trigger the update.
  this->watchServers(Servers);
}

void RouterLinks::watchServers(const std::vector<ServerId> &Servers) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<LoadPoller::Watched> Targets;
  for (const ServerId Server : Servers) {
    const auto Entry = this->ActiveDeclarations->Servers.find(Server);
    if (Entry == this->ActiveDeclarations->Servers.end())
      continue;
    bool IsEngine = false;
    for (const auto &[Id, Service] : this->ActiveDeclarations->Services)
      if (Service.Kind == ServiceKind::Engine &&
          std::ranges::find(Service.Servers, Server) != Service.Servers.end())
        IsEngine = true;
    Targets.push_back({Server, Entry->second.Address, IsEngine});
  }
  if (this->Poller)
    this->Poller->watch(Targets);
}

void RouterLinks::onPlatformEvent(const PlatformEvent &Event) {
  std::visit(
      Overloaded{
          // The platform's thread has logged the change.
          [](const RouterLeaseChanged &) {},
          [this](const RoutersListed &List) { this->onRoutersListed(List); },
          [this](const VmsListed &List) { this->onVmsListed(List); },
          [this](const auto &Other) { this->Control.post(Other); },
      },
      Event);
}

void RouterLinks::onRoutersListed(const RoutersListed &List) {
  LeaseListed Event;
  for (const RouterRegistration &Router : List.Routers)
    Event.Holders.push_back({idOf<RouterId>(Router.Name),
                             Router.IncarnationNumber, Router.PeerAddress});
  this->Control.post(std::move(Event));
}

void RouterLinks::onVmsListed(const VmsListed &List) {
  VmListChanged Routers;
  ServersListed Servers;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const VmListing &Vm : List.Vms) {
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
