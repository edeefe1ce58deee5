#include "Soak/SoakFleet.h"

#include "FreeAddress.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr int RouterCount = 3;
constexpr int EngineCount = 3;
constexpr int PlainCount = 2;
constexpr int StreamEvents = 12;
/// Before a caller that was refused, or found nobody, asks again.
constexpr auto RefusedPause = 50ms;
constexpr auto RevocationBound = 5s;
constexpr auto DrainLimit = 4s;
/// The end of the drain limit that a router keeps for its own end.
constexpr auto DrainReserve = 500ms;
constexpr auto Deadline = 3s;
/// From the caller's send to what the server notes, on a busy machine.
constexpr auto Transport = 500ms;

std::string event(int Number, const std::string &Id) {
  return "id: " + std::to_string(Number) + "\ndata: " + Id + "\n\n";
}

std::string chunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

std::string wholeStream(const std::string &Id) {
  std::string Text;
  for (int Number = 1; Number <= StreamEvents; ++Number)
    Text += event(Number, Id);
  return Text;
}

std::string pathOf(const std::string &Request) {
  const std::size_t First = Request.find(' ');
  return Request.substr(First + 1, Request.find(' ', First + 1) - First - 1);
}

/// Waits for `Least` milliseconds and up to `More` more.
void pauseFor(std::mt19937_64 &Random, int Least, unsigned More) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Least + static_cast<int>(Random() % More)));
}

/// Whether a request to the path may run more than once.
bool mayRepeat(const std::string &Path) {
  return Path.starts_with("/safe/") || Path.starts_with("/stream/");
}

/// Callers that may be served at once. Every second seed has fewer than there
/// are connections of callers, so that routers close idle ones for others.
std::string callersLimit(std::uint64_t Seed) {
  return Seed % 2 == 0 ? "" : "max-callers = " + std::to_string(6 + Seed % 4);
}

bool anyTouches(const std::vector<Span> &Spans, SteadyClock::time_point From,
                SteadyClock::time_point To) {
  return std::ranges::any_of(Spans, [&](const Span &Each) {
    return Each.From <= To && From <= Each.To;
  });
}

} // namespace

SoakFleet::SoakFleet(std::uint64_t Chosen)
    : Seed(Chosen), ServerRandom(Chosen) {
  for (int I = 0; I < EngineCount + PlainCount; ++I) {
    this->Servers.push_back(std::make_unique<ScriptedServer>(
        [this, I](Poco::Net::StreamSocket &S, const std::string &Request) {
          return this->serve(static_cast<std::size_t>(I), S, Request);
        }));
    this->ServerWays.push_back(
        {std::make_unique<TroubledWay>(this->Servers.back()->address()), {}});
    const std::string Service = I < EngineCount ? "engines" : "plain";
    this->Store.put("servers/s" + std::to_string(I),
                    R"({"service":")" + Service + R"(","address":")" +
                        this->ServerWays.back().Way->address() +
                        R"(","zone":"a","slots":32,"state":"ready",)"
                        R"("version":"v1","seqNo":1,"coldLeftMs":0})");
  }
  this->writeConfiguration();
  for (int I = 0; I < RouterCount; ++I) {
    Router Made;
    Made.Name = "r" + std::to_string(I);
    Made.Callers = freeLoopbackAddress();
    Made.Way = std::make_unique<TroubledWay>(this->Store.address());
    Made.Settings = this->Folder.write(
        Made.Name + ".ini",
        "[gateway]\nname = " + Made.Name + "\nzone = a\ncallers = " +
            Made.Callers + "\npeers = " + freeLoopbackAddress() +
            "\ndrain-limit-s = " + std::to_string(DrainLimit.count()) + "\n" +
            callersLimit(this->Seed) + "\n[store]\naddress = " +
            Made.Way->address() + "\n[log]\ntarget = stdout\n");
    this->Routers.push_back(std::move(Made));
  }
  for (Router &Each : this->Routers)
    this->startRouter(Each);
  for (Router &Each : this->Routers)
    waitForListener(Each.Callers);
  std::this_thread::sleep_for(1500ms);
}

SoakFleet::~SoakFleet() {
  for (Router &Each : this->Routers) {
    Each.Process->signal(SIGCONT);
    Each.Process->kill();
  }
}

void SoakFleet::startRouter(Router &Each) {
  Each.Process = std::make_unique<ChildProcess>(
      "parsleywing",
      std::vector<std::string>{"gateway", "--settings", Each.Settings},
      this->Folder.path(Each.Name + ".log"));
}

void SoakFleet::writeConfiguration() {
  const auto Route = [](const std::string &Kind, const std::string &Prefix,
                        const std::string &Service, bool Resumable) {
    return R"({"name":")" + Prefix + R"(","hostname":"h","prefix":"/)" +
           Prefix + R"(/","kind":")" + Kind +
           R"(","timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":2,)" +
           R"("resumable":)" + (Resumable ? "true" : "false") +
           R"(,"service":")" + Service + "\"}";
  };
  const std::lock_guard<std::mutex> Lock(this->Guard);
  const bool WithSecondKey = this->RevokedAt == SteadyClock::time_point::max();
  this->Store.put(
      "op/config",
      R"({"version":)" + std::to_string(++this->Version) + R"(,"routes":[)" +
          Route("safe", "safe", "plain", false) + "," +
          Route("unsafe", "unsafe", "plain", false) + "," +
          Route("streaming", "stream", "engines", true) + "," +
          Route("streaming", "once", "engines", false) +
          R"(],"services":[{"name":"plain"},{"name":"engines",)" +
          R"("engine":{"kvCapacity":200000}}],"limits":{"tokensPerS":90000},)" +
          R"("tenants":[{"name":"one","apiKeys":["k1"]},)" +
          R"({"name":"two","apiKeys":[)" + (WithSecondKey ? "\"k2\"" : "") +
          "]}]}");
}

int SoakFleet::chance(int Below) {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return static_cast<int>(this->ServerRandom() % static_cast<unsigned>(Below));
}

/// A server: most requests are served, some refused, broken off or spoilt.
bool SoakFleet::serve(std::size_t Server, Poco::Net::StreamSocket &S,
                      const std::string &Request) {
  const int Luck = this->Calm ? 99 : this->chance(100);
  if (Luck < 3) {
    sendText(S, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    return true;
  }
  ServerRun Run{pathOf(Request), fieldOf(Request, "Tenant-Id"), Server,
                SteadyClock::now()};
  const std::string Id = fieldOf(Request, "Request-Id");
  std::size_t Place = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Place = this->Runs[Id].size();
    this->Runs[Id].push_back(Run);
  }
  bool Keeps = false;
  try {
    Keeps = this->serveRun(Luck, S, Request, Run);
  } catch (const Poco::Exception &) {
    // The router has closed its connection.
  }
  Run.EndedAt = SteadyClock::now();
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->Runs[Id][Place] = Run;
  return Keeps;
}

bool SoakFleet::serveRun(int Luck, Poco::Net::StreamSocket &S,
                         const std::string &Request, ServerRun &Run) {
  const std::string Id = fieldOf(Request, "Request-Id");
  Run.Spoilt = Luck < 10;
  if (Luck < 6)
    return false;
  if (Luck < 8) {
    sendText(S, "HTTP/1.1 500 Bad\r\nRequest-Id: " + Id +
                    "\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  if (Luck < 10)
    sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Seal: s\r\n"
                "Content-Length: 5\r\n\r\nwrong");
  if (Run.Path.starts_with("/stream/") || Run.Path.starts_with("/once/"))
    return this->serveStream(S, Request, Run);
  std::this_thread::sleep_for(std::chrono::milliseconds(this->chance(20)));
  sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                  "\r\nResponse-Seal: s\r\nContent-Length: " +
                  std::to_string(Id.size()) + "\r\n\r\n" + Id);
  return true;
}

bool SoakFleet::serveStream(Poco::Net::StreamSocket &S,
                            const std::string &Request, ServerRun &Run) {
  const std::string Id = fieldOf(Request, "Request-Id");
  const std::string Last = fieldOf(Request, "Last-Event-Id");
  const int From = Last.empty() ? 1 : std::stoi(Last) + 1;
  const int BreakAt =
      !this->Calm && this->chance(100) < 8 ? this->chance(StreamEvents) : -1;
  sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                  "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  for (int Number = From; Number <= StreamEvents; ++Number) {
    if (Number == BreakAt) {
      Run.Spoilt = true;
      sendText(S, chunk(event(Number, Id).substr(0, 4)));
      return false;
    }
    sendText(S, chunk(event(Number, Id)));
    std::this_thread::sleep_for(5ms);
  }
  sendText(S, "0\r\n\r\n");
  return true;
}

void SoakFleet::callOnce(std::mt19937_64 &Random,
                         std::vector<KeptConnection> &Kept) {
  const std::array<std::string, 4> Paths{"/safe/x", "/unsafe/x", "/stream/x",
                                         "/once/x"};
  const std::string Id = "q" + std::to_string(++this->LastRequest);
  const std::string Key = Random() % 3 == 0 ? "k2" : "k1";
  CallerResult Got;
  Got.Path = Paths.at(Random() % Paths.size());
  const std::string Part = std::to_string(Random() % 8);
  Got.Router = Random() % Kept.size();
  ++this->Asked;
  Kept[Got.Router].exchange(
      "GET " + Got.Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
          "\r\nDeadline-Ms: " +
          std::to_string(std::chrono::milliseconds(Deadline).count()) +
          "\r\nAuthorization: Token " + Key +
          "\r\nToken-Count: 700,60\r\nPrefix-Hash: " + Part + ":500," + Id +
          ":200\r\n\r\n",
      Got);
  if (Got.whole() && Got.Status == 200)
    ++this->Served;
  if (Got.End == CallEnd::NotSent || Got.Status == 503)
    std::this_thread::sleep_for(RefusedPause);
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->Results[Id] = Got;
}

/// Callers differ in how long they wait between requests, and in whether they
/// look at a connection before they use it again.
void SoakFleet::callersLoop(std::size_t Number) {
  constexpr std::array<unsigned, 4> LongestPauses{1, 30, 300, 1500};
  const unsigned LongestPause = LongestPauses.at(Number % LongestPauses.size());
  const bool Looks = Number % 3 == 0;
  std::mt19937_64 Random(this->Seed * 31 + Number);
  std::vector<KeptConnection> Kept;
  for (const Router &Each : this->Routers)
    Kept.emplace_back(Each.Callers, Looks);
  while (!this->Stopping) {
    this->callOnce(Random, Kept);
    pauseFor(Random, 0, LongestPause);
  }
  this->CallersGone.count_down();
}

/// Notes the stretch of time that something takes.
void SoakFleet::during(std::vector<Span> &Spans,
                       const std::function<void()> &Do) {
  const Span Began{SteadyClock::now()};
  std::size_t Place = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Place = Spans.size();
    Spans.push_back(Began);
  }
  Do();
  const std::lock_guard<std::mutex> Lock(this->Guard);
  Spans[Place].To = SteadyClock::now();
}

void SoakFleet::oneRouterFault(Router &Chosen, std::mt19937_64 &Random) {
  switch (Random() % 4) {
  case 0:
    this->killAndStart(Chosen, Random);
    return;
  case 1:
    this->freeze(Chosen, Random);
    return;
  default:
    this->restartInOrder(Chosen, Random);
    return;
  }
}

void SoakFleet::killAndStart(Router &Chosen, std::mt19937_64 &Random) {
  this->during(Chosen.Killed, [&] { Chosen.Process->kill(); });
  pauseFor(Random, 50, 500);
  this->startRouter(Chosen);
}

void SoakFleet::freeze(Router &Chosen, std::mt19937_64 &Random) {
  this->during(Chosen.Frozen, [&] {
    Chosen.Process->signal(SIGSTOP);
    pauseFor(Random, 200, 1500);
    Chosen.Process->signal(SIGCONT);
  });
}

/// Other signals come while the router still drains.
void SoakFleet::restartInOrder(Router &Chosen, std::mt19937_64 &Random) {
  bool Killed = false;
  this->during(Chosen.Drained, [&] {
    Chosen.Process->signal(SIGTERM);
    switch (Random() % 6) {
    case 0:
      pauseFor(Random, 0, 3000);
      Killed = true;
      this->killAndStart(Chosen, Random);
      return;
    case 1:
      pauseFor(Random, 0, 2000);
      this->freeze(Chosen, Random);
      break;
    case 2:
      pauseFor(Random, 0, 3000);
      Chosen.Process->signal(SIGTERM);
      break;
    default:
      break;
    }
    Chosen.Process->wait();
  });
  if (!Killed)
    this->startRouter(Chosen);
}

void SoakFleet::oneStoreFault(std::mt19937_64 &Random) {
  switch (Random() % 5) {
  case 0:
    this->Store.setTrouble(StoreTrouble::Away);
    break;
  case 1:
    this->Store.setTrouble(StoreTrouble::Silent);
    break;
  case 2:
    this->Store.setTrouble(StoreTrouble::Slow);
    break;
  case 3:
    this->Store.dropHistory();
    return;
  default:
    this->writeConfiguration();
    return;
  }
  pauseFor(Random, 300, 1500);
  this->Store.setTrouble(StoreTrouble::None);
}

/// A way to a server or from a router to the store resets, holds or delays
/// what goes over it.
void SoakFleet::oneWayFault(std::mt19937_64 &Random) {
  const std::array<WayTrouble, 4> Troubles{
      WayTrouble::Cut, WayTrouble::SilentTo, WayTrouble::SilentFrom,
      WayTrouble::Delayed};
  const auto Trouble = [&](TroubledWay &Way) {
    Way.setTrouble(Troubles.at(Random() % Troubles.size()));
    pauseFor(Random, 300, 2500);
    Way.setTrouble(WayTrouble::None);
  };
  if (Random() % 3 == 0) {
    Trouble(*this->Routers.at(Random() % this->Routers.size()).Way);
    return;
  }
  ServerWay &Chosen = this->ServerWays.at(Random() % this->ServerWays.size());
  this->during(Chosen.Troubles, [&] { Trouble(*Chosen.Way); });
}

void SoakFleet::faultsLoop(std::uint64_t Start, const Fault &One) {
  std::mt19937_64 Random(Start);
  while (!this->Stopping && !this->Calm) {
    One(Random);
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 500));
  }
  this->FaultsOver.count_down();
  // A process that this thread has started is killed with its end.
  this->CallersGone.wait();
}

void SoakFleet::run(std::chrono::milliseconds Time) {
  this->Began = SteadyClock::now();
  std::vector<std::thread> Workers;
  for (std::size_t Number = 0; Number < CallerThreads; ++Number)
    Workers.emplace_back([this, Number] { this->callersLoop(Number); });
  // Series of their own, so that faults overlap; a router belongs to one.
  const std::array<Fault, SeriesOfFaults> Series{
      [this](std::mt19937_64 &Random) { this->oneStoreFault(Random); },
      [this](std::mt19937_64 &Random) { this->oneWayFault(Random); },
      [this](std::mt19937_64 &Random) {
        this->oneRouterFault(this->Routers[0], Random);
      },
      [this](std::mt19937_64 &Random) {
        this->oneRouterFault(this->Routers[1 + Random() % 2], Random);
      }};
  for (std::size_t Number = 0; Number < Series.size(); ++Number)
    Workers.emplace_back([this, Number, &Series] {
      this->faultsLoop(this->Seed + Number, Series.at(Number));
    });
  std::this_thread::sleep_for(Time / 2);
  // In the middle of the faults one account loses its key.
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->RevokedAt = SteadyClock::now();
  }
  this->writeConfiguration();
  std::this_thread::sleep_for(Time / 2);
  this->Calm = true;
  this->FaultsOver.wait();
  std::this_thread::sleep_for(3s);
  this->Stopping = true;
  for (std::thread &Each : Workers)
    Each.join();
}

void SoakFleet::checkRequest(const std::string &Id, const CallerResult &Got,
                             std::vector<std::string> &Into) {
  const auto &Ran = this->Runs[Id];
  const std::string What = Id + " " + Got.Path + " status " +
                           std::to_string(Got.Status) + " runs " +
                           std::to_string(Ran.size());
  const bool Repeatable = mayRepeat(Got.Path);
  if (!Repeatable && Ran.size() > 1)
    Into.push_back("ran more than once: " + What);
  if (!Repeatable && Got.Status == 503 && !Ran.empty())
    Into.push_back("told as not run, but ran: " + What);
  const bool Streamed =
      Got.Path.starts_with("/stream/") || Got.Path.starts_with("/once/");
  const std::string Expected = Streamed ? wholeStream(Id) : Id;
  if (Got.Status == 200 && Got.whole() && Got.Body != Expected)
    Into.push_back("not its own whole answer: " + What + " body " + Got.Body);
  if (Got.Status == 200 && !Expected.starts_with(Got.Body))
    Into.push_back("not the beginning of its answer: " + What);
  for (const ServerRun &Run : Ran) {
    if (Run.Path != Got.Path)
      Into.push_back("ran with another path: " + What);
    if (Run.Account == "two" &&
        Got.SentAt > this->RevokedAt + RevocationBound &&
        Run.At > this->RevokedAt + RevocationBound + Transport)
      Into.push_back("ran with a key taken away: " + What);
  }
}

/// The drain whose limit the router came to within the request's time.
const Span *SoakFleet::reachedDrainLimit(const CallerResult &Got) const {
  for (const Span &Each : this->Routers.at(Got.Router).Drained)
    if (Each.To >= Each.From + DrainLimit - DrainReserve &&
        Got.SentAt <= Each.To && Each.To <= Got.EndedAt + Transport)
      return &Each;
  return nullptr;
}

/// An answer that has begun may end short where its last server broke it off or
/// spoilt it, the way there was in trouble, its time was over, or the router
/// came to its drain limit while the server was still at work.
bool SoakFleet::mayBeCut(const CallerResult &Got, const ServerRun &Last) const {
  const Span *Drain = this->reachedDrainLimit(Got);
  return Last.Spoilt || Got.EndedAt - Got.SentAt >= Deadline ||
         anyTouches(this->ServerWays.at(Last.Server).Troubles,
                    Got.SentAt - Transport, Got.EndedAt) ||
         (Drain != nullptr && Last.EndedAt + Transport > Drain->To);
}

/// A request that was sent gets a whole answer, or a reset: then nobody has
/// read it, and no server has run it. That its router drains, stands still or
/// closes idle connections changes nothing. Allowed are
/// - any end where the router was killed, or stood still and so came to its
///   drain limit;
/// - no end within the caller's time where the router stood still;
/// - an answer that is cut where `mayBeCut` says so.
void SoakFleet::checkEnd(const std::string &Id, const CallerResult &Got,
                         std::vector<std::string> &Into) {
  const Router &Asked = this->Routers.at(Got.Router);
  if (Got.End == CallEnd::NotSent || Got.whole() ||
      anyTouches(Asked.Killed, Got.SentAt, Got.EndedAt))
    return;
  const auto &Ran = this->Runs[Id];
  const bool Frozen = anyTouches(Asked.Frozen, Got.SentAt, Got.EndedAt);
  if (Frozen && Got.End == CallEnd::Late)
    return;
  if (Got.Status == 0 && Got.End == CallEnd::Reset && Ran.empty())
    return;
  if (Got.Status != 0 && !Ran.empty() && this->mayBeCut(Got, Ran.back()))
    return;
  const auto Ms = [this](SteadyClock::time_point At) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              At - this->Began)
                              .count()) +
           " ms";
  };
  std::string Text =
      Got.Status != 0 ? "answer cut: " : "ended without an answer: ";
  Text += Id + " " + Got.Path + " at " + Asked.Name + " from " + Got.From +
          ", request " + std::to_string(Got.Earlier + 1) +
          " of its connection, sent at " + Ms(Got.SentAt) + ", ended at " +
          Ms(Got.EndedAt) + ": " + std::string(nameOf(CallEndNames, Got.End)) +
          ", runs " + std::to_string(Ran.size()) +
          (Frozen ? ", router stood still meanwhile" : "");
  for (const Span &Each : Asked.Drained)
    if (anyTouches({Each}, Got.SentAt, Got.EndedAt))
      Text += ", SIGTERM at " + Ms(Each.From) + ", exit at " + Ms(Each.To);
  Into.push_back(Text + this->logOf(Id, Got));
}

/// What the router has logged of the request and of its connection.
std::string SoakFleet::logOf(const std::string &Id,
                             const CallerResult &Got) const {
  std::ifstream Log(
      this->Folder.path(this->Routers.at(Got.Router).Name + ".log"));
  std::string Found;
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("request=" + Id + " ") != std::string::npos ||
        Line.find("connection=" + Got.From + " ") != std::string::npos)
      Found += "\n  " + Line;
  return Found;
}

std::string SoakFleet::summary() {
  std::map<std::pair<std::int64_t, int>, int> Counts;
  const std::lock_guard<std::mutex> Lock(this->Guard);
  for (const auto &[Id, Got] : this->Results) {
    const auto Second = std::chrono::duration_cast<std::chrono::seconds>(
        Got.SentAt - this->Began);
    ++Counts[{Second.count(), Got.Status}];
  }
  std::string Text;
  std::int64_t Last = -1;
  for (const auto &[Key, Count] : Counts) {
    if (Key.first != Last)
      Text += "\n  second " + std::to_string(Key.first) + ":";
    Last = Key.first;
    Text += " " + std::to_string(Key.second) + " x" + std::to_string(Count);
  }
  return Text;
}

std::vector<std::string> SoakFleet::broken() {
  std::vector<std::string> Found;
  const std::lock_guard<std::mutex> Lock(this->Guard);
  for (const auto &[Id, Got] : this->Results) {
    this->checkRequest(Id, Got, Found);
    this->checkEnd(Id, Got, Found);
  }
  for (const auto &[Id, Ran] : this->Runs)
    if (!this->Results.contains(Id))
      Found.push_back("ran, but nobody asked: " + Id);
  return Found;
}

} // namespace parsleywing::test
