#ifndef PARSLEYWING_REVIEW_STANDIN_PLAINRUNNER_H
#define PARSLEYWING_REVIEW_STANDIN_PLAINRUNNER_H

#include "Fleet.h"

namespace review {

/// The arrival of a request at a runner.
struct Arrival {
  std::string RequestId;
  Clock::time_point At;
};

/// A sound runner of a plain service: works on each request for a time and
/// answers it with its receipt.
class PlainRunner {
public:
  PlainRunner(RunnerEntry E, const std::string &Ip,
              std::chrono::milliseconds WorkTime, Record &R);

  /// Requests that were run, in order of arrival.
  std::vector<Arrival> arrivals();
  /// The runner's process exits.
  void exit();

  const RunnerEntry Entry;

private:
  void serve(Connection &Peer);

  const std::chrono::milliseconds Work;
  Record &Log;
  std::mutex Mutex;
  std::vector<Arrival> Arrived;
  /// Declared last, since its threads use all others.
  Server Listener;
};

} // namespace review

#endif
