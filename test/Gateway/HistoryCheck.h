#ifndef PARSLEYWING_TEST_GATEWAY_HISTORYCHECK_H
#define PARSLEYWING_TEST_GATEWAY_HISTORYCHECK_H

#include "Gateway/RequestHistory.h"

#include <string>
#include <vector>

namespace parsleywing::test {

/// What must hold in each history that has been played.
class HistoryCheck {
public:
  explicit HistoryCheck(const RequestHistory &H) : History(H) {}

  /// Each line tells of a violation.
  std::vector<std::string> run();

private:
  using Arrivals = std::vector<const ServerArrival *>;

  Arrivals arrivalsOf(const HistoryCaller &Caller) const;
  void checkCaller(const HistoryCaller &Caller);
  void checkResponse(const HistoryCaller &Caller);
  void checkEvents(const HistoryCaller &Caller);
  void checkRuns(const HistoryCaller &Caller, const Arrivals &Seen);
  /// No server's response is given up that would have gone on, unless another
  /// server responded, the caller left or the request's time was over.
  void checkClosed(const HistoryCaller &Caller, const Arrivals &Seen);
  /// Once one of two servers has sent an event, one of the two attempts ends.
  void checkLosers(const HistoryCaller &Caller, const Arrivals &Seen);
  void checkAccounts();
  void checkRetries();
  void report(const HistoryCaller &Caller, const std::string &Text);
  std::string describe(const HistoryCaller &Caller) const;

  const RequestHistory &History;
  std::vector<std::string> Violations;
};

} // namespace parsleywing::test

#endif
