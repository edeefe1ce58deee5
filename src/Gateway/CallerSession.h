#ifndef PARSLEYWING_GATEWAY_CALLERSESSION_H
#define PARSLEYWING_GATEWAY_CALLERSESSION_H

#include "Http/BodyDecoder.h"
#include "Loop/ByteChannel.h"
#include "Placement/FleetView.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace parsleywing {

/// A whole request as a caller sent it.
struct IncomingRequest {
  HttpHead Head;
  std::string Body;
  bool HasBody = false;
  /// When its head had come.
  TimePoint ReceivedAt{};
};

/// What a session tells the request that it serves.
struct CallerListener {
  /// The caller closed the connection: nobody waits for the answer any more.
  std::function<void()> Disconnected;
  /// All of the answer so far has been taken by the system.
  std::function<void()> SendBufferDrained;
  /// The router stops: the final answer is due now.
  std::function<void()> Stopping;
};

/// One connection of a caller: requests one after the other, each read whole,
/// then answered once. Requests that are malformed, too large or too slow are
/// answered here.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// Takes each whole request; it answers with the functions below.
  using Handler = std::function<void(const std::shared_ptr<CallerSession> &,
                                     IncomingRequest)>;
  /// Told once, when the connection is closed.
  using CloseCallback = std::function<void(CallerSession *)>;

  CallerSession(EventLoop &L, std::shared_ptr<ByteChannel> C,
                GatewayLimits Bounds, Handler H, CloseCallback E);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  void start();

  /// The request in hand wants to hear of the caller.
  void setListener(CallerListener Wanted) {
    this->Listener = std::move(Wanted);
  }

  /// Answers the request in hand with a whole message. The length is set here.
  void sendResponse(HttpHead Head, std::string_view Body);

  /// Begins an answer whose length is not known.
  void startResponse(HttpHead Head);
  void sendChunk(std::string_view Bytes);
  void finishResponse();

  /// Breaks the answer off so that it cannot look whole.
  void abortResponse();

  /// Bytes of the answer that the caller has not taken.
  std::size_t unsent() const { return this->Channel->unsent(); }

  /// After the present answer, or the next one where the head of the present
  /// one has left, the connection is closed, and the answer says so.
  void closeAfterResponse() { this->CloseAfterResponse = true; }

  /// The same, but an idle connection is closed as soon as nothing waits on it.
  void closeWhenIdle();

  /// The router stops: a request in hand gets its final answer, and the
  /// connection ends behind it.
  void stop();

  /// Whether it has been idle for so long since an answer, which has left
  /// whole. One that has sent nothing yet is not idle: its request may be on
  /// the way.
  bool idleFor(Duration Time) const {
    return this->CurrentState == State::ReadingHead && this->Input.empty() &&
           this->LastResponseAt && this->unsent() == 0 &&
           !this->CloseAfterResponse &&
           this->Loop.clock().now() - *this->LastResponseAt >= Time;
  }
  bool isServing() const { return this->CurrentState == State::Serving; }

private:
  enum class State { ReadingHead, ReadingBody, Serving, Closed };

  void onReceived(std::string_view Bytes);
  void limitPipelining();
  void onEnded();
  void processInput();
  bool parseHead();
  bool parseBody();
  void dispatchRequest();
  void sendErrorAndClose(int Status, const char *Reason);
  void sendHead(HttpHead Head);
  void finishRequest();
  void close();
  void armTimer(Duration Limit, bool Idle);
  void onTimeout(bool Idle);

  EventLoop &Loop;
  std::shared_ptr<ByteChannel> Channel;
  GatewayLimits Limits;
  Handler OnRequest;
  CloseCallback OnClosed;
  CallerListener Listener;
  std::string Input;
  IncomingRequest Request;
  BodyDecoder Decoder;
  TimerId Timer = 0;
  State CurrentState = State::ReadingHead;
  bool KeepAlive = true;
  bool CloseAfterResponse = false;
  bool Chunked = false;
  bool HeadStarted = false;
  std::optional<TimePoint> LastResponseAt;
};

/// The head of an answer that the router itself gives.
HttpHead localReplyHead(int Status, const std::string &Reason);

} // namespace parsleywing

#endif
