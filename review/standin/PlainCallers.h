#ifndef PARSLEYWING_REVIEW_STANDIN_PLAINCALLERS_H
#define PARSLEYWING_REVIEW_STANDIN_PLAINCALLERS_H

#include "PlainRunner.h"

namespace review {

/// A configuration with one route, whose requests may run once, and a second
/// service that no route names.
extern const char *const PlainConfiguration;

/// What became of one request.
struct Outcome {
  std::string Router;
  Clock::time_point SentAt;
  /// 0 if the connection ended without an answer.
  int Status = 0;
};

/// Callers of a plain service, each on a thread of its own: they ask again and
/// again on kept connections.
class PlainCallers {
public:
  explicit PlainCallers(Record &R) : Log(R) {}

  void start(const Router &Entry, int Count);
  void stop();
  std::map<std::string, Outcome> outcomes();

private:
  void run(const Router &Entry);
  /// Sends one request. Whether the connection can be used again.
  bool ask(const Router &Entry, Connection &Way);

  Record &Log;
  std::mutex Mutex;
  std::map<std::string, Outcome> Outcomes;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

/// Requests that reached a runner too late after its entry was removed.
struct LateArrivals {
  int Count = 0;
  /// Of these, those that got no answer of the runner.
  int Lost = 0;
};

/// Counts the requests that were sent, and reached the runner, later than
/// `drainMs` after its entry was removed. `Restarted` names a router that is in
/// touch only from `InTouchFrom` on.
LateArrivals countLate(PlainRunner &Runner,
                       const std::map<std::string, Outcome> &Outcomes,
                       Clock::time_point RemovedAt, Record &Log,
                       const std::string &Restarted = {},
                       Clock::time_point InTouchFrom = {});

} // namespace review

#endif
