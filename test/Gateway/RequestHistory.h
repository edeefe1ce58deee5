#ifndef PARSLEYWING_TEST_GATEWAY_REQUESTHISTORY_H
#define PARSLEYWING_TEST_GATEWAY_REQUESTHISTORY_H

#include "Gateway/FrontFixture.h"
#include "Gateway/HistoryCaller.h"
#include "Gateway/ReactingServer.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace parsleywing::test {

/// A few seconds of a router that serves many callers at once, before servers
/// that pause, reject, fail, disconnect and crash, while new views arrive. All
/// is drawn by the seed.
class RequestHistory {
public:
  /// The number of events of each stream.
  static constexpr int EventCount = 5;

  explicit RequestHistory(std::uint64_t S);

  /// Plays the history once.
  void play();

  std::uint64_t seed() const { return this->Seed; }
  const std::vector<std::unique_ptr<HistoryCaller>> &callers() const {
    return this->Callers;
  }
  const std::vector<ServerArrival> &arrivals() const { return this->Arrivals; }
  /// The sum of all series of a metric, at the end.
  std::uint64_t metric(const std::string &Name) const;
  const RetryBounds &retries() const { return this->Front.Settings.Retries; }

private:
  bool draw(unsigned Percent) { return this->Random() % 100 < Percent; }
  std::chrono::milliseconds drawTime(unsigned Min, unsigned Max);
  void drawFront();
  void drawServers();
  void drawCallers();
  void changeViews(SteadyTime Until);
  void changeView();
  void removeForAWhile(const std::string &Id);
  void drainForAWhile(const std::string &Id);
  void crash(std::size_t Number);
  void waitUntilIdle();

  const std::uint64_t Seed;
  std::mt19937_64 Random;
  ArrivalLog Log;
  std::vector<std::unique_ptr<ReactingServer>> Servers;
  FrontFixture Front;
  std::vector<std::unique_ptr<HistoryCaller>> Callers;
  bool Drains = false;
  /// When crashed servers have certainly been started again.
  std::map<std::size_t, SteadyTime> DownUntil;
  std::vector<ServerArrival> Arrivals;
  std::string Metrics;
};

} // namespace parsleywing::test

#endif
