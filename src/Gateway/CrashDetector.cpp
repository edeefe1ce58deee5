#include "Gateway/CrashDetector.h"

#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <algorithm>
#include <utility>

namespace parsleywing {

namespace {

/// A connection takes one round trip; a host that has not answered for so long
/// is not reachable.
constexpr Duration CheckLimit = std::chrono::milliseconds(200);

/// A process that ends may close one connection before the others: one that has
/// taken a connection is asked once more after this time.
constexpr Duration SecondCheckAfter = std::chrono::milliseconds(100);

/// How long a server that was found alive is not asked again for silence alone:
/// one that is slow since it has too much to do is not to get connections more.
constexpr Duration AliveLife = std::chrono::seconds(3);

/// How long a server that could not be reached is in doubt: entries of crashed
/// servers lapse after three missed reports, 3.6 s.
constexpr Duration DoubtLife = std::chrono::seconds(6);

/// How often one other router is told what is known. With any number of
/// routers each hears so often of another one, on average.
constexpr Duration TellInterval = std::chrono::milliseconds(400);

/// Facts of one datagram, at 41 bytes each.
constexpr std::size_t FactsAtOnce = 30;

/// Datagrams in answer to a router that begins: what a socket's buffer holds.
constexpr std::size_t MostAnswers = 64;

/// Routers that one which begins asks: one of them may have begun just now, and
/// a datagram may be lost.
constexpr std::size_t RoutersAsked = 3;

void runAll(const std::vector<std::function<void()>> &Tasks) {
  for (const auto &Each : Tasks)
    Each();
}

} // namespace

CrashDetector::CrashDetector(EventLoop &L, RouterExchange &R,
                             std::uint64_t Number, Metrics &M)
    : Loop(L), Routers(R), Process(Number),
      Crashes(M.counter({"server_crashes_total",
                         "Servers that crashed with requests of this router in "
                         "hand.",
                         ""})),
      Random(Number) {
  for (const auto &[Outcome, Name] : ConnectOutcomeNames)
    this->CheckCounters[Outcome] = &M.counter(
        {"server_checks_total",
         "Connections that were made behind a broken one, to see whether the "
         "server has crashed.",
         "outcome=\"" + std::string(Name) + "\""});
  M.callback(MetricKind::Gauge,
             {"crash_suspects",
              "Requests that were in hand at servers that crashed.", ""},
             [this] { return static_cast<double>(this->Registry.size()); });
  M.callback(
      MetricKind::Gauge, {"crash_refused", "Of these, refused for it.", ""},
      [this] { return static_cast<double>(this->Registry.refusedCount()); });
}

void CrashDetector::start(std::function<void()> Refused) {
  this->OnRefused = std::move(Refused);
  this->gossip();
}

void CrashDetector::onAttemptLost(const RequestIdentity &Request,
                                  const GatewayServer *Server,
                                  std::int64_t StartedMs, AttemptEnd How) {
  if (Server == nullptr || Server->Draining)
    return;
  const ServerProcess Broken{hashName(Server->Id), StartedMs};
  if (How == AttemptEnd::Silent && this->LastAliveAt.contains(Broken))
    return;
  const auto [Place, Fresh] = this->SuspectedCrashes.try_emplace(
      Broken, SuspectedCrash{Server->Id, Server->Address});
  Place->second.InFlight.insert(Request);
  Place->second.ExpiresAt = this->Loop.clock().now() + DoubtLife;
  if (Server->StartedMs > StartedMs)
    this->confirm(Broken, "restarted");
  else if (Fresh || Place->second.CurrentStage == Stage::Unreachable)
    this->check(Broken, Stage::FirstCheck);
}

void CrashDetector::check(const ServerProcess &Broken, Stage Now) {
  SuspectedCrash &Known = this->SuspectedCrashes.at(Broken);
  Known.CurrentStage = Now;
  checkConnect(this->Loop, Known.Address, CheckLimit,
               [this, Broken](ConnectOutcome Outcome) {
                 this->onChecked(Broken, Outcome);
               });
}

void CrashDetector::onChecked(const ServerProcess &Broken,
                              ConnectOutcome Outcome) {
  this->checkCounter(Outcome).add();
  // A new list of servers may have told before.
  const auto Found = this->SuspectedCrashes.find(Broken);
  if (Found == this->SuspectedCrashes.end())
    return;
  switch (Outcome) {
  case ConnectOutcome::Listening:
    if (Found->second.CurrentStage == Stage::FirstCheck) {
      this->scheduleSecondCheck(Broken);
      return;
    }
    this->LastAliveAt[Broken] = this->Loop.clock().now();
    this->dismiss(Broken);
    return;
  case ConnectOutcome::Refused:
    this->confirm(Broken, "connection refused");
    return;
  case ConnectOutcome::Unknown:
    Found->second.CurrentStage = Stage::Unreachable;
    runAll(std::exchange(Found->second.Callbacks, {}));
  }
}

void CrashDetector::scheduleSecondCheck(const ServerProcess &Broken) {
  SuspectedCrash &Known = this->SuspectedCrashes.at(Broken);
  Known.CurrentStage = Stage::BetweenChecks;
  this->Loop.after(SecondCheckAfter, [this, Broken] {
    const auto Found = this->SuspectedCrashes.find(Broken);
    if (Found != this->SuspectedCrashes.end() &&
        Found->second.CurrentStage == Stage::BetweenChecks)
      this->check(Broken, Stage::SecondCheck);
  });
  runAll(std::exchange(Known.Callbacks, {}));
}

void CrashDetector::afterCheck(const ServerProcess &Broken,
                               std::function<void()> Then) {
  const auto Found = this->SuspectedCrashes.find(Broken);
  if (Found != this->SuspectedCrashes.end() &&
      Found->second.CurrentStage == Stage::FirstCheck)
    Found->second.Callbacks.push_back(std::move(Then));
  else
    Then();
}

void CrashDetector::dismiss(const ServerProcess &Broken) {
  const auto Found = this->SuspectedCrashes.find(Broken);
  const SuspectedCrash Known = std::move(Found->second);
  this->SuspectedCrashes.erase(Found);
  runAll(Known.Callbacks);
}

void CrashDetector::updateServers(const ServerList &Listed) {
  this->removeExpired();
  std::vector<ServerProcess> Open;
  for (const auto &[Broken, Known] : this->SuspectedCrashes)
    Open.push_back(Broken);
  // Each end may end others.
  for (const ServerProcess &Broken : Open)
    if (const auto Known = this->SuspectedCrashes.find(Broken);
        Known != this->SuspectedCrashes.end())
      this->checkAgainstList(Broken, Known->second, Listed);
}

/// A server may leave the list and live on, so that counts only where it cannot
/// be reached.
void CrashDetector::checkAgainstList(const ServerProcess &Broken,
                                     const SuspectedCrash &Known,
                                     const ServerList &Listed) {
  const auto Found = Listed.find(Known.Id);
  if (Found == Listed.end()) {
    if (Known.CurrentStage == Stage::Unreachable)
      this->confirm(Broken, "entry lapsed");
  } else if (Found->second.StartedMs > Broken.StartedMs) {
    this->confirm(Broken, "restarted");
  } else if (Found->second.Draining) {
    this->dismiss(Broken);
  }
}

void CrashDetector::confirm(const ServerProcess &Broken, const char *Evidence) {
  const auto Found = this->SuspectedCrashes.find(Broken);
  if (Found == this->SuspectedCrashes.end())
    return;
  const SuspectedCrash Known = std::move(Found->second);
  this->SuspectedCrashes.erase(Found);
  this->Crashes.add();
  std::vector<CrashFact> Facts;
  for (const RequestIdentity &Each : Known.InFlight)
    Facts.push_back({Each, Broken, false, 0});
  log(LogPart::Backend, LogLevel::Info,
      "server=" + Known.Id + " crashed: evidence=" + Evidence +
          " in-hand=" + std::to_string(Facts.size()));
  this->recordFacts(Facts);
  this->broadcast(Facts);
  runAll(Known.Callbacks);
}

void CrashDetector::onCompleted(const RequestIdentity &Request) {
  this->broadcast(this->Registry.clear(Request, this->Loop.clock().now()));
}

bool CrashDetector::checkRefused(const RequestIdentity &Request) {
  if (!this->Registry.isRefused(Request))
    return false;
  this->Registry.recordRefused(Request, this->Loop.clock().now());
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
    const bool Before = this->Registry.isRefused(Each.Request);
    if (!this->Registry.record(Each, Now) || Before)
      continue;
    if (!this->Registry.isRefused(Each.Request))
      continue;
    MoreRefused = true;
    log(LogPart::Caller, LogLevel::Warn,
        "content=" + textOf(Each.Request) +
            " is refused from now on: crashes=" +
            std::to_string(this->Registry.crashCount(Each.Request)));
  }
  if (MoreRefused && this->OnRefused)
    this->OnRefused();
}

CrashReport CrashDetector::makeReport(std::vector<CrashFact> Facts) {
  return {{this->Process, ++this->LastNumber}, false, std::move(Facts)};
}

std::vector<CrashReport>
CrashDetector::makeReports(const std::vector<CrashFact> &Facts) {
  std::vector<CrashReport> Messages;
  for (std::size_t First = 0; First < Facts.size(); First += FactsAtOnce) {
    const std::size_t Last = std::min(First + FactsAtOnce, Facts.size());
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
  Others.resize(std::min(Others.size(), RoutersAsked));
  CrashReport Question = this->makeReport({});
  Question.WantsReport = true;
  for (const std::string &Each : Others)
    this->Routers.send(Each, Question);
}

void CrashDetector::onReport(const CrashReport &News,
                             const Poco::Net::SocketAddress &From) {
  this->recordFacts(News.Facts);
  if (News.WantsReport)
    this->sendAllFacts(From);
}

void CrashDetector::sendAllFacts(const Poco::Net::SocketAddress &Asker) {
  std::vector<CrashFact> Facts =
      this->Registry.allFacts(this->Loop.clock().now());
  Facts.resize(std::min(Facts.size(), FactsAtOnce * MostAnswers));
  for (CrashReport &Each : this->makeReports(Facts))
    this->Routers.send(Asker, std::move(Each));
}

void CrashDetector::removeExpired() {
  const TimePoint Now = this->Loop.clock().now();
  this->Registry.removeExpired(Now);
  std::erase_if(this->LastAliveAt, [Now](const auto &Each) {
    return Now - Each.second > AliveLife;
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
    Facts = this->Registry.nextFacts(FactsAtOnce, Now);
  if (!Facts.empty())
    this->Routers.send(Others[this->Random() % Others.size()],
                       this->makeReport(std::move(Facts)));
  this->Loop.after(TellInterval, [this] { this->gossip(); });
}

} // namespace parsleywing
