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
                       std::function<void(Event)> To)
    : Settings(S), Counters(C), Sink(std::move(To)), Random(S.Seed) {
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

void LoadPoller::watch(const std::vector<Watched> &Wanted) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::map<ServerId, PolledServer> Next;
  for (const Watched &Target : Wanted) {
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
  std::uniform_real_distribution<double> Part(-1, 1);
  const double Factor = 1 + this->Settings.Jitter * Part(this->Random);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(this->Settings.Interval.count()) * Factor));
}

std::map<ServerId, LoadPoller::PolledServer>::iterator LoadPoller::nextDue() {
  auto Best = this->Servers.end();
  for (auto At = this->Servers.begin(); At != this->Servers.end(); ++At)
    if (!At->second.InProgress &&
        (Best == this->Servers.end() || At->second.DueAt < Best->second.DueAt))
      Best = At;
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
    const Observation Seen = this->poll(Target);
    this->applyObservation(Target, Seen);
    Lock.lock();
  }
}

LoadPoller::Observation LoadPoller::poll(const Watched &Target) {
  ShortCall Call;
  Call.Address = Target.Address;
  Call.Path = Target.ReportsLoad ? MetricsPath : HealthPath;
  Call.Timeout = this->Settings.Timeout;
  ++this->Counters.PollCalls;
  const auto Answer = runShortCall(Call);
  Observation Seen;
  if (Answer) {
    this->Counters.PollBytes += Answer->Bytes;
    Seen.Leaving = Answer->Leaving;
    Seen.Answered = Answer->Leaving || Answer->Status == Ok;
  }
  if (!Seen.Answered)
    ++this->Counters.PollFailures;
  else if (Target.ReportsLoad && !Seen.Leaving)
    Seen.Load = parseLoadReport(Answer->Body);
  return Seen;
}

/// One report missed says little: a connection may have been lost. The server
/// counts as failed after several new connections in a row have failed, and as
/// usable again after the first that works.
void LoadPoller::applyObservation(const Watched &Target,
                                  const Observation &Seen) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  const auto Found = this->Servers.find(Target.Server);
  if (Found == this->Servers.end() ||
      Found->second.Target.Address != Target.Address)
    return; // It was taken off the list while it was asked.
  PolledServer &Server = Found->second;
  Server.InProgress = false;
  Server.ConsecutiveFailures =
      Seen.Answered ? 0 : Server.ConsecutiveFailures + 1;
  ServerCondition Now = Server.Condition;
  if (Seen.Answered)
    Now = Seen.Leaving ? ServerCondition::Leaving : ServerCondition::Usable;
  else if (Server.ConsecutiveFailures >= this->Settings.FailureThreshold)
    Now = ServerCondition::Failed;
  const TimePoint At = Clock::steady().now();
  // After one missed report the last condition is no longer what was seen.
  const bool IsSure = Seen.Answered || Now == ServerCondition::Failed;
  const bool Repeats =
      IsSure && At >= Server.LastReportedAt + this->Settings.RepeatInterval;
  const bool Tells = Now != Server.Condition || Repeats;
  Server.Condition = Now;
  if (Tells)
    Server.LastReportedAt = At;
  Lock.unlock();
  if (Tells)
    this->Sink(ServerConditionChanged{Target.Server, Now});
  if (Seen.Load)
    this->Sink(
        LoadReported{Target.Server, Seen.Load->Running, Seen.Load->Waiting});
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
  Poco::JSON::Object::Ptr Whole = new Poco::JSON::Object;
  Whole->set("watched", List);
  return Whole;
}

} // namespace parsleywing
