#include "Placement/StreamDirectory.h"

#include "Runtime/Id.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace parsleywing {

namespace {

/// The number of groups of streams that share an order of routers. Computing an
/// order takes a few microseconds with hundreds of routers.
constexpr std::uint64_t ShardCount = 1024;

/// How long a query waits for its answer, at first; doubles with each query.
constexpr Duration FirstQueryTimeout = std::chrono::milliseconds(30);
/// The number of queries to a router that does not answer. The lookup ends
/// after 210 ms.
constexpr int MaxQueries = 3;

/// The largest number of routers that are asked for the records of an earlier
/// process. They keep copies of the same streams as this router.
constexpr std::size_t MaxAskedAtStart = 16;

constexpr Duration LifetimeUnit = std::chrono::milliseconds(100);

/// The routers of an order that keep copies, whichever router began the stream.
std::vector<std::string> firstOf(const std::vector<std::string> &Order) {
  return {Order.begin(),
          Order.begin() + static_cast<std::ptrdiff_t>(
                              std::min(StreamDirectory::Copies, Order.size()))};
}

} // namespace

StreamDirectory::StreamDirectory(const std::string &RouterName)
    : Self(RouterName), SelfHash(hashName(RouterName)) {}

std::vector<std::string>
StreamDirectory::computeOrder(std::uint64_t Shard) const {
  std::vector<std::pair<std::uint64_t, const std::string *>> Scores;
  Scores.reserve(this->Routers.size());
  for (const auto &[Name, Listed] : this->Routers)
    Scores.emplace_back(rendezvousScore(Listed.Hash, Shard), &Name);
  const std::size_t Count = std::min(MaxAsked + 1, Scores.size());
  std::partial_sort(Scores.begin(),
                    Scores.begin() + static_cast<std::ptrdiff_t>(Count),
                    Scores.end(), std::greater<>());
  // The second router is in another zone than the first if there is one.
  const auto InOtherZone = [&](const auto &Each) {
    return this->Routers.at(*Each.second).Zone !=
           this->Routers.at(*Scores.front().second).Zone;
  };
  std::vector<std::string> Order;
  for (std::size_t I = 0; I < Count; ++I)
    Order.push_back(*Scores[I].second);
  if (Count < 2 || InOtherZone(Scores[1]))
    return Order;
  std::pair<std::uint64_t, const std::string *> Best{0, nullptr};
  for (const auto &Each : Scores)
    if (InOtherZone(Each) && Each.first >= Best.first)
      Best = Each;
  if (Best.second == nullptr)
    return Order;
  std::erase(Order, *Best.second);
  Order.insert(Order.begin() + 1, *Best.second);
  Order.resize(Count);
  return Order;
}

const std::vector<std::string> &StreamDirectory::orderOf(StreamKey Key) {
  const std::uint64_t Shard = Key.Value % ShardCount;
  const auto Known = this->Orders.find(Shard);
  if (Known != this->Orders.end())
    return Known->second;
  return this->Orders.emplace(Shard, this->computeOrder(Shard)).first->second;
}

std::vector<std::string>
StreamDirectory::firstOthers(const std::vector<std::string> &Order,
                             std::size_t Count) const {
  std::vector<std::string> Others;
  for (const std::string &Each : Order)
    if (Each != this->Self && Others.size() < Count)
      Others.push_back(Each);
  return Others;
}

void StreamDirectory::setRouters(const RouterList &Listed, TimePoint Now) {
  std::map<std::string, Router> Taking;
  for (const auto &[Name, Endpoint] : Listed)
    if (Endpoint.Format >= MessageFormat::WithStreams &&
        !(this->Leaving && Name == this->Self))
      Taking[Name] = {hashName(Name), Endpoint.Zone};
  const auto SameRouters = [](const auto &Left, const auto &Right) {
    return Left.first == Right.first && Left.second.Zone == Right.second.Zone;
  };
  if (std::ranges::equal(Taking, this->Routers, SameRouters))
    return;
  std::map<StreamKey, std::vector<std::string>> KeepersBefore;
  this->Records.visit([&](StreamKey Key, const StreamRecords::Record &) {
    KeepersBefore[Key] = firstOf(this->orderOf(Key));
  });
  this->Routers = std::move(Taking);
  this->Orders.clear();
  // All that know a stream tell its new keepers, since some of those that were
  // told may be gone.
  Shipment Contents;
  for (const auto &[Key, Before] : KeepersBefore) {
    const StreamRecords::Record Known = this->Records.find(Key, Now);
    if (Known.Knowledge != StreamKnowledge::Known)
      continue;
    for (const std::string &Each : firstOf(this->orderOf(Key)))
      if (Each != this->Self && std::ranges::find(Before, Each) == Before.end())
        Contents[Each].push_back(bindingOf(Key, Known, Now));
  }
  this->send(Contents);
  if (!this->RecordsRequested)
    this->requestRecords();
}

void StreamDirectory::leave(TimePoint Now) {
  this->Leaving = true;
  RouterList Others;
  for (const auto &[Name, Listed] : this->Routers) {
    Others[Name].Zone = Listed.Zone;
    Others[Name].Format = MessageFormat::WithStreams;
  }
  this->setRouters(Others, Now);
}

/// Asks the routers that keep copies of the same streams as this one.
void StreamDirectory::requestRecords() {
  std::set<std::string> Asked;
  for (std::uint64_t Shard = 0;
       Shard < ShardCount && Asked.size() < MaxAskedAtStart; ++Shard) {
    const std::vector<std::string> Order = this->computeOrder(Shard);
    const auto First = Order.begin();
    const auto Last =
        First + static_cast<std::ptrdiff_t>(std::min(Copies + 1, Order.size()));
    if (std::find(First, Last, this->Self) != Last)
      Asked.insert(First, Last);
  }
  Asked.erase(this->Self);
  for (const std::string &Each : Asked)
    this->OutgoingMessages.push_back(
        {Each, StreamsWanted{CorrelationId(), this->SelfHash}});
  this->RecordsRequested = !Asked.empty();
}

std::vector<StreamsBound>
StreamDirectory::repliesTo(const StreamsWanted &Message, TimePoint Now) {
  std::vector<StreamsBound> Replies;
  this->Records.visit([&](StreamKey Key, const StreamRecords::Record &Known) {
    if (Known.Knowledge != StreamKnowledge::Known || Known.ExpiresAt <= Now)
      return;
    const std::vector<std::string> &Order = this->orderOf(Key);
    const std::size_t Count = std::min(Copies + 1, Order.size());
    const bool KeepsCopy = std::any_of(
        Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count),
        [&](const std::string &Name) {
          return this->Routers.at(Name).Hash == Message.Router;
        });
    if (!KeepsCopy)
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

void StreamDirectory::send(const Shipment &Contents) {
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
  if (Known.Knowledge != StreamKnowledge::Known)
    return;
  Shipment Contents;
  for (const std::string &Each : this->firstOthers(this->orderOf(Key), Copies))
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
  if (Known.Knowledge != StreamKnowledge::Unknown) {
    this->FinishedLookups.push_back(
        {Id,
         {Known.Knowledge, Known.Software,
          /*IsOwn=*/true, Now - Known.LearnedAt, Duration::zero()}});
    return;
  }
  Lookup Pending;
  Pending.Key = Key;
  Pending.StartedAt = Now;
  for (const std::string &Each :
       this->firstOthers(this->orderOf(Key), MaxAsked))
    Pending.Unanswered[this->Routers.at(Each).Hash] = Each;
  if (Pending.Unanswered.empty()) {
    // A router that has just started does not know the others yet.
    StreamOrigin Origin;
    Origin.AllAnswered = this->Routers.contains(this->Self);
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
  return {Query.Id, this->SelfHash, Known.Knowledge, Known.Software};
}

void StreamDirectory::onAnswer(const StreamAnswer &Message, TimePoint Now) {
  const auto Found = this->Lookups.find(Message.Id);
  if (Found == this->Lookups.end())
    return;
  Lookup &Pending = Found->second;
  Pending.Unanswered.erase(Message.Router);
  const bool Knows = Message.Knowledge == StreamKnowledge::Known ||
                     Message.Knowledge == StreamKnowledge::Disputed;
  // A router that does not know the stream may have started since.
  if (!Knows && !Pending.Unanswered.empty())
    return;
  StreamOrigin Origin;
  if (Knows) {
    Origin.Knowledge = Message.Knowledge;
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
