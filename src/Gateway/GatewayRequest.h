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

  void sendNext();
  /// Whether servers that had this request in hand have crashed too often.
  bool crashesServers();
  /// Where the request is under suspicion: see `CrashWatch::spreadOf`.
  std::optional<std::uint32_t> spread();
  /// No further server will have it: refused where it has not run.
  void endUnserved(RefusalReason Why, Duration ReturnAfter = Duration::zero());
  /// Asks the allocator of an engine service.
  void askForServer();
  void onAllocated(const AllocationOutcome &Outcome);
  void noteStart(const ServerGranted &Granted);
  /// A grant is not used.
  void giveGrantBack(const ServerGranted &Granted, ServerVerdict Verdict);
  bool grantIsOver() const;
  std::function<bool()> sendGate() const;
  void placeAlone();
  void send(const ServerChoice &Choice);
  bool allocated() const;
  Duration age() const;
  std::shared_ptr<UpstreamConnection> connectionTo(const GatewayServer &Server);
  std::string encode(const GatewayServer &Server);
  UpstreamListener listener();

  void onHead(const HttpHead &Head, const ServerHead &Read);
  void beginStream(const HttpHead &Head);
  void onPayload(std::string_view Payload);
  void passEvents(std::string_view Payload);
  void onUpstreamEnd(UpstreamEnd How);
  void onSilence();
  void onDeadline();
  /// The last answer, whatever has been reached: a stream is cut, a request
  /// that has not left is refused for the reason.
  void giveUp(RefusalReason Why);
  void onCallerLeft();

  /// Ends the present send and decides what comes next.
  void endSend(SendOutcome Outcome, ServerVerdict Verdict);
  void noteServerInDoubt(CrashWatch::SendEnd How);
  void closeUpstream();
  void settleSend(ServerVerdict Verdict);
  void withdrawAsk();
  void carryOut(NextStep Step);
  SendOutcome outcomeOfAnswer() const;

  void passAnswer();
  void answerOwn(int Status, const char *Reason);
  void refuse(RefusalReason Why, Duration ReturnAfter = Duration::zero());
  std::string returnAfterText(Duration AtLeast) const;
  void finishServed();
  void finish(const char *Outcome, Counter &Counted);

  void armWatch(Duration Limit);
  void noteFirstPiece();
  Duration elapsed() const;
  Duration left() const;
  Duration firstPieceLimit() const;
  bool mayHaveRun() const { return this->Progress.Runs > 0; }
  void logEnd(const char *Outcome) const;
  RequestContent content() const;
  /// The same for each attempt of the caller at this request. Reads the body
  /// at the first call.
  const RequestIdentity &identity();
  /// Whether it may have been in hand at a server that crashed.
  bool mayBeSuspect();
  std::string brokenSendText();
  std::string refusalText() const;

  GatewayContext &Context;
  std::shared_ptr<CallerSession> Session;
  IncomingRequest Incoming;
  CallerHead Info;
  std::optional<RequestIdentity> Identity;
  std::optional<std::uint32_t> Sketch;
  /// Refused as a rule, it is sent once to find out whether it still crashes
  /// servers.
  bool Trying = false;
  /// Kept with the configuration that it stands in.
  std::shared_ptr<const GatewayConfiguration> Configuration;
  const GatewayRoute *Route = nullptr;
  std::string Account;
  std::string Service;
  TimePoint Deadline{};
  TimerId DeadlineTimer = 0;
  TimerId WatchTimer = 0;
  RequestProgress Progress;
  std::set<std::uint64_t> Tried;
  /// An ask that its allocator has not answered.
  std::optional<AskId> Asking;
  AskId SendId;
  /// The allocator that decided last, and how long that took in all.
  std::string Allocator;
  Duration Allocating{};
  std::uint64_t ServiceHash = 0;

  // The present send.
  /// Its server warms up: nothing of it may leave later than this, on the clock
  /// that counts suspended time.
  std::optional<TimePoint> SendUntil;
  std::shared_ptr<UpstreamConnection> Upstream;
  ServerChoice Choice;
  /// What it is for its server; its prompt is unread until the first piece.
  SendWork Work;
  bool PromptRead = false;
  TimePoint SentAt{};
  TimePoint HeardAt{};
  std::string ServerId;
  bool Kept = false;
  bool HeadCame = false;
  HttpHead AnswerHead;
  ServerHead AnswerRead;
  std::string AnswerBody;

  // The answer's stream, over all sends.
  bool Streaming = false;
  EventSplitter Events;
  std::optional<std::uint64_t> LastEvent;
  bool Paused = false;
  bool Ended = false;
  std::string Path;
  int FinalStatus = 0;
  std::optional<RefusalReason> Refused;
  /// The ask that its allocator refused.
  std::optional<AskId> RefusedAsk;
  std::optional<Duration> FirstPieceAfter;
};

} // namespace parsleywing

#endif
