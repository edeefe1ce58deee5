#ifndef PARSLEYWING_TEST_DECISION_REQUESTSIMULATION_H
#define PARSLEYWING_TEST_DECISION_REQUESTSIMULATION_H

#include "Decision/Request/RequestTable.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace parsleywing::test {

/// Simulates callers, two routers with their request tables, one store of run
/// records and the backend servers, with random failures of every kind. Counts
/// executions at the servers and records the first violated guarantee. The same
/// seed gives the same run.
class RequestSimulation {
public:
  explicit RequestSimulation(std::uint64_t Seed);

  /// Executes one random step.
  void step();

  /// Advances time until every caller must have its response, and checks that.
  void settle();

  /// The first violated guarantee; empty if there is none.
  const std::string &violation() const { return this->Violation; }

private:
  using CallIndex = std::size_t;
  using StreamIndex = std::size_t;

  /// One call of a caller.
  struct Call {
    RequestDescription Description;
    /// For each chunk that the caller has received, the stream it comes from.
    std::vector<StreamIndex> ForwardedChunks;
    int Runs = 0;
    bool Finished = false;
    bool ReportedNotRun = false;
    /// Its router was killed.
    bool RouterKilled = false;
  };

  /// A server's state of one start of a request.
  struct Stream {
    CallIndex OfCall;
    ServerId Server;
    bool RequestSent = false;
    bool Running = false;
    bool Refused = false;
    std::size_t Generated = 0;
  };

  /// What the thread of a request is executing.
  struct Transfer {
    enum class Kind { Start, Resume, HandOver };
    Transfer(AttemptNumber A, Kind K, StreamIndex S = 0)
        : Attempt(A), Type(K), Source(S) {}

    AttemptNumber Attempt;
    Kind Type;
    StreamIndex Source;
    bool Connected = false;
    bool Cancelled = false;
    bool Stalled = false;
    std::optional<RequestId> Child;
  };

  /// A request at one router.
  struct RouterRequest {
    CallIndex OfCall;
    std::size_t Router;
    std::optional<RequestId> Parent;
    std::map<AttemptNumber, StreamIndex> Streams;
    std::optional<Transfer> ActiveTransfer;
    std::deque<RequestEvent> PendingEvents;
    bool Finished = false;
  };

  struct Record {
    std::string Identity;
    bool Completed = false;
  };
  using FullKey = std::pair<AccountId, std::string>;
  using RecordOperation =
      std::variant<ClaimRunRecord, CompleteRunRecord, ReleaseRunRecord>;

  struct Router {
    std::unique_ptr<RequestTable> Table;
    std::vector<RequestId> Queue;
    std::set<RequestId> Slots;
    bool Draining = false;
  };

  bool chance(int Percent);
  std::size_t below(std::size_t Limit);
  template <typename Container> auto randomElement(Container &Elements);
  void reportViolation(const std::string &Text);

  void handleEvent(std::size_t Router, const RequestEvent &Event);
  void execute(std::size_t Router, const RequestAction &Emitted);
  void addRequest(std::size_t Router, CallIndex OfCall,
                  std::optional<RequestId> Parent, bool RecordHeld);
  void onFinished(const FinishRequest &Response);
  void endParentTransfer(RequestId ChildId, const RouterRequest &Child,
                         RequestOutcome Outcome);

  void startCall();
  void disconnectCaller();
  void admitRequest();
  void deliverEvent();
  void advanceTransfer();
  void advanceServer();
  void advanceStore();
  void restart(std::size_t Router);
  void drain(std::size_t Router);
  void replace(std::size_t Router);
  void advanceTime(Duration Step);

  void connect(RequestId Id, RouterRequest &Request);
  void connectHandOver(RequestId Id, RouterRequest &Request);
  void transferData(RequestId Id, RouterRequest &Request);
  void endTransfer(RequestId Id, RouterRequest &Request,
                   AttemptOutcome Outcome);
  void forwardChunk(RequestId Id, RouterRequest &Request);
  void claimRecord(const ClaimRunRecord &Claim);

  std::mt19937_64 Random;
  TimePoint Now;
  std::vector<Call> Calls;
  std::vector<Stream> Streams;
  std::map<RequestId, RouterRequest> Requests;
  std::vector<Router> Routers;
  std::map<FullKey, Record> Records;
  std::map<RequestId, std::deque<RecordOperation>> RecordOperations;
  std::map<FullKey, int> RunsByKey;
  std::vector<std::pair<std::size_t, RequestEvent>> DuplicatedEvents;
  std::uint64_t NextRequest = 1;
  std::uint64_t LastIncarnation = 1;
  bool StoreDown = false;
  std::string Violation;
};

} // namespace parsleywing::test

#endif
