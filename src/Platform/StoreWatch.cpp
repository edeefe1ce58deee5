#include "Platform/StoreWatch.h"

#include "Platform/Backoff.h"
#include "Platform/StoreCodec.h"
#include "Platform/TimedSocket.h"

#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <istream>

namespace parsleywing {

using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr Duration InitialRetryDelay = std::chrono::milliseconds(100);
constexpr Duration MaxRetryDelay = std::chrono::seconds(5);
/// Maximum size of one message, or of the head.
constexpr std::uint64_t MaxMessageBytes = 16U << 20U;

std::vector<StoreChange> changesOf(const Object &Message) {
  std::vector<StoreChange> Changes;
  const Object::Ptr Inner = Message.getObject("result");
  const Array::Ptr Events = Inner ? Inner->getArray("events") : Array::Ptr();
  for (unsigned Index = 0; Events && Index < Events->size(); ++Index) {
    const Object::Ptr Event = Events->getObject(Index);
    StoreChange Change;
    Change.Deleted = Event->optValue("type", std::string()) == "DELETE";
    Change.Entry = internal::decodeEntry(*Event->getObject("kv"));
    Changes.push_back(std::move(Change));
  }
  return Changes;
}

std::string createRequest(const std::string &Prefix) {
  Object Create;
  Create.set("key", internal::toBase64(Prefix));
  Create.set("range_end", internal::toBase64(prefixRangeEnd(Prefix)));
  Object Message;
  Message.set("create_request", Create);
  return internal::stringify(Message);
}

} // namespace

StoreWatch::StoreWatch(StoreSettings S, std::shared_ptr<StoreBudget> B, Clock C,
                       Options O, ChangeHandler R)
    : Settings(std::move(S)), Budget(std::move(B)), Time(std::move(C)),
      WatchOptions(std::move(O)), OnChanges(std::move(R)),
      Worker([this] { this->run(); }) {}

StoreWatch::~StoreWatch() {
  this->Stopping = true;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    try {
      if (this->ActiveSession != nullptr)
        this->ActiveSession->socket().shutdown();
    } catch (const Poco::Exception &) {
      // The socket is already closed.
    }
  }
  this->Wakeup.notify_all();
  this->Worker.join();
}

void StoreWatch::waitOrStop(Duration Wait) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->Wakeup.wait_for(Lock, Wait, [this] { return this->Stopping.load(); });
}

void StoreWatch::run() {
  Backoff RetryBackoff(InitialRetryDelay, MaxRetryDelay,
                       this->WatchOptions.Seed);
  while (!this->Stopping) {
    const Duration Wait =
        this->Budget->tryAcquire(StoreCall::Watch, this->Time.now());
    if (Wait > Duration::zero()) {
      this->waitOrStop(Wait);
      continue;
    }
    if (this->watchOnce())
      RetryBackoff.reset();
    this->waitOrStop(RetryBackoff.nextDelay());
  }
}

bool StoreWatch::watchOnce() {
  bool Started = false;
  try {
    const Poco::Net::SocketAddress Address(this->Settings.Address);
    auto *const Timed = new internal::TimedSocket(this->Time);
    Poco::Net::StreamSocket Socket(Timed);
    Socket.connect(Address, Poco::Timespan(this->Settings.CallTimeout.count()));
    HTTPClientSession Session(Socket);
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      if (this->Stopping)
        return false;
      this->ActiveSession = &Session;
    }
    try {
      const std::string Body = createRequest(this->WatchOptions.Prefix);
      HTTPRequest Request(HTTPRequest::HTTP_POST, "/v3/watch",
                          HTTPRequest::HTTP_1_1);
      Request.setHost(this->Settings.Address);
      Request.setContentType("application/json");
      Request.setContentLength(static_cast<std::streamsize>(Body.size()));
      this->startMessage(*Timed);
      Timed->expectResponse(Request.getMethod());
      Session.sendRequest(Request) << Body << std::flush;
      HTTPResponse Response;
      std::istream &In = Session.receiveResponse(Response);
      Started = Response.getStatus() == HTTPResponse::HTTP_OK;
      if (Started)
        this->readChanges(*Timed, In);
    } catch (const Poco::Exception &) {
      // The watch has ended. The next one reports its start, so that the
      // receiver reads the current state again.
    }
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ActiveSession = nullptr;
  } catch (const Poco::Exception &) {
    return false;
  }
  return Started;
}

/// Sets the limits for the next message.
void StoreWatch::startMessage(internal::TimedSocket &Socket) const {
  Socket.Deadline = this->Time.now() + this->WatchOptions.SilenceTimeout;
  Socket.MaxReceived = Socket.Received + MaxMessageBytes;
}

void StoreWatch::readChanges(internal::TimedSocket &Socket, std::istream &In) {
  std::string Line;
  while (!this->Stopping) {
    this->startMessage(Socket);
    if (!std::getline(In, Line))
      return;
    const auto Message = internal::parseMessage(Line);
    if (!Message)
      return;
    try {
      this->OnChanges(changesOf(**Message));
    } catch (const Poco::Exception &) {
      return;
    }
  }
}

} // namespace parsleywing
