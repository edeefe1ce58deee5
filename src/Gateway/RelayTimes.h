#ifndef PARSLEYWING_GATEWAY_RELAYTIMES_H
#define PARSLEYWING_GATEWAY_RELAYTIMES_H

#include "Runtime/Clock.h"

#include <algorithm>

namespace parsleywing {

/// Upper bounds on how long changes of the fleet may take to become effective.
struct FleetBounds {
  /// From the revocation of a key until it is rejected.
  Duration Revocation = std::chrono::seconds(5);
  /// From the acceptance of a configuration until it is active.
  Duration Configuration = std::chrono::seconds(2);
  /// From the time a server starts to drain until it gets no more requests.
  Duration Removal = std::chrono::seconds(2);
};

/// How often relays prove that their state is current, and how followers react
/// to a missing proof. All times are derived from the bounds: wider bounds need
/// fewer calls on the store. With the default bounds they are 0.6, 0.75, 0.84,
/// 1.35 and 1.5 s.
struct RelayTimes {
  /// How often a relay proves that its configuration is the newest one. More
  /// than three proofs fit into each bound, so that one may be lost.
  Duration ProofInterval;
  /// Time without a status after which a router asks its relay at once.
  Duration MaxSilence;
  /// Age of the newest proof after which a router asks the other relays too.
  Duration OldProofAge;
  /// Age of the newest proof after which a router reads changes from the store
  /// itself, unless several relays report that they cannot reach it either. It
  /// covers two proofs and their transmission, that is, two thirds of the
  /// shortest bound; the rest is left for the router's own read.
  Duration MaxProofAge;
  /// Age of the lists, that is, of the proof that they were complete, at which
  /// a router reads what they lack from the store itself, whatever relays and
  /// watches report. Leaves a tenth of the bound on a removal for the delay of
  /// the timer and a tenth for the read.
  Duration MaxListsAge;

  static RelayTimes of(const FleetBounds &Bounds) {
    constexpr double FractionOfRevocation = 0.24;
    constexpr double FractionOfOtherBounds = 0.3;
    constexpr double ListsFractionOfRemoval = 0.75;
    const Duration Interval =
        std::min({fractionOf(Bounds.Revocation, FractionOfRevocation),
                  fractionOf(Bounds.Configuration, FractionOfOtherBounds),
                  fractionOf(Bounds.Removal, FractionOfOtherBounds)});
    return {Interval, fractionOf(Interval, 1.25), fractionOf(Interval, 1.4),
            fractionOf(Interval, 2.25),
            fractionOf(Bounds.Removal, ListsFractionOfRemoval)};
  }

  static Duration fractionOf(Duration Whole, double Fraction) {
    return std::chrono::duration_cast<Duration>(Whole * Fraction);
  }
};

} // namespace parsleywing

#endif
