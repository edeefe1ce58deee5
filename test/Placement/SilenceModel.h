#ifndef PARSLEYWING_TEST_PLACEMENT_SILENCEMODEL_H
#define PARSLEYWING_TEST_PLACEMENT_SILENCEMODEL_H

#include "Placement/Allocator.h"
#include "Placement/RetryAllowance.h"
#include "RetryRecord.h"

#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace parsleywing::test {

/// What a router does when a server has been silent for the limit.
enum class SilencePolicy {
  /// Closes the attempt, then asks for another server.
  GiveUp,
  /// Keeps the attempt open while another server is asked. The first one that
  /// sends something goes on.
  Hedge,
};

/// A fleet in which part of the servers fall silent at one moment.
struct SilenceScenario {
  SilencePolicy Policy = SilencePolicy::Hedge;
  /// The limit on silence for a stream that has begun, and before the head.
  Duration StreamLimit = std::chrono::milliseconds(1000);
  Duration HeadLimit = std::chrono::milliseconds(800);
  std::size_t Routers = 302;
  std::size_t RequestsPerSecond = 19'000;
  /// The mean part of the usable slots that requests occupy.
  double Load = 0.9;
  /// The servers of one zone in this many fall silent; all if it is one.
  std::size_t SilentOneIn = 3;
  /// Empty if the silent servers are dead.
  std::optional<Duration> Pause = std::chrono::seconds(1);
  RetryBounds Bounds{0.2, std::chrono::seconds(10), 50};
};

struct SilenceResult {
  std::size_t Servers = 0;
  std::size_t Requests = 0;
  /// Answers that ended whole.
  std::size_t Whole = 0;
  /// Requests that never got a server.
  std::size_t Refused = 0;
  /// Streams that were cut off, other requests that were failed, requests that
  /// their callers left.
  std::size_t CutOff = 0;
  std::size_t Failed = 0;
  std::size_t Left = 0;
  /// Requests that met a silence of the limit.
  std::size_t Silent = 0;
  /// Allocation requests beyond the first of a request, and attempts beyond the
  /// first.
  std::size_t FurtherAllocations = 0;
  std::size_t FurtherAttempts = 0;
  /// Requests with more further allocation requests than their silent time
  /// contains limits.
  std::size_t AskedTooOften = 0;
  /// Retries that the budget denied.
  std::size_t Denied = 0;
  /// Time of servers for what had been done or was thrown away.
  Duration WorkTwice{};
  /// The most retries in a window, and the first window with too many.
  std::size_t MostRetries = 0;
  std::optional<std::string> Violation;

  std::size_t lost() const { return this->CutOff + this->Failed + this->Left; }
};

/// Plays a scenario in simulated time, with the product's allocators (one for
/// each group of servers), retry allowances and fleet shares.
///
/// Assumptions: messages take no time and none is lost. All routers have the
/// same list, and each group has one allocator. A server runs as many requests
/// as it has slots, each at the same speed; a pause stops all of them, and they
/// go on behind it. Servers reject nothing. A dead server leaves connections
/// open. Routers place nothing on their own and do not use what other requests
/// show about a server, which sends more requests to silent servers than the
/// product does. A caller leaves a stream after a gap of 2 s, and any request
/// after 12 s.
class SilenceModel {
public:
  explicit SilenceModel(const SilenceScenario &S);

  SilenceResult run();

private:
  enum class EventKind {
    Arrival,
    Tick,
    Lists,
    FirstByte,
    End,
    Silence,
    Recovery,
    Gap,
    Report,
    TimeLimit,
  };

  struct Event {
    TimePoint Time{};
    std::uint64_t Order = 0;
    EventKind Kind = EventKind::Tick;
    std::size_t Request = 0;
    std::uint32_t Attempt = 0;

    friend bool operator>(const Event &Left, const Event &Right) {
      return std::tie(Left.Time, Left.Order) >
             std::tie(Right.Time, Right.Order);
    }
  };

  struct Server {
    std::uint64_t Hash = 0;
    bool FallsSilent = false;
  };

  struct Attempt {
    std::uint32_t Number = 0;
    CorrelationId Id;
    std::size_t Server = 0;
    TimePoint Start{};
    /// The events that are left to generate.
    std::int64_t Events = 0;
    /// When its silence is looked at next.
    TimePoint SilenceDue{};
  };

  enum class ChargeState { None, Reserved, Sent };

  struct Request {
    std::size_t Router = 0;
    std::size_t Group = 0;
    TimePoint ArrivedAt{};
    std::int64_t Events = 0;
    std::int64_t EventsDone = 0;
    TimePoint EndedAt{};
    TimePoint LastEventAt{};
    std::optional<Attempt> Current;
    std::optional<Attempt> Unresponsive;
    /// The allocation request under way.
    std::optional<CorrelationId> Pending;
    std::set<std::size_t> Tried;
    std::uint32_t Attempts = 0;
    std::uint32_t Runs = 0;
    std::size_t Allocations = 0;
    /// How often the limit on silence has passed.
    std::size_t Silences = 0;
    ChargeState Charge = ChargeState::None;
    bool Begun = false;
    bool Ended = false;
  };

  struct Router {
    std::unique_ptr<RetryAllowance> Allowance;
    std::unique_ptr<FleetShare> Share;
  };

  void makeServers();
  void makeRouters();
  void readLists();
  /// Requests that earn credit before the first one that is played.
  void earnCredit();

  void schedule(TimePoint Time, EventKind Kind, std::size_t Request = 0,
                std::uint32_t Attempt = 0);
  void handle(const Event &Each);
  void handleReplies();
  void tell(std::size_t Group, const RouterMessage &Message);

  void arrive();
  void ask(std::size_t Number);
  void onGrant(std::size_t Number, const AllocationGrant &Grant);
  void onNoServer(std::size_t Number);
  void startAttempt(std::size_t Number, const AllocationGrant &Grant);
  void onFirstByte(std::size_t Number, std::uint32_t Attempt);
  void onEnd(std::size_t Number, std::uint32_t Attempt);
  void onSilence(std::size_t Number);
  void onGap(std::size_t Number);
  void giveUp(std::size_t Number);
  void hedge(std::size_t Number);
  void recover(std::size_t Number);
  /// Goes on with the silent attempt alone.
  void keepWaiting(std::size_t Number);
  void supersede(std::size_t Number);
  void armSilence(std::size_t Number, TimePoint Time);
  /// Charges a further attempt; false if none is permitted.
  bool charge(Request &Each);
  void settle(Request &Each);
  void release(Request &Each);
  void closeAttempt(std::size_t Number, const Attempt &Closed,
                    ServerVerdict Verdict);
  void endRequest(std::size_t Number, std::size_t &Counter);
  /// Ends the request without a whole answer.
  void lose(std::size_t Number);

  /// When the attempt has received so much of its server's time, and the other
  /// way round.
  TimePoint timeOf(const Attempt &Each, Duration Work) const;
  Duration workAt(const Attempt &Each, TimePoint Time) const;
  /// The events that have arrived by this time.
  std::int64_t eventsAt(const Attempt &Each, TimePoint Time) const;
  TimePoint lastReceived(const Attempt &Each, TimePoint Time) const;
  TimePoint nextReceived(const Attempt &Each, TimePoint Time) const;
  Duration limitOf(const Attempt &Each) const;
  bool isTouched(const Attempt &Each) const;
  std::size_t limitsWithin(const Request &Each) const;

  SilenceScenario Scenario;
  GatewayConfiguration Configuration;
  std::vector<Server> Servers;
  std::unordered_map<std::uint64_t, std::size_t> ServerOfHash;
  std::vector<std::uint64_t> GroupHashes;
  std::vector<std::unique_ptr<Allocator>> Allocators;
  std::vector<Router> Routers;
  std::shared_ptr<RouterList> List = std::make_shared<RouterList>();
  std::vector<Request> Requests;
  /// The request of each allocation request.
  std::vector<std::size_t> RequestOfId;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::deque<RouterMessage> Replies;
  std::uint64_t LastOrder = 0;
  TimePoint Now{};
  TimePoint SilentFrom{};
  TimePoint SilentUntil{};
  TimePoint LastArrival{};
  std::size_t Open = 0;
  std::mt19937_64 Random{1};
  RetryRecord Record;
  SilenceResult Result;
};

} // namespace parsleywing::test

#endif
