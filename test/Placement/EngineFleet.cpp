#include "Placement/EngineFleet.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <cmath>

namespace parsleywing {

namespace {

constexpr const char *ServiceName = "engines";
constexpr double OneWayMs = 2;
constexpr double TickMs = 5;
constexpr double ReportMs = 250;
constexpr double LongestRequestMs = 5000;

} // namespace

EngineFleet::EngineFleet(int Count, std::uint64_t Memory,
                         const AllocatorOptions &Options)
    : MemoryTokens(Memory), Subject(Options) {
  GatewayService Service;
  Service.Name = ServiceName;
  Service.KvCapacityTokens = Memory;
  Service.KvBytesPerToken = 1;
  Service.LinkBytesPerMs = LinkTokensPerMs;
  this->Configuration.Services[ServiceName] = Service;
  this->Configuration.Limits.TokensPerSecond =
      static_cast<std::uint64_t>(Count * PrefillTokensPerMs * 1000);
  for (int I = 0; I < Count; ++I) {
    const std::string Id = "e" + std::to_string(I);
    this->Engines[hashName(Id)].Id = Id;
    this->Order.push_back(hashName(Id));
  }
  this->list();
}

void EngineFleet::list() {
  auto Listed = std::make_shared<ServerList>();
  for (const auto &[Hash, Each] : this->Engines) {
    GatewayServer Server;
    Server.Id = Each.Id;
    Server.Service = ServiceName;
    Server.Slots = 64;
    Server.StartedMs = Each.StartedMs;
    Listed->emplace(Server.Id, Server);
  }
  this->Groups = ServerGroups(*Listed);
  this->Subject.setServers(Listed, &this->Configuration, this->Groups,
                           {this->now(), this->now()});
}

TimePoint EngineFleet::now() const {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->NowMs)));
}

std::uint64_t EngineFleet::idOf(int Engine) const {
  return this->Order.at(static_cast<std::size_t>(Engine));
}

void EngineFleet::setSpeed(int Engine, double Factor) {
  this->Engines.at(this->idOf(Engine)).Speed = Factor;
}

void EngineFleet::restart(int Number) {
  Engine &Restarted = this->Engines.at(this->idOf(Number));
  Restarted.StartedMs += 1000;
  Restarted.FreeAt = this->NowMs;
  Restarted.LinkFreeAt = this->NowMs;
  Restarted.RunningTokens = 0;
  Restarted.RunningParts.clear();
  this->list();
}

EngineFleetCounts EngineFleet::run(const std::vector<EngineWork> &Kinds,
                                   double DurationMs) {
  return this->run(Kinds, DurationMs, [] {});
}

EngineFleetCounts EngineFleet::run(const std::vector<EngineWork> &Kinds,
                                   double DurationMs,
                                   const std::function<void()> &Disturb) {
  this->Counts = {};
  for (const EngineWork &Kind : Kinds)
    this->repeat(1000 / Kind.PerSecond, DurationMs,
                 [this, Kind] { this->send(Kind); });
  this->Events.emplace(this->NowMs + DurationMs / 2, Disturb);
  this->repeat(TickMs, DurationMs + LongestRequestMs, [this] {
    this->Subject.tick(this->now());
    this->takeReplies();
  });
  this->repeat(ReportMs, DurationMs + LongestRequestMs, [this] {
    for (const auto &[Id, Each] : this->Requests)
      if (Each.Engine != 0)
        this->Subject.handle(GrantActive{Id, Each.Engine, 1,
                                         Each.Kind.StatedOutputTokens,
                                         Each.EngineStartedMs},
                             this->now());
  });
  while (!this->Events.empty()) {
    const auto Next = this->Events.begin();
    this->NowMs = std::max(this->NowMs, Next->first);
    const auto Action = std::move(Next->second);
    this->Events.erase(Next);
    Action();
  }
  return this->Counts;
}

void EngineFleet::repeat(double IntervalMs, double DurationMs,
                         const std::function<void()> &Action) {
  const auto Count = static_cast<int>(std::ceil(DurationMs / IntervalMs));
  for (int I = 0; I < Count; ++I)
    this->Events.emplace(this->NowMs + I * IntervalMs, Action);
}

void EngineFleet::send(const EngineWork &Kind) {
  Request New;
  New.Kind = Kind;
  New.SentAt = this->NowMs;
  const std::uint64_t Number = ++this->LastNumber;
  if (Kind.SharedTokens > 0)
    New.Parts.push_back(
        {Number % Kind.SharedParts + 1 + Kind.SharedTokens * 1000ULL,
         Kind.SharedTokens});
  New.Parts.push_back({1'000'000'000 + Number, Kind.OwnTokens});
  AllocationRequest Asked;
  Asked.Id = {1, Number};
  Asked.Group =
      this->Groups.groupForRequest(hashName(ServiceName), New.Parts, Number);
  New.Group = Asked.Group;
  Asked.Account = Number % 30 + 1;
  Asked.Parts = New.Parts;
  Asked.PromptTokens = Kind.SharedTokens + Kind.OwnTokens;
  Asked.MaxOutputTokens = Kind.StatedOutputTokens;
  Asked.ObjectiveLeftMs = static_cast<std::int32_t>(Kind.ObjectiveMs);
  Asked.MaxWaitMs = Asked.ObjectiveLeftMs;
  ++this->Counts.Sent;
  this->Requests[Asked.Id] = std::move(New);
  this->Subject.handle(Asked, this->now());
  this->takeReplies();
}

void EngineFleet::takeReplies() {
  for (const RouterMessage &Each : this->Subject.takeReplies()) {
    if (const auto *Grant = std::get_if<AllocationGrant>(&Each))
      this->onGrant(*Grant);
    const auto *Refusal = std::get_if<AllocationRefusal>(&Each);
    if (Refusal == nullptr)
      continue;
    ++this->Counts.Refused;
    if (this->hasRoom(this->Requests.at(Refusal->Id)))
      ++this->Counts.RefusedWithRoom;
    this->Requests.erase(Refusal->Id);
  }
}

bool EngineFleet::hasRoom(const Request &Refused) const {
  const ServerTable &Table = this->Subject.serverTable();
  constexpr double MaxPendingTokens = 200 * PrefillTokensPerMs;
  constexpr std::uint32_t UsableSlots = 58;
  std::uint32_t All = 0;
  std::uint32_t WithRoom = 0;
  for (const auto &[Hash, Each] : this->Engines) {
    if (this->Groups.groupOfServer(Each.Id, ServiceName) != Refused.Group)
      continue;
    ++All;
    const std::uint64_t Pending = Table.pendingPrefillTokens(Hash);
    const bool HasRoom =
        (Pending == 0 ||
         static_cast<double>(Pending) + Refused.Kind.OwnTokens / 2.0 <=
             MaxPendingTokens) &&
        Table.running(Hash) < UsableSlots &&
        Table.canHold(Hash, {&Refused.Parts,
                             Refused.Kind.SharedTokens + Refused.Kind.OwnTokens,
                             Refused.Kind.StatedOutputTokens});
    if (HasRoom)
      ++WithRoom;
  }
  return WithRoom * 4 >= All;
}

void EngineFleet::onGrant(const AllocationGrant &Grant) {
  Request &Granted = this->Requests.at(Grant.Id);
  Engine &Target = this->Engines.at(Grant.Server);
  Granted.Engine = Grant.Server;
  Granted.EngineStartedMs = Grant.ServerStartedMs;
  std::uint64_t Needed =
      Granted.Kind.OwnTokens + Granted.Kind.StatedOutputTokens;
  const std::uint64_t Part = Granted.Parts.front().Id;
  if (Granted.Kind.SharedTokens > 0 && Target.RunningParts[Part]++ == 0)
    Needed += Granted.Kind.SharedTokens;
  Target.RunningTokens += Needed;
  if (Target.RunningTokens > this->MemoryTokens)
    ++this->Counts.Overcommitted;
  double Ready = this->NowMs + OneWayMs;
  if (Grant.FetchSource != 0) {
    ++this->Counts.Fetches;
    double &LinkFreeAt = this->Engines.at(Grant.FetchSource).LinkFreeAt;
    this->Counts.MaxLinkWaitMs =
        std::max(this->Counts.MaxLinkWaitMs, LinkFreeAt - Ready);
    LinkFreeAt = std::max(LinkFreeAt, Ready) +
                 Granted.Kind.SharedTokens / LinkTokensPerMs;
    Ready = LinkFreeAt;
  }
  if (Granted.Kind.SharedTokens > 0 && !this->SeenParts.insert(Part).second &&
      Grant.PrefillTokens > Granted.Kind.OwnTokens)
    this->Counts.RereadTokens += Granted.Kind.SharedTokens;
  Target.FreeAt = std::max(Target.FreeAt, Ready) +
                  Grant.PrefillTokens / (PrefillTokensPerMs * Target.Speed);
  this->Events.emplace(Target.FreeAt,
                       [this, Id = Grant.Id] { this->start(Id); });
}

void EngineFleet::start(const CorrelationId &Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  const Request &Started = Found->second;
  // A request of an earlier process has failed.
  if (Started.EngineStartedMs != this->Engines.at(Started.Engine).StartedMs) {
    this->Subject.handle(GrantEnded{Id, ServerVerdict::Unreachable},
                         this->now());
    this->Requests.erase(Found);
    return;
  }
  if (this->NowMs + OneWayMs - Started.SentAt <= Started.Kind.ObjectiveMs)
    ++this->Counts.OnTime;
  else
    ++this->Counts.Late;
  this->Subject.handle(GrantStarted{Id}, this->now());
  this->Events.emplace(this->NowMs + Started.Kind.GenerationMs,
                       [this, Id] { this->end(Id); });
}

void EngineFleet::end(const CorrelationId &Id) {
  const auto Found = this->Requests.find(Id);
  const Request &Ended = Found->second;
  Engine &Target = this->Engines.at(Ended.Engine);
  if (Ended.EngineStartedMs == Target.StartedMs) {
    Target.RunningTokens -=
        Ended.Kind.OwnTokens + Ended.Kind.StatedOutputTokens;
    if (Ended.Kind.SharedTokens > 0 &&
        --Target.RunningParts[Ended.Parts.front().Id] == 0)
      Target.RunningTokens -= Ended.Kind.SharedTokens;
  }
  this->Requests.erase(Found);
  this->Subject.handle(GrantEnded{Id, ServerVerdict::Healthy}, this->now());
  this->takeReplies();
}

} // namespace parsleywing
