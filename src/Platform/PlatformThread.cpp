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
    return internal::seedOr(Chosen);
  return rendezvousScore(hashName(Name), Chosen);
}

} // namespace

PlatformThread::PlatformThread(PlatformSettings P,
                               const ConfigurationStoreSettings &C,
                               const StoreSettings &S,
                               const std::shared_ptr<StoreBudget> &B,
                               RouterRegistration R, const Clock &T, Sink Post)
    : Settings(std::move(P)), ConfigurationSettings(C), ClientSettings(S),
      Budget(B), Self(std::move(R)), Time(T), Tell(std::move(Post)),
      Store(S, B, T), Configuration(C, StoreClient(S, B, T), T),
      LeaseWaits(FirstWait, LongestWait,
                 ownSeed(Settings.Seed, this->Self.Name)),
      Random(ownSeed(Settings.Seed, this->Self.Name)), NextLeaseCall(T.now()),
      NextLists(T.now()), Worker([this] { this->run(); }) {}

PlatformThread::~PlatformThread() {
  this->Stopping = true;
  this->Requests.close();
  this->Worker.join();
}

void PlatformThread::perform(PlatformRequest Request) {
  this->Requests.put(std::make_unique<PlatformRequest>(std::move(Request)));
}

void PlatformThread::run() {
  this->on(ReadLists{});
  while (!this->Stopping) {
    const auto Request = this->Requests.take(Step);
    if (Request && !this->Stopping)
      std::visit([this](const auto &Each) { this->on(Each); }, **Request);
    this->tendLease();
    if (this->Watch && this->Time.now() >= this->NextLists)
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
          this->perform(ReadManifest{});
        for (const StoreChange &Change : Changes)
          if (!Change.Deleted && Change.Entry.Key == Key)
            if (auto Manifest = decodeManifest(Change.Entry.Value))
              this->Tell(ManifestRead{std::move(*Manifest)});
      });
}

void PlatformThread::on(const StopWatching &) { this->Watch.reset(); }

void PlatformThread::on(const ReadManifest &) {
  auto Manifest = this->Configuration.readManifest();
  if (Manifest)
    this->Tell(ManifestRead{std::move(*Manifest)});
  else
    this->Tell(StoreFailed{});
}

void PlatformThread::on(const ReadParts &Wanted) {
  auto Texts = this->Configuration.readParts(Wanted.Parts);
  if (Texts)
    this->Tell(PartsRead{Wanted.Generation, std::move(*Texts)});
  else
    this->Tell(StoreFailed{});
}

void PlatformThread::on(const ReadLists &) {
  this->NextLists = this->Time.now() + this->Settings.ListEvery;
  const auto Routers = this->Store.getPrefix(this->Settings.RouterPrefix);
  if (Routers) {
    RoutersListed Listed;
    for (const StoreEntry &Entry : Routers->Entries)
      if (auto Router = decodeRegistration(Entry.Value))
        Listed.Routers.push_back(std::move(*Router));
    this->Tell(std::move(Listed));
  }
  const auto Vms = this->Store.getPrefix(this->Settings.VmPrefix);
  if (!Vms)
    return;
  VmsListed Listed;
  for (const StoreEntry &Entry : Vms->Entries)
    if (const auto State = valueOf(VmStateNames, Entry.Value))
      Listed.Vms.push_back(
          {Entry.Key.substr(this->Settings.VmPrefix.size()), *State});
  this->Tell(std::move(Listed));
}

void PlatformThread::setHeld(bool Now) {
  if (this->Held == Now)
    return;
  this->Held = Now;
  log(LogPart::Platform, Now ? LogLevel::Info : LogLevel::Warn,
      Now ? "The router's lease is held." : "The router's lease is lost.");
  this->Tell(RouterLeaseChanged{Now});
}

void PlatformThread::tendLease() {
  const TimePoint Now = this->Time.now();
  if (this->Held && Now - this->LastKept >= this->Settings.LeaseLife)
    this->setHeld(false);
  if (Now < this->NextLeaseCall)
    return;
  if (this->Lease == 0) {
    const bool Begun = this->beginLease();
    if (Begun)
      this->LeaseWaits.reset();
    this->NextLeaseCall =
        Now + (Begun ? this->Settings.KeepAliveEvery : this->LeaseWaits.next());
    return;
  }
  const auto Kept = this->Store.keepLeaseAlive(this->Lease);
  if (Kept) {
    this->LastKept = Now;
    this->LeaseWaits.reset();
    this->NextLeaseCall = Now + this->Settings.KeepAliveEvery;
    this->setHeld(true);
    return;
  }
  if (Kept.error().Code == ErrorCode::NotFound) {
    this->Lease = 0;
    this->setHeld(false);
    // The store answers again: to wait as for one that does not would leave
    // the router unlisted for up to 8 s more.
    this->LeaseWaits.reset();
    this->NextLeaseCall = Now;
    return;
  }
  this->NextLeaseCall = Now + this->LeaseWaits.next();
}

/// A grant whose reply was lost is found again under its own identity, so that
/// a router never has more than one lease.
bool PlatformThread::beginLease() {
  const TimePoint Now = this->Time.now();
  if (this->WantedLease == 0)
    this->WantedLease =
        static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  const auto Granted =
      this->Store.grantLease(this->Settings.LeaseLife, this->WantedLease);
  if (!Granted && !this->Store.keepLeaseAlive(this->WantedLease))
    return false;
  const auto Written = this->registerSelf();
  if (!Written) {
    if (Written.error().Code == ErrorCode::NotFound)
      this->WantedLease = 0;
    return false;
  }
  this->Lease = std::exchange(this->WantedLease, 0);
  this->LastKept = Now;
  this->setHeld(true);
  return true;
}

/// A process that was frozen while another took its name must not write over
/// the other's registration: its own lease takes the key along when it ends,
/// and the live router would be in no list from then on. Seen as an `apply`
/// that waits for all routers and does not wait for that one.
Result<void> PlatformThread::registerSelf() {
  const std::string Key = this->Settings.RouterPrefix + this->Self.Name;
  const auto Before = this->Store.get(Key);
  if (!Before)
    return tl::unexpected<Error>(Before.error());
  Revision Stands = 0;
  if (!Before->Entries.empty()) {
    Stands = Before->Entries[0].Modified;
    const auto Holder = decodeRegistration(Before->Entries[0].Value);
    if (Holder && Holder->Life > this->Self.Life) {
      this->Tell(RoutersListed{{*Holder}});
      return failure(ErrorCode::Conflict, "a later process has the name");
    }
  }
  const auto Written = this->Store.commit(
      {{keyModifiedAt(Key, Stands)},
       {putKey(Key, encodeRegistration(this->Self), this->WantedLease)},
       {}});
  if (!Written)
    return tl::unexpected<Error>(Written.error());
  if (!Written->Succeeded)
    return failure(ErrorCode::Conflict, "the registration changed meanwhile");
  return {};
}

} // namespace parsleywing
