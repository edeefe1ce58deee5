#include "Soak/SoakFleet.h"

#include <algorithm>
#include <fstream>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// How long a server pauses: minimum and range of its random part.
constexpr int MinPauseMs = 300;
constexpr unsigned PauseRangeMs = 1100;
/// The time between two pauses of a series.
constexpr unsigned BetweenPausesRangeMs = 500;
/// A server that has just gone on does not pause again for this time.
constexpr auto MinAwake = 300ms;
/// One of so many pauses covers all servers.
constexpr unsigned AllPauseDivisor = 4;
/// The part of the requests, in percent, whose connection alone pauses.
constexpr int ConnectionPausePercent = 6;
constexpr int ResponsePausePointCount = 5;
/// What routers log about a silent server.
constexpr std::array<const char *, 4> SilenceEvents{
    "unresponsive", "responds again", "superseded", "lost"};

/// The longer of two draws: routers act on silence of more than a second.
std::chrono::milliseconds drawLength(std::mt19937_64 &Random) {
  const auto First = Random() % PauseRangeMs;
  const auto Second = Random() % PauseRangeMs;
  return std::chrono::milliseconds(MinPauseMs +
                                   static_cast<int>(std::max(First, Second)));
}

/// The value of a field of a log line, with the space before its name; empty if
/// there is none.
std::string logField(const std::string &Line, const std::string &Name) {
  const std::size_t At = Line.find(Name + "=");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 1;
  return Line.substr(Begin, Line.find(' ', Begin) - Begin);
}

} // namespace

/// Pauses one server or all of them. Those that pause already, or have just
/// gone on, are left out.
void SoakFleet::pauseServers(std::mt19937_64 &Random,
                             SteadyClock::time_point End) {
  const bool All = Random() % AllPauseDivisor == 0;
  const std::size_t Only = Random() % this->ServerLinks.size();
  const auto Now = SteadyClock::now();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (std::size_t I = 0; I < this->ServerLinks.size(); ++I) {
    ServerLink &Each = this->ServerLinks[I];
    if ((All || I == Only) && Each.PausedUntil + MinAwake <= Now)
      Each.PausedUntil = End;
  }
}

/// Half of the pauses have a change of the configuration in them.
void SoakFleet::pauseLoop(std::uint64_t SeriesSeed) {
  std::mt19937_64 Random(SeriesSeed);
  while (!this->Stopping && !this->FaultsStopped) {
    pauseFor(Random, 0, BetweenPausesRangeMs);
    const auto End = SteadyClock::now() + drawLength(Random);
    this->pauseServers(Random, End);
    if (Random() % 2 == 0) {
      pauseFor(Random, 0, MinPauseMs);
      this->writeConfiguration();
    }
    std::this_thread::sleep_until(End);
  }
}

ResponsePause SoakFleet::drawPause() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  ResponsePause Pause;
  if (this->FaultsStopped ||
      this->ServerRandom() % 100 >= ConnectionPausePercent)
    return Pause;
  Pause.Point = static_cast<ResponsePausePoint>(
      1 + this->ServerRandom() % ResponsePausePointCount);
  Pause.Length = drawLength(this->ServerRandom);
  Pause.Event = 1 + static_cast<int>(this->ServerRandom() % StreamEvents);
  return Pause;
}

void SoakFleet::waitWhilePaused(std::size_t Server) {
  while (true) {
    SteadyClock::time_point Until;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Until = this->ServerLinks.at(Server).PausedUntil;
    }
    if (SteadyClock::now() >= Until)
      return;
    std::this_thread::sleep_until(Until);
  }
}

void SoakFleet::send(const ServerRun &Run, Poco::Net::StreamSocket &Connection,
                     const std::string &Text) {
  this->waitWhilePaused(Run.Server);
  sendText(Connection, Text);
}

/// Whether a request may end without a server's response: if one of its servers
/// responded wrongly or not at all or had a fault of its link, its deadline was
/// exceeded, or its router was killed or reached its drain limit.
bool SoakFleet::mayBeGivenUp(const std::string &Id, const CallerResult &Result,
                             const std::string &OutcomeLine) {
  if (Result.EndedAt - Result.SentAt >= Deadline ||
      this->reachedDrainLimit(Result) != nullptr ||
      anyOverlaps(this->Routers.at(Result.Router).Killed, Result.SentAt,
                  Result.EndedAt))
    return true;
  for (const ServerRun &Each : this->Runs[Id])
    if (Each.Faulty)
      return true;
  const std::string Servers = "," + logField(OutcomeLine, " servers");
  for (std::size_t I = 0; I < this->ServerLinks.size(); ++I)
    if (Servers.find(",s" + std::to_string(I) + "-") != std::string::npos &&
        anyOverlaps(this->ServerLinks[I].Faults, Result.SentAt - TransportTime,
                    Result.EndedAt))
      return true;
  return false;
}

/// Whether the router may have been killed before it wrote about the end of the
/// request. It notices that a caller has left, and writes its log, a little
/// later.
bool SoakFleet::mayBeUnlogged(const CallerResult &Result) const {
  return anyOverlaps(this->Routers.at(Result.Router).Killed, Result.SentAt,
                     Result.EndedAt + TransportTime);
}

/// When the request ended, and what was done to its router in the seconds
/// around, in ms of the run.
std::string SoakFleet::routerText(const CallerResult &Result) const {
  const Router &Target = this->Routers.at(Result.Router);
  const auto Ms = [this](SteadyClock::time_point Time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              Time - this->StartedAt)
                              .count());
  };
  std::string Text = ", at " + Target.Name + " from " + Ms(Result.SentAt) +
                     " to " + Ms(Result.EndedAt);
  const auto Add = [&](const char *What, const std::vector<Interval> &All) {
    for (const Interval &Each : All)
      if (anyOverlaps({Each}, Result.SentAt - Deadline,
                      Result.EndedAt + Deadline))
        Text += std::string(", ") + What + " " + Ms(Each.From) + " to " +
                Ms(Each.To);
  };
  Add("killed", Target.Killed);
  Add("frozen", Target.Frozen);
  Add("drained", Target.Drained);
  return Text;
}

/// The servers that ran the request, with the start of each run in ms.
std::string SoakFleet::runsText(const std::string &Id) {
  std::string Text;
  for (const ServerRun &Each : this->Runs[Id])
    Text +=
        " " + Each.Identity + " from " +
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                           Each.StartedAt - this->StartedAt)
                           .count()) +
        " ms" + (Each.Faulty ? " (faulty)" : "");
  return Text;
}

/// A request has one line about its end, unless its router was killed, and is
/// not given up for a server that only paused.
void SoakFleet::checkOutcome(const std::string &Id, const CallerResult &Result,
                             const std::vector<std::string> &Lines,
                             std::vector<std::string> &Violations) {
  if (Lines.size() > 1 ||
      (Lines.empty() && Result.Status != 0 && !this->mayBeUnlogged(Result)))
    Violations.push_back(std::to_string(Lines.size()) +
                         " lines about the end of " + Id + " " + Result.Path +
                         " status " + std::to_string(Result.Status) + " end " +
                         std::string(nameOf(CallEndNames, Result.End)) +
                         this->routerText(Result) + ", runs" +
                         this->runsText(Id) + this->logOf(Id, Result));
  if (Lines.empty() || Id.starts_with("crash"))
    return;
  const bool IsGivenUp =
      Result.isComplete() && (Result.Status == 502 || Result.Status == 504);
  const bool IsUnresponsive =
      logField(Lines.front(), " cause") == "server-unresponsive";
  if ((IsGivenUp || IsUnresponsive) &&
      !this->mayBeGivenUp(Id, Result, Lines.front()))
    Violations.push_back(
        "given up for a sound server: " + Id + " " + Result.Path + " status " +
        std::to_string(Result.Status) + this->routerText(Result) + ", runs" +
        this->runsText(Id) + this->logOf(Id, Result));
}

void SoakFleet::checkOutcomes(std::vector<std::string> &Violations) {
  std::map<std::string, std::vector<std::string>> LinesOf;
  std::map<std::string, int> Counts;
  for (const Router &Each : this->Routers) {
    std::ifstream Log(this->Folder.path(Each.Name + ".log"));
    for (std::string Line; std::getline(Log, Line);) {
      if (Line.find(" outcome=") != std::string::npos)
        LinesOf[logField(Line, " request")].push_back(Line);
      for (const char *Event : SilenceEvents)
        Counts[Event] +=
            Line.find(std::string(" ") + Event + ":") != std::string::npos;
    }
  }
  for (const char *Event : SilenceEvents)
    this->PauseSummary +=
        std::string(" ") + Event + " x" + std::to_string(Counts[Event]);
  for (const auto &[Id, Result] : this->Results)
    this->checkOutcome(Id, Result, LinesOf[Id], Violations);
}

} // namespace parsleywing::test
