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
  TimePoint Arrived{};
};

/// What a session tells the request that it serves.
struct CallerEvents {
  /// The caller closed the connection: nobody waits for the answer any more.
  std::function<void()> Left;
  /// All of the answer so far has been taken by the system.
  std::function<void()> Drained;
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
  using Closed = std::function<void(CallerSession *)>;

  CallerSession(EventLoop &L, std::shared_ptr<ByteChannel> C,
                GatewayLimits Bounds, Handler H, Closed E);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  void begin();

  /// The request in hand wants to hear of the caller.
  void serve(CallerEvents Wanted) { this->Events = std::move(Wanted); }

  /// Answers the request in hand with a whole message. The length is set here.
  void answer(HttpHead Head, std::string_view Body);

  /// Begins an answer whose length is not known.
  void beginAnswer(HttpHead Head);
  void piece(std::string_view Bytes);
  void endAnswer();

  /// Breaks the answer off so that it cannot look whole.
  void cutAnswer();

  /// Bytes of the answer that the caller has not taken.
  std::size_t unsent() const { return this->Channel->unsent(); }

  /// After the present answer, or the next one where the head of the present
  /// one has left, the connection is closed, and the answer says so.
  void closeAfterAnswer() { this->CloseAfter = true; }

  /// The same, but an idle connection is closed as soon as nothing waits on it.
  void closeWhenDone();

  /// The router stops: a request in hand gets its final answer, and the
  /// connection ends behind it.
  void stop();

  /// Whether it has been idle for so long since an answer, which has left
  /// whole. One that has sent nothing yet is not idle: its request may be on
  /// the way.
  bool idleFor(Duration Time) const {
    return this->Now == State::Head && this->In.empty() && this->AnsweredAt &&
           this->unsent() == 0 && !this->CloseAfter &&
           this->Loop.clock().now() - *this->AnsweredAt >= Time;
  }
  bool answering() const { return this->Now == State::Serving; }

private:
  enum class State { Head, Body, Serving, Over };

  void onReceived(std::string_view Bytes);
  void limitAhead();
  void onEnded();
  void process();
  bool takeHead();
  bool takeBody();
  void startRequest();
  void refuse(int Status, const char *Reason);
  void sendHead(HttpHead Head);
  void finishRequest();
  void close();
  void armTimer(Duration Limit, bool Idle);
  void onTimeout(bool Idle);

  EventLoop &Loop;
  std::shared_ptr<ByteChannel> Channel;
  GatewayLimits Limits;
  Handler Handle;
  Closed TellClosed;
  CallerEvents Events;
  std::string In;
  IncomingRequest Request;
  BodyDecoder Decoder;
  TimerId Timer = 0;
  State Now = State::Head;
  bool KeepOpen = true;
  bool CloseAfter = false;
  bool Chunked = false;
  bool HeadBegun = false;
  std::optional<TimePoint> AnsweredAt;
};

/// The head of an answer that the router itself gives.
HttpHead ownAnswerHead(int Status, const std::string &Reason);

} // namespace parsleywing

#endif
