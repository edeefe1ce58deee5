#include "Soak/KeepAliveConnection.h"

#include "Http/BodyDecoder.h"

#include <Poco/Exception.h>
#include <array>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace parsleywing::test {

namespace {

constexpr long AnswerSeconds = 4;
/// Longer than a router may stand still or keep a closed connection.
constexpr int ResetMilliseconds = 2500;

/// A reset that crosses the router's end is not told by the read of the end:
/// the system keeps it as the error of the socket.
bool resetFollows(const Poco::Net::StreamSocket &Socket) {
  pollfd Watched{Socket.impl()->sockfd(), 0, 0};
  return ::poll(&Watched, 1, ResetMilliseconds) > 0;
}

} // namespace

bool KeepAliveConnection::connect() {
  this->RequestCount = 0;
  this->Socket = Poco::Net::StreamSocket();
  try {
    this->Socket.connect(Poco::Net::SocketAddress(this->Address),
                         Poco::Timespan(1, 0));
    this->Socket.setReceiveTimeout(Poco::Timespan(AnswerSeconds, 0));
    this->Socket.setNoDelay(true);
  } catch (const Poco::Exception &) {
    // Nobody listens there at present.
    return false;
  }
  return true;
}

void KeepAliveConnection::exchange(const std::string &Request,
                                   CallerResult &Got) {
  using Poco::Net::Socket;
  if (this->Open && this->ChecksFirst &&
      this->Socket.poll(Poco::Timespan(0), Socket::SELECT_READ))
    this->Open = false;
  Got.SentAt = std::chrono::steady_clock::now();
  if (!this->Open && !this->connect())
    return;
  this->Open = false;
  Got.LocalAddress = this->Socket.address().toString();
  Got.EarlierRequests = this->RequestCount++;
  try {
    this->Socket.sendBytes(Request.data(), static_cast<int>(Request.size()),
                           MSG_NOSIGNAL);
    this->readResponse(Got);
  } catch (const Poco::TimeoutException &) {
    Got.End = CallEnd::TimedOut;
    Got.EndedAt = std::chrono::steady_clock::now();
  } catch (const Poco::Exception &) {
    Got.End = CallEnd::Reset;
    Got.EndedAt = std::chrono::steady_clock::now();
  }
}

void KeepAliveConnection::readResponse(CallerResult &Got) {
  std::string In;
  std::array<char, 4096> Buffer{};
  std::optional<BodyDecoder> Body;
  bool Keeps = false;
  while (!Body || !Body->complete()) {
    const int Count = this->Socket.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0) {
      Got.EndedAt = std::chrono::steady_clock::now();
      Got.End = resetFollows(this->Socket) ? CallEnd::Reset : CallEnd::Closed;
      return;
    }
    In.append(Buffer.data(), static_cast<std::size_t>(Count));
    const std::size_t Length = Body ? 0 : headLength(In);
    if (Length > 0) {
      const auto Head = parseResponseHead(In.substr(0, Length));
      Got.End = CallEnd::Closed;
      if (!Head)
        return;
      Got.Status = Head->Status;
      Keeps = isKeepAlive(*Head);
      Body.emplace(responseBodyLength(*Head, "GET").value());
      In.erase(0, Length);
    }
    if (Body)
      In.erase(0, Body->feed(In, Got.Body));
  }
  Got.EndedAt = std::chrono::steady_clock::now();
  Got.End = CallEnd::Complete;
  this->Open = Keeps;
}

} // namespace parsleywing::test
