#include "Placement/SlotAllocator.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace parsleywing {

namespace {

/// The expected time of a request in a group of which nothing is known.
constexpr double DefaultServiceMs = 20;
/// The weight of a new measurement in the average. Ten requests move it by two
/// thirds. With 0.2, the random part of the times of a server that is three
/// times slower kept some of its slots unused while requests waited.
constexpr double MeasurementWeight = 0.1;

/// How long a reported load is used: it changes many times a second.
constexpr Duration ReportLifetime = std::chrono::milliseconds(300);
/// The bounds of the factor from a stated work time.
constexpr double MinWorkTimeFactor = 0.25;
constexpr double MaxWorkTimeFactor = 4;

/// Reported slots of others are believed this long after the server refused a
/// request as full. A server that reports a false load but accepts requests is
/// thus not believed.
constexpr Duration RefusalMemory = std::chrono::seconds(1);
/// A full server gets no grant for this long.
constexpr Duration MinFullTime = std::chrono::milliseconds(2);
constexpr Duration MaxFullTime = std::chrono::milliseconds(20);

/// A server that is slower than the best one by more than this factor gets
/// fewer slots, in proportion, and at least one. At 15 ms and an objective of
/// 120 ms, its responses are late whatever the wait.
constexpr double MaxSlowness = 8;
/// A server with requests of which none has ended for this many times the
/// average has become slower. The age of a single request shows nothing: with
/// exponentially distributed times, one in 150 takes five times the average.
constexpr double MaxOverdue = 5;
/// The number of failures in a row after which a server that still responds
/// gets one request at a time.
constexpr std::uint32_t FailuresBeforeProbing = 2;

/// What a server in another zone costs, in milliseconds: a round trip.
constexpr double OtherZoneMs = 3;
/// How much a full server's expected time is raised, so that servers of equal
/// speed are used evenly.
constexpr double OccupancyWeight = 0.25;
/// Time for the messages between allocator, router and server, in milliseconds.
constexpr double TransitMs = 5;

/// The maximum number of waiting requests of a group. At 1,200 requests a
/// second and an objective of 120 ms some 150 can be served in time.
constexpr std::size_t MaxQueued = 1024;
/// The number of requests of one account that are tried for a free slot, since
/// the first may exclude the servers that have one.
constexpr int MaxRequestsTried = 6;

/// The bounds of `RetryAfterMs`.
constexpr double MinRetryAfterMs = 50;
constexpr double MaxRetryAfterMs = 1000;

/// As for engines: routers report each active attempt every 250 ms.
constexpr Duration GrantReportTimeout = std::chrono::milliseconds(1500);
constexpr Duration ExpiryInterval = std::chrono::milliseconds(100);

double millisecondsOf(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

Duration durationOf(double Milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

double factorOf(const ServerLoadReport &Report) {
  return Report.WorkTimePercent == 0
             ? 1
             : std::clamp(Report.WorkTimePercent / 100.0, MinWorkTimeFactor,
                          MaxWorkTimeFactor);
}

void addMeasurement(double &Mean, double Value) {
  Mean += Mean == 0 ? Value : MeasurementWeight * (Value - Mean);
}

} // namespace

SlotAllocator::SlotAllocator() {
  // The routers receive the responses, so silence cannot be detected here.
  this->Servers.setSilenceDetection(false);
}

void SlotAllocator::setServers(const std::shared_ptr<const ServerList> &Listed,
                               const GatewayConfiguration *Configuration,
                               const ServerGroups &AllGroups,
                               const ViewTime &Time) {
  this->Servers.setServers(Listed, Configuration, &AllGroups, Time);
  this->dropGrantsOfEarlierProcesses();
  this->GroupOf.clear();
  for (auto &[Key, Group] : this->Groups)
    Group.Servers.clear();
  if (Configuration == nullptr)
    return;
  for (const auto &[Id, Server] : *Listed) {
    const auto Service = Configuration->Services.find(Server.Service);
    if (Service == Configuration->Services.end() ||
        Service->second.KvCapacityTokens > 0)
      continue;
    const std::uint64_t Hash = hashName(Id);
    const std::uint64_t Key = AllGroups.groupOfServer(Id, Server.Service);
    this->GroupOf[Hash] = Key;
    this->Groups[Key].Servers.push_back(Hash);
    SlotServer &Entry = this->Entries[Hash];
    Entry.Slots = std::max(Server.Slots, 1U);
    Entry.Zone = hashName(Server.Zone);
  }
  std::erase_if(this->Entries, [this](const auto &Each) {
    return !this->GroupOf.contains(Each.first) && Each.second.Running.empty();
  });
  std::erase_if(this->Groups, [](const auto &Each) {
    return Each.second.Servers.empty() && Each.second.Queued == 0;
  });
}

void SlotAllocator::handle(const RouterMessage &Message, TimePoint Now) {
  std::visit([this, Now](const auto &M) { this->process(M, Now); }, Message);
}

void SlotAllocator::process(const AllocationRequest &Request, TimePoint Now) {
  // The router repeats a request whose reply was lost or is late.
  if (const auto Granted = this->ActiveGrants.find(Request.Id);
      Granted != this->ActiveGrants.end()) {
    this->Replies.emplace_back(AllocationGrant{
        Request.Id, Granted->second.Server, 0, 0,
        Granted->second.Load.ServerStartedMs, 0, Granted->second.SendWithinMs});
    return;
  }
  if (this->QueuedRequests.contains(Request.Id)) {
    this->Replies.emplace_back(AllocationQueued{Request.Id});
    return;
  }
  GroupState &Group = this->Groups[Request.Group];
  QueuedRequest New;
  New.Request = Request;
  New.ArrivedAt = Now;
  New.ObjectiveDeadline =
      Now + std::chrono::milliseconds(Request.ObjectiveLeftMs);
  New.WaitDeadline = Now + std::chrono::milliseconds(Request.MaxWaitMs);
  New.ExcludedServers.insert(Request.ExcludedServers.begin(),
                             Request.ExcludedServers.end());
  New.Late =
      Now + durationOf(this->bestMs(Group, Now)) >= New.ObjectiveDeadline;
  AccountState &Account = Group.Accounts[Request.Account];
  if (Account.size() == 0)
    Account.Granted = std::max(Account.Granted, Group.Served);
  Account.queue(New.Late).emplace(deadlineOf(New), Request.Id);
  ++Group.Queued;
  this->QueuedRequests.emplace(Request.Id, std::move(New));
  this->dispatch(Group, Now);
  const auto Found = this->QueuedRequests.find(Request.Id);
  if (Found == this->QueuedRequests.end())
    return;
  // A request with an earlier attempt may have run, so a refusal would make it
  // fail. It waits as long as it can still be served.
  const bool IsNew = Request.ExcludedServers.empty();
  const QueuedRequest &Queued = Found->second;
  double MaxWaitMs = millisecondsOf(Queued.WaitDeadline - Now);
  if (!Queued.Late)
    MaxWaitMs =
        std::min(MaxWaitMs, millisecondsOf(Queued.ObjectiveDeadline - Now) -
                                this->bestMs(Group, Now) - TransitMs);
  if (IsNew && this->predictedWaitMs(Group, Queued, Now) > MaxWaitMs) {
    this->refuse(Group, Request, SlotRefusal::WaitPredicted, Now);
    return;
  }
  if (Group.Queued > MaxQueued)
    this->shorten(Group, Now);
  if (this->QueuedRequests.contains(Request.Id))
    this->Replies.emplace_back(AllocationQueued{Request.Id});
}

void SlotAllocator::process(const AllocationCancelled &Message, TimePoint Now) {
  this->removeQueued(Message.Id);
  this->endGrant(Message.Id, ServerVerdict::Healthy, Now);
}

void SlotAllocator::process(const GrantStarted &Message, TimePoint) {
  const auto Found = this->ActiveGrants.find(Message.Id);
  if (Found != this->ActiveGrants.end())
    Found->second.Started = true;
}

void SlotAllocator::process(const GrantEnded &Message, TimePoint Now) {
  this->endGrant(Message.Id, Message.Verdict, Now);
}

void SlotAllocator::process(const ServerLoadReport &Message, TimePoint Now) {
  const auto Found = this->Entries.find(Message.Server);
  const TimePoint ReportedAt = Now - std::chrono::milliseconds(Message.AgeMs);
  if (Found == this->Entries.end() || ReportedAt < Found->second.ReportedAt ||
      Message.ServerStartedMs < this->Servers.startOf(Message.Server))
    return;
  SlotServer &Entry = Found->second;
  Entry.Report = Message;
  Entry.ReportedAt = ReportedAt;
  Entry.OthersSeenAt = ReportedAt;
  const std::size_t Own = Entry.Running.size();
  Entry.UsedByOthers = Message.Running > Own
                           ? Message.Running - static_cast<std::uint32_t>(Own)
                           : 0;
}

void SlotAllocator::process(const GrantActive &Message, TimePoint Now) {
  const auto Listed = this->Entries.find(Message.Server);
  if (Listed == this->Entries.end())
    return;
  const std::int64_t KnownStart = this->Servers.startOf(Message.Server);
  if (Message.ServerStartedMs > KnownStart) {
    this->Servers.recordStart(Message.Server, Message.ServerStartedMs);
    this->dropGrantsOfEarlierProcesses();
  }
  const auto Found = this->ActiveGrants.find(Message.Id);
  if (Found != this->ActiveGrants.end() &&
      Found->second.Server == Message.Server) {
    Found->second.LastReported = Now;
    return;
  }
  // The router has sent the request to another server in the meantime.
  if (Found != this->ActiveGrants.end())
    this->endGrant(Message.Id, ServerVerdict::Healthy, Now);
  // The attempt was sent to an earlier process.
  if (Message.ServerStartedMs < KnownStart)
    return;
  ActiveGrant Foreign;
  Foreign.Server = Message.Server;
  Foreign.Load = {0, 0, Message.ServerStartedMs};
  Foreign.GrantedAt = Now;
  Foreign.LastReported = Now;
  Foreign.Foreign = true;
  Listed->second.Running.emplace(Now, Message.Id);
  this->Servers.recordSent(Message.Server, Foreign.Load, {}, Now);
  this->ActiveGrants.emplace(Message.Id, Foreign);
}

void SlotAllocator::endGrant(const CorrelationId &Id, ServerVerdict Verdict,
                             TimePoint Now) {
  const auto Found = this->ActiveGrants.find(Id);
  if (Found == this->ActiveGrants.end())
    return;
  const ActiveGrant Ended = Found->second;
  this->ActiveGrants.erase(Found);
  // A grant that was returned unused says nothing about the server, and must
  // not end its backoff. A full server works: it must not get one.
  const bool IsUnused = Verdict == ServerVerdict::Healthy && !Ended.Started;
  if (IsUnused)
    this->Servers.recordReturned(Ended.Server, Ended.Load);
  else
    this->Servers.recordEnded(
        Ended.Server, Ended.Load, {},
        Verdict == ServerVerdict::Full ? ServerVerdict::Healthy : Verdict, Now);
  SlotServer &Entry = this->Entries[Ended.Server];
  Entry.Running.erase({Ended.GrantedAt, Id});
  Entry.LastEndedAt = Now;
  if (Verdict == ServerVerdict::Full) {
    // The refused request itself was not running there.
    const auto Own = static_cast<std::uint32_t>(Entry.Running.size());
    const bool HasReport = Entry.Report && Entry.Report->Id == Id;
    const std::uint32_t Used = HasReport ? Entry.Report->Running : Entry.Slots;
    Entry.UsedByOthers = Used > Own ? Used - Own : 0;
    Entry.OthersSeenAt = Now;
    Entry.RefusedAt = Now;
    Entry.FullUntil =
        Now + std::clamp(durationOf(this->expectedMs(Entry, Now) / Entry.Slots),
                         MinFullTime, MaxFullTime);
    return;
  }
  if (Verdict != ServerVerdict::Healthy) {
    Entry.Failures +=
        Verdict == ServerVerdict::Failed ? 1 : FailuresBeforeProbing;
    return;
  }
  if (IsUnused)
    return;
  Entry.Failures = 0;
  if (Ended.Foreign)
    return;
  const double Time = millisecondsOf(Now - Ended.GrantedAt);
  const bool FreshReport =
      Entry.Report && Now - Entry.ReportedAt < ReportLifetime;
  addMeasurement(Entry.MeanMs, Time);
  addMeasurement(Entry.UsualMs,
                 Time / (FreshReport ? factorOf(*Entry.Report) : 1));
}

void SlotAllocator::dropGrantsOfEarlierProcesses() {
  std::erase_if(this->ActiveGrants, [this](const auto &Each) {
    const auto &[Id, Grant] = Each;
    if (Grant.Load.ServerStartedMs >= this->Servers.startOf(Grant.Server))
      return false;
    SlotServer &Entry = this->Entries[Grant.Server];
    Entry.Running.erase({Grant.GrantedAt, Id});
    // What was learnt of the earlier process does not hold for this one.
    Entry.Failures = 0;
    Entry.Report.reset();
    Entry.UsedByOthers = 0;
    return true;
  });
}

void SlotAllocator::tick(TimePoint Now) {
  if (Now - this->LastExpiry >= ExpiryInterval) {
    this->LastExpiry = Now;
    this->expireGrants(Now);
  }
  this->expireQueued(Now);
  for (auto &[Key, Group] : this->Groups)
    if (Group.Queued > 0)
      this->dispatch(Group, Now);
}

void SlotAllocator::expireGrants(TimePoint Now) {
  std::vector<CorrelationId> Lost;
  for (const auto &[Id, Grant] : this->ActiveGrants)
    if (Now - Grant.LastReported >= GrantReportTimeout)
      Lost.push_back(Id);
  for (const CorrelationId &Id : Lost) {
    this->ActiveGrants.at(Id).Started = false;
    this->endGrant(Id, ServerVerdict::Healthy, Now);
  }
  // An account that has no more than the common value gets it again when it
  // returns.
  for (auto &Entry : this->Groups) {
    GroupState &Group = Entry.second;
    std::erase_if(Group.Accounts, [&Group](const auto &Each) {
      return Each.second.size() == 0 && Each.second.Granted <= Group.Served;
    });
  }
}

void SlotAllocator::markLate(GroupState &Group, TimePoint Now) {
  const Duration Needed = durationOf(this->bestMs(Group, Now));
  for (auto &[Key, Account] : Group.Accounts)
    while (!Account.InTime.empty()) {
      const auto First = Account.InTime.begin();
      if (Now + Needed < First->first)
        break;
      const CorrelationId Id = First->second;
      QueuedRequest &Queued = this->QueuedRequests.at(Id);
      Account.InTime.erase(First);
      Queued.Late = true;
      Account.Late.emplace(deadlineOf(Queued), Id);
    }
}

void SlotAllocator::expireQueued(TimePoint Now) {
  for (auto &[Key, Group] : this->Groups) {
    if (Group.Queued == 0)
      continue;
    this->markLate(Group, Now);
    std::vector<CorrelationId> Expired;
    for (const auto &[AccountKey, Account] : Group.Accounts)
      for (const auto &[Deadline, Id] : Account.Late) {
        if (Deadline > Now)
          break;
        Expired.push_back(Id);
      }
    for (const CorrelationId &Id : Expired)
      this->refuse(Group,
                   AllocationRequest(this->QueuedRequests.at(Id).Request),
                   SlotRefusal::WaitExpired, Now);
  }
}

void SlotAllocator::removeQueued(const CorrelationId &Id) {
  const auto Found = this->QueuedRequests.find(Id);
  if (Found == this->QueuedRequests.end())
    return;
  const QueuedRequest &Queued = Found->second;
  GroupState &Group = this->Groups.at(Queued.Request.Group);
  Group.Accounts.at(Queued.Request.Account)
      .queue(Queued.Late)
      .erase({deadlineOf(Queued), Id});
  --Group.Queued;
  this->QueuedRequests.erase(Found);
}

double SlotAllocator::expectedMs(const SlotServer &Entry, TimePoint Now) const {
  double Expected = Entry.MeanMs;
  if (Entry.UsualMs > 0 && Entry.Report &&
      Now - Entry.ReportedAt < ReportLifetime)
    Expected = Entry.UsualMs * factorOf(*Entry.Report);
  if (Expected == 0)
    Expected = DefaultServiceMs;
  if (!Entry.Running.empty()) {
    const double SinceEnd = millisecondsOf(
        Now - std::max(Entry.LastEndedAt, Entry.Running.begin()->first));
    if (SinceEnd > MaxOverdue * Expected)
      Expected = SinceEnd;
  }
  return Expected;
}

Duration SlotAllocator::expectedTime(std::uint64_t Server,
                                     TimePoint Now) const {
  return durationOf(this->expectedMs(this->Entries.at(Server), Now));
}

double SlotAllocator::bestMs(const GroupState &Group, TimePoint Now) const {
  double Best = 0;
  for (const std::uint64_t Server : Group.Servers) {
    if (!this->Servers.usable(Server, Now))
      continue;
    const double Expected = this->expectedMs(this->Entries.at(Server), Now);
    Best = Best == 0 ? Expected : std::min(Best, Expected);
  }
  return Best;
}

std::uint32_t SlotAllocator::slotLimit(std::uint64_t Server,
                                       const SlotServer &Entry, double BestMs,
                                       TimePoint Now) const {
  if (!this->Servers.usable(Server, Now) || Now < Entry.FullUntil)
    return 0;
  if (Entry.Failures >= FailuresBeforeProbing)
    return 1;
  std::uint32_t Limit = Entry.Slots;
  const bool HasRefused =
      Entry.RefusedAt && Now - *Entry.RefusedAt < RefusalMemory;
  if (HasRefused && Now - Entry.OthersSeenAt < ReportLifetime)
    Limit -= std::min(Entry.UsedByOthers, Limit - 1);
  const double Slowness =
      BestMs > 0 ? this->expectedMs(Entry, Now) / BestMs : 1;
  if (Slowness > MaxSlowness)
    Limit = std::min(Limit,
                     std::max(1U, static_cast<std::uint32_t>(
                                      Entry.Slots * MaxSlowness / Slowness)));
  return Limit;
}

double SlotAllocator::ratePerMs(const GroupState &Group, TimePoint Now) const {
  double Rate = 0;
  for (const std::uint64_t Server : Group.Servers)
    if (this->Servers.usable(Server, Now)) {
      const SlotServer &Entry = this->Entries.at(Server);
      Rate += Entry.Slots / this->expectedMs(Entry, Now);
    }
  return Rate;
}

/// Counts the requests that will be granted before this one, as `grantNext`
/// orders them.
double SlotAllocator::predictedWaitMs(const GroupState &Group,
                                      const QueuedRequest &Queued,
                                      TimePoint Now) const {
  const double Rate = this->ratePerMs(Group, Now);
  // All servers may be usable again before the request's deadline.
  if (Rate == 0)
    return 0;
  const AccountState &Own = Group.Accounts.at(Queued.Request.Account);
  const Queue &OwnQueue = Own.queue(Queued.Late);
  const auto Place = OwnQueue.find({deadlineOf(Queued), Queued.Request.Id});
  double Ahead = static_cast<double>(std::distance(OwnQueue.begin(), Place));
  const double OwnTurn = Own.Granted + Ahead;
  for (const auto &[Key, Account] : Group.Accounts) {
    if (Queued.Late)
      Ahead += static_cast<double>(Account.InTime.size());
    if (Key != Queued.Request.Account)
      Ahead +=
          std::clamp(std::ceil(OwnTurn - Account.Granted), 0.0,
                     static_cast<double>(Account.queue(Queued.Late).size()));
  }
  return Ahead / Rate;
}

void SlotAllocator::dispatch(GroupState &Group, TimePoint Now) {
  this->markLate(Group, Now);
  for (const bool Late : {false, true})
    while (Group.Queued > 0 && this->grantNext(Group, Late, Now))
      continue;
}

/// Grants a slot to the account that was granted least, of those whose requests
/// a server with a free slot can serve.
bool SlotAllocator::grantNext(GroupState &Group, bool Late, TimePoint Now) {
  const double Best = this->bestMs(Group, Now);
  const bool AnyFree =
      std::ranges::any_of(Group.Servers, [&](std::uint64_t Server) {
        const SlotServer &Entry = this->Entries.at(Server);
        return Entry.Running.size() < this->slotLimit(Server, Entry, Best, Now);
      });
  if (!AnyFree)
    return false;
  std::vector<std::pair<double, std::uint64_t>> Order;
  for (const auto &[Key, Account] : Group.Accounts)
    if (!Account.queue(Late).empty())
      Order.emplace_back(Account.Granted, Key);
  std::sort(Order.begin(), Order.end());
  for (const auto &[Granted, Key] : Order) {
    int Tried = 0;
    for (const auto &[Deadline, Id] : Group.Accounts.at(Key).queue(Late)) {
      if (++Tried > MaxRequestsTried)
        break;
      if (this->tryGrant(Group, this->QueuedRequests.at(Id), Now))
        return true;
    }
  }
  return false;
}

bool SlotAllocator::tryGrant(GroupState &Group, const QueuedRequest &Queued,
                             TimePoint Now) {
  const double Best = this->bestMs(Group, Now);
  const double LeftMs = millisecondsOf(Queued.ObjectiveDeadline - Now);
  std::uint64_t Chosen = 0;
  double ChosenMs = 0;
  for (const std::uint64_t Server : Group.Servers) {
    const SlotServer &Entry = this->Entries.at(Server);
    if (Queued.ExcludedServers.contains(Server) ||
        Entry.Running.size() >= this->slotLimit(Server, Entry, Best, Now))
      continue;
    double Expected = this->expectedMs(Entry, Now);
    // A server without requests gets one whatever is expected of it: otherwise
    // it would not be noticed that it has become faster.
    if (!Queued.Late && Expected > LeftMs && !Entry.Running.empty())
      continue;
    Expected *= 1 + OccupancyWeight *
                        static_cast<double>(Entry.Running.size()) / Entry.Slots;
    if (Entry.Zone != Queued.Request.Zone)
      Expected += OtherZoneMs;
    if (Chosen == 0 || Expected < ChosenMs) {
      Chosen = Server;
      ChosenMs = Expected;
    }
  }
  if (Chosen == 0)
    return false;
  this->grant(Group, Queued, Chosen, Now);
  return true;
}

void SlotAllocator::grant(GroupState &Group, const QueuedRequest &Queued,
                          std::uint64_t Server, TimePoint Now) {
  const CorrelationId Id = Queued.Request.Id;
  ActiveGrant New;
  New.Server = Server;
  New.Load = {0, 0, this->Servers.startOf(Server)};
  New.GrantedAt = Now;
  New.LastReported = Now;
  if (this->Servers.isWarmingUp(Server, Now))
    New.SendWithinMs = static_cast<std::uint32_t>(
        millisecondsOf(Now - Queued.ArrivedAt + WarmUpGrantLifetime));
  this->Servers.recordSent(Server, New.Load, {}, Now);
  this->Entries.at(Server).Running.emplace(Now, Id);
  AccountState &Account = Group.Accounts.at(Queued.Request.Account);
  Group.Served = std::max(Group.Served, Account.Granted);
  ++Account.Granted;
  this->Replies.emplace_back(AllocationGrant{
      Id, Server, 0, 0, New.Load.ServerStartedMs, 0, New.SendWithinMs});
  this->ActiveGrants.emplace(Id, New);
  this->removeQueued(Id);
}

void SlotAllocator::refuse(GroupState &Group, const AllocationRequest &Request,
                           SlotRefusal Reason, TimePoint Now) {
  ++Group.Refused.at(static_cast<std::size_t>(Reason));
  const double Rate = this->ratePerMs(Group, Now);
  const double QueueMs =
      Rate == 0 ? MaxRetryAfterMs : static_cast<double>(Group.Queued) / Rate;
  this->Replies.emplace_back(
      AllocationRefusal{Request.Id,
                        static_cast<std::uint32_t>(std::clamp(
                            QueueMs, MinRetryAfterMs, MaxRetryAfterMs)),
                        Request.Group});
  this->removeQueued(CorrelationId(Request.Id));
}

void SlotAllocator::shorten(GroupState &Group, TimePoint Now) {
  const auto Longest = std::ranges::max_element(
      Group.Accounts, {}, [](const auto &Each) { return Each.second.size(); });
  const Queue &Last = Longest->second.queue(!Longest->second.Late.empty());
  const CorrelationId Id = std::prev(Last.end())->second;
  this->refuse(Group, AllocationRequest(this->QueuedRequests.at(Id).Request),
               SlotRefusal::QueueFull, Now);
}

SlotSummary SlotAllocator::summaryOf(std::uint64_t Group, TimePoint Now) const {
  SlotSummary Summary;
  const auto Found = this->Groups.find(Group);
  if (Found == this->Groups.end())
    return Summary;
  Summary.Queued = Found->second.Queued;
  Summary.Refused = Found->second.Refused;
  for (const std::uint64_t Server : Found->second.Servers) {
    const SlotServer &Entry = this->Entries.at(Server);
    Summary.SlotsInUse += Entry.Running.size();
    if (this->Servers.usable(Server, Now))
      Summary.Slots += Entry.Slots;
    if (Entry.Report)
      Summary.ReportAge = std::max(Summary.ReportAge.value_or(Duration::zero()),
                                   Now - Entry.ReportedAt);
  }
  return Summary;
}

} // namespace parsleywing
