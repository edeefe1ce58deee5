#ifndef PARSLEYWING_TEST_PLACEMENT_RETRYFLEET_H
#define PARSLEYWING_TEST_PLACEMENT_RETRYFLEET_H

#include "Placement/FleetShare.h"
#include "Placement/RetryAllowance.h"
#include "RetryRecord.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace parsleywing::test {

/// The retry allowances of a fleet's routers for one service, in simulated
/// time, with processes that restart and lists of routers that lag, shrink and
/// differ.
class RetryFleet {
public:
  RetryFleet(std::size_t RouterCount, RetryBounds B);

  /// Advances the time. Each second, routers that are not cut off read the
  /// list.
  void advance(Duration Step);

  /// A request arrives at the router.
  void request(std::size_t Router);
  /// The router decides on a retry. It reaches the server with `sendRetries`.
  bool decideRetry(std::size_t Router);
  /// Sends what the router has decided on.
  void sendRetries(std::size_t Router);
  /// Decides on retries and sends them, as many as permitted up to `Max`.
  std::size_t retry(std::size_t Router, std::size_t Max);

  /// The process is killed; the next one starts at once, without its memory and
  /// with a new entry in the list.
  void restart(std::size_t Router);
  /// Removes the router's entry from the list or adds a new one. An unlisted
  /// router goes on sending.
  void setListed(std::size_t Router, bool Listed);
  /// Whether the router's list no longer changes.
  void setCutOff(std::size_t Router, bool CutOff);

  std::size_t size() const { return this->Routers.size(); }
  const RetryRecord &record() const { return this->Record; }

private:
  struct Router {
    std::unique_ptr<RetryAllowance> Allowance;
    std::unique_ptr<FleetShare> Share;
    std::size_t Decided = 0;
    /// The revision of its entry; zero while it is not listed.
    std::int64_t ListedRevision = 0;
    bool CutOff = false;
  };

  void readLists();
  void startProcess(std::size_t Number);
  void writeEntry(Router &Each);
  void removeEntry(Router &Each);

  RetryBounds Bounds;
  TimePoint Now{std::chrono::hours(1)};
  TimePoint NextRead = this->Now;
  std::vector<Router> Routers;
  std::int64_t LastRevision = 0;
  /// The list in the store; null if it has changed since it was read.
  std::shared_ptr<const RouterList> List;
  RetryRecord Record;
};

} // namespace parsleywing::test

#endif
