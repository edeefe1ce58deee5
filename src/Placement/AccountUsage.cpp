#include "Placement/AccountUsage.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace parsleywing {

AccountUsage::ServiceUsage &AccountUsage::usageOf(std::uint64_t Service,
                                                  std::uint64_t Account,
                                                  TimePoint Now) {
  this->expire(Now);
  ServiceUsage &Usage = this->Accounts[{Service, Account}];
  Usage.LastUsedAt = Now;
  return Usage;
}

void AccountUsage::recordGrant(std::uint64_t Service, std::uint64_t Account,
                               std::uint64_t Group, double Tokens,
                               TimePoint Now) {
  ServiceUsage &Usage = this->usageOf(Service, Account, Now);
  Usage.Granted += Tokens;
  Usage.Groups[Group].Granted += Tokens;
}

std::uint32_t AccountUsage::takeUsedElsewhere(std::uint64_t Service,
                                              std::uint64_t Account,
                                              std::uint64_t Group,
                                              TimePoint Now) {
  ServiceUsage &Usage = this->usageOf(Service, Account, Now);
  GroupUsage &Told = Usage.Groups[Group];
  const double Elsewhere = Usage.Granted - Told.Granted;
  const double New = Elsewhere - std::exchange(Told.ToldElsewhere, Elsewhere);
  const bool IsRecent = Now - std::exchange(Told.ToldAt, Now) < MemoryTime;
  constexpr double Max = std::numeric_limits<std::uint32_t>::max();
  return IsRecent ? static_cast<std::uint32_t>(std::clamp(New, 0.0, Max)) : 0;
}

/// Forgets accounts that have been idle for so long that nothing of theirs
/// would be told.
void AccountUsage::expire(TimePoint Now) {
  if (Now - this->LastExpiry < MemoryTime)
    return;
  this->LastExpiry = Now;
  std::erase_if(this->Accounts, [Now](const auto &Each) {
    return Now - Each.second.LastUsedAt >= MemoryTime;
  });
}

} // namespace parsleywing
