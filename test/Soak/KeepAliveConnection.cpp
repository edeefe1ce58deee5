#include "Soak/KeepAliveConnection.h"

#include "Http/BodyDecoder.h"

#include <Poco/Exception.h>
#include <array>
#include <optional>
#include <poll.h>
#include <sys/socket.h>

namespace parsleywing::test {

namespace {

constexpr long ResponseTimeoutSeconds = 4;
/// Longer than a router may be frozen or keep a closed connection.
constexpr int ResetTimeoutMs = 2500;

/// Whether a reset follows the end of the connection. Reading the end does not
/// report a reset that crosses it on the network; the system keeps the reset as
/// the error of the socket.
bool resetFollows(const Poco::Net::StreamSocket &Socket) {
  pollfd Descriptor{Socket.impl()->sockfd(), 0, 0};
  return ::poll(&Descriptor, 1, ResetTimeoutMs) > 0;
}

} // namespace

bool KeepAliveConnection::connect() {
  this->RequestCount = 0;
  this->Socket = Poco::Net::StreamSocket();
  try {
    this->Socket.connect(Poco::Net::SocketAddress(this->Address),
                         Poco::Timespan(1, 0));
    this->Socket.setReceiveTimeout(Poco::Timespan(ResponseTimeoutSeconds, 0));
    this->Socket.setNoDelay(true);
  } catch (const Poco::Exception &) {
    // The router is not listening at the moment.
    return false;
  }
  return true;
}

void KeepAliveConnection::exchange(const std::string &Request,
                                   CallerResult &Result,
                                   std::size_t LeavesAfter) {
  using Poco::Net::Socket;
  if (this->Open && this->ChecksFirst &&
      this->Socket.poll(Poco::Timespan(0), Socket::SELECT_READ))
    this->Open = false;
  Result.SentAt = std::chrono::steady_clock::now();
  if (!this->Open && !this->connect())
    return;
  this->Open = false;
  Result.LocalAddress = this->Socket.address().toString();
  Result.EarlierRequests = this->RequestCount++;
  try {
    this->Socket.sendBytes(Request.data(), static_cast<int>(Request.size()),
                           MSG_NOSIGNAL);
    this->readResponse(Result, LeavesAfter);
  } catch (const Poco::TimeoutException &) {
    Result.End = CallEnd::TimedOut;
    Result.EndedAt = std::chrono::steady_clock::now();
  } catch (const Poco::Exception &) {
    Result.End = CallEnd::Reset;
    Result.EndedAt = std::chrono::steady_clock::now();
  }
}

void KeepAliveConnection::readResponse(CallerResult &Result,
                                       std::size_t LeavesAfter) {
  std::string Input;
  std::array<char, 4096> Buffer{};
  std::optional<BodyDecoder> Body;
  bool KeepAlive = false;
  while (!Body || !Body->complete()) {
    const int Count = this->Socket.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0) {
      Result.EndedAt = std::chrono::steady_clock::now();
      Result.End =
          resetFollows(this->Socket) ? CallEnd::Reset : CallEnd::Closed;
      return;
    }
    Input.append(Buffer.data(), static_cast<std::size_t>(Count));
    const std::size_t Length = Body ? 0 : headLength(Input);
    if (Length > 0) {
      const auto Head = parseResponseHead(Input.substr(0, Length));
      Result.End = CallEnd::Closed;
      if (!Head)
        return;
      Result.Status = Head->Status;
      KeepAlive = isKeepAlive(*Head);
      Body.emplace(responseBodyLength(*Head, "GET").value());
      Input.erase(0, Length);
    }
    if (Body)
      Input.erase(0, Body->feed(Input, Result.Body));
    if (LeavesAfter > 0 && Result.Body.size() >= LeavesAfter) {
      Result.EndedAt = std::chrono::steady_clock::now();
      Result.End = CallEnd::Left;
      // Routers that were started meanwhile have inherited the descriptor.
      ::shutdown(this->Socket.impl()->sockfd(), SHUT_RDWR);
      this->Socket.close();
      return;
    }
  }
  Result.EndedAt = std::chrono::steady_clock::now();
  Result.End = CallEnd::Complete;
  this->Open = KeepAlive;
}

} // namespace parsleywing::test
