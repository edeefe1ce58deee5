#include "Gateway/HistoryCaller.h"

#include "Http/BodyDecoder.h"

#include <Poco/Exception.h>
#include <array>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

/// A response that takes longer than this past the request's time is missing.
constexpr auto ReceiveMargin = 2s;

std::string requestText(int Number, const std::string &Route) {
  const std::string Id = "r" + std::to_string(Number);
  return "GET /" + Route + "/" + Id +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: " + std::to_string(HistoryCaller::Timeout.count()) +
         "\r\nAuthorization: Token key\r\n\r\n";
}

} // namespace

void HistoryCaller::call(Poco::Net::StreamSocket Connection) {
  try {
    sendText(Connection, requestText(this->Number, this->Route));
    this->SentAt = std::chrono::steady_clock::now();
    this->receive(Connection);
  } catch (const Poco::Exception &) {
    // The connection was reset, which ends an incomplete response.
  }
  this->EndedAt = std::chrono::steady_clock::now();
  Connection.close();
}

void HistoryCaller::receive(Poco::Net::StreamSocket &Connection) {
  std::string Received;
  std::array<char, 4096> Buffer{};
  while (!this->Complete && this->waitReadable(Connection)) {
    const int Count =
        Connection.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
    if (Count <= 0)
      return;
    Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    this->parse(Received);
  }
}

bool HistoryCaller::waitReadable(Poco::Net::StreamSocket &Connection) {
  const auto Limit = this->LeavesAfter.value_or(Timeout + ReceiveMargin);
  const auto Remaining = std::chrono::duration_cast<std::chrono::microseconds>(
      this->SentAt + Limit - std::chrono::steady_clock::now());
  if (Remaining > 0us && Connection.poll(Poco::Timespan(0, Remaining.count()),
                                         Poco::Net::Socket::SELECT_READ))
    return true;
  this->Left = this->LeavesAfter.has_value();
  return false;
}

void HistoryCaller::parse(const std::string &Received) {
  const std::size_t Length = headLength(Received);
  if (Length == 0)
    return;
  const auto Head = parseResponseHead(Received.substr(0, Length));
  if (!Head)
    return;
  this->Status = Head->Status;
  BodyDecoder Body(responseBodyLength(*Head, "GET").value());
  this->Payload.clear();
  Body.feed(Received.substr(Length), this->Payload);
  this->Complete = Body.complete();
}

} // namespace parsleywing::test
