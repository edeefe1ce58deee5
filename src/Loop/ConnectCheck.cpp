#include "Loop/ConnectCheck.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <cerrno>
#include <memory>

namespace parsleywing {

namespace {

/// One check, kept alive by the loop's handler and timer.
class Check : public std::enable_shared_from_this<Check> {
public:
  Check(EventLoop &L, std::function<void(ConnectOutcome)> T)
      : Loop(L), Tell(std::move(T)) {}

  void begin(const Poco::Net::SocketAddress &Address, Duration Limit) {
    try {
      this->Socket.connectNB(Address);
      this->Loop.add(
          this->Socket,
          Poco::Net::PollSet::POLL_WRITE | Poco::Net::PollSet::POLL_ERROR,
          [Self = this->shared_from_this()](int) { Self->onReady(); });
      this->Watched = true;
    } catch (const Poco::Net::ConnectionRefusedException &) {
      this->endLater(ConnectOutcome::Refused, Duration::zero());
      return;
    } catch (const Poco::Exception &) {
      // No descriptor, or no way there: nothing is learnt of the far end.
      this->endLater(ConnectOutcome::Unknown, Duration::zero());
      return;
    }
    this->endLater(ConnectOutcome::Unknown, Limit);
  }

private:
  void onReady() {
    switch (this->Socket.impl()->socketError()) {
    case 0:
      this->end(ConnectOutcome::Listening);
      return;
    case ECONNREFUSED:
      this->end(ConnectOutcome::Refused);
      return;
    default:
      this->end(ConnectOutcome::Unknown);
    }
  }

  void endLater(ConnectOutcome Outcome, Duration Delay) {
    this->Timer = this->Loop.after(Delay, [Self = this->shared_from_this(),
                                           Outcome] { Self->end(Outcome); });
  }

  void end(ConnectOutcome Outcome) {
    this->Loop.cancel(this->Timer);
    if (this->Watched)
      this->Loop.remove(this->Socket);
    this->Watched = false;
    this->Socket.close();
    if (const auto Told = std::exchange(this->Tell, {}))
      Told(Outcome);
  }

  EventLoop &Loop;
  std::function<void(ConnectOutcome)> Tell;
  Poco::Net::StreamSocket Socket;
  TimerId Timer = 0;
  bool Watched = false;
};

} // namespace

void checkConnect(EventLoop &Loop, const Poco::Net::SocketAddress &Address,
                  Duration Limit, std::function<void(ConnectOutcome)> Told) {
  std::make_shared<Check>(Loop, std::move(Told))->begin(Address, Limit);
}

} // namespace parsleywing
