#include "Gateway/RequestHistory.h"

#include <array>
#include <sstream>
#include <thread>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t CallerCount = 80;
/// The time over which callers start.
constexpr auto CallerTime = 2500ms;
/// Longer than the time of each request, so that a drain ends none.
constexpr auto DrainTimeout = 9s;
constexpr auto IdleTimeout = 3s;
constexpr auto Downtime = 600ms;

ServerReaction reactionAt(std::uint64_t Percent) {
  if (Percent < 45)
    return ServerReaction::Serve;
  if (Percent < 75)
    return ServerReaction::Pause;
  if (Percent < 83)
    return ServerReaction::Reject;
  if (Percent < 88)
    return ServerReaction::Fail;
  return Percent < 95 ? ServerReaction::Disconnect
                      : ServerReaction::NeverRespond;
}

/// Depends on nothing but the seed, the server and the request.
PlannedReaction drawReaction(std::uint64_t Seed, std::size_t Server,
                             const std::string &Request) {
  const std::string Number = fieldOf(Request, "Request-Id").substr(1);
  std::seed_seq Sequence{Seed, std::uint64_t{Server},
                         std::uint64_t{std::stoul(Number)}};
  std::mt19937_64 Random(Sequence);
  PlannedReaction Planned;
  Planned.Reaction = reactionAt(Random() % 100);
  Planned.Response.Point = static_cast<PausePoint>(Random() % 4);
  Planned.Response.Events = RequestHistory::EventCount;
  const bool Refuses = Planned.Reaction == ServerReaction::Reject ||
                       Planned.Reaction == ServerReaction::Fail;
  if (Planned.Reaction == ServerReaction::Pause ||
      (Refuses && Random() % 2 == 0))
    Planned.Response.Pause = std::chrono::milliseconds(300 + Random() % 1900);
  return Planned;
}

} // namespace

RequestHistory::RequestHistory(std::uint64_t S) : Seed(S), Random(S) {
  this->drawFront();
  this->drawServers();
  this->drawCallers();
}

std::chrono::milliseconds RequestHistory::drawTime(unsigned Min, unsigned Max) {
  return std::chrono::milliseconds(Min + this->Random() % (Max - Min));
}

void RequestHistory::drawFront() {
  this->Front.Slots = this->draw(50) ? 6 : 30;
  this->Front.Settings.DrainTimeout = DrainTimeout;
  if (this->draw(50))
    this->Front.Settings.Retries = {0.2, 10s, this->draw(50) ? 5.0 : 50.0};
  if (this->draw(50))
    this->Front.Configuration.Services["plain"].KvCapacityTokens = 100'000;
  for (GatewayRoute &Each : this->Front.Configuration.Routes)
    Each.Timeout = HistoryCaller::Timeout;
  this->Drains = this->draw(25);
}

void RequestHistory::drawServers() {
  const std::size_t Count = 2 + this->Random() % 3;
  const bool TwoVersions = this->draw(50);
  for (std::size_t Number = 0; Number < Count; ++Number) {
    this->Servers.push_back(std::make_unique<ReactingServer>(
        this->Log, Number, [this, Number](const std::string &Request) {
          return drawReaction(this->Seed, Number, Request);
        }));
    const bool IsSecond = TwoVersions && Number % 2 == 1;
    this->Servers.back()->setVersion(IsSecond ? "v2" : "v1");
    this->Front.addServer(this->Servers.back()->server());
  }
}

void RequestHistory::drawCallers() {
  constexpr std::array<const char *, 10> Routes{
      "safe",   "safe",   "safe",   "safe",   "stream",
      "stream", "stream", "stream", "unsafe", "once"};
  for (std::size_t Number = 0; Number < CallerCount; ++Number) {
    this->Callers.push_back(std::make_unique<HistoryCaller>(
        static_cast<int>(Number), Routes.at(this->Random() % Routes.size())));
    HistoryCaller &Caller = *this->Callers.back();
    Caller.StartsAfter = this->drawTime(0, CallerTime.count());
    if (this->draw(10))
      Caller.LeavesAfter = this->drawTime(100, 2500);
  }
}

void RequestHistory::play() {
  this->Front.start();
  ServerList List = this->Front.servers();
  for (std::size_t Number = 0; Number < this->Servers.size(); ++Number)
    List.at("s" + std::to_string(Number)).Version =
        this->Servers.at(Number)->version();
  this->Front.setServers(List);
  const SteadyTime Start = std::chrono::steady_clock::now();
  std::vector<std::thread> Threads;
  Threads.reserve(this->Callers.size());
  for (const auto &Each : this->Callers)
    Threads.emplace_back([this, Start, Caller = Each.get()] {
      std::this_thread::sleep_until(Start + Caller->StartsAfter);
      Caller->call(this->Front.connect());
    });
  this->changeViews(Start + CallerTime);
  if (this->Drains)
    this->Front.front().drain();
  for (std::thread &Each : Threads)
    Each.join();
  this->waitUntilIdle();
  // Ends all scripts, so that all arrivals are recorded.
  this->Servers.clear();
  this->Arrivals = this->Log.arrivals();
}

void RequestHistory::changeViews(SteadyTime Until) {
  while (std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(this->drawTime(50, 400));
    this->changeView();
  }
}

void RequestHistory::changeView() {
  const std::size_t Number = this->Random() % this->Servers.size();
  const std::string Id = "s" + std::to_string(Number);
  switch (this->Random() % 8) {
  case 0:
    this->removeForAWhile(Id);
    return;
  case 1:
    this->drainForAWhile(Id);
    return;
  case 2:
    this->crash(Number);
    return;
  case 3:
  case 4:
  case 5:
    this->Servers.at(Number)->freeze(this->drawTime(600, 2200));
    return;
  default:
    ++this->Front.Configuration.Version;
    this->Front.setServers(this->Front.servers());
    return;
  }
}

void RequestHistory::removeForAWhile(const std::string &Id) {
  const ServerList Listed = this->Front.servers();
  this->Front.removeServer(Id);
  std::this_thread::sleep_for(this->drawTime(100, 500));
  this->Front.setServers(Listed);
}

void RequestHistory::drainForAWhile(const std::string &Id) {
  const ServerList Listed = this->Front.servers();
  ServerList Changed = Listed;
  Changed.at(Id).Draining = true;
  this->Front.setServers(Changed);
  std::this_thread::sleep_for(this->drawTime(100, 500));
  this->Front.setServers(Listed);
}

/// The new process is listed before it gets requests. A server that is still
/// down cannot crash.
void RequestHistory::crash(std::size_t Number) {
  const SteadyTime Now = std::chrono::steady_clock::now();
  if (Now < this->DownUntil[Number])
    return;
  this->DownUntil[Number] = Now + 2 * Downtime;
  const std::string Id = "s" + std::to_string(Number);
  this->Servers.at(Number)->crash(Downtime);
  std::this_thread::sleep_for(this->drawTime(20, 200));
  this->Front.restartServer(Id, this->Front.servers().at(Id).StartedMs + 1);
}

/// The router sees a little later than its callers that their requests ended.
void RequestHistory::waitUntilIdle() {
  const SteadyTime Until = std::chrono::steady_clock::now() + IdleTimeout;
  do {
    std::this_thread::sleep_for(100ms);
    this->Metrics = this->Front.metrics();
  } while (this->metric("requests_active") > 0 &&
           std::chrono::steady_clock::now() < Until);
}

std::uint64_t RequestHistory::metric(const std::string &Name) const {
  std::istringstream Lines(this->Metrics);
  const std::string Series = "parsleywing_" + Name;
  std::uint64_t Sum = 0;
  for (std::string Line; std::getline(Lines, Line);) {
    const bool Matches =
        Line.starts_with(Series + " ") || Line.starts_with(Series + "{");
    if (Matches)
      Sum += std::stoull(Line.substr(Line.rfind(' ') + 1));
  }
  return Sum;
}

} // namespace parsleywing::test
