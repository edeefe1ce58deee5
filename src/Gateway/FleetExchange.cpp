#include "Gateway/FleetExchange.h"

#include "Gateway/FleetNewsItems.h"
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

void FleetExchange::takeView(const std::shared_ptr<const FleetView> &New) {
  const bool SeenMore = New->SeenAt > this->View->SeenAt;
  const bool ProvenAgain = New->ProvenAt > this->View->ProvenAt ||
                           New->ConfigurationAt > this->View->ConfigurationAt;
  if (New->RouterPlaces != nullptr &&
      New->RouterPlaces != this->View->RouterPlaces)
    this->findScouts(*New->RouterPlaces);
  this->View = New;
  this->HeardUpTo = std::max(this->HeardUpTo, New->SeenAt);
  // A router that starts hears from its relay before it would read for itself.
  if (this->Role == RelayRole::Unknown)
    this->look();
  if (!SeenMore && !ProvenAgain)
    return;
  const TimePoint Now = this->SuspendClock.now();
  std::erase_if(this->Followers, [Now](const auto &Each) {
    return Now - Each.second.AskedAt > FollowerLife;
  });
  for (auto &[Address, Each] : this->Followers) {
    if (ProvenAgain)
      this->sendWord(Address, Each);
    this->sendNews(Address, Each);
  }
}

void FleetExchange::start(Sink Told) {
  this->Tell = std::move(Told);
  this->tick();
}

/// The first of an order by their names alone: small routers do for a read a
/// second, and the large ones are relays.
void FleetExchange::findScouts(const RouterList &Listed) {
  std::vector<std::pair<std::uint64_t, std::string>> Order;
  for (const auto &[Name, Place] : Listed)
    Order.emplace_back(rendezvousScore(hashName(Name), ScoutKey), Name);
  const std::size_t Count = std::min(ScoutCount, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end());
  this->Scouts.clear();
  for (std::size_t I = 0; I < Count; ++I)
    this->Scouts.push_back(Order[I].second);
}

bool FleetExchange::isRelay(const Poco::Net::SocketAddress &Address) {
  const std::string Name = this->Routers.nameAt(Address);
  return std::any_of(
      this->Clusters.begin(), this->Clusters.end(),
      [&](const RelayCluster &Each) { return this->relayOf(Each) == Name; });
}

RelayRole FleetExchange::foundRole() {
  if (this->findRelay())
    return RelayRole::Relay;
  const bool Scouts = std::find(this->Scouts.begin(), this->Scouts.end(),
                                this->Routers.self()) != this->Scouts.end();
  return Scouts ? RelayRole::Scout : RelayRole::Follower;
}

void FleetExchange::findClusters() {
  if (std::exchange(this->Counted, this->Routers.counts()) !=
      this->Routers.counts())
    this->Clusters = relayClusters(this->Counted);
}

std::string FleetExchange::relayOf(const RelayCluster &Cluster) {
  return this->Routers.firstIn(Cluster.Key, Cluster.Zones);
}

/// Sets the relay of this router's cluster. True where this router is a relay
/// itself, of any cluster.
bool FleetExchange::findRelay() {
  this->findClusters();
  const RelayCluster *Own =
      clusterOf(this->Clusters, this->Routers.self(), this->Routers.zone());
  const bool Adopts = this->SuspendClock.now() < this->AdoptedUntil;
  std::string Mine = this->Adopted;
  if (!Adopts)
    Mine = Own == nullptr ? this->Routers.self() : this->relayOf(*Own);
  if (Mine != this->ChosenRelay) {
    this->UnansweredSince.reset();
    this->RelayProvenAt = TimePoint{};
    this->HeardAt = TimePoint{};
  }
  this->ChosenRelay = Mine;
  bool Relays = Mine == this->Routers.self();
  for (const RelayCluster &Each : this->Clusters)
    Relays = Relays || this->relayOf(Each) == this->Routers.self();
  return Relays;
}

void FleetExchange::tick() {
  // Without a list there is nobody to ask, and no role.
  if (this->View->RouterPlaces != nullptr)
    this->look();
  const bool Waits =
      hearsFromRelay(this->Role) && this->NewestProof == TimePoint{};
  this->Loop.after(Waits ? FirstTickInterval : TickInterval,
                   [this] { this->tick(); });
}

/// Finds this router's role, and asks its relay where that is due.
void FleetExchange::look() {
  if (this->View->RouterPlaces == nullptr)
    return;
  const RelayRole Found = this->foundRole();
  // The own relay is to answer first.
  if (this->Role == RelayRole::Unknown)
    this->AskedOthersAt = this->SuspendClock.now();
  if (Found != this->Role)
    log(LogPart::Peer, LogLevel::Info, "relay=" + this->ChosenRelay);
  this->Role = Found;
  if (Found == RelayRole::Relay)
    return;
  const TimePoint Now = this->SuspendClock.now();
  const bool Silent = Now - this->HeardAt > this->Times.LongestSilence;
  const bool Due = this->Questions.empty() ||
                   Now - this->Questions.front().AskedAt > AskInterval;
  if (Silent || Due)
    this->ask();
  const bool Doubts = Now - this->NewestProof > this->Times.DoubtAge;
  if (Doubts && Now - this->AskedOthersAt > this->Times.ProofInterval)
    this->askOthers();
}

AskId FleetExchange::newQuestion() {
  this->Questions.push_front({++this->LastNumber, this->SuspendClock.now()});
  if (this->Questions.size() > QuestionsKept)
    this->Questions.pop_back();
  return {this->Process, this->LastNumber};
}

void FleetExchange::ask() {
  const TimePoint Now = this->SuspendClock.now();
  if (!this->UnansweredSince)
    this->UnansweredSince = Now;
  if (Now - *this->UnansweredSince > AnswerPatience) {
    this->Routers.suspect(this->ChosenRelay);
    this->AdoptedUntil = TimePoint{};
  }
  this->Routers.send(this->ChosenRelay,
                     FleetAsk{this->newQuestion(), this->HeardUpTo});
}

/// Asks the relays of the other clusters and the scouts: the own one may be cut
/// off alone.
void FleetExchange::askOthers() {
  this->AskedOthersAt = this->SuspendClock.now();
  std::set<std::string> Others;
  for (const RelayCluster &Each : this->Clusters)
    Others.insert(this->relayOf(Each));
  Others.insert(this->Scouts.begin(), this->Scouts.end());
  Others.erase(this->ChosenRelay);
  Others.erase(this->Routers.self());
  if (Others.empty())
    return;
  const FleetAsk Asked{this->newQuestion(), NoNews};
  for (const std::string &Each : Others)
    this->Routers.send(Each, Asked);
}

void FleetExchange::askIfBehind(Revision Told) {
  if (Told <= this->HeardUpTo)
    return;
  this->Loop.after(NewsPatience, [this, Told] {
    if (hearsFromRelay(this->Role) && this->HeardUpTo < Told)
      this->ask();
  });
}

void FleetExchange::distrustRelay() {
  if (!hearsFromRelay(this->Role))
    return;
  log(LogPart::Peer, LogLevel::Info,
      "relay=" + this->ChosenRelay + " is cut off from the store");
  this->Routers.suspect(this->ChosenRelay);
  this->AdoptedUntil = TimePoint{};
}

void FleetExchange::onAsked(const FleetAsk &Asked,
                            const Poco::Net::SocketAddress &From) {
  Follower &Known = this->Followers[From];
  const TimePoint Now = this->SuspendClock.now();
  const bool Lacks = Asked.SeenAt < Known.SeenAt;
  if (Known.Id.Process != Asked.Id.Process || !Lacks ||
      Now - Known.SentAgainAt >= SendAgainInterval) {
    Known.SeenAt = Asked.SeenAt;
    if (Lacks)
      Known.SentAgainAt = Now;
  }
  Known.Id = Asked.Id;
  Known.AskedAt = Now;
  this->sendWord(From, Known);
  this->sendNews(From, Known);
}

void FleetExchange::sendWord(const Poco::Net::SocketAddress &To,
                             const Follower &Known) {
  const auto After = [&Known](TimePoint Moment) {
    constexpr std::int64_t Least = std::numeric_limits<std::int32_t>::min();
    const auto Gone =
        std::chrono::floor<std::chrono::milliseconds>(Moment - Known.AskedAt);
    return static_cast<std::int32_t>(
        std::max<std::int64_t>(Gone.count(), Least));
  };
  const FleetHistory *Recent = this->View->Recent.get();
  FleetTold Told;
  Told.Id = Known.Id;
  Told.ProvenAfterMs = After(this->View->ProvenAt);
  Told.ListsProvenAfterMs = After(this->View->ListsProvenAt);
  Told.ConfigurationAt = this->View->ConfigurationAt;
  Told.SeenAt = this->View->SeenAt;
  Told.TellsSince = Recent == nullptr ? Told.SeenAt : Recent->Since;
  const bool Looks =
      this->Role == RelayRole::Scout &&
      this->SuspendClock.now() - this->RelayProvenAt > this->Times.DoubtAge;
  Told.ReadsStore = this->Role == RelayRole::Relay || Looks;
  this->Routers.send(To, Told);
}

void FleetExchange::sendNews(const Poco::Net::SocketAddress &To,
                             Follower &Behind) {
  const FleetHistory *Recent = this->View->Recent.get();
  const Revision Known = this->View->SeenAt;
  if (Recent == nullptr || Behind.SeenAt >= Known ||
      Behind.SeenAt < Recent->Since)
    return;
  const std::vector<NewsItem> Items = itemsBehind(*Recent, Behind.SeenAt);
  std::size_t First = 0;
  bool More = true;
  for (int Sent = 0; More && Sent < MessagesAtOnce; ++Sent) {
    const std::size_t Last = endOfMessage(Items, First);
    // The other notices that it stays behind, and reads for itself.
    if (Last - First > MostItems)
      return;
    More = Last < Items.size();
    FleetNews News;
    News.Id = Behind.Id;
    News.From = Behind.SeenAt;
    News.To = More ? Items[Last].At - 1 : Known;
    News.Items.assign(Items.begin() + static_cast<std::ptrdiff_t>(First),
                      Items.begin() + static_cast<std::ptrdiff_t>(Last));
    Behind.SeenAt = News.To;
    this->Routers.send(To, std::move(News));
    First = Last;
  }
}

void FleetExchange::onTold(const FleetTold &Told,
                           const Poco::Net::SocketAddress &From) {
  const auto Asked = std::find_if(
      this->Questions.begin(), this->Questions.end(),
      [&Told](const Question &Each) { return Each.Number == Told.Id.Number; });
  if (Told.Id.Process != this->Process || Asked == this->Questions.end())
    return;
  // Scouts that heard from each other would prove by turns, and none of them
  // would read the changes: requests went to a server for 3 s behind its word
  // that it leaves.
  if (this->Role == RelayRole::Scout && !this->isRelay(From))
    return;
  RelayWord Word;
  Word.ProvenAt =
      Asked->AskedAt + std::chrono::milliseconds(Told.ProvenAfterMs);
  Word.ConfigurationAt = Told.ConfigurationAt;
  Word.SeenAt = Told.SeenAt;
  Word.TellsSince = Told.TellsSince;
  Word.ReadsStore = Told.ReadsStore;
  Word.ListsProvenAt =
      Asked->AskedAt + std::chrono::milliseconds(Told.ListsProvenAfterMs);
  Word.Teller = hashName(From.toString());
  this->noteTeller(Word, From);
  const auto *Mine = this->Routers.addressOf(this->ChosenRelay);
  Word.IsOwn = Mine != nullptr && *Mine == From;
  if (Word.IsOwn)
    this->askIfBehind(Told.SeenAt);
  if (this->Tell)
    this->Tell(Word);
}

void FleetExchange::noteTeller(const RelayWord &Word,
                               const Poco::Net::SocketAddress &From) {
  const TimePoint Now = this->SuspendClock.now();
  this->NewestProof = std::max(this->NewestProof, Word.ProvenAt);
  const auto *Mine = this->Routers.addressOf(this->ChosenRelay);
  if (Mine != nullptr && *Mine == From) {
    this->UnansweredSince.reset();
    this->HeardAt = Now;
    this->RelayProvenAt = std::max(this->RelayProvenAt, Word.ProvenAt);
    return;
  }
  const bool Better =
      Word.ReadsStore &&
      Word.ProvenAt > this->RelayProvenAt + this->Times.ProofInterval &&
      Now - this->RelayProvenAt > this->Times.DoubtAge;
  if (!Better || !hearsFromRelay(this->Role))
    return;
  const std::string Other = this->Routers.nameAt(From);
  if (Other.empty())
    return;
  log(LogPart::Peer, LogLevel::Info,
      "relay=" + Other + " in place of " + this->ChosenRelay +
          " whose proof is " + secondsText(Now - this->RelayProvenAt) + " old");
  this->Adopted = Other;
  this->AdoptedUntil = Now + AdoptionLife;
  this->ChosenRelay = Other;
  this->UnansweredSince.reset();
  this->HeardAt = Now;
  this->RelayProvenAt = Word.ProvenAt;
  // Its word came to a question for no changes.
  this->ask();
}

void FleetExchange::onNews(const FleetNews &News) {
  if (News.Id.Process != this->Process || !this->Tell)
    return;
  RelayNews Read{News.From, News.To, {}};
  try {
    for (const NewsItem &Each : News.Items)
      Read.Changes.push_back(changeOf(Each));
  } catch (const Poco::Exception &Problem) {
    log(LogPart::Peer, LogLevel::Warn,
        "changes told by a relay cannot be read: " + Problem.displayText());
    return;
  }
  if (News.From <= this->HeardUpTo)
    this->HeardUpTo = std::max(this->HeardUpTo, News.To);
  this->Tell(Read);
}

} // namespace parsleywing
