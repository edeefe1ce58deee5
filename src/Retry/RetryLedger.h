#ifndef PARSLEYWING_RETRY_RETRYLEDGER_H
#define PARSLEYWING_RETRY_RETRYLEDGER_H

#include "Retry/CreditHistory.h"

#include <cstdint>

namespace parsleywing {

/// Limits the retries that one process sends to one service so that a bound on
/// the whole fleet holds, although processes keep no state over a restart and
/// exchange nothing.
///
/// The fleet's bound is on each window of a fixed length: the retries in it may
/// not exceed the credit earned in it or in the window before it. Requests earn
/// credit, and so does time. A process pays `EarlierPart` of its retries of a
/// window with the credit of the window before, and `CurrentPart` with the
/// credit of the window itself. Both sums are linear in the processes: if each
/// keeps its own bound in all windows, the fleet keeps its bound in all
/// windows, whichever process has the credit and whenever processes start or
/// end. A process that starts has earned nothing and permits nothing.
///
/// A retry is reserved when it is decided on, confirmed when it is sent, and
/// settled when it has reached the server at the latest. Until then it counts
/// in all windows that have not ended.
///
/// A check takes time proportional to `CreditHistory::PerWindow`. Not thread
/// safe; has no clock of its own.
class RetryLedger {
public:
  /// The parts of the credit of the current window and the window before that
  /// may be spent. The rest is a reserve, as routers see requests a little
  /// later than callers send them.
  static constexpr double CurrentPart = 0.40;
  static constexpr double EarlierPart = 0.55;

  explicit RetryLedger(Duration Window) : Earned(Window), Retries(Window) {}

  /// Adds credit for one retry times `Credit`.
  void earn(TimePoint Now, double Credit) { this->Earned.add(Now, Credit); }

  /// Whether one more retry is within the bound. `Shared` is credit that this
  /// and other services earn by time, times `SharedFactor`.
  bool mayReserve(TimePoint Now, const CreditHistory &Shared,
                  double SharedFactor) const;

  /// Reserves a retry if `mayReserve`.
  bool tryReserve(TimePoint Now, const CreditHistory &Shared,
                  double SharedFactor);

  /// Whether a reserved retry may still be sent now.
  bool isWithinBound(TimePoint Now, const CreditHistory &Shared,
                     double SharedFactor) const;

  /// A reserved retry reached the server now or earlier.
  void settle(TimePoint Now);
  /// A reserved retry was never sent.
  void cancel();

  std::uint32_t reservedCount() const { return this->Reserved; }
  /// Retries and earned credit in the window that ends now, for observability.
  double retriesInWindow(TimePoint Now) const;
  double earnedInWindow(TimePoint Now) const;

  /// Whether nothing has happened for two windows and nothing is reserved.
  bool isIdle(TimePoint Now) const;

private:
  bool holdsWith(double Additional, TimePoint Now, const CreditHistory &Shared,
                 double SharedFactor) const;

  CreditHistory Earned;
  CreditHistory Retries;
  std::uint32_t Reserved = 0;
};

} // namespace parsleywing

#endif
