#include "Process/StoreRelay.h"

#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <array>

namespace parsleywing::test {

using Poco::Net::Socket;
using Poco::Net::StreamSocket;

namespace {

constexpr int StepMicroseconds = 50'000;
constexpr int MaxConnections = 16;

class RelayConnection : public Poco::Net::TCPServerConnection {
public:
  RelayConnection(const StreamSocket &Caller, std::string S,
                  const std::atomic<bool> &C)
      : TCPServerConnection(Caller), Store(std::move(S)), Cut(C) {}

  void run() override {
    try {
      if (!this->Cut)
        this->carry();
    } catch (const Poco::Exception &) {
      // Either side is gone: the relay closes the other.
    }
  }

private:
  void carry() {
    StreamSocket Near = this->socket();
    StreamSocket Far{Poco::Net::SocketAddress(this->Store)};
    while (!this->Cut) {
      Socket::SocketList Readable{Near, Far};
      Socket::SocketList None;
      Socket::SocketList Failed;
      Socket::select(Readable, None, Failed,
                     Poco::Timespan(0, StepMicroseconds));
      for (const Socket &Ready : Readable)
        if (!(Ready == Near ? pass(Near, Far) : pass(Far, Near)))
          return;
    }
  }

  static bool pass(StreamSocket &From, StreamSocket &To) {
    std::array<char, 65'536> Bytes;
    const int Got = From.receiveBytes(Bytes.data(), Bytes.size());
    int Sent = 0;
    while (Sent < Got)
      Sent += To.sendBytes(Bytes.data() + Sent, Got - Sent);
    return Got > 0;
  }

  std::string Store;
  const std::atomic<bool> &Cut;
};

class RelayFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  RelayFactory(std::string S, const std::atomic<bool> &C)
      : Store(std::move(S)), Cut(C) {}

  Poco::Net::TCPServerConnection *
  createConnection(const StreamSocket &Caller) override {
    return new RelayConnection(Caller, this->Store, this->Cut);
  }

private:
  std::string Store;
  const std::atomic<bool> &Cut;
};

} // namespace

StoreRelay::StoreRelay(const std::string &Store) {
  const Poco::Net::ServerSocket Socket{
      Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxConnections);
  this->Server = std::make_unique<Poco::Net::TCPServer>(
      new RelayFactory(Store, this->Cut), Socket, Params);
  this->Server->start();
}

StoreRelay::~StoreRelay() {
  this->Cut = true;
  this->Server->stop();
  while (this->Server->currentConnections() > 0)
    Poco::Thread::sleep(StepMicroseconds / 1000);
}

std::string StoreRelay::address() const {
  return this->Server->socket().address().toString();
}

} // namespace parsleywing::test
