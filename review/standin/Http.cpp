#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int Backlog = 512;
constexpr std::size_t ReadBytes = 65536;

sockaddr_in addressOf(const std::string &Address, int Port) {
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Address.c_str(), &Endpoint.sin_addr);
  return Endpoint;
}

std::string trimmed(std::string_view Text) {
  const auto First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return std::string(
      Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1));
}

std::string lowered(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Each) {
    return static_cast<char>(std::tolower(Each));
  });
  return Text;
}

} // namespace

std::string Message::field(const std::string &Name) const {
  const auto Found = this->Fields.find(Name);
  return Found == this->Fields.end() ? std::string() : Found->second;
}

std::string Message::target() const {
  const auto First = this->Start.find(' ');
  if (First == std::string::npos)
    return {};
  const auto Last = this->Start.find(' ', First + 1);
  return this->Start.substr(First + 1, Last - First - 1);
}

std::string Message::method() const {
  return this->Start.substr(0, this->Start.find(' '));
}

int Message::status() const { return std::atoi(this->target().c_str()); }

Connection::~Connection() { this->close(); }

int Connection::connectTo(const std::string &Address, int Port) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Endpoint = addressOf(Address, Port);
  if (Descriptor >= 0 &&
      ::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
                sizeof(Endpoint)) == 0)
    return Descriptor;
  if (Descriptor >= 0)
    ::close(Descriptor);
  return -1;
}

void Connection::setTimeout(std::chrono::milliseconds Limit) const {
  timeval Time{};
  Time.tv_sec = Limit.count() / 1000;
  Time.tv_usec = (Limit.count() % 1000) * 1000;
  ::setsockopt(this->Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
}

bool Connection::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const ssize_t Count =
        ::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Count));
  }
  return true;
}

bool Connection::receiveMore() {
  std::array<char, ReadBytes> Buffer{};
  const ssize_t Count = ::recv(this->Socket, Buffer.data(), Buffer.size(), 0);
  if (Count <= 0)
    return false;
  this->Input.append(Buffer.data(), static_cast<std::size_t>(Count));
  return true;
}

bool Connection::receiveLine(std::string &Line) {
  std::size_t End = 0;
  while ((End = this->Input.find("\r\n")) == std::string::npos)
    if (!this->receiveMore())
      return false;
  Line = this->Input.substr(0, End);
  this->Input.erase(0, End + 2);
  return true;
}

bool Connection::receiveBytes(std::size_t Count, std::string &Into) {
  while (this->Input.size() < Count)
    if (!this->receiveMore())
      return false;
  Into.append(this->Input, 0, Count);
  this->Input.erase(0, Count);
  return true;
}

bool Connection::receive(Message &Into) {
  Into = {};
  if (!this->receiveLine(Into.Start))
    return false;
  for (std::string Line; this->receiveLine(Line);) {
    if (Line.empty())
      break;
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    Into.Fields[lowered(Line.substr(0, Colon))] =
        trimmed(std::string_view(Line).substr(Colon + 1));
  }
  if (lowered(Into.field("transfer-encoding")) == "chunked") {
    std::string Line;
    while (this->receiveLine(Line)) {
      const auto Size = std::strtoul(Line.c_str(), nullptr, 16);
      if (!this->receiveBytes(Size, Into.Body) || !this->receiveLine(Line))
        return false;
      if (Size == 0)
        return true;
    }
    return false;
  }
  const std::string Length = Into.field("content-length");
  return Length.empty() ||
         this->receiveBytes(std::strtoul(Length.c_str(), nullptr, 10),
                            Into.Body);
}

bool Connection::peerLeft() const {
  char Byte = 0;
  const ssize_t Count = ::recv(this->Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::close() {
  if (this->Socket >= 0)
    ::close(std::exchange(this->Socket, -1));
}

void Connection::reset() {
  const linger Linger{1, 0};
  ::setsockopt(this->Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
  this->close();
}

struct Server::State {
  int Listening = -1;
  Handler OnConnection;
  std::mutex Mutex;
  bool Stopped = false;
  std::set<int> Open;
};

int listenOn(const std::string &Address, int Port) {
  const int Listening =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int Yes = 1;
  ::setsockopt(Listening, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof(Yes));
  const sockaddr_in Endpoint = addressOf(Address, Port);
  if (::bind(Listening, reinterpret_cast<const sockaddr *>(&Endpoint),
             sizeof(Endpoint)) != 0 ||
      ::listen(Listening, Backlog) != 0) {
    std::perror(("cannot listen on " + Address).c_str());
    std::_Exit(2);
  }
  return Listening;
}

int beginConnect(const std::string &Address, int Port) {
  const int Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in Endpoint = addressOf(Address, Port);
  if (Descriptor >= 0 &&
      ::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
                sizeof(Endpoint)) != 0 &&
      errno != EINPROGRESS) {
    ::close(Descriptor);
    return -1;
  }
  return Descriptor;
}

Server::Server(const std::string &Address, int Port, Handler OnConnection)
    : Shared(std::make_shared<State>()) {
  this->Shared->OnConnection = std::move(OnConnection);
  const int Listening = listenOn(Address, Port);
  ::fcntl(Listening, F_SETFL, 0);
  this->Shared->Listening = Listening;
  std::thread([State = this->Shared] {
    while (true) {
      const int Accepted =
          ::accept4(State->Listening, nullptr, nullptr, SOCK_CLOEXEC);
      const std::lock_guard<std::mutex> Lock(State->Mutex);
      if (State->Stopped) {
        if (Accepted >= 0)
          ::close(Accepted);
        return;
      }
      if (Accepted < 0)
        continue;
      const int NoDelay = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &NoDelay,
                   sizeof(NoDelay));
      State->Open.insert(Accepted);
      std::thread([State, Accepted] {
        Connection Peer(Accepted);
        State->OnConnection(Peer);
        const std::lock_guard<std::mutex> Closing(State->Mutex);
        State->Open.erase(Accepted);
        Peer.close();
      }).detach();
    }
  }).detach();
}

Server::~Server() { this->stop(); }

void Server::stop() {
  const std::lock_guard<std::mutex> Lock(this->Shared->Mutex);
  if (std::exchange(this->Shared->Stopped, true))
    return;
  for (const int Each : this->Shared->Open)
    ::shutdown(Each, SHUT_RDWR);
  ::shutdown(this->Shared->Listening, SHUT_RDWR);
  ::close(this->Shared->Listening);
}

std::string percentDecoded(std::string_view Text) {
  constexpr int Hexadecimal = 16;
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size()) {
      const std::string Digits(Text.substr(I + 1, 2));
      Decoded +=
          static_cast<char>(std::strtol(Digits.c_str(), nullptr, Hexadecimal));
      I += 2;
    } else {
      Decoded += Text[I];
    }
  }
  return Decoded;
}

std::map<std::string, std::string> queryOf(const std::string &Target) {
  std::map<std::string, std::string> Parameters;
  const auto Begin = Target.find('?');
  if (Begin == std::string::npos)
    return Parameters;
  std::string_view Rest = std::string_view(Target).substr(Begin + 1);
  while (!Rest.empty()) {
    const auto End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Each = Rest.substr(0, End);
    const auto Equals = std::min(Each.find('='), Each.size());
    Parameters[std::string(Each.substr(0, Equals))] = percentDecoded(
        Equals < Each.size() ? Each.substr(Equals + 1) : std::string_view());
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return Parameters;
}

std::string response(int Status, const std::string &Fields,
                     const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " S\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace review
