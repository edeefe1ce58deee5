#include "Process/TroubledWay.h"

#include "FreeAddress.h"

#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <array>
#include <sys/socket.h>

namespace parsleywing::test {

using Poco::Net::Socket;
using Poco::Net::StreamSocket;

namespace {

constexpr int PollMicroseconds = 50'000;
constexpr int DelayMilliseconds = 40;
constexpr int MaxConnections = 64;

class LinkConnection : public Poco::Net::TCPServerConnection {
public:
  LinkConnection(const StreamSocket &Caller, std::string F,
                 const std::atomic<WayTrouble> &T, const std::atomic<bool> &A)
      : TCPServerConnection(Caller), TargetAddress(std::move(F)), Trouble(T),
        Down(A) {}

  void run() override {
    try {
      this->forward();
    } catch (const Poco::Exception &) {
      // One side has reset its connection, which the other side must not take
      // for an orderly close.
      this->socket().setLinger(true, 0);
      this->TargetSocket.setLinger(true, 0);
    }
  }

private:
  void forward() {
    StreamSocket CallerSocket = this->socket();
    if (this->Trouble == WayTrouble::Cut) {
      CallerSocket.setLinger(true, 0);
      return;
    }
    this->TargetSocket.connect(Poco::Net::SocketAddress(this->TargetAddress));
    while (this->Trouble != WayTrouble::Cut && !this->Down)
      if (!this->forwardOnce(CallerSocket, this->TargetSocket))
        return;
    // With a zero linger time, closing resets the connection.
    CallerSocket.setLinger(true, 0);
    this->TargetSocket.setLinger(true, 0);
  }

  /// Returns false if one side has closed.
  bool forwardOnce(StreamSocket &CallerSocket, StreamSocket &TargetSocket) {
    const WayTrouble Now = this->Trouble;
    Socket::SocketList Readable;
    if (Now != WayTrouble::SilentTo)
      Readable.push_back(CallerSocket);
    if (Now != WayTrouble::SilentFrom)
      Readable.push_back(TargetSocket);
    Socket::SocketList Writable;
    Socket::SocketList Failed;
    Socket::select(Readable, Writable, Failed,
                   Poco::Timespan(0, PollMicroseconds));
    if (Now == WayTrouble::Delayed && !Readable.empty())
      Poco::Thread::sleep(DelayMilliseconds);
    for (const Socket &ReadySocket : Readable)
      if (!(ReadySocket == CallerSocket
                ? forwardBytes(CallerSocket, TargetSocket)
                : forwardBytes(TargetSocket, CallerSocket)))
        return false;
    return true;
  }

  static bool forwardBytes(StreamSocket &From, StreamSocket &To) {
    std::array<char, 65'536> Bytes;
    const int Received = From.receiveBytes(Bytes.data(), Bytes.size());
    int Sent = 0;
    while (Sent < Received)
      Sent += To.sendBytes(Bytes.data() + Sent, Received - Sent);
    return Received > 0;
  }

  std::string TargetAddress;
  StreamSocket TargetSocket;
  const std::atomic<WayTrouble> &Trouble;
  const std::atomic<bool> &Down;
};

class LinkFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  LinkFactory(std::string F, const std::atomic<WayTrouble> &T,
              const std::atomic<bool> &A)
      : TargetAddress(std::move(F)), Trouble(T), Down(A) {}

  Poco::Net::TCPServerConnection *
  createConnection(const StreamSocket &Caller) override {
    return new LinkConnection(Caller, this->TargetAddress, this->Trouble,
                              this->Down);
  }

private:
  std::string TargetAddress;
  const std::atomic<WayTrouble> &Trouble;
  const std::atomic<bool> &Down;
};

} // namespace

TroubledWay::TroubledWay(const std::string &F)
    : TargetAddress(F), ListenAddress(freeLoopbackAddress()),
      Threads(2, MaxConnections) {
  this->listen();
}

void TroubledWay::listen() {
  Poco::Net::ServerSocket Socket;
  Socket.bind(this->ListenAddress, true, false);
  Socket.listen();
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxConnections);
  this->Server = std::make_unique<Poco::Net::TCPServer>(
      new LinkFactory(this->TargetAddress, this->Trouble, this->IsDown),
      this->Threads, Socket, Params);
  this->Server->start();
}

void TroubledWay::setAway(bool Down) {
  this->IsDown = Down;
  if (!Down) {
    this->listen();
    return;
  }
  // Without the shutdown, Poco would stop listening only after its next poll
  // for connections.
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
    Poco::Thread::sleep(PollMicroseconds / 1000);
}

std::string TroubledWay::address() const {
  return this->ListenAddress.toString();
}

} // namespace parsleywing::test
