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

/// With a word of its relay that proves less than the last this long, a router
/// reads changes and proofs for itself: the relay is cut off from the store, or
/// silent. Two of its proofs (0.6 s) and their way. A router that waited longer
/// would send requests to servers that left more than 2 s before.
constexpr Duration LongestRelayAge = std::chrono::milliseconds(1350);

/// Unusable entries whose logging is remembered.
constexpr std::size_t MaxUnusableKept = 1024;

} // namespace

FleetFeedCounters::FleetFeedCounters(Metrics &Into)
    : Calls(Into.counter(
          {"fleet_store_calls_total", "Calls that read the fleet.", ""})),
      FailedCalls(Into.counter(
          {"fleet_store_failures_total", "Such calls that failed.", ""})),
      Reloads(Into.counter(
          {"fleet_reloads_total", "Times that everything was read anew.", ""})),
      Unusable(
          Into.counter({"fleet_unusable_entries_total",
                        "Entries of servers that could not be read.", ""})),
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

/// With `Guard` held.
void FleetFeed::takeList(const StoredServers &Read) {
  for (const UnusableServer &Each : Read.Unusable)
    this->noteUnusable(Each);
  this->Book.take(Read, this->Time.now());
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

} // namespace parsleywing
