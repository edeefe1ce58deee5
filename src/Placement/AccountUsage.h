#ifndef PARSLEYWING_PLACEMENT_ACCOUNTUSAGE_H
#define PARSLEYWING_PLACEMENT_ACCOUNTUSAGE_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <map>
#include <utility>

namespace parsleywing {

/// The tokens that this router's requests were granted, by client account and
/// server group. Each allocation request tells the allocator of its group what
/// its account has got in other groups, so that an account's share is counted
/// over the fleet: an allocator knows only its own grants, and an account whose
/// requests all go to one group would get a part of that group, while others
/// get a part of each. Has no clock of its own. A service and its groups, and
/// an account, are given as hashes.
class AccountUsage {
public:
  /// How long the usage of an account counts for a group that is not told of
  /// it.
  static constexpr Duration MemoryTime = std::chrono::seconds(4);

  void recordGrant(std::uint64_t Service, std::uint64_t Account,
                   std::uint64_t Group, double Tokens, TimePoint Now);

  /// Returns the tokens that the account was granted in other groups of the
  /// service since the last call for this group. Zero if that is longer ago
  /// than `MemoryTime`: an account owes nothing for what it used when others
  /// had no need of it.
  std::uint32_t takeUsedElsewhere(std::uint64_t Service, std::uint64_t Account,
                                  std::uint64_t Group, TimePoint Now);

  std::size_t size() const { return this->Accounts.size(); }

private:
  struct GroupUsage {
    double Granted = 0;
    /// What was granted in other groups when the allocator was last told.
    double ToldElsewhere = 0;
    TimePoint ToldAt{};
  };

  struct ServiceUsage {
    double Granted = 0;
    std::map<std::uint64_t, GroupUsage> Groups;
    TimePoint LastUsedAt{};
  };

  ServiceUsage &usageOf(std::uint64_t Service, std::uint64_t Account,
                        TimePoint Now);
  void expire(TimePoint Now);

  /// The key is the service and the account.
  std::map<std::pair<std::uint64_t, std::uint64_t>, ServiceUsage> Accounts;
  TimePoint LastExpiry{};
};

} // namespace parsleywing

#endif
