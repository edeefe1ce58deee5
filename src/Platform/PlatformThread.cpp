#include "Platform/PlatformThread.h"

#include "Platform/StoreCodec.h"
#include "Runtime/Log.h"

namespace parsleywing {

using Poco::JSON::Object;

namespace {

constexpr Duration Step = std::chrono::milliseconds(100);
constexpr Duration FirstWait = std::chrono::milliseconds(200);
constexpr Duration LongestWait = std::chrono::seconds(8);
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

std::string encodeRegistration(const RouterRegistration &Router) {
  Object Message;
  Message.set("name", Router.Name);
  Message.set("zone", Router.Zone);
  Message.set("callerAddress", Router.CallerAddress);
  Message.set("peerAddress", Router.PeerAddress);
  Message.set("incarnation", Router.Life);
  return internal::stringify(Message);
}

std::optional<RouterRegistration> decodeRegistration(const std::string &Text) {
  const auto Message = internal::parseMessage(Text);
  if (!Message)
    return std::nullopt;
  try {
    RouterRegistration Router;
    Router.Name = (*Message)->getValue<std::string>("name");
    Router.Zone = (*Message)->getValue<std::string>("zone");
    Router.CallerAddress = (*Message)->getValue<std::string>("callerAddress");
    Router.PeerAddress = (*Message)->getValue<std::string>("peerAddress");
    Router.Life = (*Message)->getValue<Poco::UInt64>("incarnation");
    return Router;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
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
      LeaseWaits(FirstWait, LongestWait, internal::seedOr(Settings.Seed)),
      Random(internal::seedOr(Settings.Seed)), NextLeaseCall(T.now()),
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
  const auto Written =
      this->Store.put(this->Settings.RouterPrefix + this->Self.Name,
                      encodeRegistration(this->Self), this->WantedLease);
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

} // namespace parsleywing
