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

/// A complete request as received from a caller.
struct IncomingRequest {
  HttpHead Head;
  std::string Body;
  bool HasBody = false;
  /// When the request head was complete.
  TimePoint ReceivedAt{};
  /// The body was not read, since the buffers of the process have no room for
  /// it. The connection closes after the response.
  bool BodyRefused = false;
  /// The memory of the body.
  BufferShare BodyShare;
};

/// Callbacks from a session to the request that it serves.
struct CallerListener {
  /// The caller closed the connection and no longer waits for the response.
  std::function<void()> Disconnected;
  /// The kernel has accepted all response bytes written so far.
  std::function<void()> SendBufferDrained;
  /// The drain is about to time out: the request must send its final response
  /// now.
  std::function<void()> DrainEnding;
};

/// One HTTP connection of a caller. Serves one request at a time: reads it
/// completely, hands it to the handler, and sends exactly one response.
/// Requests that are malformed, too large or too slow are rejected here.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// Receives each complete request and responds with the functions below.
  using Handler = std::function<void(const std::shared_ptr<CallerSession> &,
                                     IncomingRequest)>;
  /// Called once, when the connection is closed.
  using CloseCallback = std::function<void(CallerSession *)>;

  CallerSession(EventLoop &L, std::shared_ptr<ByteChannel> C, GatewayLimits G,
                Handler H, CloseCallback E);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  void start();

  /// Counts the buffers of the connection in a budget, which must outlive it.
  /// Call before `start`.
  void setBudget(BufferBudget &NewBudget);

  /// Applies the limits of a new configuration, from the next request on, and
  /// to an idle connection at once.
  void setLimits(const GatewayLimits &NewLimits) { this->Limits = NewLimits; }

  /// Sets the callbacks of the request that is being served.
  void setListener(CallerListener NewListener) {
    this->Listener = std::move(NewListener);
  }

  /// Sends a complete response. Sets Content-Length.
  void sendResponse(HttpHead Head, std::string_view Body);

  /// Starts a response of unknown length: chunked for HTTP/1.1, delimited by
  /// the end of the connection for HTTP/1.0.
  void startResponse(HttpHead Head);
  void sendChunk(std::string_view Bytes);
  void finishResponse();

  /// Resets the connection, so that the caller cannot take the truncated
  /// response for a complete one.
  void abortResponse();

  /// Response bytes that the kernel has not accepted yet.
  std::size_t unsent() const { return this->Channel->unsent(); }

  /// Bytes that end with the connection.
  std::size_t buffered() const { return this->unsent() + this->Input.size(); }

  /// Closes the connection after the current response, announced by
  /// `Connection: close`. If the head of the current response has already been
  /// sent, this applies to the next response.
  void closeAfterResponse() { this->CloseAfterResponse = true; }

  /// Like `closeAfterResponse`, but closes an idle connection as soon as no
  /// bytes are pending in either direction.
  void closeWhenIdle();

  /// The drain is about to time out: ends the current request with its final
  /// response and closes the connection after it.
  void stop();

  /// Whether the connection has been idle for at least `MinIdle` since its last
  /// response, which has been sent completely. A new connection without a
  /// request is not idle: its first request may be on the way.
  bool idleFor(Duration MinIdle) const {
    return this->CurrentState == State::ReadingHead && this->Input.empty() &&
           this->LastResponseAt && this->unsent() == 0 &&
           !this->CloseAfterResponse &&
           this->Loop.clock().now() - *this->LastResponseAt >= MinIdle;
  }
  bool isServing() const { return this->CurrentState == State::Serving; }

private:
  enum class State { ReadingHead, ReadingBody, Serving, Closed };

  void onReceived(std::string_view Bytes);
  void limitPipelining();
  void onEnded();
  void processInput();
  /// Both return whether the remaining input may hold more to parse.
  bool parseHead();
  bool parseBody();
  /// Whether there is no room to read this much more of a body.
  bool lacksRoomFor(std::uint64_t BodyBytes, std::uint64_t MoreBytes) const;
  void refuseBody();
  void dispatchRequest();
  void sendErrorAndClose(int Status, const char *Reason);
  void sendHead(HttpHead Head);
  void finishRequest();
  void close();
  void armTimer(Duration Limit, bool Idle);
  /// How much longer the connection may be idle.
  Duration idleTimeLeft() const;
  void onTimeout(bool Idle);

  EventLoop &Loop;
  std::shared_ptr<ByteChannel> Channel;
  GatewayLimits Limits;
  Handler OnRequest;
  CloseCallback OnClosed;
  CallerListener Listener;
  BufferBudget *Budget = nullptr;
  std::string Input;
  BufferShare InputShare;
  IncomingRequest Request;
  BodyDecoder Decoder;
  TimerId Timer = 0;
  State CurrentState = State::ReadingHead;
  bool KeepAlive = true;
  bool CloseAfterResponse = false;
  bool Chunked = false;
  bool HeadStarted = false;
  std::optional<TimePoint> LastResponseAt;
  TimePoint AcceptedAt{};
};

/// The head of a response that the router generates itself.
HttpHead localReplyHead(int Status, const std::string &Reason);

} // namespace parsleywing

#endif
