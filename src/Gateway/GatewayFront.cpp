#include "Gateway/GatewayFront.h"

#include "Gateway/GatewayRequest.h"
#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <Poco/NumberFormatter.h>
#include <Poco/NumberParser.h>
#include <algorithm>
#include <cerrno>
#include <cstring>
#include <random>
#include <sstream>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// Listen backlog: holds a burst of new callers for as long as the loop may
/// lag.
constexpr int AcceptBacklog = 512;
/// Above the first loop lag the router reports not ready, below the second it
/// reports ready again.
constexpr Duration NotReadyLag = std::chrono::milliseconds(50);
constexpr Duration ReadyLag = std::chrono::milliseconds(10);

constexpr int MaxAcceptsPerIteration = 32;
constexpr std::size_t MaxIdleClosedAtOnce = 64;
/// A connection that has been idle for this long is unlikely to carry a request
/// soon, so it may be closed in favour of new callers.
constexpr Duration MinIdleBeforeClose = std::chrono::milliseconds(500);
/// Connections above the caller limit that are accepted in order to refuse
/// their requests.
constexpr std::size_t MaxRefusedConnections = 256;
constexpr Duration AcceptPause = std::chrono::milliseconds(10);

/// Time from the start of the drain until idle connections are closed. The load
/// balancer notices within two seconds that a router is not ready; idle
/// connections stay open slightly longer, since callers keep using them.
constexpr Duration IdleCloseDelay = std::chrono::milliseconds(2400);

/// Time from the start of the drain until new requests are refused. Earlier
/// requests are still served.
constexpr Duration RefusalDelay = std::chrono::milliseconds(2700);

/// The part of the drain timeout that is reserved for ending the process.
constexpr Duration ShutdownReserve = std::chrono::milliseconds(500);
/// The part of the drain before `ShutdownReserve` in which active requests get
/// their final responses.
constexpr Duration FinalResponseTime = std::chrono::milliseconds(150);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(50);
/// The operators' call that takes back the refusal of a prompt part; the hash
/// of the part follows.
constexpr const char *AcceptPartPath = "/accept-part/";
constexpr Duration HousekeepingInterval = std::chrono::seconds(1);
/// The accounts that a log line about refusals names.
constexpr std::size_t MaxLoggedAccounts = 3;

/// A router whose configuration proof is older than this fraction of the
/// revocation bound reports not ready: it may soon have to refuse all requests
/// with keys, while other routers can still serve them.
constexpr double MaxReadyProofFraction = 0.6;

/// Distinguishes this process from earlier processes of the same router name.
std::uint64_t randomProcessNumber() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

/// Accepts the next pending connection; null if there is none. Fails if the
/// kernel cannot provide one, for instance without free descriptors. Poco's
/// accept would throw in both cases, and polling the socket first with Poco
/// costs four system calls.
Result<std::optional<Poco::Net::StreamSocket>>
acceptNext(const Poco::Net::ServerSocket &Listening) {
  const int Accepted = ::accept4(Listening.impl()->sockfd(), nullptr, nullptr,
                                 SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (Accepted >= 0)
    return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(Accepted));
  // If the caller has disconnected meanwhile, the next iteration accepts the
  // other connections.
  const bool Harmless = errno == EAGAIN || errno == EWOULDBLOCK ||
                        errno == EINTR || errno == ECONNABORTED;
  if (Harmless)
    return std::nullopt;
  return failure(ErrorCode::Unreachable,
                 "accept failed: " + std::string(std::strerror(errno)));
}

/// Limits for the load balancer's readiness checks and for requests of
/// operators.
GatewayLimits internalLimits() {
  GatewayLimits Limits;
  Limits.MaxBodyBytes = 4096;
  return Limits;
}

} // namespace

GatewayFront::GatewayFront(GatewaySettings S, const WireFormat &F, Metrics &M)
    : Settings(std::move(S)), MetricsRegistry(M),
      Buffers(Settings.MaxBufferBytes), Loop(Clock::steady()), Counters(M),
      Pool(Loop), Routers(Loop,
                          {Settings.Name, Settings.PeerAddress, Settings.Cores,
                           Settings.Zone},
                          M),
      Fleet(Loop, Routers, randomProcessNumber(),
            RelayTimes::of(Settings.fleetBounds())),
      Agent(Loop, Routers, randomProcessNumber(), Settings.WarmUps, M,
            Settings.allocatorOptions()),
      PartsReader(Loop, F, Pool, M),
      PartCrashes(Loop, Routers, randomProcessNumber(), M),
      Crashes(Loop, Routers, PartCrashes, randomProcessNumber(), M),
      Signals(Loop, Servers, Pool, Agent, M),
      SlackShare(Settings.Name, Settings.Retries.Window),
      Streams(Loop, Routers, randomProcessNumber(), M),
      Versions(std::max({Settings.RevocationBound, Settings.ConfigurationBound,
                         Settings.RemovalBound})),
      Context{Loop,       F,        Settings, Servers,     Pool,
              Agent,      Counters, Crashes,  PartCrashes, Signals,
              SlackShare, Streams,  Versions, Buffers} {
  this->Servers.setWarmUpBounds(this->Settings.WarmUps);
  this->Agent.shareSlots(this->Settings.ShareSlots);
  this->addGauges();
  this->addBufferGauges();
  this->Buffers.setHolders([this] { return this->bufferHolders(); });
}

GatewayFront::~GatewayFront() {
  // A session that closes erases itself from its map, which must not change
  // while it is being destroyed.
  const auto OldCallerSessions = std::exchange(this->CallerSessions, {});
  const auto OldInternalSessions = std::exchange(this->InternalSessions, {});
}

void GatewayFront::addGauges() {
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"loop_lag_seconds", "How late the last timer was served.", ""}, [this] {
        return std::chrono::duration<double>(this->Loop.lag()).count();
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"configuration_proof_age_seconds",
       "Time since the configuration was proved to be the newest one.", ""},
      [this] {
        return std::chrono::duration<double>(this->Context.proofAge()).count();
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"lists_proof_age_seconds",
       "Time since the lists of servers, routers and zones were proved to be "
       "complete.",
       ""},
      [this] {
        return std::chrono::duration<double>(this->Context.listsAge()).count();
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"version_history_seconds",
       "How far this router's knowledge of the listed versions reaches back "
       "without a gap.",
       ""},
      [this] {
        return std::chrono::duration<double>(this->Versions.span()).count();
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"version_history_entries",
       "Software versions that are listed or were until recently.", ""},
      [this] { return static_cast<double>(this->Versions.size()); });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"lists_revision",
       "The revision of the store up to which these lists are complete.", ""},
      [this] { return static_cast<double>(this->Context.View->SeenRevision); });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"configuration_version", "Version in force; 0 where none is known.", ""},
      [this] {
        const auto &Active = this->Context.View->Configuration;
        return Active == nullptr ? 0.0 : static_cast<double>(Active->Version);
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"retry_slack_divisor",
       "Routers that share the slack of the retry budgets; 0 while this router "
       "earns none of it.",
       ""},
      [this] {
        return static_cast<double>(
            this->SlackShare.divisor(this->Context.BootClock.now()));
      });
  const auto WarmUps = [this] {
    return this->Agent.allocator().serverTable().warmUpTotals(
        this->Loop.clock().now());
  };
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"warming_servers", "Servers that warm up behind their start.", ""},
      [WarmUps] { return static_cast<double>(WarmUps().Servers); });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"warm_up_grants_allowed_per_second",
       "What those of them bear together that this router alone grants.", ""},
      [WarmUps] { return WarmUps().GrantedPerSecond; });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"server_versions",
       "Versions of software that the servers of one service have, at most.",
       ""},
      [this] { return static_cast<double>(this->mostVersions()); });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"evacuated_zones", "Availability zones that are to be left.", ""},
      [this] {
        const auto &Zones = this->Context.View->EvacuatedZones;
        return Zones == nullptr ? 0.0 : static_cast<double>(Zones->size());
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"requests_active", "Requests of callers that have not ended.", ""},
      [this] {
        return static_cast<double>(this->Context.ActiveRequests.size());
      });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"caller_connections", "Open connections of callers.", ""},
      [this] { return static_cast<double>(this->CallerChannels.size()); });
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"idle_server_connections", "Kept connections to servers.", ""},
      [this] { return static_cast<double>(this->Pool.idleCount()); });
}

void GatewayFront::addBufferGauges() {
  for (const auto &[Use, Name] : BufferUseNames)
    this->MetricsRegistry.callback(
        MetricKind::Gauge,
        {"buffered_bytes", "Memory of the buffers of connections, by use.",
         "use=\"" + std::string(Name) + "\""},
        [this, Use = Use] {
          return static_cast<double>(this->Buffers.held(Use));
        });
  if (this->Buffers.limit() != BufferBudget::Unlimited)
    this->MetricsRegistry.callback(
        MetricKind::Gauge,
        {"buffer_limit_bytes",
         "Limit of the memory of the buffers of all connections.", ""},
        [this] { return static_cast<double>(this->Buffers.limit()); });
}

std::size_t GatewayFront::mostVersions() const {
  std::map<std::string_view, std::set<std::string_view>> Versions;
  std::size_t Most = 0;
  for (const auto &[Id, Server] : this->Servers.servers()) {
    std::set<std::string_view> &OfService = Versions[Server.Service];
    OfService.insert(Server.Version);
    Most = std::max(Most, OfService.size());
  }
  return Most;
}

Result<void> GatewayFront::open() {
  using Session = std::shared_ptr<CallerSession>;
  this->OnCallerRequest = [this](const Session &From, IncomingRequest Request) {
    this->serveCaller(From, std::move(Request));
  };
  auto Opened =
      this->listenOn(this->Settings.CallerAddress, this->OnCallerRequest, true);
  if (Opened && !this->Settings.ReadyAddress.empty())
    Opened = this->listenOn(
        this->Settings.ReadyAddress,
        [this](const Session &From, const IncomingRequest &) {
          this->serveReadiness(From);
        },
        false);
  if (Opened && !this->Settings.OperatorAddress.empty())
    Opened = this->listenOn(
        this->Settings.OperatorAddress,
        [this](const Session &From, const IncomingRequest &Request) {
          this->serveOperator(From, Request);
        },
        false);
  if (Opened)
    Opened = this->Routers.open([this](const RouterMessage &Message,
                                       const Poco::Net::SocketAddress &From) {
      this->onRouterMessage(Message, From);
    });
  if (!Opened)
    return Opened;
  this->startCachedPartsQueries();
  // A request may be reporting the crash itself, so it is not ended within the
  // call.
  const auto EndRefused = [this] {
    this->Loop.after(Duration::zero(), [this] {
      this->endRequests(&GatewayRequest::endIfRefused);
    });
  };
  this->Crashes.start({EndRefused,
                       [this](const ServerProcess &Process) {
                         this->Servers.recordCrash(Process.Server,
                                                   Process.Start,
                                                   this->Loop.clock().now());
                         this->Agent.recordCrash(Process);
                       },
                       [this](std::uint64_t Server, TimePoint Time) {
                         return this->Servers.receivedSince(Server, Time);
                       }});
  this->PartCrashes.start(EndRefused,
                          [this](const std::set<ServerProcess> &Attributed) {
                            this->Crashes.setAttributedToParts(Attributed);
                          });
  this->Signals.start(
      [this] { this->endRequests(&GatewayRequest::endIfUnavailable); });
  this->Agent.start();
  this->Streams.start();
  this->housekeeping();
  return Opened;
}

Result<void> GatewayFront::listenOn(const std::string &Address,
                                    Handler OnRequest, bool FromCallers) {
  try {
    Poco::Net::ServerSocket Listening;
    // Without SO_REUSEPORT, with which a second router at the address would get
    // some of the connections.
    Listening.bind(Poco::Net::SocketAddress(Address), true, false);
    Listening.listen(AcceptBacklog);
    Listening.setBlocking(false);
    if (FromCallers)
      this->CallerListener = Listening;
    else
      this->Listeners.push_back(Listening);
    this->Loop.add(Listening, Poco::Net::PollSet::POLL_READ,
                   [this, Listening, OnRequest = std::move(OnRequest),
                    FromCallers](int) mutable {
                     this->acceptPending(Listening, OnRequest, FromCallers);
                   });
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable, "cannot listen on " + Address +
                                               ": " + Problem.displayText());
  }
  return {};
}

void GatewayFront::acceptPending(Poco::Net::ServerSocket &Listening,
                                 const Handler &OnRequest, bool FromCallers) {
  // Accepts several connections per loop iteration: with one, the backlog would
  // overflow on a busy loop, and the kernel would drop the callers' SYN
  // packets.
  if (FromCallers) {
    this->updateAcceptGate();
    if (!this->CallerListener)
      return;
  }
  for (int Count = 0; Count < MaxAcceptsPerIteration; ++Count) {
    const std::size_t Open = FromCallers ? this->CallerChannels.size()
                                         : this->InternalSessions.size();
    if (Open >= this->Settings.MaxCallerConnections + MaxRefusedConnections) {
      this->pauseAccepting(Listening);
      return;
    }
    auto Accepted = acceptNext(Listening);
    if (!Accepted) {
      log(LogPart::Caller, LogLevel::Warn, Accepted.error().Message);
      this->pauseAccepting(Listening);
      return;
    }
    if (!*Accepted)
      return;
    this->AcceptedConnections += FromCallers ? 1 : 0;
    this->serveConnection(**Accepted, OnRequest, FromCallers);
  }
}

void GatewayFront::updateAcceptGate() {
  const bool MayAccept =
      this->Gate.update(this->Loop.lag()) || this->Context.Draining;
  if (MayAccept && !this->CallerListener)
    this->reopenCallerListener();
  else if (!MayAccept && this->CallerListener)
    this->closeCallerListener();
  if (!this->CallerListener)
    this->Loop.after(AcceptGate::CheckInterval,
                     [this] { this->updateAcceptGate(); });
}

/// Connections that the kernel has accepted already get a response.
void GatewayFront::closeCallerListener() {
  for (int Count = 0; Count < AcceptBacklog; ++Count) {
    auto Accepted = acceptNext(*this->CallerListener);
    if (!Accepted || !*Accepted)
      break;
    this->serveConnection(**Accepted, this->OnCallerRequest, true);
  }
  this->Loop.remove(*this->CallerListener);
  this->CallerListener->close();
  this->CallerListener.reset();
  this->Counters.ListenerClosed.add();
}

void GatewayFront::reopenCallerListener() {
  const auto Opened =
      this->listenOn(this->Settings.CallerAddress, this->OnCallerRequest, true);
  this->ListenFailed = !Opened;
  if (!Opened)
    log(LogPart::Caller, LogLevel::Warn, Opened.error().Message);
}

/// Leaves pending connections in the backlog for a short time instead of
/// closing them unread; connections that are being refused are finished within
/// that time. Without the pause, a listener that cannot accept would keep
/// waking the loop.
void GatewayFront::pauseAccepting(const Poco::Net::ServerSocket &Listening) {
  this->Loop.update(Listening, Poco::Net::PollSet::POLL_ERROR);
  this->Loop.after(AcceptPause, [this, Listening] {
    this->Loop.update(Listening, Poco::Net::PollSet::POLL_READ);
  });
}

void GatewayFront::serveConnection(Poco::Net::StreamSocket &Accepted,
                                   const Handler &OnRequest, bool FromCallers) {
  Sessions &Open = FromCallers ? this->CallerSessions : this->InternalSessions;
  if (Open.size() >= this->Settings.MaxCallerConnections)
    closeIdleSessions(Open);
  auto Channel = ByteChannel::fromAccepted(this->Loop, Accepted);
  if (Channel == nullptr)
    return;
  if (FromCallers) {
    this->CallerChannels.insert(Channel);
    Channel->setReleaseCallback(
        [this, Released = Channel.get()](const ChannelLoss &Loss) {
          this->CallerChannels.erase(Released->shared_from_this());
          this->recordLoss(Loss);
        });
  }
  this->serveSession(std::move(Channel), OnRequest, FromCallers);
}

void GatewayFront::serveSession(std::shared_ptr<ByteChannel> Channel,
                                const Handler &OnRequest, bool FromCallers) {
  Sessions &Open = FromCallers ? this->CallerSessions : this->InternalSessions;
  const auto &Active = this->Context.View->Configuration;
  GatewayLimits Limits = FromCallers ? GatewayLimits{} : internalLimits();
  if (FromCallers && Active != nullptr)
    Limits = Active->Limits;
  auto Session = std::make_shared<CallerSession>(
      this->Loop, std::move(Channel), Limits, OnRequest,
      [&Open](CallerSession *Closed) { Open.erase(Closed); });
  Session->setBudget(this->Buffers);
  Open.emplace(Session.get(), Session);
  Session->start();
}

void GatewayFront::recordLoss(const ChannelLoss &Loss) {
  if (!Loss.any())
    return;
  if (Loss.UnsentBytes > 0)
    this->Counters.ClosedWithUnsent.add();
  if (Loss.HasUnreadInput)
    this->Counters.ClosedWithUnread.add();
  if (Loss.DiscardedBytes > 0)
    this->Counters.ClosedWithDiscarded.add();
  logLazily(LogPart::Caller, [&] {
    return "connection=" + Loss.PeerAddress +
           " ended: unsent=" + std::to_string(Loss.UnsentBytes) +
           " discarded=" + std::to_string(Loss.DiscardedBytes) +
           " unread=" + (Loss.HasUnreadInput ? "yes" : "no") +
           " draining=" + (this->Context.Draining ? "yes" : "no");
  });
}

/// Makes room for new callers: losing an idle connection costs its caller one
/// round trip, a refusal costs a caller its request.
void GatewayFront::closeIdleSessions(const Sessions &Candidates) {
  std::vector<std::shared_ptr<CallerSession>> Idle;
  for (const auto &[Key, Session] : Candidates) {
    if (Session->idleFor(MinIdleBeforeClose))
      Idle.push_back(Session);
    if (Idle.size() >= MaxIdleClosedAtOnce)
      break;
  }
  for (const auto &Each : Idle)
    Each->closeWhenIdle();
}

void GatewayFront::serveCaller(const std::shared_ptr<CallerSession> &Session,
                               IncomingRequest Request) {
  if (this->Context.Draining)
    Session->closeWhenIdle();
  this->Context.CallerLimitExceeded =
      this->CallerSessions.size() > this->Settings.MaxCallerConnections;
  if (this->Context.CallerLimitExceeded) {
    this->Counters.CallersOverLimit.add();
    Session->closeAfterResponse();
  }
  std::make_shared<GatewayRequest>(this->Context, Session, std::move(Request))
      ->start();
}

bool GatewayFront::ready() const {
  const FleetView &View = *this->Context.View;
  return !this->Context.Draining && !this->Overloaded && !this->ListenFailed &&
         View.Configuration != nullptr && View.Servers != nullptr &&
         !View.Servers->empty() &&
         this->Context.proofAge() <
             std::chrono::duration_cast<Duration>(
                 this->Settings.RevocationBound * MaxReadyProofFraction);
}

void GatewayFront::serveReadiness(
    const std::shared_ptr<CallerSession> &Session) const {
  if (this->ready())
    Session->sendResponse(localReplyHead(HttpOk, "OK"), "ready\n");
  else
    Session->sendResponse(
        localReplyHead(HttpServiceUnavailable, "Service Unavailable"),
        "not ready\n");
}

void GatewayFront::serveOperator(const std::shared_ptr<CallerSession> &Session,
                                 const IncomingRequest &Request) {
  if (Request.Head.Target.starts_with(AcceptPartPath)) {
    this->acceptPart(Session, Request.Head);
    return;
  }
  HttpHead Head = localReplyHead(HttpOk, "OK");
  const bool Dump = Request.Head.Target.starts_with("/dump");
  Head.add("Content-Type", Dump ? "application/json" : "text/plain");
  Session->sendResponse(std::move(Head), Dump ? this->dumpState()
                                              : this->MetricsRegistry.render());
}

/// Takes back the refusal of a prompt part, at all routers.
void GatewayFront::acceptPart(const std::shared_ptr<CallerSession> &Session,
                              const HttpHead &Request) {
  const std::string Name =
      Request.Target.substr(std::string_view(AcceptPartPath).size());
  const auto Reply = [&Session](int Status, const char *Reason,
                                const std::string &Text) {
    HttpHead Head = localReplyHead(Status, Reason);
    Head.add("Content-Type", "text/plain");
    Session->sendResponse(std::move(Head), Text + "\n");
  };
  Poco::UInt64 Part = 0;
  if (Request.Method != "POST" ||
      !Poco::NumberParser::tryParseHex64(Name, Part))
    Reply(HttpBadRequest, "Bad Request",
          "expected POST " + std::string(AcceptPartPath) +
              "HASH, with the hash of the part as the log has it, not " +
              Request.Method + " " + Request.Target);
  else if (this->PartCrashes.accept(Part))
    Reply(HttpOk, "OK", "part " + Name + " is accepted again");
  else
    Reply(HttpNotFound, "Not Found", "part " + Name + " is not suspected");
}

std::string GatewayFront::dumpState() const {
  Poco::JSON::Object Root;
  const FleetView &View = *this->Context.View;
  Root.set("router", this->Settings.Name);
  Root.set("ready", this->ready());
  Root.set("draining", this->Context.Draining);
  Root.set("routers", View.RouterCount);
  Root.set("configuration",
           View.Configuration == nullptr ? 0 : View.Configuration->Version);
  Root.set("proofAgeMs", std::chrono::duration_cast<std::chrono::milliseconds>(
                             this->Context.proofAge())
                             .count());
  Poco::JSON::Array::Ptr Zones = new Poco::JSON::Array;
  if (View.EvacuatedZones != nullptr)
    for (const auto &[Zone, Revision] : *View.EvacuatedZones)
      Zones->add(Zone);
  Root.set("evacuatedZones", Zones);
  Poco::JSON::Object::Ptr ServerEntries = new Poco::JSON::Object;
  for (const auto &[Id, Server] : this->Servers.servers()) {
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("service", Server.Service);
    Entry->set("address", Server.Address.toString());
    Entry->set("zone", Server.Zone);
    Entry->set("version", Server.Version);
    Entry->set("draining", Server.Draining);
    Entry->set("leavingByResponse", this->Servers.isLeaving(hashName(Id)));
    Entry->set("paused", this->Servers.pausedUntil(hashName(Id)) >
                             this->Loop.clock().now());
    Entry->set("evacuated", Server.Evacuated);
    Entry->set("warmingUp", this->Servers.isWarmingUp(
                                hashName(Id), this->Loop.clock().now()));
    Entry->set("running", this->Servers.running(hashName(Id)));
    ServerEntries->set(Id, Entry);
  }
  Root.set("servers", ServerEntries);
  Root.set("streamRecords", this->Streams.records().size());
  Root.set("retryBudgets", this->dumpRetryBudgets());
  Root.set("overload", this->dumpOverload());
  Root.set("accounts", this->dumpAccounts());
  Poco::JSON::Array::Ptr Suspects = new Poco::JSON::Array;
  this->Crashes.registry().visit([&Suspects](const RequestIdentity &Request,
                                             std::size_t Count, bool Refused) {
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("content", textOf(Request));
    Entry->set("crashes", Count);
    Entry->set("refused", Refused);
    Suspects->add(Entry);
  });
  Root.set("crashSuspects", Suspects);
  Root.set("crashParts", this->dumpPartCrashes());
  std::ostringstream Text;
  Root.stringify(Text, 1);
  return Text.str();
}

Poco::JSON::Array::Ptr GatewayFront::dumpPartCrashes() const {
  const TimePoint Now = this->Loop.clock().now();
  Poco::JSON::Array::Ptr Parts = new Poco::JSON::Array;
  this->PartCrashes.registry().visit(
      [&](PartId Part, const PartCrashRegistry::Suspect &Suspected,
          bool Refused) {
        Poco::JSON::Array::Ptr Crashes = new Poco::JSON::Array;
        for (const auto &[Process, Each] : Suspected.Crashes) {
          Poco::JSON::Object::Ptr Crash = new Poco::JSON::Object;
          Crash->set("server",
                     Poco::NumberFormatter::formatHex(Process.Server, 16));
          Crash->set("request",
                     Poco::NumberFormatter::formatHex(Each.Request, 16));
          Crash->set("ageSeconds",
                     std::chrono::duration<double>(Now - Each.At).count());
          Crash->set("cleared", Each.Cleared);
          Crash->set("probe", Each.Probed);
          Crashes->add(Crash);
        }
        Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
        Entry->set("part", partText(Part));
        Entry->set("refused", Refused);
        Entry->set("crashes", Crashes);
        Parts->add(Entry);
      });
  return Parts;
}

Poco::JSON::Object::Ptr GatewayFront::dumpOverload() const {
  Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
  Entry->set("loopLagSeconds",
             std::chrono::duration<double>(this->Loop.lag()).count());
  Entry->set("acceptsConnections", this->CallerListener.has_value());
  return Entry;
}

Poco::JSON::Object::Ptr GatewayFront::dumpRetryBudgets() const {
  const TimePoint Now = this->Context.BootClock.now();
  Poco::JSON::Object::Ptr Budgets = new Poco::JSON::Object;
  for (const auto &[Service, Allowance] : this->Context.RetryAllowances) {
    const RetryUsage Usage = Allowance.usage(Now, this->SlackShare);
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("retries", Usage.Retries);
    Entry->set("reserved", Usage.Reserved);
    Entry->set("earnedByRequests", Usage.EarnedByRequests);
    Entry->set("slackDivisor", Usage.SlackDivisor);
    Budgets->set(Service, Entry);
  }
  return Budgets;
}

void GatewayFront::drain() {
  this->Loop.post([this, RequestedAt = this->Loop.clock().now()] {
    this->startDrain(RequestedAt);
  });
}

/// The drain timeout runs from the signal: a loop that is blocked when it
/// arrives has less time for the drain.
void GatewayFront::startDrain(TimePoint RequestedAt) {
  if (this->Context.Draining)
    return;
  log(LogPart::Caller, LogLevel::Info,
      "drain begins with " + std::to_string(this->CallerChannels.size()) +
          " connections of callers");
  this->Context.Draining = true;
  this->Routers.leave();
  this->Streams.leave();
  this->DrainStartedAt = RequestedAt;
  for (const auto &[Key, Session] : this->CallerSessions)
    Session->closeAfterResponse();
  this->Loop.after(IdleCloseDelay, [this] {
    const auto Open = this->CallerSessions;
    for (const auto &[Key, Session] : Open)
      Session->closeWhenIdle();
  });
  this->Loop.after(RefusalDelay,
                   [this] { this->Context.RefusingNewRequests = true; });
  this->checkDrain();
}

void GatewayFront::checkDrain() {
  const Duration Elapsed = this->Loop.clock().now() - this->DrainStartedAt;
  const Duration Remaining =
      this->Settings.DrainTimeout - ShutdownReserve - Elapsed;
  const bool Finished = Elapsed > RefusalDelay && this->CallerChannels.empty();
  if (Remaining < FinalResponseTime)
    this->stopSessions();
  if (Finished || Remaining < Duration::zero()) {
    log(LogPart::Caller, LogLevel::Info,
        "drain ends with " + std::to_string(this->CallerChannels.size()) +
            " connections of callers");
    this->abortUnsentChannels();
    this->Loop.stop();
    return;
  }
  this->Loop.after(DrainCheckInterval, [this] { this->checkDrain(); });
}

/// Active requests get their final responses; the end of the process would
/// close their connections without any.
void GatewayFront::stopSessions() {
  const auto Open = this->CallerSessions;
  for (const auto &[Key, Session] : Open)
    Session->stop();
}

/// At the end of the process the kernel would close these connections normally,
/// and their callers could take a truncated response for a complete one.
void GatewayFront::abortUnsentChannels() {
  const auto Open = this->CallerChannels;
  for (const auto &Channel : Open)
    if (Channel->unsent() > 0)
      Channel->abort();
}

void GatewayFront::recordEviction(std::size_t Bytes) {
  this->Counters.EndedForBuffers.add();
  logLazily(LogPart::Caller, [&] {
    return "connection ended: buffers-full bytes=" + std::to_string(Bytes) +
           " held=" + std::to_string(this->Buffers.held()) +
           " limit=" + std::to_string(this->Buffers.limit());
  });
}

std::vector<BufferHolder> GatewayFront::bufferHolders() {
  std::vector<BufferHolder> Holders;
  for (GatewayRequest *Each : this->Context.ActiveRequests) {
    const std::size_t Bytes = Each->buffered();
    Holders.push_back({Each->unread(), Bytes,
                       [this, Bytes, Request = Each->weak_from_this()] {
                         const auto Alive = Request.lock();
                         if (Alive == nullptr)
                           return;
                         this->recordEviction(Bytes);
                         Alive->endForBuffers();
                       }});
  }
  // Connections whose last response was complete, but is not read.
  for (const auto &[Key, Session] : this->CallerSessions)
    if (!Session->isServing())
      Holders.push_back({Session->unsent(), Session->buffered(),
                         [this, Bytes = Session->buffered(), Idle = Session] {
                           this->recordEviction(Bytes);
                           Idle->abortResponse();
                         }});
  for (const auto &Each : this->CallerChannels)
    if (Each->finishing())
      Holders.push_back({Each->unsent(), Each->unsent(),
                         [this, Bytes = Each->unsent(), Channel = Each] {
                           this->recordEviction(Bytes);
                           Channel->abort();
                         }});
  return Holders;
}

GatewayFront::LoadCounts GatewayFront::loadCounts() const {
  return {std::clock(),
          this->AcceptedConnections,
          this->Counters.Requests.value(),
          this->Counters.Refused.value(),
          this->Counters.Served.value(),
          this->Counters.StreamEvents.value(),
          this->Counters.ListenerClosed.value()};
}

/// Written as warnings, which are not rate limited: at most two lines a second,
/// of a router that refuses requests.
void GatewayFront::logLoad() {
  const LoadCounts Before = std::exchange(this->LastLoad, this->loadCounts());
  const LoadCounts &Now = this->LastLoad;
  const Duration Longest = this->Loop.takeLongestIteration();
  const std::string Refused =
      textOfRefused(this->Context.Accounts.takeRecent(), MaxLoggedAccounts);
  this->Agent.logRefusedAccounts();
  if (Refused.empty())
    return;
  constexpr double ClocksPerMs = CLOCKS_PER_SEC / 1000.0;
  log(LogPart::Caller, LogLevel::Warn,
      "load: lag=" + secondsText(this->Loop.lag()) + " processor-ms=" +
          std::to_string(static_cast<int>(
              static_cast<double>(Now.ProcessTime - Before.ProcessTime) /
              ClocksPerMs)) +
          " longest-iteration=" + secondsText(Longest) +
          " connections=" + std::to_string(Now.Accepted - Before.Accepted) +
          " requests=" + std::to_string(Now.Requests - Before.Requests) +
          " refused=" + std::to_string(Now.Refused - Before.Refused) +
          " served=" + std::to_string(Now.Served - Before.Served) + " events=" +
          std::to_string(Now.Events - Before.Events) + " listener-closed=" +
          std::to_string(Now.ListenerClosed - Before.ListenerClosed) + " " +
          Refused);
}

Poco::JSON::Object::Ptr GatewayFront::dumpAccounts() const {
  Poco::JSON::Object::Ptr Accounts = new Poco::JSON::Object;
  for (const auto &[Account, Count] : this->Context.Accounts.totals()) {
    Poco::JSON::Object::Ptr Entry = new Poco::JSON::Object;
    Entry->set("asked", Count.Asked);
    Entry->set("begun", Count.Begun);
    Entry->set("askedTokens", Count.AskedTokens);
    Entry->set("begunTokens", Count.BegunTokens);
    for (const auto &[Reason, Refusals] : Count.Refused)
      Entry->set("refused:" + std::string(Reason), Refusals);
    Accounts->set(Account, Entry);
  }
  return Accounts;
}

void GatewayFront::housekeeping() {
  this->Pool.closeExpired();
  this->Buffers.relieve();
  // A router that is short of CPU time reports not ready for at least a second,
  // so that the load balancer sends new callers to other routers. It becomes
  // ready again only below a lower lag, so that a flood does not return as soon
  // as the load drops.
  const Duration Lag = this->Loop.lag();
  this->Overloaded = Lag > (this->Overloaded ? ReadyLag : NotReadyLag);
  if (this->ready() != this->WasReady) {
    this->WasReady = !this->WasReady;
    log(LogPart::Program, LogLevel::Info,
        this->WasReady ? "ready=yes" : "ready=no");
  }
  this->logLoad();
  this->Loop.after(HousekeepingInterval, [this] { this->housekeeping(); });
}

} // namespace parsleywing
