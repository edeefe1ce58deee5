#include "Platform/PlatformThread.h"

#include "Platform/StoreCodec.h"
#include "Runtime/Id.h"
#include "Runtime/Log.h"

namespace parsleywing {

namespace {

constexpr Duration Step = std::chrono::milliseconds(100);
constexpr Duration FirstWait = std::chrono::milliseconds(200);
constexpr Duration LongestWait = std::chrono::seconds(8);
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

/// The seed of this router alone. Two routers that draw from one seed want the
/// same lease, and the second takes its grant for one whose reply was lost:
/// both registrations then live under one lease, and that of a router that
/// froze or died is listed for as long as the other lives.
std::uint64_t ownSeed(std::uint64_t Chosen, const std::string &Name) {
  if (Chosen == 0)
    return internal::seedOrRandom(Chosen);
  return rendezvousScore(hashName(Name), Chosen);
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
      LeaseBackoff(FirstWait, LongestWait,
                   ownSeed(Settings.Seed, this->Registration.Name)),
      Random(ownSeed(Settings.Seed, this->Registration.Name)),
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
    const auto Request = this->Requests.take(Step);
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
  StoreWatch::Options Chosen;
  Chosen.Prefix = Key;
  Chosen.Seed = this->Random();
  this->Watch = std::make_unique<StoreWatch>(
      this->ClientSettings, this->Budget, this->Time, Chosen,
      [this, Key](const std::vector<StoreChange> &Changes) {
        // A watch that begins may have missed something.
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

void PlatformThread::on(const ReadParts &Wanted) {
  auto Texts = this->Configuration.readParts(Wanted.Parts);
  if (Texts)
    this->PostEvent(PartsRead{Wanted.Generation, std::move(*Texts)});
  else
    this->PostEvent(StoreFailed{});
}

void PlatformThread::on(const ReadLists &) {
  this->NextListAt = this->Time.now() + this->Settings.ListInterval;
  const auto Routers = this->Store.getPrefix(this->Settings.RouterPrefix);
  if (Routers) {
    RoutersListed Listed;
    for (const StoreEntry &Entry : Routers->Entries)
      if (auto Router = decodeRegistration(Entry.Value))
        Listed.Routers.push_back(std::move(*Router));
    this->PostEvent(std::move(Listed));
  }
  const auto Vms = this->Store.getPrefix(this->Settings.VmPrefix);
  if (!Vms)
    return;
  VmsListed Listed;
  for (const StoreEntry &Entry : Vms->Entries)
    if (const auto State = valueOf(VmStateNames, Entry.Value))
      Listed.Vms.push_back(
          {Entry.Key.substr(this->Settings.VmPrefix.size()), *State});
  this->PostEvent(std::move(Listed));
}

void PlatformThread::setLeaseHeld(bool Now) {
  if (this->LeaseHeld == Now)
    return;
  this->LeaseHeld = Now;
  log(LogPart::Platform, Now ? LogLevel::Info : LogLevel::Warn,
      Now ? "The router's lease is held." : "The router's lease is lost.");
  this->PostEvent(RouterLeaseChanged{Now});
}

void PlatformThread::maintainLease() {
  const TimePoint Now = this->Time.now();
  if (this->LeaseHeld && Now - this->LastRenewalAt >= this->Settings.LeaseTtl)
    this->setLeaseHeld(false);
  if (Now < this->NextLeaseCallAt)
    return;
  if (this->Lease == 0) {
    const bool Begun = this->acquireLease();
    if (Begun)
      this->LeaseBackoff.reset();
    this->NextLeaseCallAt = Now + (Begun ? this->Settings.KeepAliveInterval
                                         : this->LeaseBackoff.nextDelay());
    return;
  }
  const auto Kept = this->Store.keepLeaseAlive(this->Lease);
  if (Kept) {
    this->LastRenewalAt = Now;
    this->LeaseBackoff.reset();
    this->NextLeaseCallAt = Now + this->Settings.KeepAliveInterval;
    this->setLeaseHeld(true);
    return;
  }
  if (Kept.error().Code == ErrorCode::NotFound) {
    this->Lease = 0;
    this->setLeaseHeld(false);
    // The store answers again: to wait as for one that does not would leave
    // the router unlisted for up to 8 s more.
    this->LeaseBackoff.reset();
    this->NextLeaseCallAt = Now;
    return;
  }
  this->NextLeaseCallAt = Now + this->LeaseBackoff.nextDelay();
}

/// A grant whose reply was lost is found again under its own identity, so that
/// a router never has more than one lease.
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

/// A process that was frozen while another took its name must not write over
/// the other's registration: its own lease takes the key along when it ends,
/// and the live router would be in no list from then on. Seen as an `apply`
/// that waits for all routers and does not wait for that one.
Result<void> PlatformThread::registerRouter() {
  const std::string Key = this->Settings.RouterPrefix + this->Registration.Name;
  const auto Before = this->Store.get(Key);
  if (!Before)
    return tl::unexpected<Error>(Before.error());
  Revision Stands = 0;
  if (!Before->Entries.empty()) {
    Stands = Before->Entries[0].ModRevision;
    const auto Holder = decodeRegistration(Before->Entries[0].Value);
    if (Holder &&
        Holder->IncarnationNumber > this->Registration.IncarnationNumber) {
      this->PostEvent(RoutersListed{{*Holder}});
      return failure(ErrorCode::Conflict, "a later process has the name");
    }
  }
  const auto Written =
      this->Store.commit({{keyModRevisionIs(Key, Stands)},
                          {putKey(Key, encodeRegistration(this->Registration),
                                  this->PendingLease)},
                          {}});
  if (!Written)
    return tl::unexpected<Error>(Written.error());
  if (!Written->Succeeded)
    return failure(ErrorCode::Conflict, "the registration changed meanwhile");
  return {};
}

} // namespace parsleywing
