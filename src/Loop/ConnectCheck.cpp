#include "Loop/ConnectCheck.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <cerrno>
#include <memory>

namespace parsleywing {

namespace {

/// One connection attempt. The loop's handler and timer keep it alive.
class ConnectAttempt : public std::enable_shared_from_this<ConnectAttempt> {
public:
  ConnectAttempt(EventLoop &L, std::function<void(ConnectOutcome)> Callback)
      : Loop(L), OnOutcome(std::move(Callback)) {}

  void start(const Poco::Net::SocketAddress &Address, Duration Timeout) {
    try {
      this->Socket.connectNB(Address);
      this->Loop.add(
          this->Socket,
          Poco::Net::PollSet::POLL_WRITE | Poco::Net::PollSet::POLL_ERROR,
          [Self = this->shared_from_this()](int) { Self->onReady(); });
      this->IsWatched = true;
    } catch (const Poco::Net::ConnectionRefusedException &) {
      this->finishAfter(ConnectOutcome::Refused, Duration::zero());
      return;
    } catch (const Poco::Exception &) {
      // No free descriptor or no route, which says nothing about the remote
      // host.
      this->finishAfter(ConnectOutcome::Unknown, Duration::zero());
      return;
    }
    this->finishAfter(ConnectOutcome::Unknown, Timeout);
  }

private:
  void onReady() {
    switch (this->Socket.impl()->socketError()) {
    case 0:
      this->finish(ConnectOutcome::Listening);
      return;
    case ECONNREFUSED:
      this->finish(ConnectOutcome::Refused);
      return;
    default:
      this->finish(ConnectOutcome::Unknown);
    }
  }

  void finishAfter(ConnectOutcome Outcome, Duration Delay) {
    this->Timer = this->Loop.after(Delay, [Self = this->shared_from_this(),
                                           Outcome] { Self->finish(Outcome); });
  }

  void finish(ConnectOutcome Outcome) {
    this->Loop.cancel(this->Timer);
    if (this->IsWatched)
      this->Loop.remove(this->Socket);
    this->IsWatched = false;
    this->Socket.close();
    if (const auto Callback = std::exchange(this->OnOutcome, {}))
      Callback(Outcome);
  }

  EventLoop &Loop;
  std::function<void(ConnectOutcome)> OnOutcome;
  Poco::Net::StreamSocket Socket;
  TimerId Timer = 0;
  bool IsWatched = false;
};

} // namespace

void checkConnect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
                  Duration Timeout,
                  std::function<void(ConnectOutcome)> OnOutcome) {
  std::make_shared<ConnectAttempt>(Loop, std::move(OnOutcome))
      ->start(Address, Timeout);
}

} // namespace parsleywing
