#include "Soak/SoakFleet.h"

#include "FreeAddress.h"
#include "Http/BodyDecoder.h"

#include <Poco/Exception.h>
#include <array>
#include <csignal>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr int RouterCount = 3;
constexpr int EngineCount = 3;
constexpr int PlainCount = 2;
constexpr int CallerThreads = 6;
constexpr int StreamEvents = 12;
constexpr auto RevocationBound = 5s;
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

} // namespace

SoakFleet::SoakFleet(std::uint64_t Chosen)
    : Seed(Chosen), ServerRandom(Chosen) {
  for (int I = 0; I < EngineCount + PlainCount; ++I) {
    this->Servers.push_back(std::make_unique<ScriptedServer>(
        [this](Poco::Net::StreamSocket &S, const std::string &Request) {
          return this->serve(S, Request);
        }));
    this->ServerWays.push_back(
        std::make_unique<TroubledWay>(this->Servers.back()->address()));
    const std::string Service = I < EngineCount ? "engines" : "plain";
    this->Store.put("servers/s" + std::to_string(I),
                    R"({"service":")" + Service + R"(","address":")" +
                        this->ServerWays.back()->address() +
                        R"(","zone":"a","slots":32,"state":"ready",)"
                        R"("version":"v1","seqNo":1,"coldLeftMs":0})");
  }
  this->writeConfiguration(true);
  for (int I = 0; I < RouterCount; ++I) {
    Router Made;
    Made.Name = "r" + std::to_string(I);
    Made.Callers = freeLoopbackAddress();
    Made.Way = std::make_unique<TroubledWay>(this->Store.address());
    Made.Settings = this->Folder.write(
        Made.Name + ".ini",
        "[gateway]\nname = " + Made.Name + "\nzone = a\ncallers = " +
            Made.Callers + "\npeers = " + freeLoopbackAddress() +
            "\ndrain-limit-s = 4\n[store]\naddress = " + Made.Way->address() +
            "\n[log]\ntarget = stdout\n");
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

void SoakFleet::writeConfiguration(bool WithSecondKey) {
  const auto Route = [](const std::string &Kind, const std::string &Prefix,
                        const std::string &Service, bool Resumable) {
    return R"({"name":")" + Prefix + R"(","hostname":"h","prefix":"/)" +
           Prefix + R"(/","kind":")" + Kind +
           R"(","timeoutMs":3000,"targetLatencyMs":500,"maxAttempts":2,)" +
           R"("resumable":)" + (Resumable ? "true" : "false") +
           R"(,"service":")" + Service + "\"}";
  };
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
bool SoakFleet::serve(Poco::Net::StreamSocket &S, const std::string &Request) {
  const std::string Id = fieldOf(Request, "Request-Id");
  const int Luck = this->Calm ? 99 : this->chance(100);
  if (Luck < 3) {
    sendText(S, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    return true;
  }
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->Runs[Id].push_back(
        {pathOf(Request), fieldOf(Request, "Tenant-Id"), SteadyClock::now()});
  }
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
  const std::string Path = pathOf(Request);
  if (Path.starts_with("/stream/") || Path.starts_with("/once/"))
    return this->serveStream(S, Request, Id);
  std::this_thread::sleep_for(std::chrono::milliseconds(this->chance(20)));
  sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                  "\r\nResponse-Seal: s\r\nContent-Length: " +
                  std::to_string(Id.size()) + "\r\n\r\n" + Id);
  return true;
}

bool SoakFleet::serveStream(Poco::Net::StreamSocket &S,
                            const std::string &Request, const std::string &Id) {
  const std::string Last = fieldOf(Request, "Last-Event-Id");
  const int From = Last.empty() ? 1 : std::stoi(Last) + 1;
  const int BreakAt =
      !this->Calm && this->chance(100) < 8 ? this->chance(StreamEvents) : -1;
  sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                  "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  for (int Number = From; Number <= StreamEvents; ++Number) {
    if (Number == BreakAt) {
      sendText(S, chunk(event(Number, Id).substr(0, 4)));
      return false;
    }
    sendText(S, chunk(event(Number, Id)));
    std::this_thread::sleep_for(5ms);
  }
  sendText(S, "0\r\n\r\n");
  return true;
}

void SoakFleet::callOnce(std::mt19937_64 &Random) {
  const std::array<std::string, 4> Paths{"/safe/x", "/unsafe/x", "/stream/x",
                                         "/once/x"};
  const std::string Id = "q" + std::to_string(++this->LastRequest);
  const std::string Key = Random() % 3 == 0 ? "k2" : "k1";
  CallerResult Got;
  Got.Path = Paths.at(Random() % Paths.size());
  Got.SentAt = SteadyClock::now();
  const std::string Part = std::to_string(Random() % 8);
  const Router &Chosen = this->Routers.at(Random() % this->Routers.size());
  ++this->Asked;
  try {
    Poco::Net::StreamSocket S;
    S.connect(Poco::Net::SocketAddress(Chosen.Callers), Poco::Timespan(1, 0));
    S.setReceiveTimeout(Poco::Timespan(4, 0));
    sendText(S, "GET " + Got.Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " +
                    Id + "\r\nDeadline-Ms: 3000\r\nAuthorization: Token " +
                    Key + "\r\nToken-Count: 700,60\r\nPrefix-Hash: " + Part +
                    ":500," + Id + ":200\r\n\r\n");
    std::string In;
    std::array<char, 4096> Buffer{};
    std::optional<BodyDecoder> Body;
    while (!Got.Whole) {
      const int Count = S.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        break;
      In.append(Buffer.data(), static_cast<std::size_t>(Count));
      const std::size_t Length = Body ? 0 : headLength(In);
      if (Length > 0) {
        const auto Head = parseResponseHead(In.substr(0, Length));
        if (!Head)
          break;
        Got.Status = Head->Status;
        Body.emplace(planResponseBody(*Head, "GET").value());
        In.erase(0, Length);
      }
      if (Body)
        In.erase(0, Body->feed(In, Got.Body));
      Got.Whole = Body && Body->complete();
    }
  } catch (const Poco::Exception &) {
    // A killed or frozen router; what had come so far is judged.
  }
  if (Got.Whole && Got.Status == 200)
    ++this->Served;
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->Results[Id] = Got;
}

void SoakFleet::callersLoop(int Number) {
  std::mt19937_64 Random(this->Seed * 31 + static_cast<std::uint64_t>(Number));
  while (!this->Stopping) {
    this->callOnce(Random);
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 30));
  }
}

void SoakFleet::oneFault(std::mt19937_64 &Random) {
  Router &Chosen = this->Routers.at(Random() % this->Routers.size());
  switch (Random() % 8) {
  case 0:
    Chosen.Process->kill();
    pauseFor(Random, 50, 500);
    this->startRouter(Chosen);
    return;
  case 1:
    Chosen.Process->signal(SIGSTOP);
    pauseFor(Random, 200, 1500);
    Chosen.Process->signal(SIGCONT);
    return;
  case 2:
    Chosen.Process->signal(SIGTERM);
    Chosen.Process->wait();
    this->startRouter(Chosen);
    return;
  case 3:
    this->Store.setTrouble(StoreTrouble::Away);
    break;
  case 4:
    this->Store.setTrouble(StoreTrouble::Silent);
    break;
  case 5:
    this->Store.setTrouble(StoreTrouble::Slow);
    break;
  case 6:
    this->Store.dropHistory();
    return;
  default:
    this->writeConfiguration(this->RevokedAt == SteadyClock::time_point::max());
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
  TroubledWay &Way =
      Random() % 3 == 0
          ? *this->Routers.at(Random() % this->Routers.size()).Way
          : *this->ServerWays.at(Random() % this->ServerWays.size());
  Way.setTrouble(Troubles.at(Random() % Troubles.size()));
  pauseFor(Random, 300, 2500);
  Way.setTrouble(WayTrouble::None);
}

void SoakFleet::faultsLoop(std::uint64_t Start, Fault One) {
  std::mt19937_64 Random(Start);
  while (!this->Stopping && !this->Calm) {
    (this->*One)(Random);
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 500));
  }
  this->FaultsOver.count_down();
  // A process that this thread has started would be killed with its end.
  this->Stopping.wait(false);
}

void SoakFleet::run(std::chrono::milliseconds Time) {
  this->Began = SteadyClock::now();
  std::vector<std::thread> Workers;
  Workers.reserve(CallerThreads);
  for (int Number = 0; Number < CallerThreads; ++Number)
    Workers.emplace_back([this, Number] { this->callersLoop(Number); });
  // Two series, so that faults overlap.
  std::thread Faults(
      [this] { this->faultsLoop(this->Seed, &SoakFleet::oneFault); });
  std::thread WayFaults(
      [this] { this->faultsLoop(this->Seed + 1, &SoakFleet::oneWayFault); });
  std::this_thread::sleep_for(Time / 2);
  // In the middle of the faults one account loses its key.
  this->RevokedAt = SteadyClock::now();
  this->writeConfiguration(false);
  std::this_thread::sleep_for(Time / 2);
  this->Calm = true;
  this->FaultsOver.wait();
  std::this_thread::sleep_for(3s);
  this->Stopping = true;
  this->Stopping.notify_all();
  Faults.join();
  WayFaults.join();
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
  if (Got.Status == 200 && Got.Whole && Got.Body != Expected)
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
  for (const auto &[Id, Got] : this->Results)
    this->checkRequest(Id, Got, Found);
  for (const auto &[Id, Ran] : this->Runs)
    if (!this->Results.contains(Id))
      Found.push_back("ran, but nobody asked: " + Id);
  return Found;
}

} // namespace parsleywing::test
