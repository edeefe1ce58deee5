#include "Gateway/FleetFeed.h"

#include "Gateway/FleetFeedTimes.h"
#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

using namespace internal;

namespace {

/// How long the relay may know changes that it has not told before everything
/// is read: two more of its answers.
constexpr Duration BehindPatience = std::chrono::milliseconds(600);

/// From a word of a new configuration to the first stale read of it.
constexpr Duration StaleLag = std::chrono::milliseconds(120);

/// The least time between two views with new lists, for each server in them. An
/// estimate, not measured: a view takes some 2 microseconds a server, eight
/// times that on a VM of 0.12 cores, and a third of its time may go there. The
/// changes of a lost zone come in hundreds of messages.
constexpr Duration PublishTime = std::chrono::microseconds(50);

/// Unusable entries whose logging is remembered.
constexpr std::size_t MaxUnusableKept = 1024;

} // namespace

FleetFeedCounters::FleetFeedCounters(Metrics &Into)
    : CheapCalls(Into.counter(
          {"fleet_store_cheap_calls_total",
           "Of the calls, stale reads and renewals: a tenth of the price.",
           ""})),
      FailedCalls(Into.counter(
          {"fleet_store_failures_total", "Such calls that failed.", ""})),
      Reloads(Into.counter(
          {"fleet_reloads_total", "Times that everything was read anew.", ""})),
      Unusable(
          Into.counter({"fleet_unusable_entries_total",
                        "Entries of servers that could not be read.", ""})),
      ConfigurationsTaken(Into.counter(
          {"configurations_taken_total", "Versions that came in force.", ""})) {
  for (const auto &[Cause, Name] : StoreCauseNames)
    this->Calls[Cause] = &Into.counter(
        {"fleet_store_calls_total", "Calls on the store, by what they are for.",
         "cause=\"" + std::string(Name) + "\""});
}

FleetFeed::FleetFeed(Options O, std::function<FleetSource()> NewSource,
                     Metrics &Into, Report R)
    : Chosen(std::move(O)), Times(RelayTimes::of(this->Chosen.Bounds)),
      MakeSource(std::move(NewSource)), Counters(Into), Tell(std::move(R)),
      Relays(this->Times),
      Random(this->Chosen.Seed), ProofRetry{FirstRetry, LongestRelayRetry} {
  this->Watcher = std::thread([this] { this->watch(); });
  this->Prover = std::thread([this] { this->prove(); });
}

FleetFeed::~FleetFeed() {
  this->stop();
  this->Watcher.join();
  this->Prover.join();
}

void FleetFeed::stop() {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->Stopping = true;
  }
  this->Woken.notify_all();
}

void FleetFeed::leave() {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->Leaving = true;
  }
  this->Woken.notify_all();
}

bool FleetFeed::stopping() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Stopping;
}

bool FleetFeed::rest(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Guard);
  this->Woken.wait_for(Lock, Wait, [this] { return this->Stopping; });
  return !this->Stopping;
}

Duration FleetFeed::jittered(Duration Whole) {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  std::uniform_real_distribution<double> Part(0.8, 1.2);
  return std::chrono::duration_cast<Duration>(Whole * Part(this->Random));
}

double FleetFeed::drawPart() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random);
}

bool FleetFeed::note(StoreCause Call, ReadAge Age, const Error *Problem) {
  const bool Good = Problem == nullptr;
  this->Counters.Calls.at(Call)->add();
  if (Age == ReadAge::MayBeStale || Call == StoreCause::Renewal)
    this->Counters.CheapCalls.add();
  const TimePoint Now = this->Time.now();
  const std::lock_guard<std::mutex> Lock(this->Guard);
  // While the relays reach the store, this router alone is turned away: what
  // they tell of it holds, and there is no outage whose end could be awaited.
  const bool Alone = !Good && this->relayIsFresh();
  if (!Alone)
    this->Book.noteStore(Good, Now);
  if (!Good) {
    this->Counters.FailedCalls.add();
    this->FailedAt = Now;
    this->FailedAlone = Alone;
  }
  if (Good != this->Reached) {
    this->Reached = Good;
    const std::string Name(nameOf(StoreCauseNames, Call));
    log(LogPart::Platform, Good ? LogLevel::Info : LogLevel::Warn,
        Good ? "store=regained call=" + Name
             : "store=lost call=" + Name + " problem=" + Problem->Message);
  }
  return Good;
}

void FleetFeed::publish() {
  // Three threads publish; an older view must not come after a newer one.
  const std::lock_guard<std::mutex> Order(this->PublishGuard);
  std::shared_ptr<const FleetView> View;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    // A view without its lists would look like a fleet without others.
    if (!this->Loaded)
      return;
    View = std::make_shared<FleetView>(this->Book.view());
  }
  this->Tell(View);
}

Duration FleetFeed::untilPublished() {
  const Duration Least = PublishTime * static_cast<int>(this->Book.servers());
  const Duration Gone = this->Time.now() - this->ChangesPublishedAt;
  return std::max(Least - Gone, Duration::zero());
}

void FleetFeed::publishChanges() {
  bool Later = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Later = this->untilPublished() > Duration::zero();
    this->ChangesDue = Later;
    if (!Later)
      this->ChangesPublishedAt = this->Time.now();
  }
  // The prover does it in time.
  if (Later)
    this->Woken.notify_all();
  else
    this->publish();
}

/// With `Guard` held. Once for each writing: lists show it again and again.
void FleetFeed::noteUnusable(const UnusableServer &Written) {
  Revision &Logged = this->UnusableAt[Written.Id];
  if (Logged >= Written.At)
    return;
  Logged = Written.At;
  this->Counters.Unusable.add();
  log(LogPart::Platform, LogLevel::Warn,
      "server=" + Written.Id + " revision=" + std::to_string(Written.At) +
          " entry cannot be used and names no server: " + Written.Reason);
  if (this->UnusableAt.size() > MaxUnusableKept)
    this->UnusableAt.erase(this->UnusableAt.begin());
}

/// With `Guard` held. The end of the lease of this router's earlier process may
/// come late, when this one has taken the lease over.
void FleetFeed::noteRemoved(const FleetChange &Change) {
  const auto *Gone = std::get_if<RemovedRouter>(&Change);
  if (Gone != nullptr && Gone->Name == this->Chosen.RouterName)
    this->EntryLost = true;
}

/// With `Guard` held.
void FleetFeed::takeList(const StoredServers &Read) {
  for (const UnusableServer &Each : Read.Unusable)
    this->noteUnusable(Each);
  this->Book.take(Read, this->Time.now());
}

RelayRole FleetFeed::role() const {
  return this->Chosen.Role ? this->Chosen.Role() : RelayRole::Relay;
}

/// With `Guard` held.
bool FleetFeed::relayIsFresh() const {
  return this->hasRelay() && this->Relays.isFresh(this->Time.now());
}

/// With `Guard` held. The relays say that the store is away, and that is enough
/// for this router.
bool FleetFeed::takesRelaysWord(TimePoint Now) const {
  return this->role() != RelayRole::Scout && this->Relays.storeSeemsAway(Now);
}

/// Another router reads the changes for this one, or is about to, or tells that
/// it cannot. An own proof that is newer than the relays' shows that they are
/// cut off, and this router is not.
bool FleetFeed::reliesOnRelays() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  const TimePoint Now = this->Time.now();
  if (this->role() == RelayRole::Unknown)
    return Now - this->LoadedAt < RelayGrace;
  if (!this->hasRelay())
    return false;
  if (this->Relays.isFresh(Now) || Now - this->LoadedAt < RelayGrace)
    return true;
  return this->takesRelaysWord(Now) &&
         this->Book.provenAt() <= this->Relays.provenAt();
}

Revision FleetFeed::seenRevision() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Book.seenRevision();
}

void FleetFeed::takeRelayTold(const RelayTold &Told) {
  std::visit([this](const auto &Each) { this->take(Each); }, Told);
}

/// With `Guard` held. A proof holds for one revision of the configuration only.
void FleetFeed::proveByWord(const RelayWord &Word) {
  if (Word.ConfigurationAt != this->Book.configurationRevision() ||
      Word.ProvenAt <= this->Book.provenAt())
    return;
  this->Book.prove(Word.ProvenAt);
  this->OwnProofs = 0;
}

void FleetFeed::take(const RelayWord &Word) {
  bool Proven = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    const TimePoint Now = this->Time.now();
    const TimePoint Before = this->Book.provenAt();
    this->Relays.noteWord(Word, Now);
    if (Word.ProvenAt >= this->LastWord.ProvenAt)
      this->LastWord = Word;
    this->proveByWord(Word);
    this->Book.proveLists(Word.SeenAt, Word.ListsProvenAt);
    Proven = this->Book.provenAt() > Before;
    if (!this->configurationIsTold())
      this->ToldSince.reset();
    else if (!this->ToldSince)
      this->noteTold(Now);
    // Routers that waited on as in the outage would refuse keys for up to 4 s
    // more where the configuration has changed meanwhile.
    const bool BehindFailure = Word.ProvenAt > this->FailedAt;
    this->StoreBack = BehindFailure && !this->FailedAlone;
    if (BehindFailure)
      this->ProofFails = false;
    if (BehindFailure && !this->Reached) {
      this->Reached = true;
      // From here on an entry that vanishes is no longer one that may have
      // lapsed while the store was away.
      this->Book.noteStore(true, Now);
      log(LogPart::Platform, LogLevel::Info, "store=regained call=relay");
    }
    if (Word.IsOwn)
      this->noteBehind(Word);
  }
  this->Woken.notify_all();
  if (Proven)
    this->publish();
}

/// With `Guard` held. The store's copies have it a moment later.
void FleetFeed::noteTold(TimePoint Now) {
  this->ToldSince = Now;
  this->NextFetch = Now + StaleLag;
}

/// With `Guard` held. What the relay cannot tell is read.
void FleetFeed::noteBehind(const RelayWord &Word) {
  const Revision Seen = this->Book.seenRevision();
  const TimePoint Now = this->Time.now();
  if (Word.SeenAt <= Seen) {
    this->BehindSince.reset();
    this->StaleLists = 0;
    return;
  }
  if (!this->BehindSince)
    this->BehindSince = Now;
  const bool Late = Now - *this->BehindSince > BehindPatience;
  if (this->Loaded && (Late || Word.TellsSince > Seen))
    this->LoadDue = true;
}

/// With `Guard` held.
bool FleetFeed::configurationIsTold() const {
  return this->LastWord.ConfigurationAt > this->Book.configurationRevision();
}

void FleetFeed::take(const RelayNews &News) {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    const Revision Seen = this->Book.seenRevision();
    // Changes before these were lost on their way and come again.
    if (!this->Loaded || News.From > Seen || News.To <= Seen)
      return;
    for (const FleetChange &Each : News.Changes) {
      this->noteRemoved(Each);
      this->Book.take(Each, this->Time.now());
    }
    this->Book.noteSeen(News.To);
  }
  this->publishChanges();
}

} // namespace parsleywing
