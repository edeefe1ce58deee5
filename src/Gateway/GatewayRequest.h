#ifndef PARSLEYWING_GATEWAY_GATEWAYREQUEST_H
#define PARSLEYWING_GATEWAY_GATEWAYREQUEST_H

#include "Crash/RequestIdentity.h"
#include "Gateway/CallerSession.h"
#include "Gateway/GatewayAttempt.h"
#include "Gateway/GatewayContext.h"
#include "Gateway/RetryCharge.h"
#include "Placement/AttemptPolicy.h"

#include <memory>
#include <set>
#include <string>

namespace parsleywing {

/// One caller request from its arrival to its single final response: routing,
/// authorization, choice of a server, attempts, and the response. Kept alive by
/// the callbacks of its session and its server connection until it has ended.
/// Implemented in five files: admission and end (`GatewayRequest.cpp`),
/// attempts (`GatewayRequestAttempt.cpp`), second attempts beside a server that
/// has stopped responding (`GatewayRequestHedge.cpp`), responses
/// (`GatewayRequestResponse.cpp`), and the software that a stream is bound to
/// (`GatewayRequestStream.cpp`).
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest> {
public:
  GatewayRequest(GatewayContext &C, std::shared_ptr<CallerSession> S,
                 IncomingRequest R);

  void start();

  /// Ends the request if crash detection has meanwhile decided to refuse it.
  void endIfRefused();

  /// Ends the request if it waits for a server and the servers' own responses
  /// meanwhile forbid to send it to any.
  void endIfUnavailable();

  /// Must be called when the lists have been proven complete while the request
  /// is in `GatewayContext::AwaitingProof`.
  void onListsProven() { this->continueUnnamed(); }

  /// Response bytes that the caller has not accepted.
  std::size_t unread() const { return this->Session->unsent(); }
  /// The bytes that are buffered for the request, except for its body.
  std::size_t buffered() const;
  /// Ends the request and its connection, since it holds the most buffered
  /// bytes. This does not count against its server.
  void endForBuffers();

private:
  /// Finds the route and the account. False if a response was sent instead.
  bool admit();
  bool authorize();
  void chooseService();
  /// Starts the first attempt, once the service is known.
  void begin();

  /// Whether the caller asks for the rest of a stream that an earlier attempt
  /// has begun.
  bool isResumption() const;
  /// Finds out which software began the stream, and begins or refuses.
  void findOrigin();
  void onOriginFound(const StreamOrigin &Origin);
  /// Begins at the service of the route that has servers with this software;
  /// refuses the request if there is none.
  void beginWith(SoftwareId Origin);
  /// Begins, refuses, or waits for a proof, if the caller names no attempt.
  void continueUnnamed();
  /// Waits until the lists are proven complete after the request's arrival.
  void awaitProof();
  void endProofWait();
  /// The software of all servers of the route if it is the same; empty
  /// otherwise.
  std::optional<SoftwareId> onlySoftwareOfRoute() const;
  /// Binds the stream to the software of the current server, from its first
  /// event on.
  void bindStream();
  /// Whether no server may be left that can continue the stream.
  bool isVersionGone() const;
  std::string streamText() const;

  void startAttempt();
  /// Whether the request must not be sent because too many servers have crashed
  /// while processing it.
  bool crashesServers();
  /// Permits to send a request that would be refused for this once.
  bool acquireProbe();
  /// The server of the current attempt has begun its answer, or goes on with
  /// it.
  void recordAnswering();
  /// The answer shows that the parts of the prompt do not crash servers.
  void recordSurvival();
  /// The request is no longer suspected, since it has a complete response.
  void recordCompleted();
  /// Set if the request is suspected of crashing servers; see
  /// `CrashDetector::spreadOf`.
  std::optional<std::uint32_t> spreadKey();
  /// Ends the request without another attempt: truncates a started response,
  /// fails a request that may have run, refuses any other.
  void endUnserved(RefusalReason Reason,
                   Duration RetryAfter = Duration::zero());
  /// Whether the servers' own responses forbid to send the request to any
  /// server that has not been tried.
  bool isUnavailable() const;
  /// Ends such a request.
  void endUnavailable();
  /// The time until the first pause of a server of the service ends; zero if
  /// none is paused.
  Duration pauseLeft() const;
  /// Requests a server from the service's allocator.
  void requestAllocation();
  AllocationRequest makeAllocationRequest();
  void onAllocated(const AllocationOutcome &Outcome);
  void recordServerStart(const AllocationGrant &Grant);
  /// Releases a grant that is not used.
  void releaseGrant(const AllocationGrant &Grant, ServerVerdict Verdict);
  bool isGrantExpired() const;
  /// Whether the request may still be sent once its connection is established;
  /// empty if there is no send deadline.
  std::function<bool()> sendCondition() const;
  /// Chooses a server without the allocator.
  void placeLocally();
  void sendAttempt(const CorrelationId &Id, const ServerChoice &NewChoice);
  /// Whether an allocator assigns the servers of the request's service.
  bool usesAllocator() const { return this->IsEngine || this->SharesSlots; }
  /// Time since the caller's first attempt at this request, up to the arrival
  /// of the current one.
  Duration elapsedBeforeArrival() const;
  std::shared_ptr<UpstreamConnection> connectionTo(const GatewayServer &Server);
  std::string encodeRequest(const GatewayServer &Server);
  UpstreamListener makeListener(std::uint32_t Number);

  void onResponseHead(const HttpHead &Head, const ServerResponseFields &Fields);
  void startStream(const HttpHead &Head);
  void onResponsePayload(std::string_view Payload);
  void forwardEvents(std::string_view Payload);
  /// Sends complete events to the caller.
  void sendEvents(std::string_view Events);
  /// The caller has received what was sent to it, after reading from the server
  /// was paused.
  void resumeReading();
  void onUpstreamEnd(UpstreamEnd End);
  /// Whether the server has ended a response that this router did not read for
  /// long, since the caller reads slowly.
  bool isCutOffUnread(UpstreamEnd End, bool EndedWithConnection) const;
  /// Ends the request with a truncated response or an error, for a cause that
  /// lies with the caller.
  void endForCaller(TerminationReason Reason);
  void onProgressTimeout();
  /// How long the server of an attempt may be silent before another one is
  /// asked.
  Duration silenceLimit(const GatewayAttempt &Attempt) const;
  /// Whether the server of an attempt runs a later process than the one that
  /// the request was sent to.
  bool isRestarted(const GatewayAttempt &Attempt) const;

  /// Whether the server of the current attempt sends nothing at all.
  bool isSilent() const;
  /// Whether the request may be sent to another server while its attempt at a
  /// silent one stays open. Reserves the charge for it.
  bool mayHedge();
  /// Asks for another server, while the attempt at the silent one stays open.
  void startHedge(Duration Silence);
  /// Whether the attempt is the current one. A server that responds again makes
  /// its attempt the current one.
  bool isCurrent(std::uint32_t Number);
  /// Goes on waiting for the silent server, since no other one continues the
  /// request.
  void keepWaiting();
  /// The current attempt continues the request: ends the one at the silent
  /// server.
  void supersedeUnresponsive();
  /// The silent server responds again: ends the search for another one.
  void recoverUnresponsive();
  void onUnresponsiveEnd(UpstreamEnd End);
  /// Whether the stream of an attempt has ended inside an event.
  bool endsInsideEvent(const GatewayAttempt &Attempt) const;
  /// The request is no longer suspected if the response, which stated no length
  /// and has ended with its connection, did not end with a crash.
  void recordUnframedEnd();
  LostAttempt describe(const GatewayAttempt &Attempt);
  /// Whether the response head is of no use to the request, since it is an
  /// error of the silent server while the attempt at another one is open. Ends
  /// the attempt at the silent one then.
  bool endsUnresponsive(std::uint32_t Number, const HttpHead &Head,
                        const ServerResponseFields &Fields);
  /// Ends the attempt at the silent server, if there is one.
  void closeUnresponsive(ServerVerdict Verdict);
  /// Ends the search for another server, and an attempt there.
  void cancelHedge();
  void releaseCharge();
  void onDeadline();
  /// Ends the request now, in any state: truncates a started response, answers
  /// 504 if the request may have run, and refuses it for `Reason` otherwise.
  void giveUp(RefusalReason Reason);
  void onCallerDisconnected();

  /// Ends the current attempt and executes the next step.
  void endAttempt(AttemptResult Result, ServerVerdict Verdict);
  void reportSuspectedCrash(const GatewayAttempt &Attempt,
                            CrashDetector::AttemptEnd End);
  void closeUpstream();
  /// Updates the server table and the allocator.
  void recordAttemptEnd(const GatewayAttempt &Attempt, ServerVerdict Verdict);
  /// Starts the next attempt once the first check of a server that may have
  /// crashed has ended.
  void startAttemptAfterCheck(const GatewayAttempt &Checked);
  void cancelAllocation();
  void executeStep(NextStep Step);
  AttemptResult responseResult() const;

  void forwardResponse();
  /// Sends a server's response that is complete and no success.
  void forwardError(const HttpHead &Head, std::string_view Body);
  /// Ends a request that may have run and has no response: forwards an earlier
  /// server's error response, or sends one of this router.
  void failUncertain(int Status, const char *Reason);
  void sendLocalReply(int Status, const char *Reason);
  void refuse(RefusalReason Reason, Duration RetryAfter = Duration::zero());
  std::string retryAfterText(Duration MinDelay) const;
  void finishServed();
  void finish(const char *Outcome, Counter &OutcomeCounter);
  /// Ends a request that gets neither a server's response nor a refusal.
  void terminate(const char *Outcome, Counter &OutcomeCounter);

  void armProgressTimer(Duration Limit);
  void recordFirstChunk();
  Duration elapsed() const;
  Duration timeLeft() const;
  bool mayHaveRun() const { return this->Progress.Runs > 0; }
  void logEnd(const char *Outcome) const;
  RequestContent content() const;
  /// Identifies the request; equal for all of the caller's retries. The first
  /// call hashes the body.
  const RequestIdentity &identity();
  /// Whether a server may have crashed while processing this request.
  bool mayBeSuspect();
  std::string brokenAttemptText(const GatewayAttempt &Attempt);
  std::string partsText() const;
  /// Reserves the charge for the next attempt, if it needs one. Returns whether
  /// that attempt is permitted.
  bool chargeRetry();
  /// What the last decision on a charge rests on, as log fields.
  std::string chargeText() const;
  /// Whether the attempt may be sent; otherwise the request has been ended.
  bool confirmCharge();
  /// Log fields with what the current response says of its server.
  std::string signalText() const;
  std::string refusalText() const;
  void receivePayload(std::uint32_t Number, std::string_view Payload);
  void releaseWithheld();
  /// Whether this router has the processor time to serve the request.
  bool isAdmitted() const;
  bool isNewEvent(const StreamEvent &Event) const;
  bool makesProgress(const GatewayAttempt &Attempt) const;
  void recordProgress();
  std::uint64_t tokens() const;
  std::string accountText() const;
  std::string terminationText() const;
  /// Log fields that show whether a silent server or this router has paused.
  std::string silenceText(Duration Silence) const;

  GatewayContext &Context;
  std::shared_ptr<CallerSession> Session;
  IncomingRequest Incoming;
  CallerRequestFields CallerFields;
  std::optional<RequestIdentity> Identity;
  std::optional<std::uint32_t> ShortHash;
  /// The request would be refused, but is sent once to find out whether it
  /// still crashes servers.
  bool IsProbe = false;
  /// The parts of the prompt for which the request is refused.
  PartCrashGuard::Combination RefusedParts;
  /// Keeps the object alive that `Route` points into.
  std::shared_ptr<const GatewayConfiguration> Configuration;
  const GatewayRoute *Route = nullptr;
  std::string Account;
  std::string Service;
  TimePoint Deadline{};
  TimerId DeadlineTimer = 0;
  TimerId ProgressTimer = 0;
  RequestProgress Progress;
  /// Set once the service is known.
  std::optional<RetryCharge> Charge;
  /// Whether the last charge that was needed was permitted.
  std::optional<bool> Charged;
  std::set<std::uint64_t> TriedServers;
  /// The software that the stream is bound to: that of the server of its first
  /// event. Empty for other requests, and before that event.
  std::optional<SoftwareId> Software;
  bool StreamBound = false;
  /// Lookup without a result so far.
  std::optional<CorrelationId> PendingLookup;
  /// The result of the lookup, for the log.
  std::optional<StreamOrigin> Origin;
  /// If the caller names no attempt: when the request arrived, on `BootClock`,
  /// what the router's lists show, and how long it has waited for a proof.
  std::optional<TimePoint> UnnamedSince;
  std::optional<VersionEvidence> Evidence;
  Duration ProofWait{};
  TimerId ProofTimer = 0;
  /// Allocation request without a reply so far.
  std::optional<CorrelationId> PendingAllocation;
  /// Grants that could not be used since the server forbids it.
  std::uint32_t ReturnedGrants = 0;
  /// The allocator that replied last, and the total time of all allocation
  /// requests.
  std::string AllocatorName;
  /// The server group of that allocation.
  std::uint64_t Group = 0;
  Duration AllocationTime{};
  std::uint64_t ServiceHash = 0;
  /// Whether the service has engines, or is a plain one whose slots are shared.
  /// Set once: the list may change while an attempt is known to an allocator.
  bool IsEngine = false;
  bool SharesSlots = false;

  /// If the granted server is warming up: the latest time to send the request,
  /// on `BootClock`.
  std::optional<TimePoint> SendDeadline;
  /// The last attempt.
  GatewayAttempt Current;
  /// An earlier attempt whose server has stopped responding. It stays open
  /// until another server continues the request, or this server responds again.
  std::optional<GatewayAttempt> Unresponsive;
  /// The complete error response of an earlier attempt, which is forwarded if
  /// no other server responds.
  std::optional<ServerErrorResponse> EarlierError;
  /// Counts what may start the next attempt, so that a cancelled start can be
  /// recognized.
  std::uint64_t StartNumber = 0;

  // The response stream, across all attempts.
  bool Streaming = false;
  std::optional<std::uint64_t> LastEventId;
  bool Ended = false;
  /// The servers of all attempts in order, for the log.
  std::string TriedServerIds;
  int FinalStatus = 0;
  std::optional<RefusalReason> Refusal;
  /// Why the last attempt failed, or why the request ended early.
  std::optional<TerminationReason> Cause;
  /// It ended with neither a server's response nor a refusal.
  bool Terminated = false;
  /// Why no other server continued the request.
  std::optional<RefusalReason> NoRetryReason;
  /// The allocation request that was refused.
  std::optional<CorrelationId> RefusedAllocation;
  std::optional<Duration> TimeToFirstChunk;
};

} // namespace parsleywing

#endif
