#include "Gateway/ReactingServer.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <array>

namespace parsleywing::test {

using namespace std::chrono_literals;

namespace {

/// How often a waiting server looks whether its connection is still open.
constexpr auto PollInterval = 10ms;
constexpr auto EventInterval = 10ms;
/// Longer than any request's time.
constexpr auto MaxSilence = 6s;

/// The connection has been closed by the other side.
struct ConnectionClosed {};

SteadyTime now() { return std::chrono::steady_clock::now(); }

std::string chunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

bool isClosed(Poco::Net::StreamSocket &Connection) {
  char Byte = 0;
  return Connection.receiveBytes(&Byte, 1, MSG_PEEK) <= 0;
}

void waitOpen(Poco::Net::StreamSocket &Connection,
              std::chrono::milliseconds Time) {
  const SteadyTime Until = now() + Time;
  do {
    if (Connection.poll(Poco::Timespan(0, std::chrono::microseconds(
                                              std::min(Time, PollInterval))
                                              .count()),
                        Poco::Net::Socket::SELECT_READ) &&
        isClosed(Connection))
      throw ConnectionClosed();
  } while (now() < Until);
}

void pauseAt(Poco::Net::StreamSocket &Connection, PausePoint Point,
             const ServerArrival &Arrival) {
  if (Arrival.Response.Point == Point)
    waitOpen(Connection, Arrival.Response.Pause);
}

std::string headFor(const std::string &Request, const std::string &Status,
                    const std::string &Fields) {
  return "HTTP/1.1 " + Status +
         "\r\nRequest-Id: " + fieldOf(Request, "Request-Id") +
         "\r\nResponse-Seal: s\r\n" + Fields + "\r\n";
}

bool isStream(const std::string &Request) {
  return Request.find(" /stream/") != std::string::npos ||
         Request.find(" /once/") != std::string::npos;
}

} // namespace

ReactingServer::ReactingServer(ArrivalLog &L, std::size_t N, Plan P)
    : Log(L), Number(N), Reactions(std::move(P)),
      Server([this](Poco::Net::StreamSocket &C, const std::string &R) {
        return this->respond(C, R);
      }) {}

void ReactingServer::crash(std::chrono::milliseconds Downtime) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Crashes.push_back(now());
  }
  this->Server.crash(Downtime);
}

bool ReactingServer::respond(Poco::Net::StreamSocket &Connection,
                             const std::string &Request) {
  const PlannedReaction Planned = this->Reactions(Request);
  ServerArrival Arrival;
  Arrival.RequestId = fieldOf(Request, "Request-Id");
  Arrival.Server = this->Number;
  Arrival.Reaction = Planned.Reaction;
  Arrival.Response = Planned.Response;
  Arrival.Begin = now();
  try {
    this->perform(Connection, Request, Arrival);
  } catch (const Poco::Exception &) {
    Arrival.ClosedEarly = true;
  } catch (const ConnectionClosed &) {
    Arrival.ClosedEarly = true;
  }
  Arrival.End = now();
  Arrival.Crashed = this->crashedDuring(Arrival);
  const bool KeepOpen = !Arrival.ClosedEarly &&
                        Arrival.Reaction != ServerReaction::Disconnect &&
                        Arrival.Reaction != ServerReaction::NeverRespond;
  this->Log.add(std::move(Arrival));
  return KeepOpen;
}

void ReactingServer::freeze(std::chrono::milliseconds Time) {
  this->FrozenUntil = now() + Time;
}

void ReactingServer::sendPart(Poco::Net::StreamSocket &Connection,
                              const std::string &Text,
                              ServerArrival &Arrival) const {
  waitOpen(Connection, 0ms);
  while (now() < this->FrozenUntil.load())
    waitOpen(Connection, PollInterval);
  Arrival.Sent.push_back(now());
  sendText(Connection, Text);
}

bool ReactingServer::crashedDuring(const ServerArrival &Arrival) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return std::ranges::any_of(this->Crashes, [&Arrival](SteadyTime Each) {
    return Each >= Arrival.Begin && Each <= Arrival.End;
  });
}

void ReactingServer::perform(Poco::Net::StreamSocket &Connection,
                             const std::string &Request,
                             ServerArrival &Arrival) const {
  switch (Arrival.Reaction) {
  case ServerReaction::Reject:
    waitOpen(Connection, Arrival.Response.Pause);
    this->sendPart(Connection, RejectedResponse, Arrival);
    return;
  case ServerReaction::Fail:
    waitOpen(Connection, Arrival.Response.Pause);
    this->sendPart(Connection,
                   headFor(Request, "500 Error", "Content-Length: 0\r\n"),
                   Arrival);
    return;
  case ServerReaction::NeverRespond:
    waitOpen(Connection, MaxSilence);
    return;
  case ServerReaction::Serve:
  case ServerReaction::Pause:
  case ServerReaction::Disconnect:
    break;
  }
  if (isStream(Request)) {
    this->sendStream(Connection, Request, Arrival);
    return;
  }
  waitOpen(Connection, std::max<std::chrono::milliseconds>(
                           Arrival.Response.Pause, EventInterval));
  if (Arrival.Reaction == ServerReaction::Disconnect)
    return;
  this->sendPart(Connection,
                 headFor(Request, "200 OK", "Content-Length: 2\r\n"), Arrival);
  this->sendPart(Connection, "ok", Arrival);
  Arrival.Events.push_back(now());
}

void ReactingServer::sendStream(Poco::Net::StreamSocket &Connection,
                                const std::string &Request,
                                ServerArrival &Arrival) const {
  const std::string LastId = fieldOf(Request, "Last-Event-Id");
  const int First = LastId.empty() ? 1 : std::stoi(LastId) + 1;
  pauseAt(Connection, PausePoint::BeforeHead, Arrival);
  this->sendPart(Connection,
                 headFor(Request, "200 OK",
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n"),
                 Arrival);
  pauseAt(Connection, PausePoint::AfterHead, Arrival);
  const int Middle = (First + Arrival.Response.Events) / 2;
  for (int Each = First; Each <= Arrival.Response.Events; ++Each) {
    if (Each == Middle)
      pauseAt(Connection, PausePoint::BetweenEvents, Arrival);
    if (Each == Middle && Arrival.Reaction == ServerReaction::Disconnect)
      return;
    this->sendEvent(Connection, Each, Arrival);
    waitOpen(Connection, EventInterval);
  }
  this->sendPart(Connection, "0\r\n\r\n", Arrival);
}

void ReactingServer::sendEvent(Poco::Net::StreamSocket &Connection, int EventId,
                               ServerArrival &Arrival) const {
  const std::string Text =
      "id: " + std::to_string(EventId) + "\ndata: " + this->Version + "\n\n";
  const bool Divided = Arrival.Response.Point == PausePoint::InsideEvent &&
                       Arrival.Events.empty();
  const std::size_t Part = Divided ? 4 : 0;
  if (Divided) {
    this->sendPart(Connection, chunk(Text.substr(0, Part)), Arrival);
    pauseAt(Connection, PausePoint::InsideEvent, Arrival);
  }
  this->sendPart(Connection, chunk(Text.substr(Part)), Arrival);
  Arrival.Events.push_back(now());
}

} // namespace parsleywing::test
