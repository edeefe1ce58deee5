#ifndef PARSLEYWING_PLACEMENT_ADMISSIONSHARE_H
#define PARSLEYWING_PLACEMENT_ADMISSIONSHARE_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <unordered_map>

namespace parsleywing {

/// Which client accounts a router that lacks processor time still admits. It
/// serves fewer requests than it is asked; each account is due a max-min share
/// of these, so that one account's flood does not take the router from the
/// others whose callers reach it. Has no clock of its own. Accounts are given
/// as hashes.
class AdmissionShare {
public:
  void recordAsked(std::uint64_t Account, TimePoint Now);
  void recordAdmitted(std::uint64_t Account, TimePoint Now);

  /// Whether the account has been admitted less often than its share.
  bool isBelowShare(std::uint64_t Account, TimePoint Now) {
    return this->isBelow(Account, 1, Now);
  }

  /// Whether a request of the account is admitted at this lag of the router,
  /// relative to the lag at which it lacks processor time. Around that, only a
  /// part of the shares is admitted, less the higher the lag, so that it stays
  /// there whatever the number of accounts.
  bool mayAdmit(std::uint64_t Account, double RelativeLag, TimePoint Now);

private:
  /// Requests of an account, of which older ones count less and less.
  struct Count {
    double Asked = 0;
    double Admitted = 0;
  };

  /// Whether the account has been admitted less often than this part of its
  /// share.
  bool isBelow(std::uint64_t Account, double Part, TimePoint Now);
  void decay(TimePoint Now);
  void updateLevel();

  std::unordered_map<std::uint64_t, Count> Counts;
  /// The admitted requests up to which an account is below its share.
  double Level = 0;
  TimePoint DecayedAt{};
};

} // namespace parsleywing

#endif
