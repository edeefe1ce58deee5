#ifndef PARSLEYWING_TEST_PLACEMENT_ENGINEFLEET_H
#define PARSLEYWING_TEST_PLACEMENT_ENGINEFLEET_H

#include "Placement/Allocator.h"

#include <map>
#include <set>
#include <string>

namespace parsleywing {

/// A kind of requests in `EngineFleet`.
struct EngineWork {
  double PerSecond = 0;
  std::uint64_t SharedParts = 1;
  std::uint32_t SharedTokens = 0;
  std::uint32_t OwnTokens = 0;
  std::uint32_t StatedOutputTokens = 10;
  double ObjectiveMs = 600;
  /// From the first token to the end of the response.
  double GenerationMs = 90;
};

/// How the requests of an `EngineFleet` ended, and what they cost.
struct EngineFleetCounts {
  std::uint32_t Sent = 0;
  std::uint32_t OnTime = 0;
  std::uint32_t Late = 0;
  std::uint32_t Refused = 0;
  /// Refusals while a quarter of the group's engines had room for the prompt,
  /// with its shared part cached.
  std::uint32_t RefusedWithRoom = 0;
  /// Tokens of shared parts that were prefilled although they were granted to
  /// an engine before.
  std::uint64_t RereadTokens = 0;
  std::uint64_t Fetches = 0;
  /// Grants of requests that exceeded the engine's memory.
  std::uint32_t Overcommitted = 0;
  /// The longest time that a fetch waited for the link of its source.
  double MaxLinkWaitMs = 0;
};

/// Engines that prefill prompts in order of arrival, and an allocator in front
/// of them. Simulated time; the engines' speeds are as stated unless a test
/// changes one. Engines prefill what the grants say and evict nothing.
class EngineFleet {
public:
  static constexpr double PrefillTokensPerMs = 93.6;
  static constexpr double LinkTokensPerMs = 1900;

  EngineFleet(int Engines, std::uint64_t MemoryTokens,
              const AllocatorOptions &Options);

  void setSpeed(int Engine, double Factor);
  /// Replaces the engine's process. Its requests are lost, and its memory is
  /// empty.
  void restart(int Engine);
  /// Sends the requests of all kinds evenly for this time, and runs until all
  /// have ended.
  EngineFleetCounts run(const std::vector<EngineWork> &Kinds,
                        double DurationMs);
  /// The same, and calls `Disturb` after half of the time.
  EngineFleetCounts run(const std::vector<EngineWork> &Kinds, double DurationMs,
                        const std::function<void()> &Disturb);

  std::uint64_t idOf(int Engine) const;
  Allocator &allocator() { return this->Subject; }

private:
  struct Engine {
    std::string Id;
    double Speed = 1;
    double FreeAt = 0;
    double LinkFreeAt = 0;
    std::int64_t StartedMs = 1;
    std::uint64_t RunningTokens = 0;
    std::map<std::uint64_t, int> RunningParts;
  };
  struct Request {
    EngineWork Kind;
    std::vector<PromptPart> Parts;
    double SentAt = 0;
    std::uint64_t Engine = 0;
    std::int64_t EngineStartedMs = 0;
    std::uint64_t Group = 0;
  };

  void list();
  /// Schedules the action at even intervals from now on.
  void repeat(double IntervalMs, double DurationMs,
              const std::function<void()> &Action);
  void send(const EngineWork &Kind);
  void takeReplies();
  /// Whether a quarter of the group's engines have room for the request.
  bool hasRoom(const Request &Refused) const;
  void onGrant(const AllocationGrant &Grant);
  void start(const CorrelationId &Id);
  void end(const CorrelationId &Id);
  TimePoint now() const;

  std::map<std::uint64_t, Engine> Engines;
  std::vector<std::uint64_t> Order;
  std::uint64_t MemoryTokens;
  GatewayConfiguration Configuration;
  ServerGroups Groups;
  Allocator Subject;
  double NowMs = 1000;
  std::uint64_t LastNumber = 0;
  std::map<CorrelationId, Request> Requests;
  std::multimap<double, std::function<void()>> Events;
  std::set<std::uint64_t> SeenParts;
  EngineFleetCounts Counts;
};

} // namespace parsleywing

#endif
