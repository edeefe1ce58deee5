#include "Decision/Configuration/ConfigurationKeeper.h"

#include "Runtime/Invariant.h"
#include "Runtime/Overloaded.h"

#include <algorithm>
#include <set>

namespace parsleywing {

namespace {

constexpr Duration InitialReadBackoff = std::chrono::seconds(1);
constexpr Duration MaxReadBackoff = std::chrono::seconds(16);
/// A read without a response for this long is considered lost.
constexpr Duration ReadTimeout = std::chrono::seconds(10);
constexpr std::size_t PeersQueriedAtStart = 5;
/// One in this many announcements goes to a router of any zone.
constexpr std::uint64_t AnnouncementsPerCrossZone = 4;

std::size_t sizeOf(const ConfigurationStep &Step) {
  constexpr std::size_t FixedBytes = 48;
  std::size_t Size = FixedBytes + Step.Delta.Changed.size();
  for (const std::string &Header : Step.Delta.Removed)
    Size += Header.size() + sizeof(std::uint64_t);
  return Size;
}

std::size_t sizeOf(const ConfigurationMessage &Message) {
  return std::visit(
      Overloaded{
          [](const ConfigurationSteps &Each) {
            std::size_t Size = sizeof(std::uint64_t);
            for (const ConfigurationStep &Step : Each.Steps)
              Size += sizeOf(Step);
            return Size;
          },
          [](const ConfigurationSnapshot &Each) { return Each.Text.size(); },
          [](const auto &) { return sizeof(std::uint64_t); }},
      Message);
}

template <typename Number> Duration randomUpTo(Duration Limit, Number &Random) {
  return Duration(static_cast<Duration::rep>(
      Random() % static_cast<std::uint64_t>(Limit.count() + 1)));
}

} // namespace

ConfigurationActions
ConfigurationKeeper::handle(TimePoint At, const ConfigurationEvent &Event) {
  this->Now = At;
  std::visit([this](const auto &Each) { this->on(Each); }, Event);
  return std::exchange(this->PendingActions, {});
}

bool ConfigurationKeeper::isJoining() const {
  return this->ActiveGeneration == 0 &&
         (!this->JoinUntil || this->Now < *this->JoinUntil);
}

void ConfigurationKeeper::recordGeneration(std::uint64_t Generation) {
  if (Generation > this->HighestKnown) {
    this->HighestKnown = Generation;
    this->HighestHolder.reset();
  }
}

// Updates from the store.

void ConfigurationKeeper::on(const ManifestRead &Event) {
  this->StoreReachable = true;
  this->ReadPending = false;
  this->ReadBackoff = Duration::zero();
  this->NextRead.reset();
  const std::uint64_t Generation = Event.Manifest.Generation;
  this->recordGeneration(Generation);
  if (Generation <= this->ActiveGeneration) {
    this->StaleUpdates += Generation < this->ActiveGeneration ? 1 : 0;
    return;
  }
  if (this->Loading && this->Loading->Generation >= Generation)
    return;
  if (Generation < this->HighestKnown && this->ActiveGeneration == 0) {
    ++this->StaleUpdates;
    return;
  }
  this->Loading = Event.Manifest;
  this->LoadingParts.clear();
  this->LoadingSince = this->Now;
  if (!this->prefersPeers())
    this->requestParts();
}

/// A starting router requests the complete text from another router if one is
/// known to have it. Otherwise, a zone that restarts at once would exhaust the
/// rate limit of the store.
bool ConfigurationKeeper::prefersPeers() const {
  return this->ActiveGeneration == 0 && this->HighestHolder &&
         this->FailedRequests < this->Settings.MaxPeerAttempts;
}

void ConfigurationKeeper::requestParts() {
  if (!this->Loading || this->isJoining())
    return;
  std::set<std::string> KnownHashes;
  if (this->ActiveGeneration != 0)
    for (const std::string &Part :
         this->Text.parts(this->Settings.MaxPartBytes))
      KnownHashes.insert(toString(hashBytes(Part)));
  this->LoadingParts.clear();
  for (const TextHash &Part : this->Loading->Parts)
    if (KnownHashes.insert(toString(Part)).second)
      this->LoadingParts.push_back(Part);
  this->LoadingSince = this->Now;
  if (this->LoadingParts.empty())
    this->assemble({});
  else
    this->PendingActions.emplace_back(
        ReadParts{this->Loading->Generation, this->LoadingParts});
}

void ConfigurationKeeper::on(const PartsRead &Event) {
  if (!this->Loading || Event.Generation != this->Loading->Generation ||
      Event.Texts.size() != this->LoadingParts.size())
    return;
  std::map<std::string, std::string> PartTexts;
  for (std::size_t Index = 0; Index < Event.Texts.size(); ++Index)
    PartTexts[toString(this->LoadingParts[Index])] = Event.Texts[Index];
  this->assemble(PartTexts);
}

/// Computes a step from the differences between the parts of the active text
/// and those of the manifest. Costs one hash over the active text; the other
/// costs are proportional to the changed parts.
void ConfigurationKeeper::assemble(
    const std::map<std::string, std::string> &PartTexts) {
  const ConfigurationManifest Manifest = *std::exchange(this->Loading, {});
  if (Manifest.Generation <= this->ActiveGeneration)
    return;
  std::map<std::string, std::string> OldParts;
  if (this->ActiveGeneration != 0)
    for (std::string &Part : this->Text.parts(this->Settings.MaxPartBytes)) {
      std::string Hash = toString(hashBytes(Part));
      OldParts[std::move(Hash)] = std::move(Part);
    }
  std::string OldText;
  std::string NewText;
  for (const TextHash &Part : Manifest.Parts) {
    const std::string Hash = toString(Part);
    if (OldParts.erase(Hash) > 0)
      continue;
    const auto Found = PartTexts.find(Hash);
    if (Found == PartTexts.end()) {
      // The active text has changed in the meantime because of a step from
      // another router.
      this->Loading = Manifest;
      this->requestParts();
      return;
    }
    NewText += Found->second;
  }
  for (const auto &[Hash, Part] : OldParts)
    OldText += Part;
  if (this->ActiveGeneration == 0) {
    this->adoptSnapshot(ConfigurationText(NewText), Manifest.Generation,
                        Manifest.Hash, Source::Store);
    return;
  }
  this->adoptStep(
      {this->ActiveGeneration, Manifest.Generation, Manifest.Hash,
       ConfigurationText(OldText).deltaTo(ConfigurationText(NewText))},
      Source::Store);
}

void ConfigurationKeeper::on(const StoreFailed &) {
  this->StoreReachable = false;
  this->ReadPending = false;
  this->Loading.reset();
  this->scheduleStoreRead();
}

/// Waits a random part of a delay that doubles, so that routers that lost the
/// store at the same time do not return to it at the same time.
void ConfigurationKeeper::scheduleStoreRead() {
  if (this->ReadPending || this->NextRead)
    return;
  this->ReadBackoff =
      std::clamp(this->ReadBackoff * 2, InitialReadBackoff, MaxReadBackoff);
  this->NextRead = this->Now + randomUpTo(this->ReadBackoff, this->Random);
}

void ConfigurationKeeper::readStoreIfDue() {
  if (this->ReadPending && this->Now - this->ReadPendingSince >= ReadTimeout)
    this->ReadPending = false;
  if (this->ReadPending || !this->NextRead || this->Now < *this->NextRead)
    return;
  this->NextRead.reset();
  this->ReadPending = true;
  this->ReadPendingSince = this->Now;
  this->PendingActions.emplace_back(ReadManifest{});
}

// Updates from other routers.

void ConfigurationKeeper::on(const ConfigurationMessageReceived &Event) {
  this->LastReceivedAt = this->Now;
  std::visit([&](const auto &Each) { this->receive(Event.From, Each); },
             Event.Message);
}

void ConfigurationKeeper::receive(RouterId From,
                                  const ConfigurationAnnounce &Message) {
  if (Message.Generation < this->ActiveGeneration) {
    // The sender is behind. Small steps are sent immediately; larger ones only
    // on request.
    ConfigurationSteps Response;
    bool Found = false;
    for (const ConfigurationStep &Step : this->Steps) {
      Found = Found || Step.From == Message.Generation;
      if (Found)
        Response.Steps.push_back(Step);
    }
    if (Found &&
        sizeOf(ConfigurationMessage(Response)) <= this->Settings.DatagramBytes)
      this->send(From, std::move(Response), true);
    else
      this->send(From, ConfigurationAnnounce{this->ActiveGeneration}, true);
    return;
  }
  if (Message.Generation == this->ActiveGeneration)
    return;
  this->recordGeneration(Message.Generation);
  if (Message.Generation == this->HighestKnown)
    this->HighestHolder = From;
  if (!this->isJoining() && !this->CurrentRequest)
    this->requestFrom(From);
}

void ConfigurationKeeper::requestFrom(RouterId Peer) {
  const Duration Wait = this->ActiveGeneration == 0
                            ? this->Settings.SnapshotTimeout
                            : this->Settings.RequestTimeout;
  this->CurrentRequest = SentRequest{Peer, this->Now + Wait};
  this->send(Peer, ConfigurationRequest{this->ActiveGeneration}, true);
}

void ConfigurationKeeper::receive(RouterId From,
                                  const ConfigurationRequest &Message) {
  if (Message.From >= this->ActiveGeneration)
    return;
  ConfigurationSteps Response;
  bool Found = false;
  for (const ConfigurationStep &Step : this->Steps) {
    Found = Found || Step.From == Message.From;
    if (Found)
      Response.Steps.push_back(Step);
  }
  if (Found) {
    this->send(From, std::move(Response), true);
    return;
  }
  if (this->LastSnapshotSentAt && this->Now - *this->LastSnapshotSentAt <
                                      this->Settings.MinSnapshotInterval)
    return;
  this->LastSnapshotSentAt = this->Now;
  ++this->SnapshotsSent;
  this->send(From,
             ConfigurationSnapshot{this->ActiveGeneration, this->Text.hash(),
                                   this->Text.fullText()},
             false);
}

void ConfigurationKeeper::receive(RouterId From,
                                  const ConfigurationSteps &Message) {
  if (this->CurrentRequest && this->CurrentRequest->Peer == From)
    this->CurrentRequest.reset();
  for (const ConfigurationStep &Step : Message.Steps) {
    if (Step.To <= Step.From)
      return;
    this->recordGeneration(Step.To);
    if (this->ActiveGeneration != 0 && Step.From == this->ActiveGeneration)
      this->adoptStep(Step, Source::Peers);
  }
}

void ConfigurationKeeper::receive(RouterId From,
                                  const ConfigurationSnapshot &Message) {
  if (this->CurrentRequest && this->CurrentRequest->Peer == From)
    this->CurrentRequest.reset();
  this->recordGeneration(Message.Generation);
  if (Message.Generation <= this->ActiveGeneration || this->isJoining())
    return;
  this->adoptSnapshot(ConfigurationText(Message.Text), Message.Generation,
                      Message.Hash, Source::Peers);
}

// Activation.

void ConfigurationKeeper::adoptStep(const ConfigurationStep &Step,
                                    Source From) {
  PARSLEYWING_INVARIANT(Step.From == this->ActiveGeneration,
                        "a step starts at the active generation");
  const ConfigurationDelta Undo = this->Text.apply(Step.Delta);
  if (this->Text.hash() != Step.Hash) {
    // With a step that does not result in its text, this router would have a
    // different configuration under the same generation, undetected. The step
    // is undone.
    this->Text.apply(Undo);
    ++this->WrongHashes;
    this->scheduleStoreRead();
    return;
  }
  this->retainStep(Step);
  this->activate(Step.To, Step.Delta, From);
}

void ConfigurationKeeper::adoptSnapshot(ConfigurationText NewText,
                                        std::uint64_t Generation,
                                        const TextHash &Hash, Source From) {
  // Before its restart, this router may have had the highest known generation.
  if (this->ActiveGeneration == 0 && Generation < this->HighestKnown) {
    ++this->StaleUpdates;
    return;
  }
  if (NewText.hash() != Hash) {
    ++this->WrongHashes;
    this->scheduleStoreRead();
    return;
  }
  ConfigurationDelta Changes = this->Text.deltaTo(NewText);
  this->Text = std::move(NewText);
  this->Steps.clear();
  this->StepBytes = 0;
  this->activate(Generation, std::move(Changes), From);
}

void ConfigurationKeeper::activate(std::uint64_t Generation,
                                   ConfigurationDelta Changes, Source From) {
  PARSLEYWING_INVARIANT(Generation > this->ActiveGeneration,
                        "the active generation only increases");
  PARSLEYWING_INVARIANT(
      this->ActiveGeneration != 0 || Generation >= this->HighestKnown,
      "the first active generation is at least the highest known");
  this->ActiveGeneration = Generation;
  this->ActiveSource = From;
  this->ActivatedWithoutStore = From == Source::Peers && !this->StoreReachable;
  this->recordGeneration(Generation);
  this->FailedRequests = 0;
  if (this->Loading && this->Loading->Generation <= Generation)
    this->Loading.reset();
  this->PendingActions.emplace_back(ActivateConfiguration{
      Generation, std::make_shared<const std::string>(this->Text.fullText()),
      std::move(Changes)});
  this->announceNow();
}

void ConfigurationKeeper::retainStep(ConfigurationStep Step) {
  this->StepBytes += sizeOf(Step);
  this->Steps.push_back(std::move(Step));
  while (this->Steps.size() > this->Settings.KeepSteps ||
         (this->StepBytes > this->Settings.KeepStepBytes &&
          !this->Steps.empty())) {
    this->StepBytes -= sizeOf(this->Steps.front());
    this->Steps.pop_front();
  }
}

// Messages to other routers.

void ConfigurationKeeper::send(RouterId To, ConfigurationMessage Message,
                               bool Urgent) {
  const bool Bulk = sizeOf(Message) > this->Settings.DatagramBytes;
  this->PendingActions.emplace_back(
      SendConfigurationMessage{To, Bulk, Urgent, std::move(Message)});
}

std::vector<RouterId> ConfigurationKeeper::otherRouters(bool OwnZone) const {
  std::uint32_t Zone = 0;
  for (const Member &Each : this->CurrentView.Members)
    if (Each.Router == this->CurrentView.Self)
      Zone = Each.Zone;
  std::vector<RouterId> Routers;
  for (const Member &Each : this->CurrentView.Members)
    if (Each.Router != this->CurrentView.Self &&
        (!OwnZone || Each.Zone == Zone))
      Routers.push_back(Each.Router);
  return Routers;
}

std::optional<RouterId> ConfigurationKeeper::randomOtherRouter(bool OwnZone) {
  std::vector<RouterId> Routers = this->otherRouters(OwnZone);
  if (Routers.empty() && OwnZone)
    Routers = this->otherRouters(false);
  if (Routers.empty())
    return std::nullopt;
  return Routers[this->Random() % Routers.size()];
}

void ConfigurationKeeper::announceNow() {
  std::vector<RouterId> Routers = this->otherRouters(true);
  const std::size_t Count = std::min(Routers.size(), this->Settings.FanOut);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::swap(Routers[Index],
              Routers[Index + this->Random() % (Routers.size() - Index)]);
    this->send(Routers[Index], ConfigurationAnnounce{this->ActiveGeneration},
               true);
  }
}

void ConfigurationKeeper::announce() {
  if (!this->NextAnnounce)
    this->NextAnnounce =
        this->Now + randomUpTo(this->Settings.AnnounceEvery, this->Random);
  if (this->Now < *this->NextAnnounce)
    return;
  this->NextAnnounce = this->Now + this->Settings.AnnounceEvery;
  const bool OwnZone = this->Random() % AnnouncementsPerCrossZone != 0;
  if (const auto Peer = this->randomOtherRouter(OwnZone))
    this->send(*Peer, ConfigurationAnnounce{this->ActiveGeneration}, false);
}

// View changes and timers.

bool ConfigurationKeeper::isRelay() const {
  std::uint32_t Zone = 0;
  for (const Member &Each : this->CurrentView.Members)
    if (Each.Router == this->CurrentView.Self)
      Zone = Each.Zone;
  const std::uint64_t OwnScore =
      rendezvousScore(this->CurrentView.Self.Value, Zone);
  std::size_t HigherCount = 0;
  for (const Member &Each : this->CurrentView.Members)
    if (Each.Router != this->CurrentView.Self && Each.Zone == Zone &&
        !Each.Draining && rendezvousScore(Each.Router.Value, Zone) > OwnScore)
      ++HigherCount;
  return HigherCount < this->Settings.RelaysPerZone;
}

void ConfigurationKeeper::updateRelayRole() {
  const bool Relay = this->isRelay();
  if (Relay == this->Watching)
    return;
  this->Watching = Relay;
  if (Relay)
    this->PendingActions.emplace_back(WatchManifest{});
  else
    this->PendingActions.emplace_back(StopWatching{});
}

void ConfigurationKeeper::on(const ViewChanged &Event) {
  this->CurrentView = Event.Current;
  this->updateRelayRole();
  if (this->JoinUntil)
    return;
  this->JoinUntil = this->Now + this->Settings.JoinWait;
  this->LastReceivedAt = this->Now;
  this->NextRead = this->Now;
  this->readStoreIfDue();
  std::vector<RouterId> Peers = this->otherRouters(false);
  std::shuffle(Peers.begin(), Peers.end(), this->Random);
  if (Peers.size() > PeersQueriedAtStart)
    Peers.resize(PeersQueriedAtStart);
  for (const RouterId Peer : Peers)
    this->send(Peer, ConfigurationAnnounce{0}, true);
}

void ConfigurationKeeper::retryRequest() {
  if (this->CurrentRequest && this->Now < this->CurrentRequest->Deadline)
    return;
  if (this->CurrentRequest) {
    this->CurrentRequest.reset();
    ++this->FailedRequests;
    this->HighestHolder.reset();
    if (this->ActiveGeneration == 0)
      this->scheduleStoreRead();
  }
  const bool FromStore = this->Loading && !this->prefersPeers();
  if (this->ActiveGeneration >= this->HighestKnown || this->isJoining() ||
      FromStore)
    return;
  if (this->FailedRequests >= this->Settings.MaxPeerAttempts) {
    this->FailedRequests = 0;
    this->scheduleStoreRead();
  }
  const auto Peer =
      this->HighestHolder ? this->HighestHolder : this->randomOtherRouter(true);
  if (Peer)
    this->requestFrom(*Peer);
}

void ConfigurationKeeper::on(const Tick &) {
  if (!this->JoinUntil)
    return;
  if (this->Loading && this->Now - this->LoadingSince >= ReadTimeout)
    this->Loading.reset();
  if (this->Loading && this->LoadingParts.empty() && !this->isJoining() &&
      !this->prefersPeers()) {
    if (this->ActiveGeneration == 0 &&
        this->Loading->Generation < this->HighestKnown)
      this->Loading.reset();
    else
      this->requestParts();
  }
  this->retryRequest();
  const bool Isolated =
      this->Now - this->LastReceivedAt >= this->Settings.Isolation;
  const bool Alone = this->Watching || Isolated || this->ActiveGeneration == 0;
  if (Alone && !this->ReadPending && !this->NextRead) {
    const Duration Half = this->Settings.ReadEvery / 2;
    this->NextRead = this->Now + Half + randomUpTo(Half, this->Random);
  }
  this->readStoreIfDue();
  this->announce();
}

Poco::JSON::Object::Ptr ConfigurationKeeper::dump() const {
  static constexpr EnumNames<Source, 3> Names{{{Source::None, "none"},
                                               {Source::Store, "store"},
                                               {Source::Peers, "peers"}}};
  Poco::JSON::Object::Ptr Dump = new Poco::JSON::Object;
  Dump->set("generation", this->ActiveGeneration);
  Dump->set("hash", toString(this->Text.hash()));
  Dump->set("sections", this->Text.sections());
  Dump->set("from", std::string(nameOf(Names, this->ActiveSource)));
  Dump->set("takenWithoutStore", this->ActivatedWithoutStore);
  Dump->set("storeAnswers", this->StoreReachable);
  Dump->set("highestHeardOf", this->HighestKnown);
  Dump->set("relay", this->Watching);
  Dump->set("staleNews", this->StaleUpdates);
  Dump->set("wrongHashes", this->WrongHashes);
  Dump->set("wholesSent", this->SnapshotsSent);
  Dump->set("stepsKept", this->Steps.size());
  Dump->set("stepBytes", this->StepBytes);
  return Dump;
}

} // namespace parsleywing
