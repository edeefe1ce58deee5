#include "Gateway/FleetDistributor.h"

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

/// How often a router checks whether to send its relay a request: until the
/// first proof, which all routers that start together wait for, and after it.
constexpr Duration FirstTickInterval = std::chrono::milliseconds(30);
constexpr Duration TickInterval = std::chrono::milliseconds(400);
/// How often it sends a request while it receives status messages. The relay
/// sends changes without being asked.
constexpr Duration RequestInterval = std::chrono::seconds(2);
/// How long to wait for changes that the relay's status announces, before they
/// count as lost and are requested. Status and changes are sent within some
/// milliseconds. Without this, requests would be sent to a draining server for
/// up to 2 s, until the next regular request.
constexpr Duration UpdateTimeout = std::chrono::milliseconds(100);
/// How long a relay may leave repeated requests unanswered before it is
/// skipped.
constexpr Duration ReplyTimeout = std::chrono::milliseconds(1200);
/// How long a substitute is followed before the router's own relay is tried
/// again.
constexpr Duration SubstituteLifetime = std::chrono::seconds(4);
/// Number of sent requests to remember. A status refers to one of them.
constexpr std::size_t MaxSentRequests = 4;
/// Number of routers that read the store themselves when the relays' proofs are
/// old. If the store rejects a random third of all routers, the probability
/// that it rejects all of these and two relays is about 1 in 60,000 (3 to the
/// power of 10).
constexpr std::size_t VerifierCount = 8;
/// Key of the rendezvous order of verifiers. Any constant does, but all routers
/// must have the same one.
constexpr std::uint64_t VerifierOrderKey = 0x73636F7574;
/// A follower that sent no request for this time is dropped.
constexpr Duration FollowerLifetime = 3 * RequestInterval;

/// The minimum time before the same changes are resent to a follower. One that
/// lacks thousands of changes repeats its request while they arrive. Resending
/// all of them each time cost a relay of 38 routers 5.7 MB per second.
constexpr Duration ResendInterval = std::chrono::milliseconds(500);
/// Maximum number of messages with changes sent to a follower at once: 90 KB. A
/// socket buffer holds about a hundred of these datagrams; more would be lost
/// and resent. The follower requests the rest afterwards.
constexpr std::size_t MaxMessagesAtOnce = 64;
/// Revision in a request for the proof only, without changes.
constexpr Revision NoChanges = std::numeric_limits<Revision>::max();

} // namespace

void FleetDistributor::updateView(const std::shared_ptr<const FleetView> &New) {
  const bool HasNewChanges = New->SeenRevision > this->View->SeenRevision;
  const bool HasNewProof =
      New->ProvenAt > this->View->ProvenAt ||
      New->ListsProvenAt > this->View->ListsProvenAt ||
      New->ConfigurationRevision > this->View->ConfigurationRevision;
  if (New->RouterEndpoints != nullptr &&
      New->RouterEndpoints != this->View->RouterEndpoints)
    this->updateVerifiers(*New->RouterEndpoints);
  this->View = New;
  this->ReceivedRevision = std::max(this->ReceivedRevision, New->SeenRevision);
  // A starting router follows its relay before it would read the store itself.
  if (this->Role == RelayRole::Unknown)
    this->checkRelay();
  if (!HasNewChanges && !HasNewProof)
    return;
  const TimePoint Now = this->BootClock.now();
  std::erase_if(this->Followers, [Now](const auto &Each) {
    return Now - Each.second.RequestedAt > FollowerLifetime;
  });
  for (auto &[Address, Each] : this->Followers) {
    if (HasNewProof)
      this->sendStatus(Address, Each);
    this->sendUpdates(Address, Each);
  }
}

void FleetDistributor::start(MessageCallback Callback) {
  this->OnMessage = std::move(Callback);
  this->tick();
}

/// Chooses the first routers of a rendezvous order that ignores their cores:
/// small routers are sufficient for one read per `RelayTimes::OldProofAge`, and
/// the large ones are relays.
void FleetDistributor::updateVerifiers(const RouterList &Listed) {
  std::vector<std::pair<std::uint64_t, std::string>> Order;
  for (const auto &[Name, Endpoint] : Listed)
    Order.emplace_back(rendezvousScore(hashName(Name), VerifierOrderKey), Name);
  const std::size_t Count = std::min(VerifierCount, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end());
  this->Verifiers.clear();
  for (std::size_t I = 0; I < Count; ++I)
    this->Verifiers.push_back(Order[I].second);
}

bool FleetDistributor::isRelay(const Poco::Net::SocketAddress &Address) {
  const std::string Name = this->Routers.nameAt(Address);
  return std::any_of(
      this->Clusters.begin(), this->Clusters.end(),
      [&](const RelayCluster &Each) { return this->relayOf(Each) == Name; });
}

RelayRole FleetDistributor::determineRole() {
  if (this->updateRelay())
    return RelayRole::Relay;
  const bool IsVerifier =
      std::find(this->Verifiers.begin(), this->Verifiers.end(),
                this->Routers.self()) != this->Verifiers.end();
  return IsVerifier ? RelayRole::Verifier : RelayRole::Follower;
}

void FleetDistributor::updateClusters() {
  if (std::exchange(this->ClusteredCounts, this->Routers.counts()) !=
      this->Routers.counts())
    this->Clusters = relayClusters(this->ClusteredCounts);
}

std::string FleetDistributor::relayOf(const RelayCluster &Cluster) {
  return this->Routers.firstIn(Cluster.Key, Cluster.Zones);
}

/// Sets the relay of this router's cluster. Returns whether this router is
/// itself the relay of any cluster.
bool FleetDistributor::updateRelay() {
  this->updateClusters();
  const RelayCluster *OwnCluster =
      clusterOf(this->Clusters, this->Routers.self(), this->Routers.zone());
  const bool Substituted = this->BootClock.now() < this->SubstituteUntil;
  std::string Relay = this->SubstituteRelay;
  if (!Substituted)
    Relay = OwnCluster == nullptr ? this->Routers.self()
                                  : this->relayOf(*OwnCluster);
  // Others still follow a relay that drains, and it must not follow one of
  // them.
  if (this->Role == RelayRole::Relay && this->Routers.isLeaving())
    Relay = this->Routers.self();
  if (Relay != this->CurrentRelay) {
    this->UnansweredSince.reset();
    this->RelayProvenAt = TimePoint{};
    this->StatusReceivedAt = TimePoint{};
  }
  this->CurrentRelay = Relay;
  bool IsRelay = Relay == this->Routers.self();
  for (const RelayCluster &Each : this->Clusters)
    IsRelay = IsRelay || this->relayOf(Each) == this->Routers.self();
  return IsRelay;
}

void FleetDistributor::tick() {
  // The role and the relay follow from the list of routers.
  if (this->View->RouterEndpoints != nullptr)
    this->checkRelay();
  const bool AwaitsFirstProof =
      followsRelay(this->Role) && this->NewestProvenAt == TimePoint{};
  this->Loop.after(AwaitsFirstProof ? FirstTickInterval : TickInterval,
                   [this] { this->tick(); });
}

/// Updates this router's role, and sends a request to its relay if one is due.
void FleetDistributor::checkRelay() {
  if (this->View->RouterEndpoints == nullptr)
    return;
  const RelayRole NewRole = this->determineRole();
  // Gives the router's own relay time to answer first.
  if (this->Role == RelayRole::Unknown)
    this->OthersRequestedAt = this->BootClock.now();
  if (NewRole != this->Role)
    log(LogPart::Peer, LogLevel::Info, "relay=" + this->CurrentRelay);
  this->Role = NewRole;
  if (NewRole == RelayRole::Relay)
    return;
  const TimePoint Now = this->BootClock.now();
  const bool Silent = Now - this->StatusReceivedAt > this->Times.MaxSilence;
  const bool Due = this->SentRequests.empty() ||
                   Now - this->SentRequests.front().SentAt > RequestInterval;
  if (Silent || Due)
    this->requestStatus();
  const bool ProofIsOld = Now - this->NewestProvenAt > this->Times.OldProofAge;
  if (ProofIsOld && Now - this->OthersRequestedAt > this->Times.ProofInterval)
    this->requestOtherStatuses();
}

CorrelationId FleetDistributor::newRequestId() {
  this->SentRequests.push_front({++this->LastNumber, this->BootClock.now()});
  if (this->SentRequests.size() > MaxSentRequests)
    this->SentRequests.pop_back();
  return {this->RouterProcess, this->LastNumber};
}

void FleetDistributor::requestStatus() {
  const TimePoint Now = this->BootClock.now();
  if (!this->UnansweredSince)
    this->UnansweredSince = Now;
  if (Now - *this->UnansweredSince > ReplyTimeout) {
    this->Routers.skip(this->CurrentRelay);
    this->SubstituteUntil = TimePoint{};
  }
  this->Routers.send(
      this->CurrentRelay,
      FleetStatusRequest{this->newRequestId(), this->ReceivedRevision});
}

/// Asks the relays of the other clusters and the verifiers, since only the
/// router's own relay may be disconnected from the store.
void FleetDistributor::requestOtherStatuses() {
  this->OthersRequestedAt = this->BootClock.now();
  std::set<std::string> Others;
  for (const RelayCluster &Each : this->Clusters)
    Others.insert(this->relayOf(Each));
  Others.insert(this->Verifiers.begin(), this->Verifiers.end());
  Others.erase(this->CurrentRelay);
  Others.erase(this->Routers.self());
  if (Others.empty())
    return;
  const FleetStatusRequest Request{this->newRequestId(), NoChanges};
  for (const std::string &Each : Others)
    this->Routers.send(Each, Request);
}

void FleetDistributor::requestIfBehind(Revision RelayRevision) {
  if (RelayRevision <= this->ReceivedRevision)
    return;
  this->Loop.after(UpdateTimeout, [this, RelayRevision] {
    if (followsRelay(this->Role) && this->ReceivedRevision < RelayRevision)
      this->requestStatus();
  });
}

void FleetDistributor::switchRelay() {
  if (!followsRelay(this->Role))
    return;
  log(LogPart::Peer, LogLevel::Info,
      "relay=" + this->CurrentRelay + " is cut off from the store");
  this->Routers.skip(this->CurrentRelay);
  this->SubstituteUntil = TimePoint{};
}

void FleetDistributor::onStatusRequest(const FleetStatusRequest &Request,
                                       const Poco::Net::SocketAddress &From) {
  Follower &Sender = this->Followers[From];
  const TimePoint Now = this->BootClock.now();
  const bool LacksSent = Request.SeenRevision < Sender.SeenRevision;
  if (Sender.RequestId.Process != Request.Id.Process || !LacksSent ||
      Now - Sender.ResentAt >= ResendInterval) {
    Sender.SeenRevision = Request.SeenRevision;
    if (LacksSent)
      Sender.ResentAt = Now;
  }
  Sender.RequestId = Request.Id;
  Sender.RequestedAt = Now;
  this->sendStatus(From, Sender);
  this->sendUpdates(From, Sender);
}

void FleetDistributor::sendStatus(const Poco::Net::SocketAddress &To,
                                  const Follower &Receiver) {
  const auto SinceRequest = [&Receiver](TimePoint Time) {
    constexpr std::int64_t Min = std::numeric_limits<std::int32_t>::min();
    const auto Elapsed = std::chrono::floor<std::chrono::milliseconds>(
        Time - Receiver.RequestedAt);
    return static_cast<std::int32_t>(
        std::max<std::int64_t>(Elapsed.count(), Min));
  };
  const FleetHistory *History = this->View->History.get();
  FleetStatus Message;
  Message.Id = Receiver.RequestId;
  Message.ProvenAfterMs = SinceRequest(this->View->ProvenAt);
  Message.ListsProvenAfterMs = SinceRequest(this->View->ListsProvenAt);
  Message.ConfigurationRevision = this->View->ConfigurationRevision;
  Message.SeenRevision = this->View->SeenRevision;
  Message.CompactRevision = History == nullptr
                                ? Message.SeenRevision
                                : History->completeFrom(Receiver.SeenRevision);
  Message.HistoryIsComplete = true;
  const bool ReadsAsVerifier =
      this->Role == RelayRole::Verifier &&
      this->BootClock.now() - this->RelayProvenAt > this->Times.OldProofAge;
  Message.ReadsStore = this->Role == RelayRole::Relay || ReadsAsVerifier;
  this->Routers.send(To, Message);
}

void FleetDistributor::sendUpdates(const Poco::Net::SocketAddress &To,
                                   Follower &Receiver) {
  const FleetHistory *History = this->View->History.get();
  const Revision Newest = this->View->SeenRevision;
  if (History == nullptr || Receiver.SeenRevision >= Newest ||
      Receiver.SeenRevision < History->completeFrom(Receiver.SeenRevision))
    return;
  for (FleetUpdate &Each : updatesAfter(*History, Receiver.SeenRevision, Newest,
                                        MaxMessagesAtOnce)) {
    Each.Id = Receiver.RequestId;
    Receiver.SeenRevision = Each.ToRevision;
    this->Routers.send(To, std::move(Each));
  }
}

void FleetDistributor::onStatus(const FleetStatus &Message,
                                const Poco::Net::SocketAddress &From) {
  const auto Request =
      std::find_if(this->SentRequests.begin(), this->SentRequests.end(),
                   [&Message](const SentRequest &Each) {
                     return Each.Number == Message.Id.Number;
                   });
  if (Message.Id.Process != this->RouterProcess ||
      Request == this->SentRequests.end())
    return;
  // If verifiers accepted each other's statuses, they would prove in turns,
  // none of them would read the changes, and a draining server would get
  // requests for some 3 s.
  if (this->Role == RelayRole::Verifier && !this->isRelay(From))
    return;
  RelayStatus Status;
  Status.ProvenAt =
      Request->SentAt + std::chrono::milliseconds(Message.ProvenAfterMs);
  Status.ConfigurationRevision = Message.ConfigurationRevision;
  Status.SeenRevision = Message.SeenRevision;
  Status.CompactRevision = Message.CompactRevision;
  Status.ReadsStore = Message.ReadsStore;
  Status.HistoryIsComplete = Message.HistoryIsComplete;
  Status.ListsProvenAt =
      Request->SentAt + std::chrono::milliseconds(Message.ListsProvenAfterMs);
  Status.SenderHash = hashName(From.toString());
  this->recordStatus(Status, From);
  const auto *RelayAddress = this->Routers.addressOf(this->CurrentRelay);
  Status.IsCurrentRelay = RelayAddress != nullptr && *RelayAddress == From;
  if (Status.IsCurrentRelay)
    this->requestIfBehind(Message.SeenRevision);
  if (this->OnMessage)
    this->OnMessage(Status);
}

void FleetDistributor::recordStatus(const RelayStatus &Status,
                                    const Poco::Net::SocketAddress &From) {
  const TimePoint Now = this->BootClock.now();
  this->NewestProvenAt = std::max(this->NewestProvenAt, Status.ProvenAt);
  const auto *RelayAddress = this->Routers.addressOf(this->CurrentRelay);
  if (RelayAddress != nullptr && *RelayAddress == From) {
    this->UnansweredSince.reset();
    this->StatusReceivedAt = Now;
    this->RelayProvenAt = std::max(this->RelayProvenAt, Status.ProvenAt);
    return;
  }
  const bool IsBetter =
      Status.ReadsStore &&
      Status.ProvenAt > this->RelayProvenAt + this->Times.ProofInterval &&
      Now - this->RelayProvenAt > this->Times.OldProofAge;
  if (!IsBetter || !followsRelay(this->Role))
    return;
  const std::string Other = this->Routers.nameAt(From);
  if (Other.empty())
    return;
  log(LogPart::Peer, LogLevel::Info,
      "relay=" + Other + " in place of " + this->CurrentRelay +
          " whose proof is " + secondsText(Now - this->RelayProvenAt) + " old");
  this->SubstituteRelay = Other;
  this->SubstituteUntil = Now + SubstituteLifetime;
  this->CurrentRelay = Other;
  this->UnansweredSince.reset();
  this->StatusReceivedAt = Now;
  this->RelayProvenAt = Status.ProvenAt;
  // The status answered a request with `NoChanges`, so request the changes as
  // well.
  this->requestStatus();
}

void FleetDistributor::onUpdate(const FleetUpdate &Message) {
  if (Message.Id.Process != this->RouterProcess || !this->OnMessage)
    return;
  RelayUpdate Update{
      Message.AfterRevision, Message.ToRevision, {}, Message.Source};
  try {
    for (const FleetUpdateItem &Each : Message.Items)
      Update.Changes.push_back(changeOf(Each));
  } catch (const Poco::Exception &Problem) {
    log(LogPart::Peer, LogLevel::Warn,
        "changes sent by a relay cannot be read: " + Problem.displayText());
    return;
  }
  if (Update.appliesTo(this->ReceivedRevision))
    this->ReceivedRevision = Message.ToRevision;
  this->OnMessage(Update);
}

} // namespace parsleywing
