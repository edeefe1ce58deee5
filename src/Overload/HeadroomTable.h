#ifndef PARSLEYWING_OVERLOAD_HEADROOMTABLE_H
#define PARSLEYWING_OVERLOAD_HEADROOMTABLE_H

#include "Runtime/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace parsleywing {

/// What other routers have reported of their spare processor time, and what was
/// redirected since. All times are passed in.
///
/// A caller whose request is redirected reaches any other router, not one that
/// has reported. The reports are therefore a sample of the fleet, and each is
/// reduced by an equal part of what was redirected since it was requested.
class HeadroomTable {
public:
  /// How long a report is valid after its query was sent.
  static constexpr Duration Validity = std::chrono::seconds(1);
  /// The processor time of a request. A router of 0.09 cores serves 78 requests
  /// of 5 to 56 events per second.
  static constexpr double RequestSeconds = 0.09 / 78;

  /// A query with this number was sent. `IsElsewhere` is set for a router that
  /// a failure of this router's zone does not affect.
  void recordQuery(const std::string &Router, std::uint64_t Number,
                   bool IsElsewhere, TimePoint Now);

  /// A router has replied to the query with this number; without effect unless
  /// that is the last one that it was sent. `SpareCores` is the processor time
  /// that it has left, in seconds per second; zero if it lacks processor time
  /// or cannot serve.
  void recordReport(std::uint64_t Number, double SpareCores);

  void recordRedirect() { this->RedirectedSeconds += RequestSeconds; }

  /// The reported spare time that is left, in seconds per second.
  double spareCores(TimePoint Now) const;

  /// Whether other routers are known to have time for one more request.
  bool hasRoom(TimePoint Now) const {
    return this->spareCores(Now) >= RequestSeconds;
  }

  /// Whether several routers elsewhere were queried in time and none has
  /// replied, so that this router rather than the fleet is disconnected.
  bool isCutOff(TimePoint Now) const;

  /// Whether there are valid reports and none states spare time.
  bool isFleetFull(TimePoint Now) const;

  /// The number of reports that are valid.
  std::size_t freshCount(TimePoint Now) const;

private:
  struct Entry {
    std::uint64_t Number = 0;
    TimePoint QueriedAt{};
    bool IsElsewhere = false;
    /// The query that the last report replies to; none if default.
    TimePoint ReportedFor{};
    double SpareCores = 0;
    /// `RedirectedSeconds` when the query was sent, and when the query of the
    /// last report was sent.
    double RedirectedAtQuery = 0;
    double RedirectedBefore = 0;

    bool isFresh(TimePoint Now) const {
      return this->ReportedFor != TimePoint{} &&
             Now - this->ReportedFor <= Validity;
    }
  };

  std::map<std::string, Entry> Entries;
  /// The processor time of all requests that were redirected.
  double RedirectedSeconds = 0;
};

} // namespace parsleywing

#endif
