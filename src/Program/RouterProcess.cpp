#include "Program/RouterProcess.h"

#include "Backend/EngineClient.h"
#include "Operator/DeclarationsReader.h"
#include "Program/CallerMetrics.h"
#include "Program/ProcessUsage.h"
#include "Program/SettingsTable.h"
#include "Program/Version.h"

#include <unistd.h>

namespace parsleywing {

namespace {

constexpr Duration StopPollInterval = std::chrono::milliseconds(50);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
/// The longest wait for the control thread's answer to a dump.
constexpr Duration ControlAnswerLimit = std::chrono::seconds(2);
/// Time after the limit of a drain to answer the requests that it cut off.
constexpr Duration CutOffGrace = std::chrono::seconds(2);
/// The time between the accept of a connection and its request's channel.
constexpr Duration AcceptGrace = std::chrono::milliseconds(100);

std::uint64_t millisecondsOfWallClock() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

/// The settings in force by section and key. Secrets are only said to be set.
Poco::JSON::Object::Ptr dumpSettings(const Settings &InForce) {
  Poco::JSON::Object::Ptr All = new Poco::JSON::Object;
  for (const Setting &Each : settingsTable()) {
    if (!All->has(Each.Section))
      All->set(Each.Section, Poco::JSON::Object::Ptr(new Poco::JSON::Object));
    std::string Value = Each.Get(InForce);
    if (Each.Section == PeersSection)
      Value = Value.empty() ? "none" : "set";
    All->getObject(Each.Section)->set(Each.Key, Value);
  }
  for (const auto &[Name, Address] : InForce.Peers.KnownRouters)
    All->getObject(PeersSection)->set(Name, Address);
  return All;
}

Poco::JSON::Object::Ptr dumpConfiguration(const Declarations &InForce) {
  Poco::JSON::Object::Ptr Part = new Poco::JSON::Object;
  Part->set("generation", static_cast<Poco::UInt64>(InForce.Generation));
  Part->set("accounts", static_cast<Poco::UInt64>(InForce.Accounts.size()));
  Part->set("services", static_cast<Poco::UInt64>(InForce.Services.size()));
  Part->set("servers", static_cast<Poco::UInt64>(InForce.Servers.size()));
  return Part;
}

} // namespace

RouterProcess::RouterProcess(Settings S)
    : RouterSettings(std::move(S)),
      IncarnationNumber(millisecondsOfWallClock()),
      StartedAt(Clock::steady().now()),
      Control(Clock::steady(),
              coreSettings(this->RouterSettings, this->IncarnationNumber)),
      Callers(this->RouterSettings.Callers, this->Control,
              std::to_string(this->IncarnationNumber)),
      Links(this->RouterSettings, this->IncarnationNumber, this->Control,
            [this](DeclarationsPtr Declared) {
              this->activateDeclarations(std::move(Declared));
            }) {}

RouterProcess::~RouterProcess() {
  // The control thread calls the links, which go first.
  this->Control.stop();
}

Result<std::size_t> RouterProcess::run() {
  const auto Running = this->start();
  if (!Running)
    return tl::unexpected<Error>(Running.error());
  log(LogPart::Program, LogLevel::Info,
      "Router " + this->RouterSettings.Name + " serves.");
  this->waitForStop();
  return this->drain();
}

Result<void> RouterProcess::start() {
  this->addMetrics();
  this->addStateSources();
  auto Done = this->startDeclarations();
  if (!Done)
    return Done;
  this->Control.setSink([this](const Action &A) { this->Links.execute(A); });
  Done = this->Links.start();
  if (!Done)
    return failure(ErrorCode::Unreachable, Done.error().Message);
  this->Control.start();
  Done = this->startOperatorServer();
  if (!Done)
    return Done;
  Done = this->Callers.start();
  if (!Done)
    return failure(ErrorCode::Unreachable, Done.error().Message);
  return {};
}

Result<void> RouterProcess::startDeclarations() {
  if (this->RouterSettings.DeclarationsFile.empty())
    return {};
  auto Declared = loadDeclarations(this->RouterSettings.DeclarationsFile);
  if (!Declared)
    return tl::unexpected<Error>(Declared.error());
  this->activateDeclarations(
      std::make_shared<const Declarations>(std::move(*Declared)));
  return {};
}

void RouterProcess::activateDeclarations(DeclarationsPtr Declared) {
  this->Callers.context().setDeclarations(Declared);
  this->Links.setDeclarations(Declared);
  this->Control.post(DeclarationsChanged{std::move(Declared)});
}

Result<void> RouterProcess::startOperatorServer() {
  if (this->RouterSettings.OperatorAddress.empty())
    return {};
  const OperatorHooks Hooks{
      this->State,
      this->MetricsRegistry,
      [this] { this->DrainOrdered = true; },
      [this] {
        return RouterHealth{this->Draining || this->DrainOrdered,
                            this->Control.openRequests()};
      },
      [this] {
        return RouterGeneration{
            this->RouterSettings.Name, this->IncarnationNumber,
            this->Callers.context().declarations().InForce->Generation};
      },
      [this](const PeerFaultOrder &Order) {
        return this->Links.setFaults(Order);
      }};
  this->Operators.emplace(this->RouterSettings.OperatorAddress, Hooks);
  return this->Operators->start();
}

void RouterProcess::addMetrics() {
  const auto AddGauge = [this](const char *Name, const char *Help,
                               std::function<double()> Read) {
    this->MetricsRegistry.callback(MetricKind::Gauge, {Name, Help, ""},
                                   std::move(Read));
  };
  this->MetricsRegistry.callback(
      MetricKind::Gauge,
      {"build_info", "Always 1; the labels name the build.",
       std::string("version=\"") + Version + "\",router=\"" +
           this->RouterSettings.Name + "\",availability_zone=\"" +
           this->RouterSettings.Zone + "\""},
      [] { return 1.0; });
  this->MetricsRegistry.callback(MetricKind::Counter,
                                 {"process_cpu_seconds_total",
                                  "Processor time that the process has used.",
                                  ""},
                                 cpuSeconds);
  AddGauge("process_resident_bytes", "Memory of the process in RAM.",
           residentBytes);
  AddGauge("requests_open", "Requests without a final answer.", [this] {
    return static_cast<double>(this->Control.openRequests());
  });
  AddGauge("configuration_generation", "Generation of the declarations.",
           [this] {
             return static_cast<double>(
                 this->Callers.context().declarations().InForce->Generation);
           });
  AddGauge("draining", "1 while the router drains.",
           [this] { return this->Draining || this->DrainOrdered ? 1.0 : 0.0; });
  addCallerMetrics(this->MetricsRegistry, this->Callers);
  this->addTrafficMetrics();
  this->addControlMetrics();
}

void RouterProcess::addCounter(MetricName Name, std::function<double()> Read) {
  this->MetricsRegistry.callback(MetricKind::Counter, std::move(Name),
                                 std::move(Read));
}

void RouterProcess::addTrafficMetrics() {
  const CallerCounters &Caller = this->Callers.counters();
  for (const auto &[Outcome, Name] : RequestOutcomeNames)
    this->addCounter({"requests_total", "Final answers to callers.",
                      "outcome=\"" + std::string(Name) + "\""},
                     [&Caller, Index = static_cast<std::size_t>(Outcome)] {
                       return static_cast<double>(
                           Caller.RequestsByOutcome[Index]);
                     });
  const BackendCounters &Backend = processCounters();
  const auto AddBackend = [&](const char *Name, const char *Help,
                              const BackendCounters::Count &Value) {
    this->addCounter({Name, Help, ""},
                     [&Value] { return static_cast<double>(Value); });
  };
  AddBackend("backend_attempts_total", "Attempts at backend servers.",
             Backend.Attempts);
  AddBackend("backend_interrupted_total",
             "Attempts that broke after the request may have left.",
             Backend.Interrupted);
  AddBackend("backend_resumes_total", "Broken streams taken up again.",
             Backend.Resumes);
  AddBackend("backend_silences_total", "Attempts ended by lack of progress.",
             Backend.Silences);
  AddBackend("backend_foreign_events_total",
             "Events of another response, dropped.", Backend.ForeignEvents);
  AddBackend("load_report_bytes_total", "Bytes of load reports and probes.",
             Backend.PollBytes);
}

void RouterProcess::addControlMetrics() {
  const auto Peer = [this](PeerCounters::Number PeerCounters::*Field) {
    return [this, Field] {
      const PeerTransport *Peers = this->Links.peerTransport();
      return Peers ? static_cast<double>(Peers->counters().*Field) : 0.0;
    };
  };
  this->addCounter({"peer_sent_bytes_total",
                    "Bytes of datagrams to other routers, headers included.",
                    ""},
                   Peer(&PeerCounters::DatagramBytesOut));
  this->addCounter({"peer_received_bytes_total",
                    "Bytes of datagrams of other routers, headers included.",
                    ""},
                   Peer(&PeerCounters::DatagramBytesIn));
  this->addCounter({"peer_bulk_sent_bytes_total",
                    "Bytes sent to other routers over TCP.", ""},
                   Peer(&PeerCounters::BulkBytesOut));
  for (const auto &[Kind, Name] : StoreCallNames)
    this->addCounter({"store_calls_total", "Calls on the platform's store.",
                      "kind=\"" + std::string(Name) + "\""},
                     [this, Wanted = Kind] {
                       return static_cast<double>(
                           this->Links.storeCallCount(Wanted));
                     });
}

void RouterProcess::addStateSources() {
  this->State.add("process", [this] {
    Poco::JSON::Object::Ptr Part = new Poco::JSON::Object;
    Part->set("version", Version);
    Part->set("name", this->RouterSettings.Name);
    Part->set("availability_zone", this->RouterSettings.Zone);
    Part->set("incarnation",
              static_cast<Poco::UInt64>(this->IncarnationNumber));
    Part->set("process_id", ::getpid());
    Part->set("uptime_seconds",
              std::chrono::duration_cast<std::chrono::seconds>(
                  Clock::steady().now() - this->StartedAt)
                  .count());
    Part->set("draining", this->Draining || this->DrainOrdered);
    return Part;
  });
  this->State.add("settings",
                  [this] { return dumpSettings(this->RouterSettings); });
  this->State.add("configuration", [this] {
    return dumpConfiguration(*this->Callers.context().declarations().InForce);
  });
  this->State.add("requests", this->controlThreadSource([this] {
    Poco::JSON::Object::Ptr Part = this->Control.core().requests().dump();
    Part->set("open",
              static_cast<Poco::UInt64>(this->Control.core().openRequests()));
    Part->set("answers_in_writing",
              static_cast<Poco::UInt64>(this->Control.openChannels()));
    return Part;
  }));
  this->State.add("fairness", this->controlThreadSource([this] {
    return this->Control.core().scheduler().dump();
  }));
  this->State.add("membership", this->controlThreadSource([this] {
    return this->Control.core().membership().dump();
  }));
  this->State.add("servers", this->controlThreadSource([this] {
    return this->Control.core().servers().dump();
  }));
  this->State.add("configuration_keeper", this->controlThreadSource([this] {
    return this->Control.core().configuration().dump();
  }));
  this->State.add("links", [this] { return this->Links.dump(); });
}

StateSource RouterProcess::controlThreadSource(
    std::function<Poco::JSON::Object::Ptr()> Read) {
  return [this, Read = std::move(Read)]() -> Poco::JSON::Object::Ptr {
    Poco::JSON::Object::Ptr Part;
    this->Control.ask([&Part, &Read] { Part = Read(); }, ControlAnswerLimit);
    return Part;
  };
}

void RouterProcess::waitForStop() {
  while (!this->DrainOrdered && !this->Links.superseded()) {
    const auto Signal = this->Signals.wait(StopPollInterval);
    if (Signal && *Signal != SIGHUP)
      return;
  }
}

bool RouterProcess::isIdle() const {
  return this->Control.openRequests() == 0 &&
         this->Control.openChannels() == 0 &&
         this->Callers.unsentAnswers() == 0;
}

std::size_t RouterProcess::drain() {
  const Clock Time = Clock::steady();
  const TimePoint Limit = Time.now() +
                          this->RouterSettings.Core.Requests.Drain.HardLimit +
                          CutOffGrace;
  this->Draining = true;
  this->Callers.announceDrain();
  log(LogPart::Program, LogLevel::Info, "Draining.");
  this->Control.post(DrainRequested{});
  // Only after this has run is it sure that no later request is taken in.
  this->Control.ask([] {}, ControlAnswerLimit);
  bool Stopped = false;
  TimePoint IdleFrom = Limit;
  while (Time.now() < Limit && this->Signals.stopCount() < 2) {
    if (!this->isIdle()) {
      Stopped = false;
    } else if (!Stopped) {
      this->Callers.stopAccepting();
      Stopped = true;
      IdleFrom = Time.now();
    } else if (Time.now() - IdleFrom >= AcceptGrace) {
      break;
    }
    this->Signals.wait(DrainPollInterval);
  }
  const std::size_t Unanswered =
      std::max(this->Control.openRequests(), this->Control.openChannels()) +
      this->Links.unfinishedRequests();
  log(LogPart::Program, LogLevel::Info,
      "Ended with " + std::to_string(Unanswered) + " requests unanswered.");
  return Unanswered;
}

} // namespace parsleywing
