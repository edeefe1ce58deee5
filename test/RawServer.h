#ifndef PARSLEYWING_TEST_RAWSERVER_H
#define PARSLEYWING_TEST_RAWSERVER_H

#include "Http/BodyDecoder.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace parsleywing::test {

/// How a raw server ends a connection.
enum class RawEnd {
  Reset,
  /// An orderly end that a reset follows, since the peer goes on sending.
  OrderlyThenReset,
  KeptOpen, ///< The next request is read on the same connection.
};

/// What a raw server sends for one request, and what it reads meanwhile.
struct RawAnswer {
  static constexpr std::size_t WholeRequest =
      std::numeric_limits<std::size_t>::max();

  /// Sent exactly as it is.
  std::string Bytes;
  RawEnd End = RawEnd::Reset;
  /// The bytes of the request that are read before the answer is sent, at least
  /// its head, and before the connection is ended.
  std::size_t ReadBefore = 0;
  std::size_t ReadInTotal = 0;
  /// How long the server waits before it ends the connection.
  std::chrono::milliseconds Pause{0};
  /// How long it works before it answers.
  std::chrono::milliseconds WorkTime{0};
};

/// A server that answers before it has read a request and ends connections at
/// any point, as the test says for each request.
class RawServer {
public:
  /// Called with the head of a request and the number of requests before it on
  /// its connection.
  using Script = std::function<RawAnswer(const std::string &Head,
                                         std::size_t EarlierOnConnection)>;

  explicit RawServer(Script S)
      : Respond(std::move(S)),
        Listening(Poco::Net::SocketAddress("127.0.0.1", 0)) {
    // With a small buffer, a long upload is still being written while the
    // answer is sent.
    this->Listening.setReceiveBufferSize(ReceiveBufferBytes);
    this->Acceptor = std::thread([this] { this->accept(); });
  }

  ~RawServer() {
    this->Stopping = true;
    this->Acceptor.join();
    for (std::thread &Each : this->Workers)
      Each.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::string address() const { return this->Listening.address().toString(); }
  /// The number of requests whose heads have been read.
  std::size_t received() const { return this->Received; }
  /// The number of requests that were read on a connection behind another one.
  std::size_t receivedOnKept() const { return this->ReceivedOnKept; }

private:
  static constexpr int ReceiveBufferBytes = 4096;
  static constexpr long PollMicroseconds = 10'000;

  void accept() {
    while (!this->Stopping) {
      if (!this->Listening.poll(Poco::Timespan(PollMicroseconds),
                                Poco::Net::Socket::SELECT_READ))
        continue;
      this->Workers.emplace_back(
          [this, Connection = this->Listening.acceptConnection()]() mutable {
            try {
              this->serve(Connection);
            } catch (const Poco::Exception &) {
              // The peer has ended the connection.
            }
          });
    }
  }

  void serve(Poco::Net::StreamSocket &Connection) {
    std::string Input;
    for (std::size_t Earlier = 0;; ++Earlier) {
      if (!this->readUntil(Connection, Input, 0))
        return;
      const std::string Head = Input.substr(0, headLength(Input));
      ++this->Received;
      this->ReceivedOnKept += Earlier > 0 ? 1 : 0;
      const RawAnswer Answer = this->Respond(Head, Earlier);
      this->readUntil(Connection, Input, Answer.ReadBefore);
      std::this_thread::sleep_for(Answer.WorkTime);
      std::size_t Sent = 0;
      while (Sent < Answer.Bytes.size())
        Sent += static_cast<std::size_t>(
            Connection.sendBytes(Answer.Bytes.data() + Sent,
                                 static_cast<int>(Answer.Bytes.size() - Sent)));
      this->readUntil(Connection, Input, Answer.ReadInTotal);
      std::this_thread::sleep_for(Answer.Pause);
      if (Answer.End != RawEnd::KeptOpen) {
        end(Connection, Answer.End);
        return;
      }
      this->readUntil(Connection, Input, RawAnswer::WholeRequest);
      Input.erase(0, requestLength(Input));
    }
  }

  static void end(Poco::Net::StreamSocket &Connection, RawEnd End) {
    if (End == RawEnd::Reset)
      Connection.setLinger(true, 0);
    if (End == RawEnd::OrderlyThenReset) {
      constexpr auto UntilTheEndIsRead = std::chrono::milliseconds(20);
      Connection.shutdownSend();
      std::this_thread::sleep_for(UntilTheEndIsRead);
      Connection.setLinger(true, 0);
    }
    Connection.close();
  }

  /// The length of the request at the start of the input; 0 if its head is not
  /// complete.
  static std::size_t requestLength(const std::string &Input) {
    const std::size_t Length = headLength(Input);
    if (Length == 0)
      return 0;
    const auto Head = parseRequestHead(Input.substr(0, Length));
    return Length + parseDecimal(Head->value("Content-Length")).value_or(0);
  }

  /// Reads at least this many bytes of the request, and its head. Returns
  /// false if the connection or the server ends before.
  bool readUntil(Poco::Net::StreamSocket &Connection, std::string &Input,
                 std::size_t Wanted) {
    std::array<char, ReceiveBufferBytes> Buffer{};
    while (true) {
      const std::size_t Length = requestLength(Input);
      if (Length > 0 && Input.size() >= std::min(Wanted, Length))
        return true;
      if (this->Stopping)
        return false;
      if (!Connection.poll(Poco::Timespan(PollMicroseconds),
                           Poco::Net::Socket::SELECT_READ))
        continue;
      const int Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
      if (Count <= 0)
        return false;
      Input.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }

  Script Respond;
  Poco::Net::ServerSocket Listening;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Received{0};
  std::atomic<std::size_t> ReceivedOnKept{0};
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

} // namespace parsleywing::test

#endif
