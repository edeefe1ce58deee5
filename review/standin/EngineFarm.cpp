#include "EngineFarm.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int TickMs = 5;

std::string fieldOf(const std::string &Head, const std::string &Name) {
  const auto Begin = Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return {};
  const auto First = Begin + Name.size() + 4;
  return Head.substr(First, Head.find("\r\n", First) - First);
}

bool sendAll(int Descriptor, const std::string &Bytes) {
  return ::send(Descriptor, Bytes.data(), Bytes.size(),
                MSG_NOSIGNAL | MSG_DONTWAIT) ==
         static_cast<ssize_t>(Bytes.size());
}

} // namespace

EngineFarm::~EngineFarm() {
  this->Stopping = true;
  if (this->Worker.joinable())
    this->Worker.join();
}

void EngineFarm::add(const std::string &Id, const std::string &Ip) {
  this->Listeners.push_back({listenOn(Ip, figures::RunnerPort), Id, Ip, 0, {}});
}

void EngineFarm::start() {
  this->Worker = std::thread([this] { this->run(); });
}

std::string EngineFarm::runnerOf(const std::string &RequestId) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->RunBy.find(RequestId);
  return Found == this->RunBy.end() ? std::string() : Found->second;
}

void EngineFarm::run() {
  while (!this->Stopping) {
    std::vector<pollfd> Polled;
    for (const Listener &Each : this->Listeners)
      Polled.push_back({Each.Descriptor, POLLIN, 0});
    for (const Peer &Each : this->Peers)
      Polled.push_back({Each.Descriptor, POLLIN, 0});
    ::poll(Polled.data(), Polled.size(), TickMs);
    const std::size_t Known = this->Peers.size();
    for (std::size_t I = 0; I < Known; ++I)
      if (Polled[this->Listeners.size() + I].revents != 0)
        receive(this->Peers[I]);
    for (std::size_t I = 0; I < this->Listeners.size(); ++I)
      if (Polled[I].revents != 0)
        this->acceptAll(this->Listeners[I]);
    for (Peer &Each : this->Peers) {
      if (!Each.Ended && Each.RequestId.empty())
        this->begin(Each);
      if (!Each.Ended && !Each.RequestId.empty())
        proceed(Each);
    }
    std::set<std::string> Crashing;
    for (const Peer &Each : this->Peers)
      if (!Each.Ended && Each.IsDeadly && Each.Sent > 0)
        Crashing.insert(Each.Runner);
    const int Wanted = this->CrashWanted.exchange(-1);
    for (std::size_t I = 0; I < this->Listeners.size(); ++I)
      if (Crashing.contains(this->Listeners[I].Runner) ||
          Wanted == static_cast<int>(I))
        this->crashRunner(I);
    this->restartRunners();
    std::erase_if(this->Peers, [](const Peer &Each) {
      if (Each.Ended)
        ::close(Each.Descriptor);
      return Each.Ended;
    });
  }
}

/// A process that ends: its port is closed, and its connections are reset.
void EngineFarm::crashRunner(std::size_t Index) {
  Listener &Crashed = this->Listeners[Index];
  if (Crashed.Descriptor < 0)
    return;
  ::close(std::exchange(Crashed.Descriptor, -1));
  Crashed.BackAt = Clock::now() + DownTime;
  for (Peer &Each : this->Peers)
    if (Each.Runner == Crashed.Runner) {
      const linger Linger{1, 0};
      ::setsockopt(Each.Descriptor, SOL_SOCKET, SO_LINGER, &Linger,
                   sizeof(Linger));
      Each.Ended = true;
    }
  if (this->OnCrash)
    this->OnCrash(Index, Crashed.Runner);
}

void EngineFarm::restartRunners() {
  for (std::size_t I = 0; I < this->Listeners.size(); ++I) {
    Listener &Each = this->Listeners[I];
    if (Each.Descriptor >= 0 || Clock::now() < Each.BackAt)
      continue;
    Each.Descriptor = listenOn(Each.Ip, figures::RunnerPort);
    Each.Runner =
        Each.Runner.substr(0, 5) + "-" + std::to_string(++Each.Starts);
    if (this->OnBack)
      this->OnBack(I, Each.Runner);
  }
}

void EngineFarm::acceptAll(const Listener &From) {
  if (From.Descriptor < 0)
    return;
  while (true) {
    const int Accepted = ::accept4(From.Descriptor, nullptr, nullptr,
                                   SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (Accepted < 0)
      return;
    Peer New;
    New.Descriptor = Accepted;
    New.Runner = From.Runner;
    this->Peers.push_back(std::move(New));
  }
}

void EngineFarm::receive(Peer &From) {
  std::array<char, 4096> Buffer{};
  const ssize_t Count =
      ::recv(From.Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Count <= 0)
    From.Ended = true;
  else
    From.Input.append(Buffer.data(), static_cast<std::size_t>(Count));
}

void EngineFarm::begin(Peer &From) {
  const auto End = From.Input.find("\r\n\r\n");
  if (End == std::string::npos)
    return;
  const std::string Head = From.Input.substr(0, End + 2);
  const auto Size = End + 4 +
                    static_cast<std::size_t>(
                        std::atoi(fieldOf(Head, "Content-Length").c_str()));
  if (From.Input.size() < Size)
    return;
  From.Input.erase(0, Size);
  if (Head.find(" /parsleywing/kv-list ") != std::string::npos) {
    constexpr int Ok = 200;
    From.Ended = !sendAll(From.Descriptor,
                          response(Ok, "Content-Type: application/json\r\n",
                                   R"({"epoch":1,"next":1,"held":[]})"));
    return;
  }
  if (fieldOf(Head, "Expect-Instance") != From.Runner) {
    constexpr int Misdirected = 421;
    From.Ended = !sendAll(
        From.Descriptor,
        response(Misdirected, "Instance-Id: " + From.Runner + "\r\n", ""));
    return;
  }
  From.RequestId = fieldOf(Head, "Request-Id");
  From.IsDeadly =
      !this->DeadlyPart.empty() &&
      fieldOf(Head, "Prefix-Hash").find(this->DeadlyPart) != std::string::npos;
  From.Events = std::atoi(fieldOf(Head, "Length-Hint").c_str());
  From.Sent = -1;
  From.NextAt = Clock::now() + PrefillTime;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->RunBy[From.RequestId] = From.Runner;
}

void EngineFarm::proceed(Peer &To) {
  if (Clock::now() < To.NextAt)
    return;
  if (To.Sent < 0) {
    To.Ended = !sendAll(To.Descriptor,
                        "HTTP/1.1 200 OK\r\nRequest-Id: " + To.RequestId +
                            "\r\nResponse-Seal: seal." + To.RequestId +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Keep-Alive: timeout=30\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
  } else {
    const std::string Event = "id: " + std::to_string(To.Sent + 1) +
                              "\ndata: " + To.RequestId + std::string(30, '.') +
                              "\n\n";
    std::ostringstream Chunk;
    Chunk << std::hex << Event.size() << "\r\n" << Event << "\r\n";
    const bool IsLast = To.Sent + 1 == To.Events;
    To.Ended =
        !sendAll(To.Descriptor, Chunk.str() + (IsLast ? "0\r\n\r\n" : ""));
    if (IsLast)
      To.RequestId.clear();
  }
  ++To.Sent;
  To.NextAt += EventInterval;
}

} // namespace review
