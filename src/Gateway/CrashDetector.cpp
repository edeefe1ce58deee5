#include "Gateway/CrashDetector.h"

#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// Connecting takes one round trip; a host that does not answer within this
/// time is unreachable.
constexpr Duration CheckTimeout = std::chrono::milliseconds(200);

/// Time between two checks of a server that accepts connections. A process that
/// is ending may close one connection before it stops accepting others.
constexpr Duration SecondCheckDelay = std::chrono::milliseconds(100);

/// How long after a response that ended with its connection the server may send
/// something to another request, before it is checked.
constexpr Duration RecentEndDelay = std::chrono::milliseconds(200);
/// What is received within this time of such an end may have been sent before
/// it.
constexpr Duration SameReadTime = std::chrono::milliseconds(20);

/// How long a server that was found alive is not checked again for silence
/// alone, so that an overloaded server does not get even more connections.
constexpr Duration AliveLifetime = std::chrono::seconds(3);

/// How long an unreachable server stays suspected. The entry of a crashed
/// server lapses after three missed heartbeats, 3.6 s.
constexpr Duration SuspicionLifetime = std::chrono::seconds(6);

/// How often facts are sent to one other router, chosen at random. On average
/// each router receives facts at this interval, whatever the size of the fleet.
constexpr Duration GossipInterval = std::chrono::milliseconds(400);

/// Number of facts that fit into one datagram, at 41 bytes each.
constexpr std::size_t FactsPerReport = 30;

/// Maximum number of reports sent at once to a router that starts: its socket
/// buffer holds about a hundred datagrams.
constexpr std::size_t MaxReportsInReply = 64;

/// Number of routers that a starting router asks for facts: one of them may
/// have just started as well, and a datagram may be lost.
constexpr std::size_t RoutersToAsk = 3;

void runAll(const std::vector<std::function<void()>> &Callbacks) {
  for (const auto &Each : Callbacks)
    Each();
}

} // namespace

CrashDetector::CrashDetector(EventLoop &L, RouterMessenger &R,
                             PartCrashGuard &P, std::uint64_t Process,
                             Metrics &M)
    : Loop(L), Routers(R), Parts(P), RouterProcess(Process),
      Crashes(M.counter(
          {"server_crashes_total",
           "Servers that crashed with requests of this router in hand.", ""})),
      Random(Process) {
  for (const auto &[Outcome, Name] : ConnectOutcomeNames)
    this->CheckCounters[Outcome] =
        &M.counter({"server_checks_total",
                    "Connections that were made behind a broken one, to see "
                    "whether the server has crashed.",
                    "outcome=\"" + std::string(Name) + "\""});
  M.callback(MetricKind::Gauge,
             {"crash_suspects",
              "Requests that were in hand at servers that crashed.", ""},
             [this] { return static_cast<double>(this->Registry.size()); });
  M.callback(
      MetricKind::Gauge, {"crash_refused", "Of these, refused for it.", ""},
      [this] { return static_cast<double>(this->Registry.refusedCount()); });
}

void CrashDetector::start(Callbacks NewCallbacks) {
  this->Notify = std::move(NewCallbacks);
  this->gossip();
}

void CrashDetector::onAttemptLost(const LostAttempt &Lost,
                                  const GatewayServer *Server,
                                  std::int64_t StartedMs, AttemptEnd End) {
  if (Server == nullptr || Server->Draining)
    return;
  const ServerProcess Process{hashName(Server->Id), StartedMs};
  if (End == AttemptEnd::Silent && this->LastAliveAt.contains(Process))
    return;
  const auto [Suspect, IsNew] = this->SuspectedCrashes.try_emplace(
      Process, SuspectedCrash{Server->Id, Server->Address});
  Suspect->second.ActiveRequests[Lost.Request] = Lost;
  Suspect->second.ExpiresAt = this->Loop.clock().now() + SuspicionLifetime;
  if (Server->StartedMs > StartedMs)
    this->confirm(Process, "restarted");
  else if (IsNew || Suspect->second.CurrentStage == Stage::Unreachable)
    this->check(Process, Stage::FirstCheck);
}

void CrashDetector::onUnframedEnd(UnframedEnd End, const GatewayServer *Server,
                                  std::int64_t StartedMs) {
  if (Server == nullptr || Server->Draining)
    return;
  const ServerProcess Process{hashName(Server->Id), StartedMs};
  const auto [Recent, IsNew] = this->RecentlyEnded.try_emplace(
      Process, RecentEnds{Server->Id, Server->Address});
  Recent->second.LastAt = this->Loop.clock().now();
  Recent->second.Ends.push_back(std::move(End));
  if (IsNew)
    this->Loop.after(RecentEndDelay,
                     [this, Process] { this->checkRecentEnds(Process); });
}

/// Mostly the server has sent something to another request meanwhile, or the
/// crash has been found by one.
void CrashDetector::checkRecentEnds(const ServerProcess &Process) {
  const auto Found = this->RecentlyEnded.find(Process);
  if (Found == this->RecentlyEnded.end())
    return;
  if (this->Notify.ReceivedSince(Process.Server,
                                 Found->second.LastAt + SameReadTime)) {
    const RecentEnds Recent = std::move(Found->second);
    this->RecentlyEnded.erase(Found);
    for (const UnframedEnd &Each : Recent.Ends)
      Each.OnAlive();
    return;
  }
  const auto [Suspect, IsNew] = this->SuspectedCrashes.try_emplace(
      Process, SuspectedCrash{Found->second.Id, Found->second.Address});
  Suspect->second.ExpiresAt = this->Loop.clock().now() + SuspicionLifetime;
  this->takeRecentEnds(Process, Suspect->second);
  if (IsNew)
    this->check(Process, Stage::FirstCheck);
}

void CrashDetector::takeRecentEnds(const ServerProcess &Process,
                                   SuspectedCrash &Suspect) {
  const auto Found = this->RecentlyEnded.find(Process);
  if (Found == this->RecentlyEnded.end())
    return;
  for (UnframedEnd &Each : Found->second.Ends)
    Suspect.UnframedEnds.push_back(std::move(Each));
  this->RecentlyEnded.erase(Found);
}

void CrashDetector::check(const ServerProcess &Process, Stage NewStage) {
  SuspectedCrash &Suspect = this->SuspectedCrashes.at(Process);
  Suspect.CurrentStage = NewStage;
  checkConnect(this->Loop, Suspect.Address, CheckTimeout,
               [this, Process](ConnectOutcome Outcome) {
                 this->onChecked(Process, Outcome);
               });
}

void CrashDetector::onChecked(const ServerProcess &Process,
                              ConnectOutcome Outcome) {
  this->checkCounter(Outcome).add();
  // A new list of servers may have decided the case in the meantime.
  const auto Found = this->SuspectedCrashes.find(Process);
  if (Found == this->SuspectedCrashes.end())
    return;
  switch (Outcome) {
  case ConnectOutcome::Listening:
    if (Found->second.CurrentStage == Stage::FirstCheck) {
      this->scheduleSecondCheck(Process);
      return;
    }
    this->LastAliveAt[Process] = this->Loop.clock().now();
    for (const UnframedEnd &Each :
         std::exchange(Found->second.UnframedEnds, {}))
      Each.OnAlive();
    this->dismiss(Process);
    return;
  case ConnectOutcome::Refused:
    this->confirm(Process, "connection refused");
    return;
  case ConnectOutcome::Unknown:
    Found->second.CurrentStage = Stage::Unreachable;
    runAll(std::exchange(Found->second.Callbacks, {}));
  }
}

void CrashDetector::scheduleSecondCheck(const ServerProcess &Process) {
  SuspectedCrash &Suspect = this->SuspectedCrashes.at(Process);
  Suspect.CurrentStage = Stage::BetweenChecks;
  this->Loop.after(SecondCheckDelay, [this, Process] {
    const auto Found = this->SuspectedCrashes.find(Process);
    if (Found != this->SuspectedCrashes.end() &&
        Found->second.CurrentStage == Stage::BetweenChecks)
      this->check(Process, Stage::SecondCheck);
  });
  runAll(std::exchange(Suspect.Callbacks, {}));
}

void CrashDetector::afterCheck(const ServerProcess &Process,
                               std::function<void()> Then) {
  const auto Found = this->SuspectedCrashes.find(Process);
  if (Found != this->SuspectedCrashes.end() &&
      Found->second.CurrentStage == Stage::FirstCheck)
    Found->second.Callbacks.push_back(std::move(Then));
  else
    Then();
}

void CrashDetector::dismiss(const ServerProcess &Process) {
  const auto Found = this->SuspectedCrashes.find(Process);
  const SuspectedCrash Suspect = std::move(Found->second);
  this->SuspectedCrashes.erase(Found);
  runAll(Suspect.Callbacks);
}

void CrashDetector::updateServers(const ServerList &Listed) {
  this->removeExpired();
  std::vector<ServerProcess> Suspected;
  for (const auto &[Process, Suspect] : this->SuspectedCrashes)
    Suspected.push_back(Process);
  // A callback may remove further suspects, so each one is looked up again.
  for (const ServerProcess &Process : Suspected)
    if (const auto Suspect = this->SuspectedCrashes.find(Process);
        Suspect != this->SuspectedCrashes.end())
      this->checkAgainstList(Process, Suspect->second, Listed);
}

/// A server that is not listed may still be alive, so a missing entry counts
/// only if the server is unreachable.
void CrashDetector::checkAgainstList(const ServerProcess &Process,
                                     const SuspectedCrash &Suspect,
                                     const ServerList &Listed) {
  const auto Found = Listed.find(Suspect.Id);
  if (Found == Listed.end()) {
    if (Suspect.CurrentStage == Stage::Unreachable)
      this->confirm(Process, "entry lapsed");
  } else if (Found->second.StartedMs > Process.Start) {
    this->confirm(Process, "restarted");
  } else if (Found->second.Draining) {
    this->dismiss(Process);
  }
}

void CrashDetector::confirm(const ServerProcess &Process,
                            const char *Evidence) {
  const auto Found = this->SuspectedCrashes.find(Process);
  if (Found == this->SuspectedCrashes.end())
    return;
  SuspectedCrash Suspect = std::move(Found->second);
  this->SuspectedCrashes.erase(Found);
  this->takeRecentEnds(Process, Suspect);
  for (const UnframedEnd &Each : Suspect.UnframedEnds) {
    const LostAttempt Lost = Each.Describe();
    Suspect.ActiveRequests[Lost.Request] = Lost;
  }
  this->Crashes.add();
  std::vector<CrashFact> Facts;
  std::vector<LostAttempt> Lost;
  for (const auto &[Request, Attempt] : Suspect.ActiveRequests) {
    Facts.push_back({Request, Process, false, 0});
    Lost.push_back(Attempt);
  }
  log(LogPart::Backend, LogLevel::Info,
      "server=" + Suspect.Id + " crashed: evidence=" + Evidence +
          " in-hand=" + std::to_string(Facts.size()));
  this->recordFacts(Facts);
  this->broadcast(Facts);
  this->Parts.onCrash(Process, Lost);
  runAll(Suspect.Callbacks);
}

void CrashDetector::onRecovered(const RequestIdentity &Request,
                                const ServerProcess &Process) {
  const auto Found = this->SuspectedCrashes.find(Process);
  if (Found != this->SuspectedCrashes.end())
    Found->second.ActiveRequests.erase(Request);
}

void CrashDetector::onCompleted(const RequestIdentity &Request) {
  this->broadcast(this->Registry.clear(Request, this->Loop.clock().now()));
}

bool CrashDetector::checkRefused(const RequestIdentity &Request) {
  if (!this->Registry.isRefused(Request))
    return false;
  this->Registry.recordRefusedAgain(Request, this->Loop.clock().now());
  return true;
}

bool CrashDetector::acquireProbe(const RequestIdentity &Request) {
  const TimePoint Now = this->Loop.clock().now();
  if (this->Routers.firstFor(Request.Low) != this->Routers.self() ||
      !this->Registry.mayProbe(Request, Now))
    return false;
  this->Registry.recordProbe(Request, Now);
  log(LogPart::Caller, LogLevel::Warn,
      "content=" + textOf(Request) + " is tried once more: crashes=" +
          std::to_string(this->Registry.crashCount(Request)));
  return true;
}

std::optional<std::uint32_t>
CrashDetector::spreadOf(const RequestIdentity &Request) const {
  const std::size_t Crashes = this->Registry.crashCount(Request);
  if (Crashes == 0)
    return std::nullopt;
  return static_cast<std::uint32_t>(Request.Low + Crashes);
}

void CrashDetector::recordFacts(const std::vector<CrashFact> &Facts) {
  const TimePoint Now = this->Loop.clock().now();
  bool MoreRefused = false;
  for (const CrashFact &Each : Facts) {
    const bool WasRefused = this->Registry.isRefused(Each.Request);
    if (!this->Registry.record(Each, Now))
      continue;
    if (!Each.Cleared && this->Notify.Crashed)
      this->Notify.Crashed(Each.Process);
    if (WasRefused)
      continue;
    if (!this->Registry.isRefused(Each.Request))
      continue;
    MoreRefused = true;
    log(LogPart::Caller, LogLevel::Warn,
        "content=" + textOf(Each.Request) +
            " is refused from now on: crashes=" +
            std::to_string(this->Registry.crashCount(Each.Request)));
  }
  if (MoreRefused && this->Notify.Refused)
    this->Notify.Refused();
}

CrashReport CrashDetector::makeReport(std::vector<CrashFact> Facts) {
  return {{this->RouterProcess, ++this->LastNumber}, false, std::move(Facts)};
}

std::vector<CrashReport>
CrashDetector::makeReports(const std::vector<CrashFact> &Facts) {
  std::vector<CrashReport> Messages;
  for (std::size_t First = 0; First < Facts.size(); First += FactsPerReport) {
    const std::size_t Last = std::min(First + FactsPerReport, Facts.size());
    Messages.push_back(
        this->makeReport({Facts.begin() + static_cast<std::ptrdiff_t>(First),
                          Facts.begin() + static_cast<std::ptrdiff_t>(Last)}));
  }
  return Messages;
}

void CrashDetector::broadcast(const std::vector<CrashFact> &Facts) {
  for (const CrashReport &Each : this->makeReports(Facts))
    this->Routers.sendToAll(Each);
}

void CrashDetector::updateRouters() {
  if (this->ReportsRequested)
    return;
  std::vector<std::string> Others = this->Routers.others();
  this->ReportsRequested = !Others.empty();
  std::shuffle(Others.begin(), Others.end(), this->Random);
  Others.resize(std::min(Others.size(), RoutersToAsk));
  CrashReport Request = this->makeReport({});
  Request.WantsReport = true;
  for (const std::string &Each : Others)
    this->Routers.send(Each, Request);
}

void CrashDetector::onReport(const CrashReport &Report,
                             const Poco::Net::SocketAddress &From) {
  this->recordFacts(Report.Facts);
  if (Report.WantsReport)
    this->sendAllFacts(From);
}

void CrashDetector::sendAllFacts(const Poco::Net::SocketAddress &Receiver) {
  std::vector<CrashFact> Facts =
      this->Registry.allFacts(this->Loop.clock().now());
  Facts.resize(std::min(Facts.size(), FactsPerReport * MaxReportsInReply));
  for (CrashReport &Each : this->makeReports(Facts))
    this->Routers.send(Receiver, std::move(Each));
}

void CrashDetector::removeExpired() {
  const TimePoint Now = this->Loop.clock().now();
  this->Registry.removeExpired(Now);
  std::erase_if(this->LastAliveAt, [Now](const auto &Each) {
    return Now - Each.second > AliveLifetime;
  });
  std::erase_if(this->SuspectedCrashes, [Now](const auto &Each) {
    return Each.second.CurrentStage == Stage::Unreachable &&
           Each.second.ExpiresAt < Now;
  });
}

void CrashDetector::gossip() {
  const TimePoint Now = this->Loop.clock().now();
  this->removeExpired();
  const std::vector<std::string> Others = this->Routers.others();
  std::vector<CrashFact> Facts;
  if (!Others.empty())
    Facts = this->Registry.nextFacts(FactsPerReport, Now);
  if (!Facts.empty())
    this->Routers.send(Others[this->Random() % Others.size()],
                       this->makeReport(std::move(Facts)));
  this->Loop.after(GossipInterval, [this] { this->gossip(); });
}

} // namespace parsleywing
