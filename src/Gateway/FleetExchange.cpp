#include "Gateway/FleetExchange.h"

#include "Gateway/FleetUpdateItems.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace parsleywing {

namespace {

/// How often a router looks whether it has to ask its relay: while it has heard
/// of none, as all do that start together, and later.
constexpr Duration FirstTickInterval = std::chrono::milliseconds(30);
constexpr Duration TickInterval = std::chrono::milliseconds(400);
/// How often it asks while words come: the relay tells what is new unasked.
constexpr Duration AskInterval = std::chrono::seconds(2);
/// A word of the relay that knows of more changes comes with those changes,
/// some milliseconds apart. Without them after this long they were lost, and
/// are asked for: waiting for the next question would leave requests going to a
/// server for up to 2 s behind its word that it leaves.
constexpr Duration NewsPatience = std::chrono::milliseconds(100);
/// A relay that has not answered a question for so long, asked again and again,
/// is passed over.
constexpr Duration AnswerPatience = std::chrono::milliseconds(1200);
/// How long a relay of another cluster is kept before the own one is tried
/// again.
constexpr Duration AdoptionLife = std::chrono::seconds(4);
/// A word refers to one of the last questions.
constexpr std::size_t QuestionsKept = 4;
/// Routers that look for themselves where the relays' proofs are old. Where the
/// store turns a third of all away, it turns all of these and two relays away
/// once in 30,000 times.
constexpr std::size_t ScoutCount = 8;
constexpr std::uint64_t ScoutKey = 0x73636F7574;
/// A router that has not asked for so long is told no more.
constexpr Duration FollowerLife = 3 * AskInterval;

/// What was sent to a router is not sent to it again sooner than this. One that
/// lacks thousands of changes asks again while they come; sent whole each time
/// they took 5.7 MB a second of a relay of 38 routers.
constexpr Duration SendAgainInterval = std::chrono::milliseconds(500);
/// Messages with changes that go to a router at once: 90 KB, half of what a
/// socket's buffer holds. Of a thousand at once most were lost, and sent again;
/// the router asks for the rest when these have come.
constexpr int MessagesAtOnce = 64;
/// In a question: no changes are wanted, only the proof.
constexpr Revision NoNews = std::numeric_limits<Revision>::max();
/// The most that a message can count.
constexpr std::size_t MostItems = 255;

} // namespace

void FleetExchange::updateView(const std::shared_ptr<const FleetView> &New) {
  const bool SeenMore = New->SeenRevision > this->View->SeenRevision;
  const bool ProvenAgain =
      New->ProvenAt > this->View->ProvenAt ||
      New->ConfigurationRevision > this->View->ConfigurationRevision;
  if (New->RouterEndpoints != nullptr &&
      New->RouterEndpoints != this->View->RouterEndpoints)
    this->updateVerifiers(*New->RouterEndpoints);
  this->View = New;
  this->ReceivedRevision = std::max(this->ReceivedRevision, New->SeenRevision);
  // A router that starts hears from its relay before it would read for itself.
  if (this->Role == RelayRole::Unknown)
    this->checkRelay();
  if (!SeenMore && !ProvenAgain)
    return;
  const TimePoint Now = this->BootClock.now();
  std::erase_if(this->Followers, [Now](const auto &Each) {
    return Now - Each.second.RequestedAt > FollowerLife;
  });
  for (auto &[Address, Each] : this->Followers) {
    if (ProvenAgain)
      this->sendStatus(Address, Each);
    this->sendUpdates(Address, Each);
  }
}

void FleetExchange::start(MessageCallback Told) {
  this->OnMessage = std::move(Told);
  this->tick();
}

/// The first of an order by their names alone: small routers do for a read a
/// second, and the large ones are relays.
void FleetExchange::updateVerifiers(const RouterList &Listed) {
  std::vector<std::pair<std::uint64_t, std::string>> Order;
  for (const auto &[Name, Place] : Listed)
    Order.emplace_back(rendezvousScore(hashName(Name), ScoutKey), Name);
  const std::size_t Count = std::min(ScoutCount, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end());
  this->Verifiers.clear();
  for (std::size_t I = 0; I < Count; ++I)
    this->Verifiers.push_back(Order[I].second);
}

bool FleetExchange::isRelay(const Poco::Net::SocketAddress &Address) {
  const std::string Name = this->Routers.nameAt(Address);
  return std::any_of(
      this->Clusters.begin(), this->Clusters.end(),
      [&](const RelayCluster &Each) { return this->relayOf(Each) == Name; });
}

RelayRole FleetExchange::determineRole() {
  if (this->updateRelay())
    return RelayRole::Relay;
  const bool Scouts = std::find(this->Verifiers.begin(), this->Verifiers.end(),
                                this->Routers.self()) != this->Verifiers.end();
  return Scouts ? RelayRole::Verifier : RelayRole::Follower;
}

void FleetExchange::updateClusters() {
  if (std::exchange(this->ClusteredCounts, this->Routers.counts()) !=
      this->Routers.counts())
    this->Clusters = relayClusters(this->ClusteredCounts);
}

std::string FleetExchange::relayOf(const RelayCluster &Cluster) {
  return this->Routers.firstIn(Cluster.Key, Cluster.Zones);
}

/// Sets the relay of this router's cluster. True where this router is a relay
/// itself, of any cluster.
bool FleetExchange::updateRelay() {
  this->updateClusters();
  const RelayCluster *Own =
      clusterOf(this->Clusters, this->Routers.self(), this->Routers.zone());
  const bool Adopts = this->BootClock.now() < this->SubstituteUntil;
  std::string Mine = this->SubstituteRelay;
  if (!Adopts)
    Mine = Own == nullptr ? this->Routers.self() : this->relayOf(*Own);
  if (Mine != this->CurrentRelay) {
    this->UnansweredSince.reset();
    this->RelayProvenAt = TimePoint{};
    this->StatusReceivedAt = TimePoint{};
  }
  this->CurrentRelay = Mine;
  bool Relays = Mine == this->Routers.self();
  for (const RelayCluster &Each : this->Clusters)
    Relays = Relays || this->relayOf(Each) == this->Routers.self();
  return Relays;
}

void FleetExchange::tick() {
  // Without a list there is nobody to ask, and no role.
  if (this->View->RouterEndpoints != nullptr)
    this->checkRelay();
  const bool Waits =
      followsRelay(this->Role) && this->NewestProvenAt == TimePoint{};
  this->Loop.after(Waits ? FirstTickInterval : TickInterval,
                   [this] { this->tick(); });
}

/// Finds this router's role, and asks its relay where that is due.
void FleetExchange::checkRelay() {
  if (this->View->RouterEndpoints == nullptr)
    return;
  const RelayRole Found = this->determineRole();
  // The own relay is to answer first.
  if (this->Role == RelayRole::Unknown)
    this->OthersRequestedAt = this->BootClock.now();
  if (Found != this->Role)
    log(LogPart::Peer, LogLevel::Info, "relay=" + this->CurrentRelay);
  this->Role = Found;
  if (Found == RelayRole::Relay)
    return;
  const TimePoint Now = this->BootClock.now();
  const bool Silent = Now - this->StatusReceivedAt > this->Times.MaxSilence;
  const bool Due = this->SentRequests.empty() ||
                   Now - this->SentRequests.front().SentAt > AskInterval;
  if (Silent || Due)
    this->requestStatus();
  const bool Doubts = Now - this->NewestProvenAt > this->Times.SuspectProofAge;
  if (Doubts && Now - this->OthersRequestedAt > this->Times.ProofInterval)
    this->requestOtherStatuses();
}

CorrelationId FleetExchange::newRequestId() {
  this->SentRequests.push_front({++this->LastNumber, this->BootClock.now()});
  if (this->SentRequests.size() > QuestionsKept)
    this->SentRequests.pop_back();
  return {this->Process, this->LastNumber};
}

void FleetExchange::requestStatus() {
  const TimePoint Now = this->BootClock.now();
  if (!this->UnansweredSince)
    this->UnansweredSince = Now;
  if (Now - *this->UnansweredSince > AnswerPatience) {
    this->Routers.suspect(this->CurrentRelay);
    this->SubstituteUntil = TimePoint{};
  }
  this->Routers.send(
      this->CurrentRelay,
      FleetStatusRequest{this->newRequestId(), this->ReceivedRevision});
}

/// Asks the relays of the other clusters and the scouts: the own one may be cut
/// off alone.
void FleetExchange::requestOtherStatuses() {
  this->OthersRequestedAt = this->BootClock.now();
  std::set<std::string> Others;
  for (const RelayCluster &Each : this->Clusters)
    Others.insert(this->relayOf(Each));
  Others.insert(this->Verifiers.begin(), this->Verifiers.end());
  Others.erase(this->CurrentRelay);
  Others.erase(this->Routers.self());
  if (Others.empty())
    return;
  const FleetStatusRequest Asked{this->newRequestId(), NoNews};
  for (const std::string &Each : Others)
    this->Routers.send(Each, Asked);
}

void FleetExchange::requestIfBehind(Revision Told) {
  if (Told <= this->ReceivedRevision)
    return;
  this->Loop.after(NewsPatience, [this, Told] {
    if (followsRelay(this->Role) && this->ReceivedRevision < Told)
      this->requestStatus();
  });
}

void FleetExchange::switchRelay() {
  if (!followsRelay(this->Role))
    return;
  log(LogPart::Peer, LogLevel::Info,
      "relay=" + this->CurrentRelay + " is cut off from the store");
  this->Routers.suspect(this->CurrentRelay);
  this->SubstituteUntil = TimePoint{};
}

void FleetExchange::onStatusRequest(const FleetStatusRequest &Asked,
                                    const Poco::Net::SocketAddress &From) {
  Follower &Known = this->Followers[From];
  const TimePoint Now = this->BootClock.now();
  const bool Lacks = Asked.SeenRevision < Known.SeenRevision;
  if (Known.RequestId.Process != Asked.Id.Process || !Lacks ||
      Now - Known.ResentAt >= SendAgainInterval) {
    Known.SeenRevision = Asked.SeenRevision;
    if (Lacks)
      Known.ResentAt = Now;
  }
  Known.RequestId = Asked.Id;
  Known.RequestedAt = Now;
  this->sendStatus(From, Known);
  this->sendUpdates(From, Known);
}

void FleetExchange::sendStatus(const Poco::Net::SocketAddress &To,
                               const Follower &Known) {
  const auto After = [&Known](TimePoint Moment) {
    constexpr std::int64_t Least = std::numeric_limits<std::int32_t>::min();
    const auto Gone = std::chrono::floor<std::chrono::milliseconds>(
        Moment - Known.RequestedAt);
    return static_cast<std::int32_t>(
        std::max<std::int64_t>(Gone.count(), Least));
  };
  const FleetHistory *Recent = this->View->History.get();
  FleetStatus Told;
  Told.Id = Known.RequestId;
  Told.ProvenAfterMs = After(this->View->ProvenAt);
  Told.ListsProvenAfterMs = After(this->View->ListsProvenAt);
  Told.ConfigurationRevision = this->View->ConfigurationRevision;
  Told.SeenRevision = this->View->SeenRevision;
  Told.CompactRevision =
      Recent == nullptr ? Told.SeenRevision : Recent->CompactRevision;
  const bool Looks =
      this->Role == RelayRole::Verifier &&
      this->BootClock.now() - this->RelayProvenAt > this->Times.SuspectProofAge;
  Told.ReadsStore = this->Role == RelayRole::Relay || Looks;
  this->Routers.send(To, Told);
}

void FleetExchange::sendUpdates(const Poco::Net::SocketAddress &To,
                                Follower &Behind) {
  const FleetHistory *Recent = this->View->History.get();
  const Revision Known = this->View->SeenRevision;
  if (Recent == nullptr || Behind.SeenRevision >= Known ||
      Behind.SeenRevision < Recent->CompactRevision)
    return;
  const std::vector<FleetUpdateItem> Items =
      itemsAfter(*Recent, Behind.SeenRevision);
  std::size_t First = 0;
  bool More = true;
  for (int Sent = 0; More && Sent < MessagesAtOnce; ++Sent) {
    const std::size_t Last = endOfMessage(Items, First);
    // The other notices that it stays behind, and reads for itself.
    if (Last - First > MostItems)
      return;
    More = Last < Items.size();
    FleetUpdate News;
    News.Id = Behind.RequestId;
    News.AfterRevision = Behind.SeenRevision;
    News.ToRevision = More ? Items[Last].ModRevision - 1 : Known;
    News.Items.assign(Items.begin() + static_cast<std::ptrdiff_t>(First),
                      Items.begin() + static_cast<std::ptrdiff_t>(Last));
    Behind.SeenRevision = News.ToRevision;
    this->Routers.send(To, std::move(News));
    First = Last;
  }
}

void FleetExchange::onStatus(const FleetStatus &Told,
                             const Poco::Net::SocketAddress &From) {
  const auto Asked =
      std::find_if(this->SentRequests.begin(), this->SentRequests.end(),
                   [&Told](const SentRequest &Each) {
                     return Each.Number == Told.Id.Number;
                   });
  if (Told.Id.Process != this->Process || Asked == this->SentRequests.end())
    return;
  // Scouts that heard from each other would prove by turns, and none of them
  // would read the changes: requests went to a server for 3 s behind its word
  // that it leaves.
  if (this->Role == RelayRole::Verifier && !this->isRelay(From))
    return;
  RelayStatus Word;
  Word.ProvenAt = Asked->SentAt + std::chrono::milliseconds(Told.ProvenAfterMs);
  Word.ConfigurationRevision = Told.ConfigurationRevision;
  Word.SeenRevision = Told.SeenRevision;
  Word.CompactRevision = Told.CompactRevision;
  Word.ReadsStore = Told.ReadsStore;
  Word.ListsProvenAt =
      Asked->SentAt + std::chrono::milliseconds(Told.ListsProvenAfterMs);
  Word.SenderHash = hashName(From.toString());
  this->recordStatus(Word, From);
  const auto *Mine = this->Routers.addressOf(this->CurrentRelay);
  Word.IsOwnRelay = Mine != nullptr && *Mine == From;
  if (Word.IsOwnRelay)
    this->requestIfBehind(Told.SeenRevision);
  if (this->OnMessage)
    this->OnMessage(Word);
}

void FleetExchange::recordStatus(const RelayStatus &Word,
                                 const Poco::Net::SocketAddress &From) {
  const TimePoint Now = this->BootClock.now();
  this->NewestProvenAt = std::max(this->NewestProvenAt, Word.ProvenAt);
  const auto *Mine = this->Routers.addressOf(this->CurrentRelay);
  if (Mine != nullptr && *Mine == From) {
    this->UnansweredSince.reset();
    this->StatusReceivedAt = Now;
    this->RelayProvenAt = std::max(this->RelayProvenAt, Word.ProvenAt);
    return;
  }
  const bool Better =
      Word.ReadsStore &&
      Word.ProvenAt > this->RelayProvenAt + this->Times.ProofInterval &&
      Now - this->RelayProvenAt > this->Times.SuspectProofAge;
  if (!Better || !followsRelay(this->Role))
    return;
  const std::string Other = this->Routers.nameAt(From);
  if (Other.empty())
    return;
  log(LogPart::Peer, LogLevel::Info,
      "relay=" + Other + " in place of " + this->CurrentRelay +
          " whose proof is " + secondsText(Now - this->RelayProvenAt) + " old");
  this->SubstituteRelay = Other;
  this->SubstituteUntil = Now + AdoptionLife;
  this->CurrentRelay = Other;
  this->UnansweredSince.reset();
  this->StatusReceivedAt = Now;
  this->RelayProvenAt = Word.ProvenAt;
  // Its word came to a question for no changes.
  this->requestStatus();
}

void FleetExchange::onUpdate(const FleetUpdate &News) {
  if (News.Id.Process != this->Process || !this->OnMessage)
    return;
  RelayUpdate Read{News.AfterRevision, News.ToRevision, {}};
  try {
    for (const FleetUpdateItem &Each : News.Items)
      Read.Changes.push_back(changeOf(Each));
  } catch (const Poco::Exception &Problem) {
    log(LogPart::Peer, LogLevel::Warn,
        "changes told by a relay cannot be read: " + Problem.displayText());
    return;
  }
  if (News.AfterRevision <= this->ReceivedRevision)
    this->ReceivedRevision = std::max(this->ReceivedRevision, News.ToRevision);
  this->OnMessage(Read);
}

} // namespace parsleywing
