#include "Soak/SoakFleet.h"

#include <set>

namespace parsleywing::test {

namespace {

TimePoint timePointOf(std::chrono::steady_clock::time_point Time) {
  return TimePoint(
      std::chrono::duration_cast<Duration>(Time.time_since_epoch()));
}

bool isForEngines(const std::string &Path) {
  return Path.starts_with("/stream/") || Path.starts_with("/once/");
}

} // namespace

void SoakFleet::recordArrival(std::size_t Server, const std::string &Request) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->AllArrivals.push_back({this->identityOf(Server), Server,
                               fieldOf(Request, "Request-Id"),
                               std::chrono::steady_clock::now()});
}

/// No window has more arrivals beyond the first of each request than allowed.
void SoakFleet::checkRetries(std::vector<std::string> &Violations) {
  for (const bool Engines : {false, true}) {
    RetryRecord Record(this->retryRule());
    for (const auto &[Id, Result] : this->Results)
      if (isForEngines(Result.Path) == Engines)
        Record.recordRequest(timePointOf(Result.SentAt));
    std::set<std::string> Arrived;
    for (const ServerSignal &Arrival : this->AllArrivals) {
      const auto Found = this->Results.find(Arrival.RequestId);
      if (Found == this->Results.end() ||
          isForEngines(Found->second.Path) != Engines)
        continue;
      if (!Arrived.insert(Arrival.RequestId).second)
        Record.recordRetry(timePointOf(Arrival.At));
    }
    const std::string Service = Engines ? "engines" : "plain";
    this->RetrySummary +=
        " " + Service + " " + std::to_string(Record.most()) + " retries";
    if (const auto Violation = Record.violation())
      Violations.push_back(Service + " got " + *Violation);
  }
}

} // namespace parsleywing::test
