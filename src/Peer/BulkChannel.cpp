#include "Peer/BulkChannel.h"

#include "Peer/PeerArchive.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <algorithm>

namespace parsleywing {
namespace {

constexpr char Acknowledgement = 1;
constexpr std::size_t LengthBytes = 4;
constexpr int MaxConnections = 4;
constexpr int MaxQueuedConnections = 16;
constexpr std::size_t ChunkBytes = 65536;

Poco::Timespan timespan(Duration Length) {
  return Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(Length.count()));
}

/// The time left until a deadline. A timeout of each read alone would let a
/// peer that sends a byte now and then occupy a connection indefinitely.
class Deadline {
public:
  explicit Deadline(Duration Length) : End(this->Time.now() + Length) {}

  Poco::Timespan remaining() const {
    const Duration Remaining = this->End - this->Time.now();
    if (Remaining <= Duration::zero())
      throw Poco::TimeoutException("bulk message not complete by its deadline");
    return timespan(Remaining);
  }

private:
  Clock Time = Clock::steady();
  TimePoint End;
};

void sendAll(Poco::Net::StreamSocket &Socket, const std::string &Bytes,
             const Deadline &Until) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    Socket.setSendTimeout(Until.remaining());
    const auto Chunk =
        static_cast<int>(std::min(ChunkBytes, Bytes.size() - Sent));
    const int Count = Socket.sendBytes(Bytes.data() + Sent, Chunk);
    if (Count <= 0)
      throw Poco::Net::NetException("connection closed");
    Sent += static_cast<std::size_t>(Count);
  }
}

std::string receiveAll(Poco::Net::StreamSocket &Socket, std::size_t Size,
                       const Deadline &Until) {
  std::string Bytes;
  // Grows with the received data, so that a claimed length alone allocates no
  // memory.
  while (Bytes.size() < Size) {
    const std::size_t Received = Bytes.size();
    const std::size_t Chunk = std::min(ChunkBytes, Size - Received);
    Bytes.resize(Received + Chunk);
    Socket.setReceiveTimeout(Until.remaining());
    const int Count =
        Socket.receiveBytes(Bytes.data() + Received, static_cast<int>(Chunk));
    if (Count <= 0)
      throw Poco::Net::NetException("connection closed");
    Bytes.resize(Received + static_cast<std::size_t>(Count));
  }
  return Bytes;
}

Result<void> sendOnce(const std::string &Address, const std::string &Framed,
                      const BulkLimits &Limits) {
  try {
    const Deadline Until(Limits.Deadline);
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(Address), Until.remaining());
    sendAll(Socket, Framed, Until);
    receiveAll(Socket, sizeof(Acknowledgement), Until);
    return {};
  } catch (const Poco::TimeoutException &Problem) {
    return failure(ErrorCode::TimedOut, Problem.displayText());
  } catch (const Poco::Exception &Problem) {
    return failure(ErrorCode::Interrupted, Problem.displayText());
  }
}

class Connection : public Poco::Net::TCPServerConnection {
public:
  Connection(const Poco::Net::StreamSocket &Socket,
             const BulkServer::Sink &Received, const BulkLimits &Limits)
      : TCPServerConnection(Socket), Received(Received), Limits(Limits) {}

  void run() override {
    try {
      this->receive();
    } catch (const std::exception &) {
      // The connection is closed without an acknowledgement, and the sender
      // retries.
    }
  }

private:
  void receive() {
    const Deadline Until(this->Limits.Deadline);
    const std::string Prefix = receiveAll(this->socket(), LengthBytes, Until);
    std::uint32_t Length = 0;
    PeerInputArchive PrefixArchive(Prefix);
    PrefixArchive(Length);
    if (Length > this->Limits.Bytes)
      return;
    if (this->Received(receiveAll(this->socket(), Length, Until)))
      this->socket().sendBytes(&Acknowledgement, sizeof(Acknowledgement));
  }

  BulkServer::Sink Received;
  BulkLimits Limits;
};

class Factory : public Poco::Net::TCPServerConnectionFactory {
public:
  Factory(BulkServer::Sink Received, const BulkLimits &Limits)
      : Received(std::move(Received)), Limits(Limits) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new Connection(Socket, this->Received, this->Limits);
  }

private:
  BulkServer::Sink Received;
  BulkLimits Limits;
};

Poco::Net::TCPServerParams::Ptr serverParams() {
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxConnections);
  Params->setMaxQueued(MaxQueuedConnections);
  return Params;
}

} // namespace

Result<void> sendBulk(const std::string &Address, const std::string &Message,
                      const BulkLimits &Limits) {
  if (Message.size() > Limits.Bytes)
    return failure(ErrorCode::LimitExceeded, "bulk message too large");
  std::string Framed;
  PeerOutputArchive Ar(Framed);
  Ar(static_cast<std::uint32_t>(Message.size()));
  Framed += Message;
  auto First = sendOnce(Address, Framed, Limits);
  if (First)
    return First;
  return sendOnce(Address, Framed, Limits);
}

BulkServer::BulkServer(const Poco::Net::ServerSocket &Socket, Sink Received,
                       const BulkLimits &Limits)
    : Server(new Factory(std::move(Received), Limits), Socket, serverParams()) {
  this->Server.start();
}

BulkServer::~BulkServer() { this->Server.stop(); }

} // namespace parsleywing
