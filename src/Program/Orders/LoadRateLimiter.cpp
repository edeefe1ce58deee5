#include "Program/Orders/LoadRateLimiter.h"

#include "Platform/Backoff.h"

#include <set>
#include <thread>

namespace parsleywing {

namespace {

constexpr Duration FirstWait = std::chrono::milliseconds(250);
constexpr Duration LongestWait = std::chrono::seconds(2);

} // namespace

LoadRateLimiter::LoadRateLimiter(LoadRateLimiterSettings S, StoreClient C,
                                 Clock T)
    : Settings(std::move(S)), Store(std::move(C)), Time(std::move(T)),
      Random(internal::seedOrRandom(this->Settings.Seed)) {}

Result<void> LoadRateLimiter::acquire(TimePoint Deadline) {
  Backoff Waits(FirstWait, LongestWait, this->Random());
  while (true) {
    const Result<bool> Taken = this->tryAcquire();
    if (Taken && *Taken)
      return {};
    const Duration Wait = Waits.nextDelay();
    if (this->Time.now() + Wait < Deadline) {
      std::this_thread::sleep_for(Wait);
      continue;
    }
    if (!Taken)
      return tl::unexpected<Error>(Taken.error());
    return failure(ErrorCode::TimedOut,
                   "the weight store's rate allowed no load in time");
  }
}

std::string LoadRateLimiter::slotKey(std::uint32_t Place) const {
  return this->Settings.Prefix + std::to_string(Place);
}

/// Of the free keys one is drawn: two that wait then rarely want the same.
Result<bool> LoadRateLimiter::tryAcquire() {
  const auto Taken = this->Store.getPrefix(this->Settings.Prefix, true);
  if (!Taken)
    return tl::unexpected<Error>(Taken.error());
  std::set<std::string> Keys;
  for (const StoreEntry &Entry : Taken->Entries)
    Keys.insert(Entry.Key);
  std::vector<std::string> Free;
  for (std::uint32_t Place = 0; Place < this->Settings.MaxLoads; ++Place)
    if (!Keys.contains(this->slotKey(Place)))
      Free.push_back(this->slotKey(Place));
  if (Free.empty())
    return false;
  std::uniform_int_distribution<std::size_t> Draw(0, Free.size() - 1);
  return this->claimSlot(Free[Draw(this->Random)]);
}

Result<bool> LoadRateLimiter::claimSlot(const std::string &Key) {
  const auto Lease = this->Store.grantLease(this->Settings.Period);
  if (!Lease)
    return tl::unexpected<Error>(Lease.error());
  const auto Swap =
      this->Store.commit({{keyAbsent(Key)}, {putKey(Key, "", *Lease)}, {}});
  if (!Swap)
    return tl::unexpected<Error>(Swap.error());
  if (!Swap->Succeeded)
    (void)this->Store.revokeLease(*Lease);
  return Swap->Succeeded;
}

} // namespace parsleywing
