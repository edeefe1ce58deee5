#include "Soak/SoakFleet.h"

#include <algorithm>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

/// From a request to the end of all connections of the server that it crashes.
const Poco::Timespan MostCrashTime(2, 0);
/// How long a crashed server is away, at least and more.
constexpr int LeastAwayMs = 400;
constexpr unsigned MoreAwayMs = 800;
/// A crashed server's entry lapses so long after the crash.
constexpr auto LapseTime = 300ms;
/// Between two repeats of a request that crashes servers.
constexpr int LeastRepeatMs = 20;
constexpr unsigned MoreRepeatMs = 300;

} // namespace

bool SoakFleet::crash(Poco::Net::StreamSocket &Connection, const ServerRun &Run,
                      bool Early) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ServersToCrash.push_back(Run.Server);
  }
  if (!Early)
    Connection.poll(MostCrashTime, Poco::Net::Socket::SELECT_READ);
  return false;
}

/// A server of its own thread each, so that crashes overlap.
void SoakFleet::crashLoop() {
  std::vector<std::thread> Away;
  std::set<std::size_t> Known;
  std::mutex KnownMutex;
  while (!this->Stopping) {
    std::vector<std::size_t> Wanted;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Wanted.swap(this->ServersToCrash);
    }
    for (const std::size_t Server : Wanted) {
      const std::lock_guard<std::mutex> Lock(KnownMutex);
      if (!Known.insert(Server).second)
        continue;
      Away.emplace_back([&, Server] {
        this->crashAndRestart(Server);
        const std::lock_guard<std::mutex> Ended(KnownMutex);
        Known.erase(Server);
      });
    }
    std::this_thread::sleep_for(2ms);
  }
  for (std::thread &Each : Away)
    Each.join();
}

/// The server is back under another identity, at the same address.
void SoakFleet::crashAndRestart(std::size_t Server) {
  ServerLink &Way = this->ServerLinks.at(Server);
  this->recordDuring(Way.Faults, [&] {
    Way.Link->setAway(true);
    std::this_thread::sleep_for(LapseTime);
    this->Store.remove("servers/" + this->identityOf(Server));
    std::this_thread::sleep_for(
        std::chrono::milliseconds(LeastAwayMs + this->chance(MoreAwayMs)));
    Way.Link->setAway(false);
    ++Way.Starts;
    this->registerServer(Server);
  });
}

/// One caller, who repeats one request at any router.
void SoakFleet::crashingCallerLoop(const std::string &Path) {
  std::mt19937_64 Random(this->Seed * 37 + Path.size());
  std::vector<KeepAliveConnection> Kept;
  for (const Router &Each : this->Routers)
    Kept.emplace_back(Each.CallerAddress, true);
  while (!this->Stopping) {
    const std::string Id = "crash" + std::to_string(++this->LastRequest);
    CallerResult Got;
    Got.Path = Path;
    Got.Router = Random() % Kept.size();
    std::string Request = "GET " + Path + " HTTP/1.1\r\nHost: h\r\n";
    Request.append("Request-Id: ").append(Id);
    Request += "\r\nDeadline-Ms: 3000\r\nAuthorization: Token k1\r\n\r\n";
    Kept[Got.Router].exchange(Request, Got);
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Results[Id] = Got;
    }
    pauseFor(Random, LeastRepeatMs, MoreRepeatMs);
  }
}

} // namespace parsleywing::test
