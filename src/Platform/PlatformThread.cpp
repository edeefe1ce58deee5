#include "Platform/PlatformThread.h"

#include "Platform/StoreCodec.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

namespace parsleywing {

namespace {

constexpr Duration RequestPollInterval = std::chrono::milliseconds(100);
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(200);
constexpr Duration MaxRetryDelay = std::chrono::seconds(8);
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

/// Returns a seed that differs between routers. Two routers with the same seed
/// would request the same lease ID, and the second would treat its grant as one
/// whose response was lost. Both registrations would then share one lease, and
/// that of a router that froze or died would stay listed while the other router
/// is alive.
std::uint64_t routerSeed(std::uint64_t Seed, const std::string &Name) {
  if (Seed == 0)
    return internal::seedOrRandom(Seed);
  return rendezvousScore(hashName(Name), Seed);
}

} // namespace

PlatformThread::PlatformThread(PlatformSettings P,
                               const ConfigurationStoreSettings &C,
                               const StoreSettings &S,
                               const std::shared_ptr<StoreBudget> &B,
                               RouterRegistration R, const Clock &T, Sink Post)
    : Settings(std::move(P)), ConfigurationSettings(C), ClientSettings(S),
      Budget(B), Registration(std::move(R)), Time(T),
      PostEvent(std::move(Post)), Store(S, B, T),
      Configuration(C, StoreClient(S, B, T), T),
      LeaseBackoff(InitialRetryDelay, MaxRetryDelay,
                   routerSeed(Settings.Seed, this->Registration.Name)),
      Random(routerSeed(Settings.Seed, this->Registration.Name)),
      NextLeaseCallAt(T.now()), NextListAt(T.now()),
      Worker([this] { this->run(); }) {}

PlatformThread::~PlatformThread() {
  this->Stopping = true;
  this->Requests.close();
  this->Worker.join();
}

void PlatformThread::submit(PlatformRequest Request) {
  this->Requests.put(std::make_unique<PlatformRequest>(std::move(Request)));
}

void PlatformThread::run() {
  this->on(ReadLists{});
  while (!this->Stopping) {
    const auto Request = this->Requests.take(RequestPollInterval);
    if (Request && !this->Stopping)
      std::visit([this](const auto &Each) { this->on(Each); }, **Request);
    this->maintainLease();
    if (this->Watch && this->Time.now() >= this->NextListAt)
      this->on(ReadLists{});
  }
  this->Watch.reset();
  if (this->Lease != 0)
    (void)this->Store.revokeLease(this->Lease);
}

void PlatformThread::on(const WatchManifest &) {
  if (this->Watch)
    return;
  const std::string Key = this->Configuration.manifestKey();
  StoreWatch::Options Options;
  Options.Prefix = Key;
  Options.Seed = this->Random();
  this->Watch = std::make_unique<StoreWatch>(
      this->ClientSettings, this->Budget, this->Time, Options,
      [this, Key](const std::vector<StoreChange> &Changes) {
        // A watch that starts may have missed changes.
        if (Changes.empty())
          this->submit(ReadManifest{});
        for (const StoreChange &Change : Changes)
          if (!Change.Deleted && Change.Entry.Key == Key)
            if (auto Manifest = decodeManifest(Change.Entry.Value))
              this->PostEvent(ManifestRead{std::move(*Manifest)});
      });
}

void PlatformThread::on(const StopWatching &) { this->Watch.reset(); }

void PlatformThread::on(const ReadManifest &) {
  auto Manifest = this->Configuration.readManifest();
  if (Manifest)
    this->PostEvent(ManifestRead{std::move(*Manifest)});
  else
    this->PostEvent(StoreFailed{});
}

void PlatformThread::on(const ReadParts &Request) {
  auto Texts = this->Configuration.readParts(Request.Parts);
  if (Texts)
    this->PostEvent(PartsRead{Request.Generation, std::move(*Texts)});
  else
    this->PostEvent(StoreFailed{});
}

void PlatformThread::on(const ReadLists &) {
  this->NextListAt = this->Time.now() + this->Settings.ListInterval;
  const auto Routers = this->Store.getPrefix(this->Settings.RouterPrefix);
  if (Routers) {
    RoutersListed Event;
    for (const StoreEntry &Entry : Routers->Entries)
      if (auto Router = decodeRegistration(Entry.Value))
        Event.Routers.push_back(std::move(*Router));
    this->PostEvent(std::move(Event));
  }
  const auto Vms = this->Store.getPrefix(this->Settings.VmPrefix);
  if (!Vms)
    return;
  VmsListed Event;
  for (const StoreEntry &Entry : Vms->Entries)
    if (const auto State = valueOf(VmStateNames, Entry.Value))
      Event.Vms.push_back(
          {Entry.Key.substr(this->Settings.VmPrefix.size()), *State});
  this->PostEvent(std::move(Event));
}

void PlatformThread::setLeaseHeld(bool Held) {
  if (this->LeaseHeld == Held)
    return;
  this->LeaseHeld = Held;
  log(LogPart::Platform, Held ? LogLevel::Info : LogLevel::Warn,
      Held ? "The router's lease is held." : "The router's lease is lost.");
  this->PostEvent(RouterLeaseChanged{Held});
}

void PlatformThread::maintainLease() {
  const TimePoint Now = this->Time.now();
  if (this->LeaseHeld && Now - this->LastRenewalAt >= this->Settings.LeaseTtl)
    this->setLeaseHeld(false);
  if (Now < this->NextLeaseCallAt)
    return;
  if (this->Lease == 0) {
    const bool Acquired = this->acquireLease();
    if (Acquired)
      this->LeaseBackoff.reset();
    this->NextLeaseCallAt = Now + (Acquired ? this->Settings.KeepAliveInterval
                                            : this->LeaseBackoff.nextDelay());
    return;
  }
  const auto Renewed = this->Store.keepLeaseAlive(this->Lease);
  if (Renewed) {
    this->LastRenewalAt = Now;
    this->LeaseBackoff.reset();
    this->NextLeaseCallAt = Now + this->Settings.KeepAliveInterval;
    this->setLeaseHeld(true);
    return;
  }
  if (Renewed.error().Code == ErrorCode::NotFound) {
    this->Lease = 0;
    this->setLeaseHeld(false);
    // The store is reachable again. Keeping the delay of an unreachable store
    // would leave the router unlisted for up to 8 s more.
    this->LeaseBackoff.reset();
    this->NextLeaseCallAt = Now;
    return;
  }
  this->NextLeaseCallAt = Now + this->LeaseBackoff.nextDelay();
}

/// A grant whose response was lost is recovered by its ID, so that a router
/// never has more than one lease.
bool PlatformThread::acquireLease() {
  const TimePoint Now = this->Time.now();
  if (this->PendingLease == 0)
    this->PendingLease =
        static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  const auto Granted =
      this->Store.grantLease(this->Settings.LeaseTtl, this->PendingLease);
  if (!Granted && !this->Store.keepLeaseAlive(this->PendingLease))
    return false;
  const auto Written = this->registerRouter();
  if (!Written) {
    if (Written.error().Code == ErrorCode::NotFound)
      this->PendingLease = 0;
    return false;
  }
  this->Lease = std::exchange(this->PendingLease, 0);
  this->LastRenewalAt = Now;
  this->setLeaseHeld(true);
  return true;
}

/// A process that was frozen while a later process took its name must not
/// overwrite the later registration. The key would be attached to the frozen
/// process's lease and disappear with it, and the live router would no longer
/// be listed; an `apply` that waits for all routers would not wait for it.
Result<void> PlatformThread::registerRouter() {
  const std::string Key = this->Settings.RouterPrefix + this->Registration.Name;
  const auto Existing = this->Store.get(Key);
  if (!Existing)
    return tl::unexpected<Error>(Existing.error());
  Revision ExistingRevision = 0;
  if (!Existing->Entries.empty()) {
    ExistingRevision = Existing->Entries[0].ModRevision;
    const auto Holder = decodeRegistration(Existing->Entries[0].Value);
    if (Holder &&
        Holder->IncarnationNumber > this->Registration.IncarnationNumber) {
      this->PostEvent(RoutersListed{{*Holder}});
      return failure(ErrorCode::Conflict,
                     "a later process has registered this router's name");
    }
  }
  const auto Written =
      this->Store.commit({{keyModRevisionIs(Key, ExistingRevision)},
                          {putKey(Key, encodeRegistration(this->Registration),
                                  this->PendingLease)},
                          {}});
  if (!Written)
    return tl::unexpected<Error>(Written.error());
  if (!Written->Succeeded)
    return failure(ErrorCode::Conflict,
                   "the registration was changed by another process");
  return {};
}

} // namespace parsleywing
