#ifndef PARSLEYWING_TEST_DECISION_REQUESTSIMULATION_H
#define PARSLEYWING_TEST_DECISION_REQUESTSIMULATION_H

#include "Decision/Request/RequestTable.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace parsleywing::test {

/// A model of callers, two routers with their tables, one store of run records
/// and the backend servers, in which everything that may go wrong does so at
/// random. It counts executions at the servers and notes the first promise
/// that was broken. The same seed gives the same run.
class RequestSimulation {
public:
  explicit RequestSimulation(std::uint64_t Seed);

  /// One thing happens.
  void step();

  /// Lets time pass until every caller must have its answer, and checks it.
  void settle();

  /// The first broken promise; empty while there is none.
  const std::string &violation() const { return this->Violation; }

private:
  using CallIndex = std::size_t;
  using StreamIndex = std::size_t;

  /// One call of a caller.
  struct Call {
    RequestDescription Asked;
    /// Pieces that the caller has got, each by the run that made it.
    std::vector<StreamIndex> Passed;
    int Runs = 0;
    bool Answered = false;
    bool ToldNotRun = false;
    /// Its router was killed.
    bool Lost = false;
  };

  /// What a server knows of one start of a request.
  struct Stream {
    CallIndex Of;
    ServerId Server;
    bool Left = false;
    bool Running = false;
    bool Refused = false;
    std::size_t Generated = 0;
  };

  /// What the thread of a request does at the moment.
  struct Traffic {
    enum class Kind { Start, Resume, HandOver };
    Traffic(AttemptNumber A, Kind K, StreamIndex S = 0)
        : Attempt(A), Does(K), From(S) {}

    AttemptNumber Attempt;
    Kind Does;
    StreamIndex From;
    bool Connected = false;
    bool Cancelled = false;
    bool Silent = false;
    std::optional<RequestId> Child;
  };

  /// A request at one router.
  struct Held {
    CallIndex Of;
    std::size_t Router;
    std::optional<RequestId> Parent;
    std::map<AttemptNumber, StreamIndex> Streams;
    std::optional<Traffic> Doing;
    std::deque<RequestEvent> Mail;
    bool Answered = false;
  };

  struct Record {
    std::string Identity;
    bool Completed = false;
  };
  using FullKey = std::pair<AccountId, std::string>;
  using StoreOrder =
      std::variant<ClaimRunRecord, CompleteRunRecord, ReleaseRunRecord>;

  struct Router {
    std::unique_ptr<RequestTable> Table;
    std::vector<RequestId> Queue;
    std::set<RequestId> Slots;
    bool Draining = false;
  };

  bool chance(int Percent);
  std::size_t below(std::size_t Limit);
  template <typename Map> auto anyOf(Map &Of);
  void fail(const std::string &What);

  void tell(std::size_t Router, const RequestEvent &Event);
  void carryOut(std::size_t Router, const RequestAction &Wanted);
  void arrive(std::size_t Router, CallIndex Of, std::optional<RequestId> Parent,
              bool RecordHeld);
  void answer(const FinishRequest &Answer);
  void answerParent(RequestId ChildId, const Held &Child,
                    RequestOutcome Outcome);

  void callerCalls();
  void callerLeaves();
  void admitOne();
  void deliverMail();
  void moveTraffic();
  void moveServer();
  void moveStore();
  void restart(std::size_t Router);
  void drain(std::size_t Router);
  void replace(std::size_t Router);
  void passTime(Duration Step);

  void connect(RequestId Id, Held &Of);
  void connectHandOver(RequestId Id, Held &Of);
  void flow(RequestId Id, Held &Of);
  void end(RequestId Id, Held &Of, AttemptOutcome Outcome);
  void passOn(RequestId Id, Held &Of);
  void claim(const ClaimRunRecord &Order);

  std::mt19937_64 Random;
  TimePoint Now;
  std::vector<Call> Calls;
  std::vector<Stream> Streams;
  std::map<RequestId, Held> Requests;
  std::vector<Router> Routers;
  std::map<FullKey, Record> Records;
  std::map<RequestId, std::deque<StoreOrder>> StoreOrders;
  std::map<FullKey, int> KeyRuns;
  std::vector<std::pair<std::size_t, RequestEvent>> Doubled;
  std::uint64_t NextRequest = 1;
  std::uint64_t Life = 1;
  bool StoreDown = false;
  std::string Violation;
};

} // namespace parsleywing::test

#endif
