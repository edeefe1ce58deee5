#include "Platform/FencedLease.h"

#include "Platform/Backoff.h"
#include "Runtime/Overloaded.h"

namespace parsleywing {

namespace {

constexpr Duration Step = std::chrono::milliseconds(50);
constexpr std::uint64_t LeaseIdMask = 0x7FFFFFFFFFFFFFFF;

} // namespace

FencedLease::FencedLease(Options O, const StoreSettings &S,
                         const std::shared_ptr<StoreBudget> &B, const Clock &C)
    : Chosen(std::move(O)), Time(C), Store(S, B, C), ConfirmStore(S, B, C),
      State(Chosen.Times), Random(internal::seedOr(Chosen.Seed)),
      Worker([this] { this->run(); }) {}

FencedLease::~FencedLease() {
  this->want(false);
  {
    std::lock_guard<std::mutex> Lock(this->Guard);
    this->Stopping = true;
  }
  this->Woken.notify_all();
  this->Worker.join();
}

void FencedLease::tell(const LeaseEvent &Event) {
  std::lock_guard<std::mutex> Lock(this->Guard);
  for (LeaseAction &Action : this->State.handle(this->Time.now(), Event))
    this->Todo.push_back(Action);
}

void FencedLease::want(bool Wanted) {
  if (Wanted)
    this->tell(LeaseWanted{});
  else
    this->tell(LeaseUnwanted{});
  this->Woken.notify_all();
}

std::optional<FencingNumber> FencedLease::number() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->State.usable(this->Time.now());
}

std::optional<LeaseUse> FencedLease::use() const {
  std::lock_guard<std::mutex> Lock(this->Guard);
  return this->State.use(this->Time.now());
}

std::optional<FencingNumber> FencedLease::confirmedNumber() {
  const auto Use = this->confirmedUse();
  return Use ? std::optional(Use->Number) : std::nullopt;
}

std::optional<LeaseUse> FencedLease::confirmedUse() {
  const auto Before = this->number();
  if (!Before)
    return std::nullopt;
  std::lock_guard<std::mutex> Lock(this->ConfirmGuard);
  const auto Outcome = this->ConfirmStore.commit(
      {{keyCreatedAt(this->Chosen.Key, *Before)}, {}, {}});
  if (!Outcome || !Outcome->Succeeded)
    return std::nullopt;
  const auto After = this->use();
  return After && After->Number == *Before ? After : std::nullopt;
}

void FencedLease::run() {
  while (true) {
    std::vector<LeaseAction> Now;
    {
      std::unique_lock<std::mutex> Lock(this->Guard);
      this->Woken.wait_for(
          Lock, Step, [this] { return this->Stopping || !this->Todo.empty(); });
      std::swap(Now, this->Todo);
      if (this->Stopping && Now.empty())
        return;
    }
    for (const LeaseAction &Action : Now)
      this->perform(Action);
    this->tell(LeaseTick{});
  }
}

void FencedLease::perform(const LeaseAction &Action) {
  std::visit(
      Overloaded{[this](const AcquireLease &) { this->tell(this->acquire()); },
                 [this](const RenewLease &) { this->tell(this->renew()); },
                 [this](const ReleaseLease &) { this->release(); }},
      Action);
}

/// A reply lost on the way leaves a lease that nobody renews: it is revoked if
/// possible, and else lapses. It is never taken for held, since its number and
/// the start of its life are not known for certain.
LeaseEvent FencedLease::acquire() {
  const TimePoint SentAt = this->Time.now();
  this->Lease = static_cast<LeaseId>((this->Random() & LeaseIdMask) | 1U);
  if (!this->Store.grantLease(this->Chosen.Times.Life, this->Lease)) {
    this->release();
    return LeaseRefused{};
  }
  const auto Outcome = this->Store.commit(
      {{keyAbsent(this->Chosen.Key)},
       {putKey(this->Chosen.Key, this->Chosen.Holder, this->Lease)},
       {}});
  if (Outcome && Outcome->Succeeded)
    return LeaseAcquired{Outcome->At, SentAt};
  this->release();
  return LeaseRefused{};
}

LeaseEvent FencedLease::renew() {
  const TimePoint SentAt = this->Time.now();
  const auto Kept = this->Store.keepLeaseAlive(this->Lease);
  if (Kept)
    return LeaseRenewed{SentAt};
  if (Kept.error().Code == ErrorCode::NotFound)
    return LeaseLapsed{};
  return LeaseRenewalFailed{};
}

void FencedLease::release() {
  if (this->Lease != 0)
    (void)this->Store.revokeLease(this->Lease);
  this->Lease = 0;
}

} // namespace parsleywing
