#include "Process/TroubledWay.h"

#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <array>
#include <sys/socket.h>

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
                const std::atomic<WayTrouble> &T, const std::atomic<bool> &A)
      : TCPServerConnection(Caller), FarEnd(std::move(F)), Trouble(T), Away(A) {
  }

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
    while (this->Trouble != WayTrouble::Cut && !this->Away)
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
  const std::atomic<bool> &Away;
};

class WayFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  WayFactory(std::string F, const std::atomic<WayTrouble> &T,
             const std::atomic<bool> &A)
      : FarEnd(std::move(F)), Trouble(T), Away(A) {}

  Poco::Net::TCPServerConnection *
  createConnection(const StreamSocket &Caller) override {
    return new WayConnection(Caller, this->FarEnd, this->Trouble, this->Away);
  }

private:
  std::string FarEnd;
  const std::atomic<WayTrouble> &Trouble;
  const std::atomic<bool> &Away;
};

} // namespace

TroubledWay::TroubledWay(const std::string &F)
    : FarEnd(F), Threads(2, MaxConnections) {
  this->listen();
  this->Place = this->Server->socket().address();
}

void TroubledWay::listen() {
  const Poco::Net::ServerSocket Socket{this->Place};
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxConnections);
  this->Server = std::make_unique<Poco::Net::TCPServer>(
      new WayFactory(this->FarEnd, this->Trouble, this->IsAway), this->Threads,
      Socket, Params);
  this->Server->start();
}

void TroubledWay::setAway(bool Away) {
  this->IsAway = Away;
  if (!Away) {
    this->listen();
    return;
  }
  // The library stops listening only when it has looked for callers once more.
  ::shutdown(this->Server->socket().impl()->sockfd(), SHUT_RDWR);
  this->Server->stop();
  while (this->Server->currentConnections() > 0)
    Poco::Thread::sleep(1);
  this->Server.reset();
}

TroubledWay::~TroubledWay() {
  if (this->Server == nullptr)
    return;
  this->Trouble = WayTrouble::Cut;
  this->Server->stop();
  while (this->Server->currentConnections() > 0)
    Poco::Thread::sleep(StepMicroseconds / 1000);
}

std::string TroubledWay::address() const { return this->Place.toString(); }

} // namespace parsleywing::test
