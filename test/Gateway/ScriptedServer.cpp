#include "Gateway/ScriptedServer.h"

#include "FreeAddress.h"
#include "Http/BodyDecoder.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <array>
#include <sys/socket.h>
#include <utility>

namespace parsleywing::test {

namespace {

constexpr long PollMicroseconds = 50'000;

} // namespace

ScriptedServer::ScriptedServer(Script S, Script Early)
    : Respond(std::move(S)), RespondEarly(std::move(Early)),
      ListenAddress(freeLoopbackAddress()) {
  this->listen();
  this->Acceptor = std::thread([this] { this->accept(); });
}

ScriptedServer::~ScriptedServer() {
  this->Stopping = true;
  this->Acceptor.join();
  for (std::thread &Each : this->Workers)
    Each.join();
}

std::vector<std::string> ScriptedServer::requests() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Requests;
}

void ScriptedServer::crash(std::chrono::milliseconds Downtime) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->DownUntil)
    return;
  ++this->Crashes;
  this->DownUntil = std::chrono::steady_clock::now() + Downtime;
  // Pending connection attempts fail at once.
  ::shutdown(this->Listening.impl()->sockfd(), SHUT_RDWR);
  for (const Poco::Net::StreamSocket &Each : this->OpenConnections)
    ::shutdown(Each.impl()->sockfd(), SHUT_RDWR);
  this->OpenConnections.clear();
}

void ScriptedServer::accept() {
  while (!this->Stopping) {
    this->waitForRestart();
    try {
      if (this->Listening.poll(Poco::Timespan(PollMicroseconds),
                               Poco::Net::Socket::SELECT_READ))
        this->startWorker(this->Listening.acceptConnection());
    } catch (const Poco::Exception &) {
      // The listening socket was shut down by `crash`.
    }
  }
}

void ScriptedServer::listen() {
  this->Listening.bind(this->ListenAddress, true, false);
  this->Listening.listen();
}

void ScriptedServer::waitForRestart() {
  std::optional<std::chrono::steady_clock::time_point> RestartAt;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    RestartAt = this->DownUntil;
  }
  if (!RestartAt)
    return;
  this->Listening.close();
  while (!this->Stopping && std::chrono::steady_clock::now() < *RestartAt)
    std::this_thread::sleep_for(std::chrono::microseconds(PollMicroseconds));
  if (this->Stopping)
    return;
  this->Listening = Poco::Net::ServerSocket();
  this->listen();
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->DownUntil.reset();
}

void ScriptedServer::startWorker(const Poco::Net::StreamSocket &Connection) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->DownUntil)
      return;
    this->OpenConnections.push_back(Connection);
  }
  this->Workers.emplace_back([this, Connection] {
    try {
      this->serve(Connection);
    } catch (const Poco::Exception &) {
      // The router has closed the connection, which the test notices itself.
    }
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    std::erase(this->OpenConnections, Connection);
  });
}

void ScriptedServer::serve(Poco::Net::StreamSocket Connection) {
  std::string Input;
  std::array<char, 4096> Buffer{};
  bool AskedEarly = false;
  while (!this->Stopping) {
    const std::size_t Length = headLength(Input);
    if (Length > 0) {
      const auto Head = parseRequestHead(Input.substr(0, Length));
      BodyDecoder Body(requestBodyLength(*Head).value());
      std::string Payload;
      const std::size_t Used = Body.feed(Input.substr(Length), Payload);
      if (Body.complete()) {
        const std::string Request = Input.substr(0, Length) + Payload;
        Input.erase(0, Length + Used);
        AskedEarly = false;
        {
          const std::lock_guard<std::mutex> Lock(this->Mutex);
          this->Requests.push_back(Request);
        }
        if (!this->Respond(Connection, Request))
          return;
        continue;
      }
      if (this->RespondEarly && !std::exchange(AskedEarly, true) &&
          this->RespondEarly(Connection, Input.substr(0, Length)))
        return;
    }
    if (!Connection.poll(Poco::Timespan(PollMicroseconds),
                         Poco::Net::Socket::SELECT_READ))
      continue;
    const int Count = Connection.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0)
      return;
    Input.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
}

void sendText(Poco::Net::StreamSocket &Connection, const std::string &Text) {
  std::size_t Sent = 0;
  while (Sent < Text.size())
    Sent += static_cast<std::size_t>(Connection.sendBytes(
        Text.data() + Sent, static_cast<int>(Text.size() - Sent)));
}

void resetNow(const Poco::Net::StreamSocket &Connection) {
  ::sockaddr Nobody{};
  Nobody.sa_family = AF_UNSPEC;
  static_cast<void>(
      ::connect(Connection.impl()->sockfd(), &Nobody, sizeof(Nobody)));
}

std::string fieldOf(const std::string &Text, const std::string &Name) {
  const std::string Start = "\r\n" + Name + ": ";
  const std::size_t At = Text.find(Start);
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Start.size();
  return Text.substr(Begin, Text.find("\r\n", Begin) - Begin);
}

} // namespace parsleywing::test
