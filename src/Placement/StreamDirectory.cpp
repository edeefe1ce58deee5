#include "Placement/StreamDirectory.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace parsleywing {

namespace {

/// How long a query waits for its answer, at first; doubles with each query.
constexpr Duration FirstQueryTimeout = std::chrono::milliseconds(30);
/// The number of queries to a router that does not answer. The lookup ends
/// after 210 ms.
constexpr int MaxQueries = 3;

/// The minimum time between two rounds of telling new replicas. A round takes
/// some milliseconds with hundreds of routers and thousands of streams.
constexpr Duration TellInterval = std::chrono::milliseconds(250);

constexpr Duration LifetimeUnit = std::chrono::milliseconds(100);

} // namespace

StreamDirectory::StreamDirectory(const std::string &RouterName)
    : Self(RouterName), SelfHash(hashName(RouterName)) {}

void StreamDirectory::setRouters(const RouterList &Listed) {
  this->LastListed = Listed;
  if (this->Leaving)
    this->LastListed.erase(this->Self);
  this->setReplicas(StreamReplicas(this->LastListed));
  if (!this->RecordsRequested)
    this->requestRecords();
}

void StreamDirectory::setReplicas(StreamReplicas New) {
  if (New.hasSameRouters(this->Replicas))
    return;
  if (!this->ReplicasBefore)
    this->ReplicasBefore = std::move(this->Replicas);
  this->Replicas = std::move(New);
}

/// All that know a stream tell its new replicas, since some of those that were
/// told may be gone.
void StreamDirectory::tellNewReplicas(TimePoint Now) {
  StreamReplicas Before = *std::exchange(this->ReplicasBefore, std::nullopt);
  this->LastToldAt = Now;
  BindingsByRouter Contents;
  this->Records.visit([&](StreamKey Key, const StreamRecords::Record &Known) {
    if (Known.Result != StreamLookupResult::Known || Known.ExpiresAt <= Now)
      return;
    const std::vector<std::string> Told = Before.replicasOf(Key);
    for (const std::string &Each : this->Replicas.replicasOf(Key))
      if (Each != this->Self && std::ranges::find(Told, Each) == Told.end())
        Contents[Each].push_back(bindingOf(Key, Known, Now));
  });
  this->send(Contents);
}

void StreamDirectory::leave(TimePoint Now) {
  this->Leaving = true;
  this->setRouters(RouterList(this->LastListed));
  if (this->ReplicasBefore)
    this->tellNewReplicas(Now);
}

/// Asks the routers that keep copies of the same streams as this one.
void StreamDirectory::requestRecords() {
  for (const std::string &Each : this->Replicas.peersOf(this->Self)) {
    this->OutgoingMessages.push_back(
        {Each, StreamSyncRequest{CorrelationId(), this->SelfHash}});
    this->RecordsRequested = true;
  }
}

std::vector<StreamsBound>
StreamDirectory::repliesTo(const StreamSyncRequest &Message, TimePoint Now) {
  std::vector<StreamsBound> Replies;
  this->Records.visit([&](StreamKey Key, const StreamRecords::Record &Known) {
    if (Known.Result != StreamLookupResult::Known || Known.ExpiresAt <= Now)
      return;
    if (!this->Replicas.mayBeReplica(Key, Message.Router))
      return;
    if (Replies.empty() ||
        Replies.back().Bindings.size() >= StreamsBound::MaxBindings)
      Replies.emplace_back();
    Replies.back().Bindings.push_back(bindingOf(Key, Known, Now));
  });
  return Replies;
}

StreamBinding StreamDirectory::bindingOf(StreamKey Key,
                                         const StreamRecords::Record &Known,
                                         TimePoint Now) {
  constexpr Duration::rep MaxTenths = std::numeric_limits<std::uint16_t>::max();
  const Duration::rep Tenths = (Known.ExpiresAt - Now) / LifetimeUnit;
  return {Key, Known.Software,
          static_cast<std::uint16_t>(
              std::clamp<Duration::rep>(Tenths, 0, MaxTenths))};
}

void StreamDirectory::send(const BindingsByRouter &Contents) {
  for (const auto &[Router, Bindings] : Contents)
    for (std::size_t First = 0; First < Bindings.size();
         First += StreamsBound::MaxBindings) {
      const std::size_t Last =
          std::min(First + StreamsBound::MaxBindings, Bindings.size());
      StreamsBound Message;
      Message.Bindings.assign(
          Bindings.begin() + static_cast<std::ptrdiff_t>(First),
          Bindings.begin() + static_cast<std::ptrdiff_t>(Last));
      this->OutgoingMessages.push_back({Router, std::move(Message)});
    }
}

void StreamDirectory::bind(StreamKey Key, SoftwareId Software,
                           Duration Lifetime, TimePoint Now) {
  this->Records.add(Key, Software, Lifetime, Now);
  const StreamRecords::Record Known = this->Records.find(Key, Now);
  if (Known.Result != StreamLookupResult::Known)
    return;
  BindingsByRouter Contents;
  for (const std::string &Each :
       this->Replicas.othersFor(Key, this->Self, StreamReplicas::Copies))
    Contents[Each].push_back(bindingOf(Key, Known, Now));
  this->send(Contents);
}

void StreamDirectory::onBound(const StreamsBound &Message, TimePoint Now) {
  for (const StreamBinding &Each : Message.Bindings)
    this->Records.add(Each.Key, Each.Software,
                      Each.LifetimeTenths * LifetimeUnit, Now);
}

void StreamDirectory::find(const CorrelationId &Id, StreamKey Key,
                           TimePoint Now) {
  const StreamRecords::Record Known = this->Records.find(Key, Now);
  if (Known.Result != StreamLookupResult::Unknown) {
    this->FinishedLookups.push_back(
        {Id,
         {Known.Result, Known.Software,
          /*IsOwn=*/true, Now - Known.LearnedAt, Duration::zero()}});
    return;
  }
  Lookup Pending;
  Pending.Key = Key;
  Pending.StartedAt = Now;
  for (const std::string &Each :
       this->Replicas.othersFor(Key, this->Self, StreamReplicas::MaxAsked))
    Pending.Unanswered[this->Replicas.hashOf(Each)] = Each;
  if (Pending.Unanswered.empty()) {
    // A router that has just started does not know the others yet.
    StreamOrigin Origin;
    Origin.AllAnswered = this->Replicas.contains(this->Self);
    this->FinishedLookups.push_back({Id, Origin});
    return;
  }
  this->ask(Id, this->Lookups[Id] = std::move(Pending), Now);
}

void StreamDirectory::ask(const CorrelationId &Id, Lookup &Pending,
                          TimePoint Now) {
  Pending.NextQueryAt = Now + FirstQueryTimeout * (1U << Pending.QueryCount);
  ++Pending.QueryCount;
  for (const auto &[Hash, Name] : Pending.Unanswered)
    this->OutgoingMessages.push_back({Name, StreamQuery{Id, Pending.Key}});
}

StreamAnswer StreamDirectory::answerTo(const StreamQuery &Query,
                                       TimePoint Now) const {
  const StreamRecords::Record Known = this->Records.find(Query.Key, Now);
  return {Query.Id, this->SelfHash, Known.Result, Known.Software};
}

void StreamDirectory::onAnswer(const StreamAnswer &Message, TimePoint Now) {
  const auto Found = this->Lookups.find(Message.Id);
  if (Found == this->Lookups.end())
    return;
  Lookup &Pending = Found->second;
  Pending.Unanswered.erase(Message.Router);
  const bool Knows = Message.Result == StreamLookupResult::Known ||
                     Message.Result == StreamLookupResult::Disputed;
  // A router that does not know the stream may have started since.
  if (!Knows && !Pending.Unanswered.empty())
    return;
  StreamOrigin Origin;
  if (Knows) {
    Origin.Result = Message.Result;
    Origin.Software = Message.Software;
  }
  Origin.WaitTime = Now - Pending.StartedAt;
  this->finish(Message.Id, Origin);
}

void StreamDirectory::finish(const CorrelationId &Id,
                             const StreamOrigin &Origin) {
  this->Lookups.erase(Id);
  this->FinishedLookups.push_back({Id, Origin});
}

void StreamDirectory::tick(TimePoint Now) {
  this->Records.removeExpired(Now);
  if (this->ReplicasBefore && Now - this->LastToldAt >= TellInterval)
    this->tellNewReplicas(Now);
  std::vector<CorrelationId> Due;
  for (const auto &[Id, Pending] : this->Lookups)
    if (Pending.NextQueryAt <= Now)
      Due.push_back(Id);
  for (const CorrelationId &Id : Due) {
    Lookup &Pending = this->Lookups.at(Id);
    if (Pending.QueryCount < MaxQueries) {
      this->ask(Id, Pending, Now);
      continue;
    }
    StreamOrigin Origin;
    Origin.WaitTime = Now - Pending.StartedAt;
    Origin.AllAnswered = false;
    this->finish(CorrelationId(Id), Origin);
  }
}

std::vector<StreamDirectory::Outgoing> StreamDirectory::takeOutgoing() {
  return std::exchange(this->OutgoingMessages, {});
}

std::vector<StreamDirectory::Finished> StreamDirectory::takeFinished() {
  return std::exchange(this->FinishedLookups, {});
}

} // namespace parsleywing
