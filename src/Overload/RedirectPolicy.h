#ifndef PARSLEYWING_OVERLOAD_REDIRECTPOLICY_H
#define PARSLEYWING_OVERLOAD_REDIRECTPOLICY_H

#include "Runtime/Clock.h"

#include <algorithm>
#include <vector>

namespace parsleywing {

/// What happens to a request that has just arrived.
enum class AdmissionStep {
  Admit,
  /// Refuse at once, so that the caller's retry reaches another router while it
  /// can still be served in time.
  Redirect,
  Refuse,
};

/// Settings of redirecting and relaying, equal at all routers.
struct RedirectSettings {
  bool Enabled = false;
  /// Both require that the largest listed router has at least this many times
  /// the cores of the smallest one.
  double MinCoreRatio = 2;
  /// Whether new connections are relayed to other routers.
  bool Relay = false;

  /// Whether routers with these cores redirect requests to each other.
  bool appliesTo(const std::vector<double> &Cores) const {
    return this->Enabled && this->isUneven(Cores);
  }

  /// Whether routers with these cores relay connections to each other.
  bool relaysApplyTo(const std::vector<double> &Cores) const {
    return this->Relay && this->isUneven(Cores);
  }

private:
  bool isUneven(const std::vector<double> &Cores) const {
    if (Cores.size() < 2)
      return false;
    const auto [Least, Most] = std::minmax_element(Cores.begin(), Cores.end());
    return *Most >= this->MinCoreRatio * *Least;
  }
};

/// Decides on requests at a router whose event loop lags. Accounts that ask for
/// more than their share are the first not to be admitted (`AdmissionShare`);
/// what is not admitted is redirected if possible and refused otherwise.
struct RedirectPolicy {
  /// Near this lag a router no longer admits all requests that cannot be
  /// redirected: it could not serve them within their latency objective. A
  /// fifth of 400 ms to the first chunk.
  static constexpr Duration OverloadLag = std::chrono::milliseconds(80);
  /// The same for requests that can be redirected. `AdmissionShare` admits all
  /// up to three quarters of it, 25 ms: a redirected request reaches its next
  /// router some 10 ms later and must meet a latency objective of 120 ms there.
  /// Requests that cannot be redirected thereby have precedence.
  static constexpr Duration RedirectLag = std::chrono::milliseconds(33);
  /// Above this lag the other routers are asked for their spare time, so that
  /// it is known when redirecting begins.
  static constexpr Duration QueryLag = std::chrono::milliseconds(15);
  /// How long the caller of a redirected request waits before it retries.
  static constexpr Duration RetryAfter = std::chrono::milliseconds(5);
  /// A request whose caller's timeout is shorter than the longest by more than
  /// this is a retry. A retry follows its first attempt by at least
  /// `RetryAfter`; first attempts may differ by a rounded millisecond.
  static constexpr Duration MaxFirstAttemptAge = std::chrono::milliseconds(3);

  /// The lag relative to the one near which a request is no longer admitted.
  static double relativeLag(Duration Lag, bool CanRedirect) {
    return std::chrono::duration<double>(Lag) /
           (CanRedirect ? RedirectLag : OverloadLag);
  }

  /// `IsAdmitted` is what the account's share says.
  static AdmissionStep stepFor(bool IsAdmitted, bool CanRedirect) {
    if (IsAdmitted)
      return AdmissionStep::Admit;
    return CanRedirect ? AdmissionStep::Redirect : AdmissionStep::Refuse;
  }
};

} // namespace parsleywing

#endif
