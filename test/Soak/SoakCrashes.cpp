#include "Soak/SoakFleet.h"

#include <algorithm>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

/// The maximum time from a request until its server crashes and ends all
/// connections.
const Poco::Timespan MaxCrashTime(2, 0);
/// The minimum downtime of a crashed server, and the range of its random part.
constexpr int MinDowntimeMs = 400;
constexpr unsigned DowntimeRangeMs = 800;
/// The time from a crash until the server's entry is removed from the store.
constexpr auto LeaseExpiryTime = 300ms;
/// The pause between two repetitions of a request that crashes servers: minimum
/// and range of its random part.
constexpr int MinRepeatMs = 20;
constexpr unsigned RepeatRangeMs = 300;

} // namespace

bool SoakFleet::crash(Poco::Net::StreamSocket &Connection, const ServerRun &Run,
                      bool Early) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ServersToCrash.push_back(Run.Server);
  }
  if (!Early)
    Connection.poll(MaxCrashTime, Poco::Net::Socket::SELECT_READ);
  return false;
}

bool SoakFleet::crashUnframed(Poco::Net::StreamSocket &Connection,
                              const ServerRun &Run, const std::string &Id) {
  this->send(Run, Connection,
             "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                 "\r\nResponse-Seal: s\r\nContent-Type: "
                 "text/event-stream\r\n\r\n" +
                 streamEvent(1, Id, Run.Version) + "id: 2\nda");
  return this->crash(Connection, Run, false);
}

/// Restarts each crashed server in its own thread, so that crashes can overlap.
void SoakFleet::crashLoop() {
  std::vector<std::thread> Restarts;
  std::set<std::size_t> InProgress;
  std::mutex InProgressMutex;
  while (!this->Stopping) {
    std::vector<std::size_t> Crashed;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Crashed.swap(this->ServersToCrash);
    }
    for (const std::size_t Server : Crashed) {
      const std::lock_guard<std::mutex> Lock(InProgressMutex);
      if (!InProgress.insert(Server).second)
        continue;
      Restarts.emplace_back([&, Server] {
        this->crashAndRestart(Server);
        const std::lock_guard<std::mutex> EndLock(InProgressMutex);
        InProgress.erase(Server);
      });
    }
    std::this_thread::sleep_for(2ms);
  }
  for (std::thread &Each : Restarts)
    Each.join();
}

/// The server returns with another identity at the same address.
void SoakFleet::crashAndRestart(std::size_t Server) {
  ServerLink &Target = this->ServerLinks.at(Server);
  this->recordDuring(Target.Faults, [&] {
    Target.Link->setAway(true);
    std::this_thread::sleep_for(LeaseExpiryTime);
    this->Store.remove("servers/" + this->identityOf(Server));
    std::this_thread::sleep_for(std::chrono::milliseconds(
        MinDowntimeMs + this->chance(DowntimeRangeMs)));
    Target.Link->setAway(false);
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      ++Target.Starts;
      Target.Leaving = false;
    }
    this->registerServer(Server);
  });
}

/// A caller that repeats one request at random routers.
void SoakFleet::crashingCallerLoop(const std::string &Path) {
  std::mt19937_64 Random(this->Seed * 37 + Path.size());
  std::vector<KeepAliveConnection> Connections;
  for (const Router &Each : this->Routers)
    Connections.emplace_back(Each.CallerAddress, true);
  while (!this->Stopping) {
    this->waitWhileQuiet();
    const std::string Id = "crash" + std::to_string(++this->LastRequest);
    CallerResult Result;
    Result.Path = Path;
    Result.Router = Random() % Connections.size();
    std::string Request = "GET " + Path + " HTTP/1.1\r\nHost: h\r\n";
    Request.append("Request-Id: ").append(Id);
    Request += "\r\nDeadline-Ms: 3000\r\nAuthorization: Token k1\r\n\r\n";
    Connections[Result.Router].exchange(Request, Result);
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Results[Id] = Result;
    }
    pauseFor(Random, MinRepeatMs, RepeatRangeMs);
  }
  this->CallersDone.count_down();
}

/// A caller whose requests have one part in common that crashes engines, and
/// differ in all else.
void SoakFleet::crashingPartLoop() {
  std::mt19937_64 Random(this->Seed * 41);
  std::vector<KeepAliveConnection> Connections;
  for (const Router &Each : this->Routers)
    Connections.emplace_back(Each.CallerAddress, true);
  while (!this->Stopping) {
    this->waitWhileQuiet();
    const std::string Id = "crash" + std::to_string(++this->LastRequest);
    CallerResult Result;
    Result.Path = "/stream/" + Id;
    Result.Router = Random() % Connections.size();
    std::string Request = "GET " + Result.Path + " HTTP/1.1\r\nHost: h\r\n";
    Request.append("Request-Id: ").append(Id);
    Request += "\r\nDeadline-Ms: 3000\r\nAuthorization: Token k1\r\n"
               "Token-Count: 700,60\r\nPrefix-Hash: ";
    Request.append(CrashingPrompt).append(Id).append(":200\r\n\r\n");
    Connections[Result.Router].exchange(Request, Result);
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Results[Id] = Result;
    }
    pauseFor(Random, MinRepeatMs, RepeatRangeMs);
  }
  this->CallersDone.count_down();
}

} // namespace parsleywing::test
