#include "Soak/SoakFleet.h"

#include <algorithm>
#include <fstream>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto RevocationBound = 5s;
/// The end of the drain limit that a router keeps for its own end.
constexpr auto DrainReserve = 500ms;
/// Within this time of a crash all routers in touch know of it.
constexpr auto ContactTime = 3s;
/// Crashes behind which a request is refused, and sends that may follow.
constexpr std::size_t CrashesBeforeRefusal = 3;
constexpr std::size_t SendsBehindRefusal = 3;
/// From the caller's send to what the server notes, on a busy machine.
constexpr auto Transport = 500ms;

std::string wholeStream(const std::string &Id) {
  std::string Text;
  for (int Number = 1; Number <= SoakFleet::StreamEvents; ++Number)
    Text += streamEvent(Number, Id);
  return Text;
}

/// Whether a request to the path may run more than once.
bool mayRepeat(const std::string &Path) {
  return Path.starts_with("/safe/") || Path.starts_with("/stream/");
}

bool anyTouches(const std::vector<Interval> &Spans,
                SteadyClock::time_point From, SteadyClock::time_point To) {
  return std::ranges::any_of(Spans, [&](const Interval &Each) {
    return Each.From <= To && From <= Each.To;
  });
}

} // namespace

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
  if (Got.Status == 200 && Got.isComplete() && Got.Body != Expected)
    Into.push_back("not its own whole answer: " + What + " body " + Got.Body);
  if (Got.Status == 200 && !Expected.starts_with(Got.Body))
    Into.push_back("not the beginning of its answer: " + What);
  for (const ServerRun &Run : Ran) {
    if (Run.Path != Got.Path)
      Into.push_back("ran with another path: " + What);
    if (Run.Account == "two" &&
        Got.SentAt > this->RevokedAt + RevocationBound &&
        Run.StartedAt > this->RevokedAt + RevocationBound + Transport)
      Into.push_back("ran with a key taken away: " + What);
  }
}

/// The drain whose limit the router came to within the request's time.
const Interval *SoakFleet::reachedDrainLimit(const CallerResult &Got) const {
  for (const Interval &Each : this->Routers.at(Got.Router).Drained)
    if (Each.To >= Each.From + DrainLimit - DrainReserve &&
        Got.SentAt <= Each.To && Each.To <= Got.EndedAt + Transport)
      return &Each;
  return nullptr;
}

/// An answer that has begun may end short where its last server broke it off or
/// spoilt it, the way there was in trouble, its time was over, or the router
/// came to its drain limit while the server was still at work.
bool SoakFleet::mayBeTruncated(const CallerResult &Got,
                               const ServerRun &Last) const {
  const Interval *Drain = this->reachedDrainLimit(Got);
  return Last.Faulty || Got.EndedAt - Got.SentAt >= Deadline ||
         anyTouches(this->ServerLinks.at(Last.Server).Faults,
                    Got.SentAt - Transport, Got.EndedAt) ||
         (Drain != nullptr && Last.EndedAt + Transport > Drain->To);
}

/// A request that was sent gets a whole answer, or a reset: then nobody has
/// read it, and no server has run it. That its router drains, stands still or
/// closes idle connections changes nothing. Allowed are
/// - any end where the router was killed;
/// - no end within the caller's time where the router stood still;
/// - an answer that is cut where `mayBeCut` says so.
void SoakFleet::checkEnd(const std::string &Id, const CallerResult &Got,
                         std::vector<std::string> &Into) {
  const Router &Asked = this->Routers.at(Got.Router);
  if (Got.End == CallEnd::NotSent || Got.isComplete() ||
      anyTouches(Asked.Killed, Got.SentAt, Got.EndedAt))
    return;
  const auto &Ran = this->Runs[Id];
  const bool Frozen = anyTouches(Asked.Frozen, Got.SentAt, Got.EndedAt);
  if (Frozen && Got.End == CallEnd::TimedOut)
    return;
  if (Got.Status == 0 && Got.End == CallEnd::Reset && Ran.empty())
    return;
  if (Got.Status != 0 && !Ran.empty() && this->mayBeTruncated(Got, Ran.back()))
    return;
  const auto Ms = [this](SteadyClock::time_point At) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                              At - this->StartedAt)
                              .count()) +
           " ms";
  };
  std::string Text =
      Got.Status != 0 ? "answer cut: " : "ended without an answer: ";
  Text += Id + " " + Got.Path + " at " + Asked.Name + " from " +
          Got.LocalAddress + ", request " +
          std::to_string(Got.EarlierRequests + 1) +
          " of its connection, sent at " + Ms(Got.SentAt) + ", ended at " +
          Ms(Got.EndedAt) + ": " + std::string(nameOf(CallEndNames, Got.End)) +
          ", runs " + std::to_string(Ran.size()) +
          (Frozen ? ", router stood still meanwhile" : "");
  for (const Interval &Each : Asked.Drained)
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
        Line.find("connection=" + Got.LocalAddress + " ") != std::string::npos)
      Found += "\n  " + Line;
  return Found;
}

/// No caller sends behind an answer that announces a close, so a router has
/// nothing to read behind its own end of a connection.
/// Nor is a request refused for crashes that another one has caused.
void SoakFleet::checkLog(const Router &Of,
                         std::vector<std::string> &Into) const {
  std::ifstream Log(this->Folder.path(Of.Name + ".log"));
  for (std::string Line; std::getline(Log, Line);) {
    if (Line.find(" refused=crashes-servers ") != std::string::npos &&
        Line.find("request=crash") == std::string::npos)
      Into.push_back("refused though innocent at " + Of.Name + ": " + Line);
    if (Line.find(" ended: unsent=") != std::string::npos &&
        Line.find(" discarded=0 ") == std::string::npos)
      Into.push_back("read and dropped at " + Of.Name + ": " + Line);
  }
}

/// Whether the router that sent it had run undisturbed for `ContactTime`, and
/// so had the way to the server.
bool SoakFleet::sentWhileConnected(const std::string &Id,
                                   const ServerRun &Run) {
  const Router &By = this->Routers.at(this->Results[Id].Router);
  const auto From = Run.StartedAt - ContactTime;
  return !anyTouches(By.Killed, From, Run.StartedAt) &&
         !anyTouches(By.Frozen, From, Run.StartedAt) &&
         !anyTouches(By.Drained, From, Run.StartedAt) &&
         !anyTouches(By.Started, From, Run.StartedAt);
}

/// A request that has crashed three servers is sent to three more at most, by
/// routers in touch, later than `ContactTime` behind the third crash.
void SoakFleet::checkCrashing(const std::string &Path,
                              std::vector<std::string> &Into) {
  std::vector<std::pair<std::string, ServerRun>> Ran;
  for (const auto &[Id, Runs] : this->Runs)
    for (const ServerRun &Each : Runs)
      if (Each.Path == Path)
        Ran.emplace_back(Id, Each);
  std::ranges::sort(Ran, {},
                    [](const auto &Each) { return Each.second.StartedAt; });
  if (Ran.size() < CrashesBeforeRefusal)
    return;
  const auto Third = Ran[CrashesBeforeRefusal - 1].second.StartedAt;
  std::size_t Late = 0;
  std::string Text;
  for (const auto &[Id, Run] : Ran) {
    if (Run.StartedAt <= Third + ContactTime ||
        !this->sentWhileConnected(Id, Run))
      continue;
    ++Late;
    Text += this->logOf(Id, this->Results[Id]);
  }
  if (Late > SendsBehindRefusal)
    Into.push_back(Path + " was sent " + std::to_string(Late) +
                   " times behind its third crash, " +
                   std::to_string(Ran.size()) + " in all" + Text +
                   this->crashLog());
}

/// What the routers have logged of crashes.
std::string SoakFleet::crashLog() const {
  std::string Found;
  for (const Router &Each : this->Routers) {
    std::ifstream Log(this->Folder.path(Each.Name + ".log"));
    for (std::string Line; std::getline(Log, Line);)
      if (Line.find(" crashed: evidence=") != std::string::npos ||
          Line.find(" is refused from now on: ") != std::string::npos)
        Found += "\n  " + Each.Name + " " + Line;
  }
  return Found;
}

std::string SoakFleet::summary() {
  std::map<std::pair<std::int64_t, int>, int> Counts;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Id, Got] : this->Results) {
    const auto Second = std::chrono::duration_cast<std::chrono::seconds>(
        Got.SentAt - this->StartedAt);
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

std::vector<std::string> SoakFleet::violations() {
  std::vector<std::string> Found;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const auto &[Id, Got] : this->Results) {
    this->checkRequest(Id, Got, Found);
    this->checkEnd(Id, Got, Found);
  }
  for (const Router &Each : this->Routers)
    this->checkLog(Each, Found);
  for (const char *Path : CrashingPaths)
    this->checkCrashing(Path, Found);
  for (const auto &[Id, Ran] : this->Runs)
    if (!this->Results.contains(Id))
      Found.push_back("ran, but nobody asked: " + Id);
  return Found;
}

} // namespace parsleywing::test
