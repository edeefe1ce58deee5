#include "Soak/SoakFleet.h"

#include <algorithm>
#include <fstream>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto MaxRevocationTime = 5s;
/// The part of the drain limit that a router reserves for its own shutdown.
constexpr auto DrainReserve = 500ms;
/// The time within which all connected routers know of a crash.
constexpr auto CrashPropagationTime = 3s;
/// The number of crashes after which a request is refused, and the runs that
/// may still follow.
constexpr std::size_t CrashesBeforeRefusal = 3;
/// The same for a part of a prompt.
constexpr std::size_t CrashesBeforePartRefusal = 5;
constexpr std::size_t MaxRunsAfterRefusal = 3;

/// Whether the body is a part of a stream's events from one version, or all of
/// them, and belongs to the request.
bool isStreamOf(const std::string &Body, const std::string &Id, bool IsTakeUp,
                bool Complete) {
  CallerStream Stream;
  Stream.Attempts.push_back(Id);
  // The first event of the rest may have any number.
  if (IsTakeUp && Body.starts_with("id: "))
    Stream.LastId = std::stoi(Body.substr(4)) - 1;
  addEvents(Body, Stream);
  const std::set<std::string> Versions(Stream.Versions.begin(),
                                       Stream.Versions.end());
  return Stream.InOrder && Versions.size() <= 1 &&
         (!Complete || (Stream.LastId == SoakFleet::StreamEvents ||
                        (IsTakeUp && Body.empty())));
}

/// Whether a request to the path may run more than once.
bool isRepeatable(const std::string &Path) {
  return Path.starts_with("/safe/") || Path.starts_with("/stream/");
}

} // namespace

bool anyOverlaps(const std::vector<Interval> &Intervals,
                 SteadyClock::time_point From, SteadyClock::time_point To) {
  return std::ranges::any_of(Intervals, [&](const Interval &Each) {
    return Each.From <= To && From <= Each.To;
  });
}

void SoakFleet::checkRequest(const std::string &Id, const CallerResult &Result,
                             std::vector<std::string> &Violations) {
  const auto &RequestRuns = this->Runs[Id];
  const std::string Description = Id + " " + Result.Path + " status " +
                                  std::to_string(Result.Status) + " runs " +
                                  std::to_string(RequestRuns.size());
  const bool Repeatable = isRepeatable(Result.Path);
  if (!Repeatable && RequestRuns.size() > 1)
    Violations.push_back("ran more than once: " + Description);
  if (Result.Status == 503 && !RequestRuns.empty())
    Violations.push_back("reported as not run, but ran: " + Description);
  const bool Streamed =
      Result.Path.starts_with("/stream/") || Result.Path.starts_with("/once/");
  const bool IsTakeUp = this->TakeUps.contains(Id);
  const bool IsOwn =
      Streamed ? isStreamOf(Result.Body, Id, IsTakeUp, Result.isComplete())
               : (Result.isComplete() ? Result.Body == Id
                                      : Id.starts_with(Result.Body));
  if (Result.Status == 200 && !IsOwn)
    Violations.push_back("not its own response: " + Description + " body " +
                         Result.Body);
  for (const ServerRun &Run : RequestRuns) {
    if (Run.Path != Result.Path)
      Violations.push_back("ran with another path: " + Description);
    if (Run.Account == "two" &&
        Result.SentAt > this->RevokedAt + MaxRevocationTime &&
        Run.StartedAt > this->RevokedAt + MaxRevocationTime + TransportTime)
      Violations.push_back("ran with a revoked key: " + Description);
  }
}

/// The drain whose limit the router reached while the request was in progress;
/// null if there is none.
const Interval *SoakFleet::reachedDrainLimit(const CallerResult &Result) const {
  for (const Interval &Each : this->Routers.at(Result.Router).Drained)
    if (Each.To >= Each.From + DrainLimit - DrainReserve &&
        Result.SentAt <= Each.To && Each.To <= Result.EndedAt + TransportTime)
      return &Each;
  return nullptr;
}

/// The run at the server that responded last. While two servers are asked, the
/// first may go on: the later one is cancelled, though it may start to run the
/// request after that. This holds unless the router asks a third one behind it.
const ServerRun &SoakFleet::lastRun(const std::string &Id,
                                    const CallerResult &Result) {
  const auto &RequestRuns = this->Runs[Id];
  const std::string Log = this->logOf(Id, Result);
  const auto FieldAt = [&Log](const std::string &Name, std::size_t From) {
    const std::size_t At = Log.find(Name, From);
    if (At == std::string::npos)
      return std::string();
    const std::size_t Begin = At + Name.size();
    return Log.substr(Begin, Log.find_first_of(" \n", Begin) - Begin);
  };
  const std::string Asked = "," + FieldAt(" servers=", 0) + ",";
  for (const ServerRun &Each : RequestRuns) {
    const std::size_t At =
        Log.rfind(" server=" + Each.Identity + " responds again:");
    if (At == std::string::npos)
      continue;
    const std::string Other = FieldAt(" other-server=", At);
    if (Asked.ends_with("," + (Other == "-" ? Each.Identity : Other) + ",") &&
        Log.find(" superseded:", At) == std::string::npos &&
        Log.find(" lost:", At) == std::string::npos)
      return Each;
  }
  // A server that pauses may start to run the request behind a later one.
  const auto PlaceOf = [&Asked](const ServerRun &Run) {
    return Asked.rfind("," + Run.Identity + ",") + 1;
  };
  const ServerRun *Last = &RequestRuns.front();
  for (const ServerRun &Each : RequestRuns)
    if (PlaceOf(Each) >= PlaceOf(*Last))
      Last = &Each;
  return *Last;
}

/// A response that has started may be truncated if its last server truncated or
/// corrupted it, the link to this server had a fault, the deadline was
/// exceeded, or the router reached its drain limit while the server was still
/// running the request.
bool SoakFleet::mayBeTruncated(const CallerResult &Result,
                               const ServerRun &LastRun) const {
  const Interval *Drain = this->reachedDrainLimit(Result);
  return LastRun.Faulty || Result.EndedAt - Result.SentAt >= Deadline ||
         anyOverlaps(this->ServerLinks.at(LastRun.Server).Faults,
                     Result.SentAt - TransportTime, Result.EndedAt) ||
         (Drain != nullptr && LastRun.EndedAt + TransportTime > Drain->To);
}

/// A request that was sent gets a complete response, or a reset. With a reset,
/// the router has not read it and no server has run it. This holds also if the
/// router drains, is frozen or closes idle connections. The exceptions are:
/// - any end if the router was killed;
/// - no end before the caller's timeout if the router was frozen;
/// - a truncated response if `mayBeTruncated` permits it.
void SoakFleet::checkEnd(const std::string &Id, const CallerResult &Result,
                         std::vector<std::string> &Violations) {
  const Router &Target = this->Routers.at(Result.Router);
  if (Result.End == CallEnd::NotSent || Result.End == CallEnd::Left ||
      Result.isComplete() ||
      anyOverlaps(Target.Killed, Result.SentAt, Result.EndedAt))
    return;
  const auto &RequestRuns = this->Runs[Id];
  const bool Frozen = anyOverlaps(Target.Frozen, Result.SentAt, Result.EndedAt);
  if (Frozen && Result.End == CallEnd::TimedOut)
    return;
  if (Result.Status == 0 && Result.End == CallEnd::Reset && RequestRuns.empty())
    return;
  if (Result.Status != 0 && !RequestRuns.empty() &&
      this->mayBeTruncated(Result, this->lastRun(Id, Result)))
    return;
  const auto Ms = [this](SteadyClock::time_point Time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              Time - this->StartedAt)
                              .count()) +
           " ms";
  };
  std::string Text = Result.Status != 0 ? "response truncated: "
                                        : "ended without a response: ";
  Text += Id + " " + Result.Path + " at " + Target.Name + " from " +
          Result.LocalAddress + ", request " +
          std::to_string(Result.EarlierRequests + 1) +
          " of its connection, sent at " + Ms(Result.SentAt) + ", ended at " +
          Ms(Result.EndedAt) + ": " +
          std::string(nameOf(CallEndNames, Result.End)) + ", runs" +
          this->runsText(Id);
  Text += Frozen ? ", router was frozen meanwhile" : "";
  for (const Interval &Each : Target.Drained)
    if (anyOverlaps({Each}, Result.SentAt, Result.EndedAt))
      Text += ", SIGTERM at " + Ms(Each.From) + ", exit at " + Ms(Each.To);
  Violations.push_back(Text + this->logOf(Id, Result));
}

/// The router's log lines about the request and its connection.
std::string SoakFleet::logOf(const std::string &Id,
                             const CallerResult &Result) const {
  std::ifstream Log(
      this->Folder.path(this->Routers.at(Result.Router).Name + ".log"));
  std::string Lines;
  for (std::string Line; std::getline(Log, Line);)
    if (Line.find("request=" + Id + " ") != std::string::npos ||
        Line.find("connection=" + Result.LocalAddress + " ") !=
            std::string::npos)
      Lines += "\n  " + Line;
  return Lines;
}

/// Checks that no router discards input: no caller sends after a response that
/// announces a close, so there is nothing to read after the router has closed
/// its side of the connection. Also checks that no request is refused for
/// crashes that another one has caused.
void SoakFleet::checkLog(const Router &Target,
                         std::vector<std::string> &Violations) const {
  std::ifstream Log(this->Folder.path(Target.Name + ".log"));
  for (std::string Line; std::getline(Log, Line);) {
    if (Line.find(" refused=crashes-servers ") != std::string::npos &&
        Line.find("request=crash") == std::string::npos)
      Violations.push_back("refused for crashes of another request at " +
                           Target.Name + ": " + Line);
    if (Line.find(" ended: unsent=") != std::string::npos &&
        Line.find(" discarded=0 ") == std::string::npos)
      Violations.push_back("discarded input at " + Target.Name + ": " + Line);
  }
}

/// Whether the router that sent the request had run for `CrashPropagationTime`
/// without a fault of its own.
bool SoakFleet::sentWhileConnected(const std::string &Id,
                                   const ServerRun &Run) {
  const Router &Sender = this->Routers.at(this->Results[Id].Router);
  const auto From = Run.StartedAt - CrashPropagationTime;
  return !anyOverlaps(Sender.Killed, From, Run.StartedAt) &&
         !anyOverlaps(Sender.Frozen, From, Run.StartedAt) &&
         !anyOverlaps(Sender.Drained, From, Run.StartedAt) &&
         !anyOverlaps(Sender.Started, From, Run.StartedAt);
}

/// A request that has crashed three servers may run at most three more times
/// later than `CrashPropagationTime` after the third crash, sent by connected
/// routers.
void SoakFleet::checkCrashing(
    const std::string &Name, std::size_t CrashesToBound,
    const std::function<bool(const ServerRun &)> &Crashes,
    std::vector<std::string> &Violations) {
  std::vector<std::pair<std::string, ServerRun>> RequestRuns;
  for (const auto &[Id, Runs] : this->Runs)
    for (const ServerRun &Each : Runs)
      if (Crashes(Each))
        RequestRuns.emplace_back(Id, Each);
  std::ranges::sort(RequestRuns, {},
                    [](const auto &Each) { return Each.second.StartedAt; });
  if (RequestRuns.size() < CrashesToBound)
    return;
  const auto Bound = RequestRuns[CrashesToBound - 1].second.StartedAt;
  std::size_t LateRuns = 0;
  std::string Text;
  for (const auto &[Id, Run] : RequestRuns) {
    if (Run.StartedAt <= Bound + CrashPropagationTime ||
        !this->sentWhileConnected(Id, Run))
      continue;
    ++LateRuns;
    Text += this->logOf(Id, this->Results[Id]);
  }
  if (LateRuns > MaxRunsAfterRefusal)
    Violations.push_back(Name + " was sent " + std::to_string(LateRuns) +
                         " times after crash " +
                         std::to_string(CrashesToBound) + ", " +
                         std::to_string(RequestRuns.size()) + " in total" +
                         Text + this->crashLog());
}

/// The log lines of all routers about crashes.
std::string SoakFleet::crashLog() const {
  std::string Lines;
  for (const Router &Each : this->Routers) {
    std::ifstream Log(this->Folder.path(Each.Name + ".log"));
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find(" crashed: evidence=") != std::string::npos ||
          Line.find(" is refused from now on: ") != std::string::npos)
        Lines += "\n  " + Each.Name + " " + Line;
  }
  return Lines;
}

std::string SoakFleet::summary() {
  std::map<std::pair<std::int64_t, int>, int> Counts;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Id, Result] : this->Results) {
    const auto Second = std::chrono::duration_cast<std::chrono::seconds>(
        Result.SentAt - this->StartedAt);
    ++Counts[{Second.count(), Result.Status}];
  }
  std::string Text;
  std::int64_t LastSecond = -1;
  for (const auto &[Key, Count] : Counts) {
    if (Key.first != LastSecond)
      Text += "\n  second " + std::to_string(Key.first) + ":";
    LastSecond = Key.first;
    Text += " " + std::to_string(Key.second) + " x" + std::to_string(Count);
  }
  return Text + "\n  refused:" + this->refusalSummary();
}

/// The refusals of all routers by their reasons.
std::string SoakFleet::refusalSummary() const {
  const std::string Field = " refused=";
  std::map<std::string, int> Counts;
  for (const Router &Each : this->Routers) {
    std::ifstream Log(this->Folder.path(Each.Name + ".log"));
    for (std::string Line; std::getline(Log, Line);) {
      const std::size_t At = Line.find(Field);
      if (At == std::string::npos)
        continue;
      const std::size_t Begin = At + Field.size();
      ++Counts[Line.substr(Begin, Line.find(' ', Begin) - Begin)];
    }
  }
  std::string Text;
  for (const auto &[Reason, Count] : Counts)
    Text += " " + Reason + " x" + std::to_string(Count);
  return Text;
}

std::vector<std::string> SoakFleet::violations() {
  std::vector<std::string> Violations;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Id, Result] : this->Results) {
    this->checkRequest(Id, Result, Violations);
    this->checkEnd(Id, Result, Violations);
  }
  for (const Router &Each : this->Routers)
    this->checkLog(Each, Violations);
  for (const std::string &Name : this->RefusingRouters)
    Violations.push_back(Name + " refuses connections behind the faults");
  for (const char *Path : CrashingPaths)
    this->checkCrashing(
        Path, CrashesBeforeRefusal,
        [Path](const ServerRun &Each) { return Each.Path == Path; },
        Violations);
  if (this->hasCrashingPart())
    this->checkCrashing(
        "The crashing part", CrashesBeforePartRefusal,
        [](const ServerRun &Each) { return Each.HasCrashingPart; }, Violations);
  this->checkOutcomes(Violations);
  this->checkStreams(Violations);
  this->checkLeaving(Violations);
  this->checkDepartures(Violations);
  this->checkPauses(Violations);
  this->checkRetries(Violations);
  for (const auto &[Id, RequestRuns] : this->Runs)
    if (!this->Results.contains(Id))
      Violations.push_back("ran without a request: " + Id);
  return Violations;
}

} // namespace parsleywing::test
