#include "Gateway/CrashWatch.h"

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

CrashWatch::CrashWatch(EventLoop &L, RouterExchange &R, std::uint64_t Number,
                       Metrics &M)
    : Loop(L), Routers(R), Process(Number),
      Crashes(M.counter({"server_crashes_total",
                         "Servers that crashed with requests of this router in "
                         "hand.",
                         ""})),
      Random(Number) {
  for (const auto &[Outcome, Name] : ConnectOutcomeNames)
    this->Checked[Outcome] = &M.counter(
        {"server_checks_total",
         "Connections that were made behind a broken one, to see whether the "
         "server has crashed.",
         "outcome=\"" + std::string(Name) + "\""});
  M.callback(MetricKind::Gauge,
             {"crash_suspects",
              "Requests that were in hand at servers that crashed.", ""},
             [this] { return static_cast<double>(this->Book.size()); });
  M.callback(MetricKind::Gauge,
             {"crash_refused", "Of these, refused for it.", ""},
             [this] { return static_cast<double>(this->Book.refused()); });
}

void CrashWatch::start(std::function<void()> Refused) {
  this->TellRefused = std::move(Refused);
  this->tellOneRouter();
}

void CrashWatch::onLost(const RequestIdentity &Request,
                        const GatewayServer *Server, std::int64_t StartedMs,
                        SendEnd How) {
  if (Server == nullptr || Server->Draining)
    return;
  const ServerProcess Broken{hashName(Server->Id), StartedMs};
  if (How == SendEnd::Silent && this->Alive.contains(Broken))
    return;
  const auto [Place, Fresh] =
      this->Doubts.try_emplace(Broken, Doubt{Server->Id, Server->Address});
  Place->second.InHand.insert(Request);
  Place->second.Until = this->Loop.clock().now() + DoubtLife;
  if (Server->StartedMs > StartedMs)
    this->confirm(Broken, "restarted");
  else if (Fresh || Place->second.Now == Stage::OutOfReach)
    this->check(Broken, Stage::FirstCheck);
}

void CrashWatch::check(const ServerProcess &Broken, Stage Now) {
  Doubt &Known = this->Doubts.at(Broken);
  Known.Now = Now;
  checkConnect(this->Loop, Known.Address, CheckLimit,
               [this, Broken](ConnectOutcome Outcome) {
                 this->onChecked(Broken, Outcome);
               });
}

void CrashWatch::onChecked(const ServerProcess &Broken,
                           ConnectOutcome Outcome) {
  this->checked(Outcome).add();
  // A new list of servers may have told before.
  const auto Found = this->Doubts.find(Broken);
  if (Found == this->Doubts.end())
    return;
  switch (Outcome) {
  case ConnectOutcome::Listening:
    if (Found->second.Now == Stage::FirstCheck) {
      this->checkAgain(Broken);
      return;
    }
    this->Alive[Broken] = this->Loop.clock().now();
    this->dismiss(Broken);
    return;
  case ConnectOutcome::Refused:
    this->confirm(Broken, "connection refused");
    return;
  case ConnectOutcome::Unknown:
    Found->second.Now = Stage::OutOfReach;
    runAll(std::exchange(Found->second.Waiting, {}));
  }
}

void CrashWatch::checkAgain(const ServerProcess &Broken) {
  Doubt &Known = this->Doubts.at(Broken);
  Known.Now = Stage::BetweenChecks;
  this->Loop.after(SecondCheckAfter, [this, Broken] {
    const auto Found = this->Doubts.find(Broken);
    if (Found != this->Doubts.end() &&
        Found->second.Now == Stage::BetweenChecks)
      this->check(Broken, Stage::SecondCheck);
  });
  runAll(std::exchange(Known.Waiting, {}));
}

void CrashWatch::whenChecked(const ServerProcess &Broken,
                             std::function<void()> Then) {
  const auto Found = this->Doubts.find(Broken);
  if (Found != this->Doubts.end() && Found->second.Now == Stage::FirstCheck)
    Found->second.Waiting.push_back(std::move(Then));
  else
    Then();
}

void CrashWatch::dismiss(const ServerProcess &Broken) {
  const auto Found = this->Doubts.find(Broken);
  const Doubt Known = std::move(Found->second);
  this->Doubts.erase(Found);
  runAll(Known.Waiting);
}

void CrashWatch::takeServers(const ServerList &Listed) {
  this->forgetOld();
  std::vector<ServerProcess> Open;
  for (const auto &[Broken, Known] : this->Doubts)
    Open.push_back(Broken);
  // Each end may end others.
  for (const ServerProcess &Broken : Open)
    if (const auto Known = this->Doubts.find(Broken);
        Known != this->Doubts.end())
      this->judgeByList(Broken, Known->second, Listed);
}

/// A server may leave the list and live on, so that counts only where it cannot
/// be reached.
void CrashWatch::judgeByList(const ServerProcess &Broken, const Doubt &Known,
                             const ServerList &Listed) {
  const auto Found = Listed.find(Known.Id);
  if (Found == Listed.end()) {
    if (Known.Now == Stage::OutOfReach)
      this->confirm(Broken, "entry lapsed");
  } else if (Found->second.StartedMs > Broken.StartedMs) {
    this->confirm(Broken, "restarted");
  } else if (Found->second.Draining) {
    this->dismiss(Broken);
  }
}

void CrashWatch::confirm(const ServerProcess &Broken, const char *Evidence) {
  const auto Found = this->Doubts.find(Broken);
  if (Found == this->Doubts.end())
    return;
  const Doubt Known = std::move(Found->second);
  this->Doubts.erase(Found);
  this->Crashes.add();
  std::vector<CrashFact> Facts;
  for (const RequestIdentity &Each : Known.InHand)
    Facts.push_back({Each, Broken, false, 0});
  log(LogPart::Backend, LogLevel::Info,
      "server=" + Known.Id + " crashed: evidence=" + Evidence +
          " in-hand=" + std::to_string(Facts.size()));
  this->learn(Facts);
  this->tell(Facts);
  runAll(Known.Waiting);
}

void CrashWatch::onServed(const RequestIdentity &Request) {
  this->tell(this->Book.clear(Request, this->Loop.clock().now()));
}

bool CrashWatch::refuses(const RequestIdentity &Request) {
  if (!this->Book.refuses(Request))
    return false;
  this->Book.noteRefused(Request, this->Loop.clock().now());
  return true;
}

bool CrashWatch::takeTry(const RequestIdentity &Request) {
  const TimePoint Now = this->Loop.clock().now();
  if (this->Routers.firstFor(Request.Low) != this->Routers.self() ||
      !this->Book.mayTry(Request, Now))
    return false;
  this->Book.noteTry(Request, Now);
  log(LogPart::Caller, LogLevel::Warn,
      "content=" + textOf(Request) + " is tried once more: crashes=" +
          std::to_string(this->Book.crashesOf(Request)));
  return true;
}

std::optional<std::uint32_t>
CrashWatch::spreadOf(const RequestIdentity &Request) const {
  const std::size_t Crashes = this->Book.crashesOf(Request);
  if (Crashes == 0)
    return std::nullopt;
  return static_cast<std::uint32_t>(Request.Low + Crashes);
}

void CrashWatch::learn(const std::vector<CrashFact> &Facts) {
  const TimePoint Now = this->Loop.clock().now();
  bool MoreRefused = false;
  for (const CrashFact &Each : Facts) {
    const bool Before = this->Book.refuses(Each.Request);
    if (!this->Book.note(Each, Now) || Before)
      continue;
    if (!this->Book.refuses(Each.Request))
      continue;
    MoreRefused = true;
    log(LogPart::Caller, LogLevel::Warn,
        "content=" + textOf(Each.Request) +
            " is refused from now on: crashes=" +
            std::to_string(this->Book.crashesOf(Each.Request)));
  }
  if (MoreRefused && this->TellRefused)
    this->TellRefused();
}

CrashNews CrashWatch::newsOf(std::vector<CrashFact> Facts) {
  return {{this->Process, ++this->LastNumber}, false, std::move(Facts)};
}

std::vector<CrashNews>
CrashWatch::allNewsOf(const std::vector<CrashFact> &Facts) {
  std::vector<CrashNews> Messages;
  for (std::size_t First = 0; First < Facts.size(); First += FactsAtOnce) {
    const std::size_t Last = std::min(First + FactsAtOnce, Facts.size());
    Messages.push_back(
        this->newsOf({Facts.begin() + static_cast<std::ptrdiff_t>(First),
                      Facts.begin() + static_cast<std::ptrdiff_t>(Last)}));
  }
  return Messages;
}

void CrashWatch::tell(const std::vector<CrashFact> &Facts) {
  for (const CrashNews &Each : this->allNewsOf(Facts))
    this->Routers.sendToAll(Each);
}

void CrashWatch::takeRouters() {
  if (this->Asked)
    return;
  std::vector<std::string> Others = this->Routers.others();
  this->Asked = !Others.empty();
  std::shuffle(Others.begin(), Others.end(), this->Random);
  Others.resize(std::min(Others.size(), RoutersAsked));
  CrashNews Question = this->newsOf({});
  Question.Wanted = true;
  for (const std::string &Each : Others)
    this->Routers.send(Each, Question);
}

void CrashWatch::onNews(const CrashNews &News,
                        const Poco::Net::SocketAddress &From) {
  this->learn(News.Facts);
  if (News.Wanted)
    this->answer(From);
}

void CrashWatch::answer(const Poco::Net::SocketAddress &Asker) {
  std::vector<CrashFact> Facts = this->Book.allToTell(this->Loop.clock().now());
  Facts.resize(std::min(Facts.size(), FactsAtOnce * MostAnswers));
  for (CrashNews &Each : this->allNewsOf(Facts))
    this->Routers.send(Asker, std::move(Each));
}

void CrashWatch::forgetOld() {
  const TimePoint Now = this->Loop.clock().now();
  this->Book.forgetOld(Now);
  std::erase_if(this->Alive, [Now](const auto &Each) {
    return Now - Each.second > AliveLife;
  });
  std::erase_if(this->Doubts, [Now](const auto &Each) {
    return Each.second.Now == Stage::OutOfReach && Each.second.Until < Now;
  });
}

void CrashWatch::tellOneRouter() {
  const TimePoint Now = this->Loop.clock().now();
  this->forgetOld();
  const std::vector<std::string> Others = this->Routers.others();
  std::vector<CrashFact> Facts;
  if (!Others.empty())
    Facts = this->Book.nextToTell(FactsAtOnce, Now);
  if (!Facts.empty())
    this->Routers.send(Others[this->Random() % Others.size()],
                       this->newsOf(std::move(Facts)));
  this->Loop.after(TellInterval, [this] { this->tellOneRouter(); });
}

} // namespace parsleywing
