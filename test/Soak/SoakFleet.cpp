#include "Soak/SoakFleet.h"

#include "FreeAddress.h"

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
/// Before a caller that was refused, or found nobody, asks again.
constexpr auto RefusedPause = 50ms;

std::string chunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

std::string pathOf(const std::string &Request) {
  const std::size_t First = Request.find(' ');
  return Request.substr(First + 1, Request.find(' ', First + 1) - First - 1);
}

/// Callers that may be served at once. Every second seed has fewer than there
/// are connections of callers, so that routers close idle ones for others.
std::string callersLimit(std::uint64_t Seed) {
  return Seed % 2 == 0 ? "" : "max-callers = " + std::to_string(6 + Seed % 4);
}

} // namespace

std::string streamEvent(int Number, const std::string &Id) {
  return "id: " + std::to_string(Number) + "\ndata: " + Id + "\n\n";
}

void pauseFor(std::mt19937_64 &Random, int Least, unsigned More) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Least + static_cast<int>(Random() % More)));
}

SoakFleet::SoakFleet(std::uint64_t Chosen)
    : Seed(Chosen), ServerRandom(Chosen) {
  for (int I = 0; I < EngineCount + PlainCount; ++I) {
    this->Servers.push_back(std::make_unique<ScriptedServer>(
        [this, I](Poco::Net::StreamSocket &S, const std::string &Request) {
          return this->serve(static_cast<std::size_t>(I), S, Request);
        }));
    this->ServerLinks.push_back(
        {std::make_unique<TroubledWay>(this->Servers.back()->address()), {}});
    this->registerServer(static_cast<std::size_t>(I));
  }
  this->writeConfiguration();
  for (int I = 0; I < RouterCount; ++I) {
    Router Made;
    Made.Name = "r" + std::to_string(I);
    Made.CallerAddress = freeLoopbackAddress();
    Made.StoreLink = std::make_unique<TroubledWay>(this->Store.address());
    Made.Settings = this->Folder.write(
        Made.Name + ".ini",
        "[gateway]\nname = " + Made.Name + "\nzone = a\ncallers = " +
            Made.CallerAddress + "\npeers = " + freeLoopbackAddress() +
            "\ndrain-limit-s = " + std::to_string(DrainLimit.count()) + "\n" +
            callersLimit(this->Seed) + "\n[store]\naddress = " +
            Made.StoreLink->address() + "\n[log]\ntarget = stdout\n");
    this->Routers.push_back(std::move(Made));
  }
  for (Router &Each : this->Routers)
    this->startRouter(Each);
  for (Router &Each : this->Routers)
    waitForListener(Each.CallerAddress);
  std::this_thread::sleep_for(1500ms);
}

std::string SoakFleet::identityOf(std::size_t Server) const {
  return "s" + std::to_string(Server) + "-" +
         std::to_string(this->ServerLinks.at(Server).Starts);
}

void SoakFleet::registerServer(std::size_t Server) {
  const std::string Service = Server < EngineCount ? "engines" : "plain";
  this->Store.put("servers/" + this->identityOf(Server),
                  R"({"service":")" + Service + R"(","address":")" +
                      this->ServerLinks.at(Server).Link->address() +
                      R"(","zone":"a","slots":32,"state":"ready",)"
                      R"("version":"v1","seqNo":1,"coldLeftMs":0})");
}

SoakFleet::~SoakFleet() {
  for (Router &Each : this->Routers) {
    Each.Process->signal(SIGCONT);
    Each.Process->kill();
  }
}

void SoakFleet::startRouter(Router &Each) {
  this->recordDuring(Each.Started, [] {});
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
  const std::lock_guard<std::mutex> Lock(this->Mutex);
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
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return static_cast<int>(this->ServerRandom() % static_cast<unsigned>(Below));
}

/// A server: most requests are served, some refused, broken off or spoilt.
bool SoakFleet::serve(std::size_t Server, Poco::Net::StreamSocket &S,
                      const std::string &Request) {
  const int Luck = this->FaultsStopped ? 99 : this->chance(100);
  if (Luck < 3 && !pathOf(Request).ends_with("/crash")) {
    sendText(S, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    return true;
  }
  ServerRun Run{pathOf(Request), fieldOf(Request, "Tenant-Id"), Server,
                SteadyClock::now()};
  const std::string Id = fieldOf(Request, "Request-Id");
  std::size_t Place = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
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
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Runs[Id][Place] = Run;
  return Keeps;
}

bool SoakFleet::serveRun(int Luck, Poco::Net::StreamSocket &S,
                         const std::string &Request, ServerRun &Run) {
  const std::string Id = fieldOf(Request, "Request-Id");
  Run.Faulty = Luck < 10;
  if (Run.Path.ends_with("/crash"))
    return this->crash(S, Run, Luck % 2 == 0);
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
  const int BreakAt = !this->FaultsStopped && this->chance(100) < 8
                          ? this->chance(StreamEvents)
                          : -1;
  sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                  "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n");
  for (int Number = From; Number <= StreamEvents; ++Number) {
    if (Number == BreakAt) {
      Run.Faulty = true;
      sendText(S, chunk(streamEvent(Number, Id).substr(0, 4)));
      return false;
    }
    sendText(S, chunk(streamEvent(Number, Id)));
    std::this_thread::sleep_for(5ms);
  }
  sendText(S, "0\r\n\r\n");
  return true;
}

void SoakFleet::callOnce(std::mt19937_64 &Random,
                         std::vector<KeepAliveConnection> &Kept) {
  const std::array<std::string, 4> Paths{"/safe/", "/unsafe/", "/stream/",
                                         "/once/"};
  const std::string Id = "q" + std::to_string(++this->LastRequest);
  const std::string Key = Random() % 3 == 0 ? "k2" : "k1";
  CallerResult Got;
  // The same request comes again, now from one caller and now from another.
  Got.Path = Paths.at(Random() % Paths.size()) + std::to_string(Random() % 200);
  const std::string Part = std::to_string(Random() % 8);
  Got.Router = Random() % Kept.size();
  ++this->Requested;
  Kept[Got.Router].exchange(
      "GET " + Got.Path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
          "\r\nDeadline-Ms: " +
          std::to_string(std::chrono::milliseconds(Deadline).count()) +
          "\r\nAuthorization: Token " + Key +
          "\r\nToken-Count: 700,60\r\nPrefix-Hash: " + Part + ":500," + Id +
          ":200\r\n\r\n",
      Got);
  if (Got.isComplete() && Got.Status == 200)
    ++this->Served;
  if (Got.End == CallEnd::NotSent || Got.Status == 503)
    std::this_thread::sleep_for(RefusedPause);
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Results[Id] = Got;
}

/// Callers differ in how long they wait between requests, and in whether they
/// look at a connection before they use it again.
void SoakFleet::callerLoop(std::size_t Number) {
  constexpr std::array<unsigned, 4> LongestPauses{1, 30, 300, 1500};
  const unsigned LongestPause = LongestPauses.at(Number % LongestPauses.size());
  const bool Looks = Number % 3 == 0;
  std::mt19937_64 Random(this->Seed * 31 + Number);
  std::vector<KeepAliveConnection> Kept;
  for (const Router &Each : this->Routers)
    Kept.emplace_back(Each.CallerAddress, Looks);
  while (!this->Stopping) {
    this->callOnce(Random, Kept);
    pauseFor(Random, 0, LongestPause);
  }
  this->CallersDone.count_down();
}

void SoakFleet::faultLoop(std::uint64_t Start, const Fault &One) {
  std::mt19937_64 Random(Start);
  while (!this->Stopping && !this->FaultsStopped) {
    One(Random);
    std::this_thread::sleep_for(std::chrono::milliseconds(Random() % 500));
  }
  this->FaultsDone.count_down();
  // A process that this thread has started is killed with its end.
  this->CallersDone.wait();
}

void SoakFleet::run(std::chrono::milliseconds Time) {
  this->StartedAt = SteadyClock::now();
  std::vector<std::thread> Workers;
  for (std::size_t Number = 0; Number < CallerThreads; ++Number)
    Workers.emplace_back([this, Number] { this->callerLoop(Number); });
  Workers.emplace_back([this] { this->crashLoop(); });
  for (const char *Path : CrashingPaths)
    Workers.emplace_back([this, Path] { this->crashingCallerLoop(Path); });
  // Series of their own, so that faults overlap; a router belongs to one.
  const std::array<Fault, FaultSeriesCount> Series{
      [this](std::mt19937_64 &Random) { this->injectStoreFault(Random); },
      [this](std::mt19937_64 &Random) { this->injectLinkFault(Random); },
      [this](std::mt19937_64 &Random) {
        this->injectRouterFault(this->Routers[0], Random);
      },
      [this](std::mt19937_64 &Random) {
        this->injectRouterFault(this->Routers[1 + Random() % 2], Random);
      }};
  for (std::size_t Number = 0; Number < Series.size(); ++Number)
    Workers.emplace_back([this, Number, &Series] {
      this->faultLoop(this->Seed + Number, Series.at(Number));
    });
  std::this_thread::sleep_for(Time / 2);
  // In the middle of the faults one account loses its key.
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->RevokedAt = SteadyClock::now();
  }
  this->writeConfiguration();
  std::this_thread::sleep_for(Time / 2);
  this->FaultsStopped = true;
  this->FaultsDone.wait();
  std::this_thread::sleep_for(3s);
  this->Stopping = true;
  for (std::thread &Each : Workers)
    Each.join();
}

} // namespace parsleywing::test
