#ifndef PARSLEYWING_OVERLOAD_RELAYPOLICY_H
#define PARSLEYWING_OVERLOAD_RELAYPOLICY_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace parsleywing {

/// Decides whether a new caller connection is served by this router or relayed
/// to another one, from what other routers have reported of their spare
/// processor time. All times are passed in.
class RelayPolicy {
public:
  /// Up to this lag of the event loop all connections are served here. Requests
  /// are redirected from 25 ms on.
  static constexpr Duration MinLag = std::chrono::milliseconds(20);
  /// How long a report is valid after its query was sent.
  static constexpr Duration Validity = std::chrono::seconds(1);
  /// The assumed processor time per second that a relayed connection costs its
  /// target: some nine requests, at 78 requests per second in 0.09 cores.
  static constexpr double ConnectionCores = 0.01;
  /// Relays that may be open to one target.
  static constexpr std::size_t MaxOpenPerTarget = 64;

  struct Target {
    std::string Router;
    /// The target's listener for callers: numeric IP and port.
    std::string Address;
  };

  /// `MaxOpen` bounds the relays that are open at once.
  RelayPolicy(std::uint64_t Seed, std::size_t Max)
      : Random(Seed), MaxOpen(Max) {}

  /// A query with this number was sent.
  void recordQuery(const std::string &Router, std::uint64_t Number,
                   bool IsInOwnZone, TimePoint Now);
  /// A router has replied to the query with this number; without effect unless
  /// that is the last one that it was sent.
  void recordReport(std::uint64_t Number, double SpareCores,
                    const std::string &Address);

  /// Where a connection that has just been accepted is relayed to; empty if it
  /// is served here. A connection from another router is never relayed on, so
  /// that there is no loop while two routers each report time to the other.
  std::optional<Target> choose(Duration Lag, bool IsFromRouter, TimePoint Now);

  /// A relay to this router was opened, or ended.
  void recordOpened(const std::string &Router);
  void recordEnded(const std::string &Router);
  /// A router could not be reached: nothing is relayed to it before its next
  /// report.
  void recordUnreachable(const std::string &Router);

  std::size_t openCount() const { return this->TotalOpen; }
  /// The open relays by router.
  const std::map<std::string, std::size_t> &open() const { return this->Open; }

private:
  struct Entry {
    std::uint64_t Number = 0;
    TimePoint QueriedAt{};
    bool IsInOwnZone = false;
    std::uint64_t RelayedAtQuery = 0;
    /// The query that the last report replies to; none if default.
    TimePoint ReportedFor{};
    double SpareCores = 0;
    std::string Address;
    /// Relays opened to this router, in all and before the last report's query.
    std::uint64_t Relayed = 0;
    std::uint64_t RelayedBefore = 0;

    double spareLeft() const {
      return this->SpareCores -
             ConnectionCores *
                 static_cast<double>(this->Relayed - this->RelayedBefore);
    }
  };
  using Candidate = std::map<std::string, Entry>::const_iterator;

  bool mayTake(Candidate Router, TimePoint Now) const;

  std::mt19937_64 Random;
  std::size_t MaxOpen;
  std::size_t TotalOpen = 0;
  std::map<std::string, Entry> Entries;
  std::map<std::string, std::size_t> Open;
};

} // namespace parsleywing

#endif
