#include "Process/TroubledWay.h"

#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <array>

namespace parsleywing::test {

using Poco::Net::Socket;
using Poco::Net::StreamSocket;

namespace {

constexpr int StepMicroseconds = 50'000;
constexpr int DelayMilliseconds = 40;
constexpr int MaxConnections = 64;

class WayConnection : public Poco::Net::TCPServerConnection {
public:
  WayConnection(const StreamSocket &Caller, std::string F,
                const std::atomic<WayTrouble> &T)
      : TCPServerConnection(Caller), FarEnd(std::move(F)), Trouble(T) {}

  void run() override {
    try {
      this->carry();
    } catch (const Poco::Exception &) {
      // Either side is gone: the way closes the other.
    }
  }

private:
  void carry() {
    StreamSocket Near = this->socket();
    if (this->Trouble == WayTrouble::Cut) {
      Near.setLinger(true, 0);
      return;
    }
    StreamSocket Far{Poco::Net::SocketAddress(this->FarEnd)};
    while (this->Trouble != WayTrouble::Cut)
      if (!this->passOnce(Near, Far))
        return;
    // Closed so, a connection is reset.
    Near.setLinger(true, 0);
    Far.setLinger(true, 0);
  }

  /// False where one end has closed.
  bool passOnce(StreamSocket &Near, StreamSocket &Far) {
    const WayTrouble Now = this->Trouble;
    Socket::SocketList Readable;
    if (Now != WayTrouble::SilentTo)
      Readable.push_back(Near);
    if (Now != WayTrouble::SilentFrom)
      Readable.push_back(Far);
    Socket::SocketList None;
    Socket::SocketList Failed;
    Socket::select(Readable, None, Failed, Poco::Timespan(0, StepMicroseconds));
    if (Now == WayTrouble::Delayed && !Readable.empty())
      Poco::Thread::sleep(DelayMilliseconds);
    for (const Socket &Ready : Readable)
      if (!(Ready == Near ? pass(Near, Far) : pass(Far, Near)))
        return false;
    return true;
  }

  static bool pass(StreamSocket &From, StreamSocket &To) {
    std::array<char, 65'536> Bytes;
    const int Got = From.receiveBytes(Bytes.data(), Bytes.size());
    int Sent = 0;
    while (Sent < Got)
      Sent += To.sendBytes(Bytes.data() + Sent, Got - Sent);
    return Got > 0;
  }

  std::string FarEnd;
  const std::atomic<WayTrouble> &Trouble;
};

class WayFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  WayFactory(std::string F, const std::atomic<WayTrouble> &T)
      : FarEnd(std::move(F)), Trouble(T) {}

  Poco::Net::TCPServerConnection *
  createConnection(const StreamSocket &Caller) override {
    return new WayConnection(Caller, this->FarEnd, this->Trouble);
  }

private:
  std::string FarEnd;
  const std::atomic<WayTrouble> &Trouble;
};

} // namespace

TroubledWay::TroubledWay(const std::string &FarEnd)
    : Threads(2, MaxConnections) {
  const Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxConnections);
  this->Server = std::make_unique<Poco::Net::TCPServer>(
      new WayFactory(FarEnd, this->Trouble), this->Threads, Socket, Params);
  this->Server->start();
}

TroubledWay::~TroubledWay() {
  this->Trouble = WayTrouble::Cut;
  this->Server->stop();
  while (this->Server->currentConnections() > 0)
    Poco::Thread::sleep(StepMicroseconds / 1000);
}

std::string TroubledWay::address() const {
  return this->Server->socket().address().toString();
}

} // namespace parsleywing::test
