#include "Program/Orders/LoadRateLimiter.h"

#include "Platform/Backoff.h"

#include <set>
#include <thread>

namespace parsleywing {

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(250);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);

} // namespace

LoadRateLimiter::LoadRateLimiter(LoadRateLimiterSettings S, StoreClient C,
                                 Clock T)
    : Settings(std::move(S)), Store(std::move(C)), Time(std::move(T)),
      Random(internal::seedOrRandom(this->Settings.Seed)) {}

Result<void> LoadRateLimiter::acquire(TimePoint Deadline) {
  Backoff RetryBackoff(InitialRetryDelay, MaxRetryDelay, this->Random());
  while (true) {
    const Result<bool> Acquired = this->tryAcquire();
    if (Acquired && *Acquired)
      return {};
    const Duration Wait = RetryBackoff.nextDelay();
    if (this->Time.now() + Wait < Deadline) {
      std::this_thread::sleep_for(Wait);
      continue;
    }
    if (!Acquired)
      return tl::unexpected<Error>(Acquired.error());
    return failure(ErrorCode::TimedOut,
                   "the weight store's rate limit allowed no load in time");
  }
}

std::string LoadRateLimiter::slotKey(std::uint32_t Index) const {
  return this->Settings.Prefix + std::to_string(Index);
}

/// Picks one of the free keys at random, so that two waiting processes rarely
/// claim the same key.
Result<bool> LoadRateLimiter::tryAcquire() {
  const auto UsedSlots = this->Store.getPrefix(this->Settings.Prefix, true);
  if (!UsedSlots)
    return tl::unexpected<Error>(UsedSlots.error());
  std::set<std::string> UsedKeys;
  for (const StoreEntry &Entry : UsedSlots->Entries)
    UsedKeys.insert(Entry.Key);
  std::vector<std::string> FreeKeys;
  for (std::uint32_t Index = 0; Index < this->Settings.MaxLoads; ++Index)
    if (!UsedKeys.contains(this->slotKey(Index)))
      FreeKeys.push_back(this->slotKey(Index));
  if (FreeKeys.empty())
    return false;
  std::uniform_int_distribution<std::size_t> Pick(0, FreeKeys.size() - 1);
  return this->claimSlot(FreeKeys[Pick(this->Random)]);
}

Result<bool> LoadRateLimiter::claimSlot(const std::string &Key) {
  const auto Lease = this->Store.grantLease(this->Settings.Period);
  if (!Lease)
    return tl::unexpected<Error>(Lease.error());
  const auto Outcome =
      this->Store.commit({{keyAbsent(Key)}, {putKey(Key, "", *Lease)}, {}});
  if (!Outcome)
    return tl::unexpected<Error>(Outcome.error());
  if (!Outcome->Succeeded)
    (void)this->Store.revokeLease(*Lease);
  return Outcome->Succeeded;
}

} // namespace parsleywing
