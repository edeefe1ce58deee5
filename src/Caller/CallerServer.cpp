#include "Caller/CallerServer.h"

#include "Caller/CallerConnection.h"
#include "Runtime/Log.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace parsleywing {

namespace {

constexpr int IdleThreads = 2;
/// Threads beyond `MaxConnections`, for connections that are just ending.
constexpr int SpareThreads = 16;
constexpr int ListenBacklog = 256;

class ConnectionFactory : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit ConnectionFactory(CallerContext &C) : Context(C) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Accepted) override {
    return new CallerConnection(Accepted, this->Context);
  }

private:
  CallerContext &Context;
};

/// Rejects connections above the limit immediately. POCO would queue them
/// without a response until a thread is free.
class ConnectionLimit : public Poco::Net::TCPServerConnectionFilter {
public:
  explicit ConnectionLimit(CallerContext &C) : Context(C) {}

  bool accept(const Poco::Net::StreamSocket &Accepted) override {
    CallerCounters &Counters = this->Context.Counters;
    const auto Max =
        static_cast<std::uint64_t>(this->Context.Settings.MaxConnections);
    if (Counters.ConnectionsOpen < Max) {
      ++Counters.ConnectionsAccepted;
      ++Counters.ConnectionsOpen;
      return true;
    }
    ++Counters.ConnectionsRefused;
    this->refuse(Accepted);
    return false;
  }

private:
  /// Runs on the accepting thread and must not block: the response fits into
  /// the empty send buffer, and `CallerWatch` closes the connection later.
  void refuse(Poco::Net::StreamSocket Accepted) {
    const CallerSettings &Settings = this->Context.Settings;
    const Problem P{ProblemType::ConnectionLimit,
                    "This router serves as many connections as it may.",
                    RequestOutcome::NotRun, Settings.LimitRetryAfter};
    const std::string Identity = Settings.RouterName + "-" +
                                 this->Context.IncarnationNumber + "-" +
                                 std::to_string(this->Context.NextRequest++);
    this->Context.Counters.countProblem(P.Type);
    this->Context.Counters.countOutcome(P.Outcome);
    const std::string Body = documentOf(P, Identity);
    Poco::Net::HTTPResponse Response;
    Response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    setProblemHeaders(Response, P);
    Response.set("X-Request-Id", Identity);
    Response.setKeepAlive(false);
    Response.setContentLength(static_cast<std::streamsize>(Body.size()));
    std::ostringstream Out;
    Response.write(Out);
    const std::string Message = Out.str() + Body;
    try {
      Accepted.setBlocking(false);
      Accepted.sendBytes(Message.data(), static_cast<int>(Message.size()));
      Accepted.shutdownSend();
      this->Context.Watch.linger(Accepted, Settings.SendTimeout);
    } catch (const Poco::Exception &) {
      // The caller has already disconnected.
    }
  }

  CallerContext &Context;
};

} // namespace

CallerServer::CallerServer(CallerSettings Settings, ControlLoop &Control,
                           std::string IncarnationNumber)
    : Context(std::move(Settings), Control, std::move(IncarnationNumber)),
      Threads(IdleThreads, Context.Settings.MaxConnections + SpareThreads) {}

CallerServer::~CallerServer() {
  this->Context.Stopping = true;
  this->stopAccepting();
  this->Threads.joinAll();
}

Result<void> CallerServer::start() {
  const CallerSettings &Settings = this->Context.Settings;
  try {
    // `false` disables SO_REUSEPORT. Otherwise two routers could listen on the
    // same address and each would get some of the other's callers.
    this->Listener.bind(Poco::Net::SocketAddress(Settings.Address), true,
                        false);
    this->Listener.listen(ListenBacklog);
    auto *Params = new Poco::Net::TCPServerParams; // Owned by the server.
    Params->setMaxThreads(Settings.MaxConnections + SpareThreads);
    Params->setMaxQueued(Settings.MaxConnections + SpareThreads);
    this->Server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(this->Context), this->Threads, this->Listener,
        Params);
    this->Server->setConnectionFilter(new ConnectionLimit(this->Context));
    this->Server->start();
  } catch (const Poco::Exception &Failure) {
    return failure(ErrorCode::InvalidInput, "cannot listen for callers on " +
                                                Settings.Address + ": " +
                                                Failure.displayText());
  }
  log(LogPart::Caller, LogLevel::Info,
      "Listening on " + Settings.Address + ".");
  return {};
}

void CallerServer::stopAccepting() {
  this->Context.Draining = true;
  if (!this->Server || std::exchange(this->Stopped, true))
    return;
  // POCO's `stop` drops accepted connections that have no thread yet, and
  // leaves the socket listening. Therefore shut down the listening socket
  // first, and let each accepted connection get its thread before stopping the
  // server.
  ::shutdown(this->Listener.impl()->sockfd(), SHUT_RD);
  constexpr auto Pause = std::chrono::milliseconds(1);
  while (this->Server->queuedConnections() > 0)
    std::this_thread::sleep_for(Pause);
  this->Server->stop();
  this->Listener.close();
  // The server object must stay alive, since its connections use it.
}

} // namespace parsleywing
