#include "Gateway/GatewayFront.h"

#include "Gateway/GatewayRequest.h"
#include "Http/HttpStatus.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <cerrno>
#include <cstring>
#include <random>
#include <sstream>
#include <sys/socket.h>

namespace parsleywing {

namespace {

/// Connections that the system keeps until they are accepted: a burst of new
/// callers within the loop's lag.
constexpr int AcceptBacklog = 512;
/// With timers this late a router says that it is not ready, and with less than
/// the other that it is again.
constexpr Duration BusyLag = std::chrono::milliseconds(50);
constexpr Duration CalmLag = std::chrono::milliseconds(10);

constexpr int MaxAcceptedPerTurn = 32;
constexpr std::size_t IdleClosedAtOnce = 64;
/// Idle for so long, a connection is not likely to carry a request just now.
constexpr Duration IdleBeforeClose = std::chrono::milliseconds(500);
/// Callers beyond the most that are served which are refused at once.
constexpr std::size_t RefusedAtOnce = 256;
constexpr Duration AcceptPause = std::chrono::milliseconds(10);

/// The balancer notices within two seconds that a router is not ready. Idle
/// connections are kept so long and a little longer, since callers go on using
/// those that they have.
constexpr Duration IdleDrain = std::chrono::milliseconds(2400);

/// From here on new requests are refused. What was sent to this router earlier
/// is still answered.
constexpr Duration AcceptingDrain = std::chrono::milliseconds(2700);

/// The rest of the drain limit that is left for the end of the process.
constexpr Duration DrainReserve = std::chrono::milliseconds(500);
/// The part of the drain before that in which requests in hand get their final
/// answers.
constexpr Duration FinalAnswers = std::chrono::milliseconds(150);
constexpr Duration DrainCheck = std::chrono::milliseconds(50);
constexpr Duration HousekeepingInterval = std::chrono::seconds(1);

/// A router whose proof of the configuration is older than this part of the
/// bound on revocation is not ready: soon it may serve nobody with a key,
/// while others can.
constexpr double ReadyProofPart = 0.6;

/// Tells this process from earlier ones of its router's name.
std::uint64_t processNumber() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32U) | Device();
}

/// The next connection that waits; null where there is none. Fails where the
/// system has none to give, as without a descriptor. The library's own call
/// would throw for both, and asking it beforehand costs four calls of the
/// system.
Result<std::optional<Poco::Net::StreamSocket>>
acceptNow(const Poco::Net::ServerSocket &Listening) {
  const int Accepted = ::accept4(Listening.impl()->sockfd(), nullptr, nullptr,
                                 SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (Accepted >= 0)
    return Poco::Net::StreamSocket(new Poco::Net::StreamSocketImpl(Accepted));
  // Its caller may have left meanwhile; then the next turn finds the others.
  const bool Usual = errno == EAGAIN || errno == EWOULDBLOCK ||
                     errno == EINTR || errno == ECONNABORTED;
  if (Usual)
    return std::nullopt;
  return failure(ErrorCode::Unreachable,
                 "accept failed: " + std::string(std::strerror(errno)));
}

/// Limits for requests of the balancer and operators.
GatewayLimits operatorLimits() {
  GatewayLimits Limits;
  Limits.MaxBodyBytes = 4096;
  return Limits;
}

} // namespace

GatewayFront::GatewayFront(GatewaySettings S, const WireFormat &F, Metrics &M)
    : Settings(std::move(S)), MetricsRegistry(M), Loop(Clock::steady()),
      Counters(M), Pool(Loop), Routers(Loop,
                                       {Settings.Name, Settings.PeerAddress,
                                        Settings.Cores, Settings.Zone},
                                       M),
      Fleet(Loop, Routers, processNumber(),
            RelayTimes::of(Settings.fleetBounds())),
      Agent(Loop, Routers, processNumber(), Settings.WarmUps, M),
      PartsReader(Loop, F, Pool, M),
      Crashes(Loop, Routers, processNumber(), M), Context{Loop,     F,
                                                          Settings, Servers,
                                                          Pool,     Agent,
                                                          Counters, Crashes} {
  this->Servers.setWarmUpBounds(this->Settings.WarmUps);
  this->addGauges();
}

GatewayFront::~GatewayFront() {
  // Sessions tell their end to the maps; emptied first, they find nothing.
  const auto Gone = std::exchange(this->CallerSessions, {});
  const auto GoneOthers = std::exchange(this->AdminSessions, {});
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
      {"configuration_version", "Version in force; 0 where none is known.", ""},
      [this] {
        const auto &Known = this->Context.View->Configuration;
        return Known == nullptr ? 0.0 : static_cast<double>(Known->Version);
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
      {"evacuated_zones", "Availability zones that are to be left.", ""},
      [this] {
        const auto &Zones = this->Context.View->EvacuatedZones;
        return Zones == nullptr ? 0.0 : static_cast<double>(Zones->size());
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

Result<void> GatewayFront::open() {
  using Session = std::shared_ptr<CallerSession>;
  auto Opened = this->listenOn(
      this->Settings.CallerAddress,
      [this](const Session &From, IncomingRequest Request) {
        this->serveCaller(From, std::move(Request));
      },
      true);
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
  this->Crashes.start([this] { this->endRefusedRequests(); });
  this->Agent.start();
  this->housekeeping();
  return Opened;
}

Result<void> GatewayFront::listenOn(const std::string &Address, Handler Handle,
                                    bool FromCallers) {
  try {
    Poco::Net::ServerSocket Listening;
    Listening.bind(Poco::Net::SocketAddress(Address), true);
    Listening.listen(AcceptBacklog);
    Listening.setBlocking(false);
    this->Listeners.push_back(Listening);
    this->Loop.add(Listening, Poco::Net::PollSet::POLL_READ,
                   [this, Listening, Handle = std::move(Handle),
                    FromCallers](int) mutable {
                     this->acceptPending(Listening, Handle, FromCallers);
                   });
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Unreachable, "cannot listen on " + Address +
                                               ": " + Problem.displayText());
  }
  return {};
}

void GatewayFront::acceptPending(Poco::Net::ServerSocket &Listening,
                                 const Handler &Handle, bool FromCallers) {
  // Several at a time: with one a round, a queue of new callers would outgrow
  // the rounds of a busy loop, and the system would drop their first packets.
  for (int Count = 0; Count < MaxAcceptedPerTurn; ++Count) {
    const std::size_t Open =
        FromCallers ? this->CallerChannels.size() : this->AdminSessions.size();
    if (Open >= this->Settings.MaxCallerConnections + RefusedAtOnce) {
      this->pauseAccepting(Listening);
      return;
    }
    auto Accepted = acceptNow(Listening);
    if (!Accepted) {
      log(LogPart::Caller, LogLevel::Warn, Accepted.error().Message);
      this->pauseAccepting(Listening);
      return;
    }
    if (!*Accepted)
      return;
    this->serveConnection(**Accepted, Handle, FromCallers);
  }
}

/// Those that wait are not accepted for a moment, in place of being closed
/// unread; what is being refused makes room within that time. Without the pause
/// a listener that cannot accept would wake the loop again at once.
void GatewayFront::pauseAccepting(const Poco::Net::ServerSocket &Listening) {
  this->Loop.update(Listening, Poco::Net::PollSet::POLL_ERROR);
  this->Loop.after(AcceptPause, [this, Listening] {
    this->Loop.update(Listening, Poco::Net::PollSet::POLL_READ);
  });
}

void GatewayFront::serveConnection(Poco::Net::StreamSocket &Accepted,
                                   const Handler &Handle, bool FromCallers) {
  Sessions &Open = FromCallers ? this->CallerSessions : this->AdminSessions;
  if (Open.size() >= this->Settings.MaxCallerConnections)
    closeIdleSessions(Open);
  auto Channel = ByteChannel::fromAccepted(this->Loop, Accepted);
  if (Channel == nullptr)
    return;
  if (FromCallers) {
    this->CallerChannels.insert(Channel);
    Channel->setReleaseCallback(
        [this, Of = Channel.get()](const ChannelLoss &Loss) {
          this->CallerChannels.erase(Of->shared_from_this());
          this->recordLoss(Loss);
        });
  }
  const auto &Known = this->Context.View->Configuration;
  GatewayLimits Limits = FromCallers ? GatewayLimits{} : operatorLimits();
  if (FromCallers && Known != nullptr)
    Limits = Known->Limits;
  auto Session = std::make_shared<CallerSession>(
      this->Loop, std::move(Channel), Limits, Handle,
      [&Open](CallerSession *Gone) { Open.erase(Gone); });
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

/// Makes room for new callers: an idle connection costs its caller one round
/// trip, a refused one its request.
void GatewayFront::closeIdleSessions(const Sessions &Among) {
  std::vector<std::shared_ptr<CallerSession>> Idle;
  for (const auto &[Key, Session] : Among) {
    if (Session->idleFor(IdleBeforeClose))
      Idle.push_back(Session);
    if (Idle.size() >= IdleClosedAtOnce)
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
  return !this->Context.Draining && !this->Overloaded &&
         View.Configuration != nullptr && View.Servers != nullptr &&
         !View.Servers->empty() &&
         this->Context.proofAge() <
             std::chrono::duration_cast<Duration>(
                 this->Settings.RevocationBound * ReadyProofPart);
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
  HttpHead Head = localReplyHead(HttpOk, "OK");
  const bool Dump = Request.Head.Target.starts_with("/dump");
  Head.add("Content-Type", Dump ? "application/json" : "text/plain");
  Session->sendResponse(std::move(Head), Dump ? this->dumpState()
                                              : this->MetricsRegistry.render());
}

std::string GatewayFront::dumpState() const {
  Poco::JSON::Object Whole;
  const FleetView &View = *this->Context.View;
  Whole.set("router", this->Settings.Name);
  Whole.set("ready", this->ready());
  Whole.set("draining", this->Context.Draining);
  Whole.set("routers", View.RouterCount);
  Whole.set("configuration",
            View.Configuration == nullptr ? 0 : View.Configuration->Version);
  Whole.set("proofAgeMs", std::chrono::duration_cast<std::chrono::milliseconds>(
                              this->Context.proofAge())
                              .count());
  Poco::JSON::Array::Ptr Zones = new Poco::JSON::Array;
  if (View.EvacuatedZones != nullptr)
    for (const auto &[Zone, At] : *View.EvacuatedZones)
      Zones->add(Zone);
  Whole.set("evacuatedZones", Zones);
  Poco::JSON::Object::Ptr Listed = new Poco::JSON::Object;
  for (const auto &[Id, Server] : this->Servers.servers()) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("service", Server.Service);
    One->set("address", Server.Address.toString());
    One->set("zone", Server.Zone);
    One->set("draining", Server.Draining);
    One->set("evacuated", Server.Evacuated);
    One->set("warmingUp",
             this->Servers.isWarmingUp(hashName(Id), this->Loop.clock().now()));
    One->set("running", this->Servers.running(hashName(Id)));
    Listed->set(Id, One);
  }
  Whole.set("servers", Listed);
  Poco::JSON::Array::Ptr Suspects = new Poco::JSON::Array;
  this->Crashes.registry().visit([&Suspects](const RequestIdentity &Request,
                                             std::size_t Count, bool Refused) {
    Poco::JSON::Object::Ptr One = new Poco::JSON::Object;
    One->set("content", textOf(Request));
    One->set("crashes", Count);
    One->set("refused", Refused);
    Suspects->add(One);
  });
  Whole.set("crashSuspects", Suspects);
  std::ostringstream Text;
  Whole.stringify(Text, 1);
  return Text.str();
}

void GatewayFront::drain() {
  this->Loop.post(
      [this, Asked = this->Loop.clock().now()] { this->startDrain(Asked); });
}

/// The limit runs from the signal: a loop that stands still as it comes has
/// that much less time.
void GatewayFront::startDrain(TimePoint Asked) {
  if (this->Context.Draining)
    return;
  log(LogPart::Caller, LogLevel::Info,
      "drain begins with " + std::to_string(this->CallerChannels.size()) +
          " connections of callers");
  this->Context.Draining = true;
  this->Routers.leave();
  this->DrainStartedAt = Asked;
  for (const auto &[Key, Session] : this->CallerSessions)
    Session->closeAfterResponse();
  this->Loop.after(IdleDrain, [this] {
    const auto Open = this->CallerSessions;
    for (const auto &[Key, Session] : Open)
      Session->closeWhenIdle();
  });
  this->Loop.after(AcceptingDrain,
                   [this] { this->Context.RefusingNewRequests = true; });
  this->checkDrain();
}

void GatewayFront::checkDrain() {
  const Duration Gone = this->Loop.clock().now() - this->DrainStartedAt;
  const Duration Left = this->Settings.DrainTimeout - DrainReserve - Gone;
  const bool Idle = Gone > AcceptingDrain && this->CallerChannels.empty();
  if (Left < FinalAnswers)
    this->stopSessions();
  if (Idle || Left < Duration::zero()) {
    log(LogPart::Caller, LogLevel::Info,
        "drain ends with " + std::to_string(this->CallerChannels.size()) +
            " connections of callers");
    this->abortUnsentChannels();
    this->Loop.stop();
    return;
  }
  this->Loop.after(DrainCheck, [this] { this->checkDrain(); });
}

/// The end of the process would cut what is in hand without a word.
void GatewayFront::stopSessions() {
  const auto Open = this->CallerSessions;
  for (const auto &[Key, Session] : Open)
    Session->stop();
}

/// The system would end these in order, and what has come of them could be
/// taken for the whole.
void GatewayFront::abortUnsentChannels() {
  const auto Open = this->CallerChannels;
  for (const auto &Channel : Open)
    if (Channel->unsent() > 0)
      Channel->abort();
}

void GatewayFront::housekeeping() {
  this->Pool.closeExpired();
  // Short of processor time for a whole second; the balancer's next callers go
  // elsewhere. Ready again only once there is time to spare, so that the flood
  // does not come back with the first quiet moment.
  const Duration Lag = this->Loop.lag();
  this->Overloaded = Lag > (this->Overloaded ? CalmLag : BusyLag);
  if (this->ready() != this->WasReady) {
    this->WasReady = !this->WasReady;
    log(LogPart::Program, LogLevel::Info,
        this->WasReady ? "ready=yes" : "ready=no");
  }
  this->Loop.after(HousekeepingInterval, [this] { this->housekeeping(); });
}

} // namespace parsleywing
