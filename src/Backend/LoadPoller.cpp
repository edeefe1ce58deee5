#include "Backend/LoadPoller.h"

#include "Backend/ShortCall.h"

#include <Poco/JSON/Array.h>
#include <algorithm>

namespace parsleywing {

namespace {

constexpr const char *MetricsPath = "/metrics";
constexpr const char *HealthPath = "/health";
constexpr int Ok = 200;

} // namespace

LoadPoller::LoadPoller(PollSettings S, BackendCounters &C,
                       std::function<void(Event)> ReportTo)
    : Settings(S), Counters(C), Sink(std::move(ReportTo)), Random(S.Seed) {
  for (unsigned Number = 0; Number < S.Threads; ++Number)
    this->Threads.emplace_back([this] { this->runThread(); });
}

LoadPoller::~LoadPoller() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  for (std::thread &Thread : this->Threads)
    Thread.join();
}

void LoadPoller::watch(const std::vector<Watched> &Targets) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::map<ServerId, PolledServer> Next;
  for (const Watched &Target : Targets) {
    const auto Old = this->Servers.find(Target.Server);
    PolledServer &New = Next[Target.Server];
    if (Old != this->Servers.end() &&
        Old->second.Target.Address == Target.Address)
      New = Old->second;
    else
      New.LastReportedAt = Clock::steady().now();
    New.Target = Target;
  }
  this->Servers = std::move(Next);
  this->Changed.notify_all();
}

Duration LoadPoller::nextInterval() {
  std::uniform_real_distribution<double> Distribution(-1, 1);
  const double Factor = 1 + this->Settings.Jitter * Distribution(this->Random);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(this->Settings.Interval.count()) * Factor));
}

std::map<ServerId, LoadPoller::PolledServer>::iterator LoadPoller::nextDue() {
  auto Best = this->Servers.end();
  for (auto It = this->Servers.begin(); It != this->Servers.end(); ++It)
    if (!It->second.InProgress &&
        (Best == this->Servers.end() || It->second.DueAt < Best->second.DueAt))
      Best = It;
  return Best;
}

void LoadPoller::runThread() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    const auto Next = this->nextDue();
    if (Next == this->Servers.end()) {
      this->Changed.wait_for(Lock, this->Settings.Interval);
      continue;
    }
    const TimePoint Now = Clock::steady().now();
    if (Next->second.DueAt > Now) {
      this->Changed.wait_for(Lock, Next->second.DueAt - Now);
      continue;
    }
    Next->second.InProgress = true;
    Next->second.DueAt = Now + this->nextInterval();
    const Watched Target = Next->second.Target;
    Lock.unlock();
    const Observation PollResult = this->poll(Target);
    this->applyObservation(Target, PollResult);
    Lock.lock();
  }
}

LoadPoller::Observation LoadPoller::poll(const Watched &Target) {
  ShortCall Call;
  Call.Address = Target.Address;
  Call.Path = Target.ReportsLoad ? MetricsPath : HealthPath;
  Call.Timeout = this->Settings.Timeout;
  ++this->Counters.PollCalls;
  const auto Response = runShortCall(Call);
  Observation PollResult;
  if (Response) {
    this->Counters.PollBytes += Response->Bytes;
    PollResult.Leaving = Response->Leaving;
    PollResult.Answered = Response->Leaving || Response->Status == Ok;
  }
  if (!PollResult.Answered)
    ++this->Counters.PollFailures;
  else if (Target.ReportsLoad && !PollResult.Leaving)
    PollResult.Load = parseLoadReport(Response->Body);
  return PollResult;
}

/// A single failed poll is no evidence, since a connection may have been lost.
/// The server counts as failed after `FailureThreshold` consecutive failures,
/// each on a new connection, and as usable again after the first success.
void LoadPoller::applyObservation(const Watched &Target,
                                  const Observation &PollResult) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  const auto Found = this->Servers.find(Target.Server);
  if (Found == this->Servers.end() ||
      Found->second.Target.Address != Target.Address)
    return; // The server was removed while it was polled.
  PolledServer &Server = Found->second;
  Server.InProgress = false;
  Server.ConsecutiveFailures =
      PollResult.Answered ? 0 : Server.ConsecutiveFailures + 1;
  ServerCondition NewCondition = Server.Condition;
  if (PollResult.Answered)
    NewCondition =
        PollResult.Leaving ? ServerCondition::Leaving : ServerCondition::Usable;
  else if (Server.ConsecutiveFailures >= this->Settings.FailureThreshold)
    NewCondition = ServerCondition::Failed;
  const TimePoint Now = Clock::steady().now();
  // After a failed poll the last condition is no longer confirmed.
  const bool IsConfirmed =
      PollResult.Answered || NewCondition == ServerCondition::Failed;
  const bool IsRepeatDue =
      IsConfirmed &&
      Now >= Server.LastReportedAt + this->Settings.RepeatInterval;
  const bool ShouldReport = NewCondition != Server.Condition || IsRepeatDue;
  Server.Condition = NewCondition;
  if (ShouldReport)
    Server.LastReportedAt = Now;
  Lock.unlock();
  if (ShouldReport)
    this->Sink(ServerConditionChanged{Target.Server, NewCondition});
  if (PollResult.Load)
    this->Sink(LoadReported{Target.Server, PollResult.Load->Running,
                            PollResult.Load->Waiting});
}

Poco::JSON::Object::Ptr LoadPoller::dump() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Poco::JSON::Array::Ptr List = new Poco::JSON::Array;
  for (const auto &[Id, Server] : this->Servers) {
    Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
    Row->set("server", Id.Value);
    Row->set("address", Server.Target.Address);
    Row->set("condition",
             std::string(nameOf(ServerConditionNames, Server.Condition)));
    Row->set("failures_in_a_row", Server.ConsecutiveFailures);
    List->add(Row);
  }
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("watched", List);
  return Dump;
}

} // namespace parsleywing
