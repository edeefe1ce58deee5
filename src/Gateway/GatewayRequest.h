#ifndef PARSLEYWING_GATEWAY_GATEWAYREQUEST_H
#define PARSLEYWING_GATEWAY_GATEWAYREQUEST_H

#include "Gateway/CallerSession.h"
#include "Gateway/GatewayContext.h"
#include "Http/EventSplitter.h"
#include "Placement/AttemptPolicy.h"
#include "Placement/RequestIdentity.h"

#include <memory>
#include <set>
#include <string>

namespace parsleywing {

/// One request of a caller from its arrival to its one final answer: route,
/// key, server, sends, and what the answer is. Kept alive by its session's and
/// its connection's callbacks until it has ended. In three files: admission and
/// end, sends (`GatewayRequestSend.cpp`), answers (`GatewayRequestAnswer.cpp`).
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest> {
public:
  GatewayRequest(GatewayContext &C, std::shared_ptr<CallerSession> S,
                 IncomingRequest R);

  void start();

  /// Ends the request where it has become one that crashes servers.
  void endIfRefused();

private:
  /// Finds route and account. False where the request was answered instead.
  bool admit();
  bool authorize();
  void chooseService();

  void startAttempt();
  /// Whether servers that had this request in hand have crashed too often.
  bool crashesServers();
  /// Where the request is under suspicion: see `CrashWatch::spreadOf`.
  std::optional<std::uint32_t> spreadKey();
  /// No further server will have it: refused where it has not run.
  void endUnserved(RefusalReason Why, Duration ReturnAfter = Duration::zero());
  /// Asks the allocator of an engine service.
  void requestAllocation();
  void onAllocated(const AllocationOutcome &Outcome);
  void recordServerStart(const AllocationGrant &Granted);
  /// A grant is not used.
  void releaseGrant(const AllocationGrant &Granted, ServerVerdict Verdict);
  bool isGrantExpired() const;
  std::function<bool()> sendCondition() const;
  void placeLocally();
  void sendAttempt(const ServerChoice &Choice);
  bool usesAllocator() const;
  Duration elapsedBeforeArrival() const;
  std::shared_ptr<UpstreamConnection> connectionTo(const GatewayServer &Server);
  std::string encodeRequest(const GatewayServer &Server);
  UpstreamListener makeListener();

  void onResponseHead(const HttpHead &Head, const ServerResponseFields &Read);
  void startStream(const HttpHead &Head);
  void onResponsePayload(std::string_view Payload);
  void forwardEvents(std::string_view Payload);
  void onUpstreamEnd(UpstreamEnd How);
  void onProgressTimeout();
  void onDeadline();
  /// The last answer, whatever has been reached: a stream is cut, a request
  /// that has not left is refused for the reason.
  void giveUp(RefusalReason Why);
  void onCallerDisconnected();

  /// Ends the present send and decides what comes next.
  void endAttempt(AttemptResult Outcome, ServerVerdict Verdict);
  void reportSuspectedCrash(CrashDetector::AttemptEnd How);
  void closeUpstream();
  void recordAttemptEnd(ServerVerdict Verdict);
  void cancelAllocation();
  void executeStep(NextStep Step);
  AttemptResult responseResult() const;

  void forwardResponse();
  void sendLocalReply(int Status, const char *Reason);
  void refuse(RefusalReason Why, Duration ReturnAfter = Duration::zero());
  std::string retryAfterText(Duration AtLeast) const;
  void finishServed();
  void finish(const char *Outcome, Counter &Counted);

  void armProgressTimer(Duration Limit);
  void recordFirstChunk();
  Duration elapsed() const;
  Duration timeLeft() const;
  Duration firstChunkTimeout() const;
  bool mayHaveRun() const { return this->Progress.Runs > 0; }
  void logEnd(const char *Outcome) const;
  RequestContent content() const;
  /// The same for each attempt of the caller at this request. Reads the body
  /// at the first call.
  const RequestIdentity &identity();
  /// Whether it may have been in hand at a server that crashed.
  bool mayBeSuspect();
  std::string brokenAttemptText();
  std::string refusalText() const;

  GatewayContext &Context;
  std::shared_ptr<CallerSession> Session;
  IncomingRequest Incoming;
  CallerRequestFields CallerFields;
  std::optional<RequestIdentity> Identity;
  std::optional<std::uint32_t> Sketch;
  /// Refused as a rule, it is sent once to find out whether it still crashes
  /// servers.
  bool IsProbe = false;
  /// Kept with the configuration that it stands in.
  std::shared_ptr<const GatewayConfiguration> Configuration;
  const GatewayRoute *Route = nullptr;
  std::string Account;
  std::string Service;
  TimePoint Deadline{};
  TimerId DeadlineTimer = 0;
  TimerId ProgressTimer = 0;
  RequestProgress Progress;
  std::set<std::uint64_t> TriedServers;
  /// An ask that its allocator has not answered.
  std::optional<CorrelationId> PendingAllocation;
  CorrelationId AttemptId;
  /// The allocator that decided last, and how long that took in all.
  std::string AllocatorName;
  Duration AllocationTime{};
  std::uint64_t ServiceHash = 0;

  // The present send.
  /// Its server warms up: nothing of it may leave later than this, on the clock
  /// that counts suspended time.
  std::optional<TimePoint> SendDeadline;
  std::shared_ptr<UpstreamConnection> Upstream;
  ServerChoice Choice;
  /// What it is for its server; its prompt is unread until the first piece.
  AttemptLoad Work;
  bool PromptRead = false;
  TimePoint SentAt{};
  TimePoint LastReceivedAt{};
  std::string ServerId;
  bool ReusedConnection = false;
  bool HeadReceived = false;
  HttpHead ResponseHead;
  ServerResponseFields ResponseFields;
  std::string ResponseBody;

  // The answer's stream, over all sends.
  bool Streaming = false;
  EventSplitter Splitter;
  std::optional<std::uint64_t> LastEventId;
  bool UpstreamPaused = false;
  bool Ended = false;
  std::string ServerPath;
  int FinalStatus = 0;
  std::optional<RefusalReason> Refusal;
  /// The ask that its allocator refused.
  std::optional<CorrelationId> RefusedAllocation;
  std::optional<Duration> TimeToFirstChunk;
};

} // namespace parsleywing

#endif
