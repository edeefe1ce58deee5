#include "Gateway/FleetFeed.h"

#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// How old a relay's proof gets, and the one of another router before that
/// reads for itself, as parts of the bounds on revocation (5 s on the sites so
/// far) and on a configuration (2 s).
constexpr double RelayProofPart = 0.12;
constexpr double RelayProofPartOfChange = 0.3;
constexpr double OwnProofPart = 0.4;
constexpr double OwnProofPartOfChange = 0.75;

/// How long the relay may know changes that it has not told before everything
/// is read: two more of its answers.
constexpr Duration BehindPatience = std::chrono::milliseconds(600);
constexpr Duration ProverRound = std::chrono::milliseconds(250);
/// A relay looks more often whether its proof is due, since the others wait for
/// it.
constexpr Duration RelayProverRound = std::chrono::milliseconds(100);

/// With a word of its relay that proves less than the last this long, a router
/// reads changes and proofs for itself: the relay is cut off from the store, or
/// silent. Two of its proofs (0.6 s) and their way. A router that waited longer
/// would send requests to servers that left more than 2 s before.
constexpr Duration LongestRelayAge = std::chrono::milliseconds(1350);

/// Own proofs in a row after which the relay counts as cut off: the first may
/// only be a little earlier than its own, after an outage.
constexpr int ProofsAgainstRelay = 2;

/// How often the whole list of servers is read, against a change that no watch
/// told of.
constexpr Duration CompareInterval = std::chrono::seconds(15);
/// The same at a router that hears of changes from its relay: a second net
/// below the relay's own.
constexpr Duration FollowerCompareInterval = std::chrono::seconds(60);

/// One waiting call for changes.
constexpr Duration WatchWait = std::chrono::seconds(8);
/// How long the watch may take to tell of a revision that the store has: its
/// longest pause, and some.
constexpr Duration WatchPatience = std::chrono::milliseconds(550);
/// The pause behind an answer with changes, doubled with each such answer in a
/// row: those of a fleet's start come in hundreds, and one call takes all that
/// came meanwhile. The longest is a quarter of the shortest bound on a change
/// (2 s).
constexpr Duration WatchPause = std::chrono::milliseconds(120);
constexpr Duration LongestWatchPause = std::chrono::milliseconds(480);

/// The waits between calls that fail. A relay finds the store again within the
/// second, and tells the others; they would hear of it all the same where they
/// asked more rarely still. Calls of 85 routers in an outage of 8 s, each 200
/// to 250 ms after the last: 5,700.
constexpr Duration FirstRetry = std::chrono::milliseconds(250);
constexpr Duration LongestRelayRetry = std::chrono::seconds(1);
constexpr Duration FirstFollowerRetry = std::chrono::milliseconds(800);
constexpr Duration LongestFollowerRetry = std::chrono::seconds(4);

/// How long this router stays listed after its last renewal, and how often it
/// renews: two may be lost. Others find out within 0.2 s that a router does not
/// answer; its entry only says where to ask.
constexpr Duration LeaseLife = std::chrono::seconds(20);
constexpr Duration RenewInterval = std::chrono::seconds(6);

Duration partOf(Duration Whole, double Part) {
  return std::chrono::duration_cast<Duration>(Whole * Part);
}

} // namespace

FleetFeedCounters::FleetFeedCounters(Metrics &Into)
    : Calls(Into.counter(
          {"fleet_store_calls_total", "Calls that read the fleet.", ""})),
      FailedCalls(Into.counter(
          {"fleet_store_failures_total", "Such calls that failed.", ""})),
      Reloads(Into.counter(
          {"fleet_reloads_total", "Times that everything was read anew.", ""})),
      ConfigurationsTaken(Into.counter({"configurations_taken_total",
                                        "Versions that came in force.", ""})) {}

FleetFeed::FleetFeed(Options O, std::function<FleetSource()> NewSource,
                     Metrics &Into, Report R)
    : Chosen(std::move(O)), MakeSource(std::move(NewSource)), Counters(Into),
      Tell(std::move(R)),
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

bool FleetFeed::note(bool Good, const std::string &Call, const Error *Problem) {
  this->Counters.Calls.add();
  const TimePoint Now = this->Time.now();
  const std::lock_guard<std::mutex> Lock(this->Guard);
  // That a call is refused for its content does not make the store away.
  this->Book.noteStore(Good, Now);
  if (!Good) {
    this->Counters.FailedCalls.add();
    this->FailedAt = Now;
  }
  if (Good != this->Reached) {
    this->Reached = Good;
    log(LogPart::Platform, Good ? LogLevel::Info : LogLevel::Warn,
        Good ? "store=regained call=" + Call
             : "store=lost call=" + Call +
                   " problem=" + (Problem == nullptr ? "" : Problem->Message));
  }
  return Good;
}

void FleetFeed::publish() {
  // Three threads publish; an older view must not come after a newer one.
  const std::lock_guard<std::mutex> Order(this->PublishGuard);
  std::shared_ptr<const FleetView> View;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    View = std::make_shared<FleetView>(this->Book.view());
  }
  this->Tell(View);
}

/// Reads everything. The changes after the first read are asked for next, so
/// that none falls between.
bool FleetFeed::load(FleetSource &Source, Revision &After) {
  this->Counters.Reloads.add();
  const auto Servers = Source.Servers();
  if (!this->note(Servers.has_value(), "servers",
                  Servers ? nullptr : &Servers.error()))
    return false;
  const auto Routers = Source.Routers();
  if (!this->note(Routers.has_value(), "routers",
                  Routers ? nullptr : &Routers.error()))
    return false;
  (void)this->proveOnce(Source);
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->Book.take(*Servers, this->Time.now());
    this->Book.take(*Routers);
    this->Book.noteSeen(Servers->At);
    this->Loaded = true;
    this->LoadDue = false;
    this->BehindSince.reset();
  }
  After = Servers->At;
  this->publish();
  return true;
}

bool FleetFeed::hasRelay() const {
  return this->Chosen.IsRelay && !this->Chosen.IsRelay();
}

/// With `Guard` held.
bool FleetFeed::relayIsFresh() const {
  return this->hasRelay() &&
         this->Time.now() - this->RelayProvenAt < LongestRelayAge;
}

bool FleetFeed::follows() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return this->relayIsFresh();
}

Revision FleetFeed::seenRevision() {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  return this->Book.seenRevision();
}

/// Waits while the relay tells of all changes.
void FleetFeed::followRelay() {
  std::unique_lock<std::mutex> Lock(this->Guard);
  while (!this->Stopping && !this->LoadDue && this->relayIsFresh())
    this->Woken.wait_for(Lock, RelayProverRound,
                         [this] { return this->Stopping || this->LoadDue; });
}

void FleetFeed::watch() {
  FleetSource Source = this->MakeSource();
  Revision After = 0;
  Duration Pause = LongestWatchPause;
  Backoff Retry{FirstRetry, LongestRelayRetry};
  const auto WaitToRetry = [this, &Retry] {
    Retry.Longest = this->hasRelay() ? LongestFollowerRetry : LongestRelayRetry;
    return this->rest(this->jittered(Retry.take()));
  };
  bool Current = false;
  while (!this->stopping()) {
    if (!Current) {
      Current = this->load(Source, After);
      if (Current)
        Retry.reset();
      else if (!WaitToRetry())
        return;
      continue;
    }
    if (this->follows()) {
      this->followRelay();
      const std::lock_guard<std::mutex> Lock(this->Guard);
      Current = !this->LoadDue;
      continue;
    }
    After = std::max(After, this->seenRevision());
    const auto Read = Source.Changes(After, WatchWait);
    if (!Read && Read.error().Code == ErrorCode::NotFound) {
      log(LogPart::Platform, LogLevel::Info,
          "history after revision " + std::to_string(After) +
              " is gone; everything is read anew");
      Current = false;
      continue;
    }
    if (!this->note(Read.has_value(), "changes",
                    Read ? nullptr : &Read.error())) {
      if (!WaitToRetry())
        return;
      continue;
    }
    Retry.reset();
    After = std::max(After, Read->At);
    this->takeChanges(*Read);
    if (Read->Changes.empty()) {
      Pause = WatchPause;
      continue;
    }
    if (!this->rest(Pause))
      return;
    Pause = std::min(Pause * 2, LongestWatchPause);
  }
}

void FleetFeed::takeChanges(const FleetChanges &Read) {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    for (const FleetChange &Each : Read.Changes)
      this->Book.take(Each, this->Time.now());
    this->Book.noteSeen(Read.At);
  }
  // Also where only the revision is new: routers that hear of changes from
  // this one wait for it.
  this->publish();
}

bool FleetFeed::proveOnce(FleetSource &Source) {
  const TimePoint AskedAt = this->Time.now();
  Revision Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Known = this->Book.configurationRevision();
  }
  const auto Read = Source.Configuration(Known);
  if (!this->note(Read.has_value(), "configuration",
                  Read ? nullptr : &Read.error()))
    return false;
  if (!*Read)
    return false;
  bool Fresh = false;
  std::int64_t Version = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Fresh = this->Book.take(**Read);
    if (this->Book.hasConfiguration())
      this->Book.prove(AskedAt);
    this->noteStoreRevision((*Read)->StoreAt);
    Version = Fresh ? (*Read)->Configuration->Version : 0;
  }
  if (Fresh) {
    this->publish();
    this->Counters.ConfigurationsTaken.add();
    log(LogPart::Platform, LogLevel::Info,
        "configuration=" + std::to_string(Version) +
            " revision=" + std::to_string((*Read)->At) + " source=read");
  }
  return true;
}

/// Compares what the watch has told with what the store has. With `Guard` held.
/// A waiting call that was cut off without a word looks like a quiet store, for
/// up to its whole wait behind the end of the trouble.
void FleetFeed::noteStoreRevision(Revision StoreAt) {
  const Revision Seen = this->Book.seenRevision();
  const TimePoint Now = this->Time.now();
  if (StoreAt <= Seen || this->relayIsFresh()) {
    this->UnseenAt = 0;
    return;
  }
  if (this->UnseenAt <= Seen) {
    this->UnseenAt = StoreAt;
    this->UnseenSince = Now;
    return;
  }
  this->CatchUpDue = Now - this->UnseenSince >= WatchPatience;
}

/// Reads the changes that the watch ought to have told.
void FleetFeed::catchUp(FleetSource &Source) {
  Revision After = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    if (!std::exchange(this->CatchUpDue, false))
      return;
    After = this->Book.seenRevision();
  }
  const auto Read = Source.Changes(After, Duration::zero());
  if (!Read && Read.error().Code == ErrorCode::NotFound) {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->LoadDue = this->Loaded;
    return;
  }
  if (this->note(Read.has_value(), "changes", Read ? nullptr : &Read.error()))
    this->takeChanges(*Read);
}

void FleetFeed::compareServers(FleetSource &Source) {
  const auto Read = Source.Servers();
  if (!this->note(Read.has_value(), "servers", Read ? nullptr : &Read.error()))
    return;
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->Book.take(*Read, this->Time.now());
}

void FleetFeed::keepRegistered(FleetSource &Source) {
  bool IsLeaving = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    IsLeaving = this->Leaving;
    // A router that is listed is asked for servers and for changes.
    if (!IsLeaving && !this->Loaded)
      return;
  }
  if (IsLeaving) {
    // A call that fails leaves the entry to its lease.
    if (this->Lease != 0 && Source.Unregister(this->Lease))
      this->Lease = 0;
    return;
  }
  if (this->Lease != 0) {
    const auto Renewed = Source.Renew(this->Lease);
    if (Renewed)
      return;
    if (Renewed.error().Code != ErrorCode::NotFound)
      return;
    this->Lease = 0;
  }
  const auto Granted =
      Source.Register({this->Chosen.RouterName, this->Chosen.RouterAddress,
                       this->Chosen.RouterCapacity, 0},
                      LeaseLife);
  if (Granted)
    this->Lease = *Granted;
  else
    log(LogPart::Platform, LogLevel::Info,
        "registration failed: " + Granted.error().Message);
}

void FleetFeed::takeRelayTold(const RelayTold &Told) {
  std::visit([this](const auto &Each) { this->take(Each); }, Told);
}

void FleetFeed::take(const RelayWord &Word) {
  bool Proven = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Proven = this->Book.hasConfiguration() &&
             Word.ConfigurationAt == this->Book.configurationRevision() &&
             Word.ProvenAt > this->Book.provenAt();
    if (Proven) {
      this->Book.prove(Word.ProvenAt);
      this->OwnProofs = 0;
    }
    this->RelayProvenAt = std::max(this->RelayProvenAt, Word.ProvenAt);
    this->ReadDue = Word.ConfigurationAt > this->Book.configurationRevision();
    // Routers that waited on as in the outage would refuse keys for up to 4 s
    // more where the configuration has changed meanwhile.
    this->StoreBack = Word.ProvenAt > this->FailedAt;
    if (this->StoreBack && !this->Reached) {
      this->Reached = true;
      // From here on an entry that vanishes is no longer one that may have
      // lapsed while the store was away.
      this->Book.noteStore(true, this->Time.now());
      log(LogPart::Platform, LogLevel::Info, "store=regained call=relay");
    }
    const Revision Seen = this->Book.seenRevision();
    if (Word.SeenAt <= Seen)
      this->BehindSince.reset();
    else if (!this->BehindSince)
      this->BehindSince = this->Time.now();
    else if (this->Time.now() - *this->BehindSince > BehindPatience)
      this->LoadDue = this->Loaded;
    // What the relay does not remember can only be read.
    if (Word.SeenAt > Seen && Word.TellsSince > Seen)
      this->LoadDue = this->Loaded;
  }
  this->Woken.notify_all();
  if (Proven)
    this->publish();
}

void FleetFeed::take(const RelayNews &News) {
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    const Revision Seen = this->Book.seenRevision();
    // Changes before these were lost on their way and come again.
    if (!this->Loaded || News.From > Seen || News.To <= Seen)
      return;
    for (const FleetChange &Each : News.Changes)
      this->Book.take(Each, this->Time.now());
    this->Book.noteSeen(News.To);
  }
  this->publish();
}

Duration FleetFeed::proofInterval() const {
  const Duration Revocation = this->Chosen.RevocationBound;
  const Duration Change = this->Chosen.ConfigurationBound;
  if (this->hasRelay())
    return std::min(partOf(Revocation, OwnProofPart),
                    partOf(Change, OwnProofPartOfChange));
  return std::min(partOf(Revocation, RelayProofPart),
                  partOf(Change, RelayProofPartOfChange));
}

/// Whether a read is due, and why.
FleetFeed::ReadReason FleetFeed::proofDue(TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(this->Guard);
  const bool Wanted = std::exchange(this->ReadDue, false);
  const bool Back = std::exchange(this->StoreBack, false);
  if (Now < this->NextProof && !Back)
    return ReadReason::None;
  if (Now - this->Book.provenAt() >= this->proofInterval())
    return ReadReason::OldProof;
  return Wanted ? ReadReason::NewConfiguration : ReadReason::None;
}

void FleetFeed::renewProof(FleetSource &Source) {
  const ReadReason Reason = this->proofDue(this->Time.now());
  if (Reason == ReadReason::None)
    return;
  const bool Follows = this->hasRelay();
  this->ProofRetry.First = Follows ? FirstFollowerRetry : FirstRetry;
  this->ProofRetry.Longest = Follows ? LongestFollowerRetry : LongestRelayRetry;
  if (this->proveOnce(Source)) {
    this->ProofRetry.reset();
    this->publish();
    bool CutOff = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      this->NextProof = TimePoint{};
      // A read for a new configuration says nothing of the relay.
      CutOff = Follows && Reason == ReadReason::OldProof &&
               ++this->OwnProofs >= ProofsAgainstRelay;
      if (CutOff)
        this->OwnProofs = 0;
    }
    if (CutOff && this->Chosen.DistrustRelay)
      this->Chosen.DistrustRelay();
    return;
  }
  const Duration Wait = this->jittered(this->ProofRetry.take());
  const std::lock_guard<std::mutex> Lock(this->Guard);
  this->NextProof = this->Time.now() + Wait;
}

void FleetFeed::prove() {
  FleetSource Source = this->MakeSource();
  const auto CompareIn = [this] {
    return this->jittered(this->hasRelay() ? FollowerCompareInterval
                                           : CompareInterval);
  };
  TimePoint NextCompare = this->Time.now() + CompareIn();
  TimePoint NextRenewal = this->Time.now();
  bool WasLoaded = false;
  do {
    this->renewProof(Source);
    this->catchUp(Source);
    bool Expired = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      if (this->Loaded != WasLoaded || (this->Leaving && this->Lease != 0))
        NextRenewal = this->Time.now();
      WasLoaded = this->Loaded;
      Expired = this->Book.expire(this->Time.now());
    }
    if (this->Time.now() >= NextRenewal) {
      this->keepRegistered(Source);
      NextRenewal = this->Time.now() + this->jittered(RenewInterval);
    }
    if (this->Time.now() >= NextCompare) {
      this->compareServers(Source);
      NextCompare = this->Time.now() + CompareIn();
      Expired = true;
    }
    if (Expired)
      this->publish();
  } while (this->restUnlessReadDue(
      this->hasRelay() ? this->jittered(ProverRound) : RelayProverRound));
  if (this->Lease != 0)
    (void)Source.Unregister(this->Lease);
}

bool FleetFeed::restUnlessReadDue(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Guard);
  this->Woken.wait_for(Lock, Wait,
                       [this] { return this->Stopping || this->ReadDue; });
  return !this->Stopping;
}

} // namespace parsleywing
