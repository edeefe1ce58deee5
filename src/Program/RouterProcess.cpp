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
/// Maximum time to wait for the control thread, for instance for a dump.
constexpr Duration ControlCallTimeout = std::chrono::seconds(2);
/// Time after the drain limit to send responses for the aborted requests.
constexpr Duration AbortGrace = std::chrono::seconds(2);
/// Time allowed between accepting a connection and opening the channel of its
/// request.
constexpr Duration AcceptGrace = std::chrono::milliseconds(100);

std::uint64_t wallClockMilliseconds() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

/// Returns the settings by section and key. For secrets only whether they are
/// set is shown.
Poco::JSON::Object::Ptr dumpSettings(const Settings &Active) {
  Poco::JSON::Object::Ptr Sections = new Poco::JSON::Object;
  for (const Setting &Each : settingsTable()) {
    if (!Sections->has(Each.Section))
      Sections->set(Each.Section,
                    Poco::JSON::Object::Ptr(new Poco::JSON::Object));
    std::string Value = Each.Get(Active);
    if (Each.Section == PeersSection)
      Value = Value.empty() ? "none" : "set";
    Sections->getObject(Each.Section)->set(Each.Key, Value);
  }
  for (const auto &[Name, Address] : Active.Peers.KnownRouters)
    Sections->getObject(PeersSection)->set(Name, Address);
  return Sections;
}

Poco::JSON::Object::Ptr dumpConfiguration(const Declarations &Active) {
  Poco::JSON::Object::Ptr Part = new Poco::JSON::Object;
  Part->set("generation", static_cast<Poco::UInt64>(Active.Generation));
  Part->set("accounts", static_cast<Poco::UInt64>(Active.Accounts.size()));
  Part->set("services", static_cast<Poco::UInt64>(Active.Services.size()));
  Part->set("servers", static_cast<Poco::UInt64>(Active.Servers.size()));
  return Part;
}

} // namespace

RouterProcess::RouterProcess(Settings S)
    : RouterSettings(std::move(S)), IncarnationNumber(wallClockMilliseconds()),
      StartedAt(Clock::steady().now()),
      Control(Clock::steady(),
              coreSettings(this->RouterSettings, this->IncarnationNumber)),
      Callers(this->RouterSettings.Callers, this->Control,
              std::to_string(this->IncarnationNumber)),
      Links(this->RouterSettings, this->IncarnationNumber, this->Control,
            [this](DeclarationsPtr Active) {
              this->activateDeclarations(std::move(Active));
            }) {}

RouterProcess::~RouterProcess() {
  // The control thread uses the links, which are destroyed before it.
  this->Control.stop();
}

Result<std::size_t> RouterProcess::run() {
  const auto Started = this->start();
  if (!Started)
    return tl::unexpected<Error>(Started.error());
  log(LogPart::Program, LogLevel::Info,
      "Router " + this->RouterSettings.Name + " is serving.");
  this->waitForStop();
  return this->drain();
}

Result<void> RouterProcess::start() {
  this->addMetrics();
  this->addStateSources();
  auto Started = this->startDeclarations();
  if (!Started)
    return Started;
  this->Control.setSink([this](const Action &A) { this->Links.execute(A); });
  Started = this->Links.start();
  if (!Started)
    return failure(ErrorCode::Unreachable, Started.error().Message);
  this->Control.start();
  Started = this->startOperatorServer();
  if (!Started)
    return Started;
  Started = this->Callers.start();
  if (!Started)
    return failure(ErrorCode::Unreachable, Started.error().Message);
  return {};
}

Result<void> RouterProcess::startDeclarations() {
  if (this->RouterSettings.DeclarationsFile.empty())
    return {};
  auto Loaded = loadDeclarations(this->RouterSettings.DeclarationsFile);
  if (!Loaded)
    return tl::unexpected<Error>(Loaded.error());
  this->activateDeclarations(
      std::make_shared<const Declarations>(std::move(*Loaded)));
  return {};
}

void RouterProcess::activateDeclarations(DeclarationsPtr Active) {
  this->Callers.context().setDeclarations(Active);
  this->Links.setDeclarations(Active);
  this->Control.post(DeclarationsChanged{std::move(Active)});
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
            this->Callers.context().declarations().Active->Generation};
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
                 this->Callers.context().declarations().Active->Generation);
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
  AddBackend("backend_version_changes_total",
             "Broken streams that could not go on, since the engine runs other "
             "software now.",
             Backend.VersionChanges);
  AddBackend("backend_silences_total", "Attempts ended by lack of progress.",
             Backend.ProgressTimeouts);
  AddBackend("backend_foreign_events_total",
             "Events of another response, dropped.", Backend.ForeignEvents);
  AddBackend("load_report_bytes_total", "Bytes of load reports and probes.",
             Backend.PollBytes);
}

void RouterProcess::addControlMetrics() {
  const auto Peer = [this](PeerCounters::Counter PeerCounters::*Field) {
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
                     [this, Call = Kind] {
                       return static_cast<double>(
                           this->Links.storeCallCount(Call));
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
    return dumpConfiguration(*this->Callers.context().declarations().Active);
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
  this->State.add("crashes", this->controlThreadSource([this] {
    return this->Control.core().crashes().dump();
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
    this->Control.ask([&Part, &Read] { Part = Read(); }, ControlCallTimeout);
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
         this->Callers.unsentResponses() == 0;
}

std::size_t RouterProcess::drain() {
  const Clock Time = Clock::steady();
  const TimePoint Deadline =
      Time.now() + this->RouterSettings.Core.Requests.Drain.HardLimit +
      AbortGrace;
  this->Draining = true;
  this->Callers.announceDrain();
  log(LogPart::Program, LogLevel::Info, "Draining.");
  this->Control.post(DrainRequested{});
  // Once this call has run, the control thread accepts no more requests.
  this->Control.ask([] {}, ControlCallTimeout);
  bool AcceptStopped = false;
  TimePoint IdleSince = Deadline;
  while (Time.now() < Deadline && this->Signals.stopCount() < 2) {
    if (!this->isIdle()) {
      AcceptStopped = false;
    } else if (!AcceptStopped) {
      this->Callers.stopAccepting();
      AcceptStopped = true;
      IdleSince = Time.now();
    } else if (Time.now() - IdleSince >= AcceptGrace) {
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
