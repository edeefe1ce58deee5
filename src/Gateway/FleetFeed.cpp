#include "Gateway/FleetFeed.h"

#include "Runtime/Log.h"

#include <algorithm>

namespace parsleywing {

namespace {

/// How often a router that relays its proofs to others reads the configuration.
/// With the interval of the questions, proofs are 1.2 s old at most, a quarter
/// of the shortest bound on revocation (5 s).
constexpr Duration RelayProofInterval = std::chrono::milliseconds(600);
/// Any other router reads only where its proof has grown older than this: its
/// relay is away. So the calls of a fleet grow with its relays: 67 routers that
/// read for themselves made 3.1 calls a second each.
constexpr Duration OwnProofAge = std::chrono::milliseconds(1500);
/// How long another router may know more before this one reads for itself: its
/// own watch tells of the change within some 130 ms, unless it hangs.
constexpr Duration BehindPatience = std::chrono::milliseconds(600);
constexpr Duration ProverRound = std::chrono::milliseconds(250);

/// How often the whole list of servers is read, against a change that no watch
/// told of.
constexpr Duration CompareInterval = std::chrono::seconds(15);

/// One waiting call for changes.
constexpr Duration WatchWait = std::chrono::seconds(8);
/// The pause behind an answer with changes, doubled with each such answer in a
/// row: those of a fleet's start come in hundreds, and one call takes all that
/// came meanwhile. The longest is a quarter of the shortest bound on a change
/// (2 s).
constexpr Duration WatchPause = std::chrono::milliseconds(120);
constexpr Duration LongestWatchPause = std::chrono::milliseconds(480);
constexpr Duration WatchRetry = std::chrono::milliseconds(200);

/// How long this router stays listed after its last renewal, and how often it
/// renews: three may be lost.
constexpr Duration LeaseLife = std::chrono::seconds(12);
constexpr Duration RenewInterval = std::chrono::milliseconds(3500);

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
      Tell(std::move(R)), Random(this->Chosen.Seed) {
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
  if (!Good)
    this->Counters.FailedCalls.add();
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
  this->proveOnce(Source);
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    this->Book.take(*Servers, this->Time.now());
    this->Book.take(*Routers);
  }
  After = Servers->At;
  this->publish();
  return true;
}

void FleetFeed::watch() {
  FleetSource Source = this->MakeSource();
  Revision After = 0;
  Duration Pause = WatchPause;
  bool Loaded = false;
  while (!this->stopping()) {
    if (!Loaded) {
      Loaded = this->load(Source, After);
      if (!Loaded && !this->rest(this->jittered(WatchRetry)))
        return;
      continue;
    }
    const auto Read = Source.Changes(After, WatchWait);
    if (!Read && Read.error().Code == ErrorCode::NotFound) {
      log(LogPart::Platform, LogLevel::Info,
          "history after revision " + std::to_string(After) +
              " is gone; everything is read anew");
      Loaded = false;
      continue;
    }
    if (!this->note(Read.has_value(), "changes",
                    Read ? nullptr : &Read.error())) {
      if (!this->rest(this->jittered(WatchRetry)))
        return;
      continue;
    }
    After = std::max(After, Read->At);
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      this->Book.noteSeen(After);
    }
    if (!Read->Changes.empty()) {
      {
        const std::lock_guard<std::mutex> Lock(this->Guard);
        for (const FleetChange &Each : Read->Changes)
          this->Book.take(Each, this->Time.now());
      }
      this->publish();
    }
    if (Read->Changes.empty()) {
      Pause = WatchPause;
      continue;
    }
    if (!this->rest(Pause))
      return;
    Pause = std::min(Pause * 2, LongestWatchPause);
  }
}

void FleetFeed::proveOnce(FleetSource &Source) {
  const TimePoint AskedAt = this->Time.now();
  Revision Known = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Known = this->Book.configurationRevision();
  }
  const auto Read = Source.Configuration(Known);
  if (!this->note(Read.has_value(), "configuration",
                  Read ? nullptr : &Read.error()))
    return;
  if (!*Read)
    return;
  bool Fresh = false;
  std::int64_t Version = 0;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Fresh = this->Book.take(**Read);
    if (this->Book.hasConfiguration())
      this->Book.prove(AskedAt);
    Version = Fresh ? (*Read)->Configuration->Version : 0;
  }
  if (Fresh) {
    this->publish();
    this->Counters.ConfigurationsTaken.add();
    log(LogPart::Platform, LogLevel::Info,
        "configuration=" + std::to_string(Version) +
            " revision=" + std::to_string((*Read)->At) + " source=read");
  }
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

void FleetFeed::takePeerProof(TimePoint ProvenAt, Revision ConfigurationAt,
                              Revision ServersAt) {
  bool Proven = false;
  {
    const std::lock_guard<std::mutex> Lock(this->Guard);
    Proven = this->Book.hasConfiguration() &&
             ConfigurationAt == this->Book.configurationRevision() &&
             ProvenAt > this->Book.provenAt();
    if (Proven)
      this->Book.prove(ProvenAt);
    const bool Ahead = ConfigurationAt > this->Book.configurationRevision() ||
                       ServersAt > this->Book.seenRevision();
    if (!Ahead)
      this->BehindSince.reset();
    else if (!this->BehindSince)
      this->BehindSince = this->Time.now();
  }
  this->Woken.notify_all();
  if (Proven)
    this->publish();
}

void FleetFeed::prove() {
  FleetSource Source = this->MakeSource();
  TimePoint NextCompare = this->Time.now() + CompareInterval;
  TimePoint NextRenewal = this->Time.now();
  while (true) {
    bool Behind = false;
    Duration Age{};
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      if (this->Leaving && this->Lease != 0)
        NextRenewal = this->Time.now();
      Behind = this->BehindSince &&
               this->Time.now() - *this->BehindSince > BehindPatience;
      if (Behind)
        this->BehindSince.reset();
      Age = this->Time.now() - this->Book.provenAt();
    }
    const bool Relay = !this->Chosen.IsRelay || this->Chosen.IsRelay();
    const bool Due = Age >= (Relay ? RelayProofInterval : OwnProofAge);
    if (Due || Behind)
      this->proveOnce(Source);
    if (this->Time.now() >= NextRenewal) {
      this->keepRegistered(Source);
      NextRenewal = this->Time.now() + this->jittered(RenewInterval);
    }
    if (Behind || this->Time.now() >= NextCompare) {
      this->compareServers(Source);
      NextCompare = this->Time.now() + this->jittered(CompareInterval);
    }
    bool Expired = false;
    {
      const std::lock_guard<std::mutex> Lock(this->Guard);
      Expired = this->Book.expire(this->Time.now());
    }
    if (Due || Behind || Expired)
      this->publish();
    if (!this->rest(this->jittered(ProverRound)))
      break;
  }
  if (this->Lease != 0)
    (void)Source.Unregister(this->Lease);
}

} // namespace parsleywing
