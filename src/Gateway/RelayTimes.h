#ifndef PARSLEYWING_GATEWAY_RELAYTIMES_H
#define PARSLEYWING_GATEWAY_RELAYTIMES_H

#include "Runtime/Clock.h"

#include <algorithm>

namespace parsleywing {

/// What a router has to keep to, from its settings.
struct FleetBounds {
  /// A key that was taken away must not work for longer than this.
  Duration Revocation = std::chrono::seconds(5);
  /// A configuration is in force so long after it was accepted.
  Duration Configuration = std::chrono::seconds(2);
  /// A server that leaves gets no requests so long after it said so.
  Duration Removal = std::chrono::seconds(2);
};

/// How often relays prove that what they tell is new, and what the others make
/// of a proof that does not come. All follow from the bounds: where these are
/// wide, fewer calls on the store do.
struct RelayTimes {
  /// A relay proves so often that its configuration is the newest one. Three
  /// proofs and more fit into each bound, so that one may be lost.
  Duration ProofInterval;
  /// Without a word for so long a router asks its relay at once.
  Duration MaxSilence;
  /// With a proof older than this a router asks the other relays too.
  Duration SuspectProofAge;
  /// With a proof older than this a router reads the store for itself, unless
  /// several relays say that they do not reach it either. Two proofs and their
  /// way, and two thirds of the shortest bound: the rest is for the own read.
  Duration MaxProofAge;

  static RelayTimes of(const FleetBounds &Bounds) {
    constexpr double PartOfRevocation = 0.24;
    constexpr double PartOfChange = 0.3;
    const Duration Interval =
        std::min({partOf(Bounds.Revocation, PartOfRevocation),
                  partOf(Bounds.Configuration, PartOfChange),
                  partOf(Bounds.Removal, PartOfChange)});
    return {Interval, partOf(Interval, 1.25), partOf(Interval, 1.4),
            partOf(Interval, 2.25)};
  }

  static Duration partOf(Duration Whole, double Part) {
    return std::chrono::duration_cast<Duration>(Whole * Part);
  }
};

} // namespace parsleywing

#endif
