#include "Platform/FencedLease.h"

#include "Platform/Backoff.h"
#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

constexpr Duration WorkerPollInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

} // namespace

FencedLease::FencedLease(Options O, const StoreSettings &S,
                         const std::shared_ptr<StoreBudget> &B, const Clock &C)
    : LeaseOptions(std::move(O)), Time(C), Store(S, B, C),
      ConfirmStore(S, B, C), State(LeaseOptions.Timing),
      Random(internal::seedOrRandom(LeaseOptions.Seed)),
      Worker([this] { this->run(); }) {}

FencedLease::~FencedLease() {
  this->setWanted(false);
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Wakeup.notify_all();
  this->Worker.join();
}

void FencedLease::handleEvent(const LeaseEvent &Event) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (LeaseAction &Action : this->State.handle(this->Time.now(), Event))
    this->PendingActions.push_back(Action);
}

void FencedLease::setWanted(bool Wanted) {
  if (Wanted)
    this->handleEvent(LeaseWanted{});
  else
    this->handleEvent(LeaseUnwanted{});
  this->Wakeup.notify_all();
}

std::optional<FencingNumber> FencedLease::fencingNumber() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State.fencingNumber(this->Time.now());
}

std::optional<LeasePermit> FencedLease::permit() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->State.permit(this->Time.now());
}

std::optional<FencingNumber> FencedLease::confirmedFencingNumber() {
  const auto Permit = this->confirmedPermit();
  return Permit ? std::optional(Permit->Number) : std::nullopt;
}

std::optional<LeasePermit> FencedLease::confirmedPermit() {
  const auto Before = this->fencingNumber();
  if (!Before)
    return std::nullopt;
  std::lock_guard<std::mutex> Lock(this->ConfirmMutex);
  const auto Outcome = this->ConfirmStore.commit(
      {{keyCreateRevisionIs(this->LeaseOptions.Key, *Before)}, {}, {}});
  if (!Outcome || !Outcome->Succeeded)
    return std::nullopt;
  const auto After = this->permit();
  return After && After->Number == *Before ? After : std::nullopt;
}

void FencedLease::run() {
  while (true) {
    std::vector<LeaseAction> Actions;
    {
      std::unique_lock<std::mutex> Lock(this->Mutex);
      this->Wakeup.wait_for(Lock, WorkerPollInterval, [this] {
        return this->Stopping || !this->PendingActions.empty();
      });
      std::swap(Actions, this->PendingActions);
      if (this->Stopping && Actions.empty())
        return;
    }
    for (const LeaseAction &Action : Actions)
      this->perform(Action);
    this->handleEvent(LeaseTick{});
  }
}

void FencedLease::perform(const LeaseAction &Action) {
  std::visit(
      Overloaded{
          [this](const AcquireLease &) { this->handleEvent(this->acquire()); },
          [this](const RenewLease &) { this->handleEvent(this->renew()); },
          [this](const ReleaseLease &) { this->release(); }},
      Action);
}

/// If a response is lost, the store may hold a lease whose fencing number and
/// start of the TTL are not known for certain. Such a lease never counts as
/// held; it is revoked if possible, and otherwise expires.
LeaseEvent FencedLease::acquire() {
  const TimePoint SentAt = this->Time.now();
  this->Lease = static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  if (!this->Store.grantLease(this->LeaseOptions.Timing.Ttl, this->Lease)) {
    this->release();
    return LeaseAcquisitionFailed{};
  }
  const auto Outcome = this->Store.commit(
      {{keyAbsent(this->LeaseOptions.Key)},
       {putKey(this->LeaseOptions.Key, this->LeaseOptions.Holder, this->Lease)},
       {}});
  if (Outcome && Outcome->Succeeded)
    return LeaseAcquired{Outcome->CommitRevision, SentAt};
  this->release();
  return LeaseAcquisitionFailed{};
}

LeaseEvent FencedLease::renew() {
  const TimePoint SentAt = this->Time.now();
  const auto Renewed = this->Store.keepLeaseAlive(this->Lease);
  if (Renewed)
    return LeaseRenewed{SentAt};
  if (Renewed.error().Code == ErrorCode::NotFound)
    return LeaseExpired{};
  return LeaseRenewalFailed{};
}

void FencedLease::release() {
  if (this->Lease != 0)
    (void)this->Store.revokeLease(this->Lease);
  this->Lease = 0;
}

} // namespace parsleywing
