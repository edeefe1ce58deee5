#include "Stream/VersionFleet.h"

#include "FreeAddress.h"
#include "Http/BodyDecoder.h"
#include "Http/EventSplitter.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <thread>

namespace parsleywing::test {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr long ReceiveTimeoutSeconds = 4;
constexpr auto StartTimeout = 20s;

std::string chunk(const std::string &Text) {
  std::array<char, 16> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return Size.data() + Text + "\r\n";
}

std::string eventOf(int Number, const std::string &Version) {
  return "id: " + std::to_string(Number) + "\ndata: " + Version + "\n\n";
}

std::string dataOf(const std::string &Event) {
  const std::string Start = "data: ";
  const std::size_t Begin = Event.find(Start) + Start.size();
  return Event.substr(Begin, Event.find('\n', Begin) - Begin);
}

/// The prompt differs between attempts, so that they are spread over servers.
std::string textOf(const StreamAttempt &Attempt) {
  const std::string Part =
      std::to_string(std::hash<std::string>()(Attempt.RequestId) % 9999);
  std::string Text =
      "GET " + Attempt.Path +
      " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + Attempt.RequestId +
      "\r\nDeadline-Ms: 60000\r\nAuthorization: Token " + Attempt.Key +
      "\r\nToken-Count: 300,60\r\nPrefix-Hash: a" + Part + ":200,b" + Part +
      ":100\r\n";
  if (Attempt.LastId)
    Text += "Last-Event-Id: " + std::to_string(*Attempt.LastId) + "\r\n";
  if (!Attempt.Resumes.empty())
    Text += "Resumes: " + Attempt.Resumes + "\r\n";
  return Text + "\r\n";
}

void addEvents(EventSplitter &Splitter, const std::string &Payload,
               StreamResult &Result) {
  for (const StreamEvent &Each : Splitter.add(Payload)) {
    const int Id = static_cast<int>(Each.Id.value_or(0));
    Result.InOrder = Result.InOrder && Id == Result.LastId + 1;
    Result.LastId = Id;
    Result.Versions.push_back(dataOf(Each.Text));
  }
}

/// Reads a response until it is complete or broken, or the caller leaves.
void readResponse(Poco::Net::StreamSocket &Socket, std::size_t LeavesAfter,
                  StreamResult &Result) {
  std::string Input;
  std::array<char, 4096> Buffer{};
  std::optional<BodyDecoder> Body;
  EventSplitter Splitter;
  while (!Body || !Body->complete()) {
    const int Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
    if (Count <= 0)
      return;
    Input.append(Buffer.data(), static_cast<std::size_t>(Count));
    const std::size_t Length = Body ? 0 : headLength(Input);
    if (Length > 0) {
      const auto Head = parseResponseHead(Input.substr(0, Length));
      if (!Head)
        return;
      Result.Status = Head->Status;
      Result.RetryAfter = Head->value("Retry-After");
      Body.emplace(responseBodyLength(*Head, "GET").value());
      Input.erase(0, Length);
    }
    std::string Payload;
    if (Body)
      Input.erase(0, Body->feed(Input, Payload));
    addEvents(Splitter, Payload, Result);
    if (LeavesAfter > 0 && Result.Versions.size() >= LeavesAfter)
      return;
  }
  Result.Complete = true;
}

} // namespace

std::string StreamResult::describe() const {
  std::string Text = "status " + std::to_string(this->Status) +
                     (this->Complete ? ", complete" : ", cut off") +
                     (this->InOrder ? "" : ", out of order") + ", after " +
                     std::to_string(this->Elapsed.count()) + " ms, events of";
  for (const std::string &Each : this->Versions)
    Text += " " + Each;
  return Text;
}

VersionFleet::VersionFleet(Options O) : Settings(O) {
  this->configure({"engines"});
  for (std::size_t I = 0; I < this->Settings.Routers; ++I) {
    Router New;
    New.Name = "r" + std::to_string(I);
    New.CallerAddress = freeLoopbackAddress();
    New.PeerAddress = freeLoopbackAddress();
    New.StoreLink = std::make_unique<TroubledWay>(this->Store.address());
    New.Settings = this->Folder.write(
        New.Name + ".ini",
        "[gateway]\nname = " + New.Name + "\nzone = a\ncallers = " +
            New.CallerAddress + "\npeers = " + New.PeerAddress +
            "\ndrain-limit-s = 4\n[store]\naddress = " +
            New.StoreLink->address() +
            "\n[bounds]\nretry-ratio = 100\n[log]\ntarget = stdout\n");
    this->Routers.push_back(std::move(New));
  }
}

VersionFleet::~VersionFleet() {
  for (Router &Each : this->Routers)
    if (Each.Process != nullptr)
      Each.Process->kill();
}

std::size_t VersionFleet::addServer(const std::string &Version,
                                    const std::string &Service, bool Listed) {
  const std::size_t Number = this->Engines.size();
  this->Engines.push_back(
      {Version, Service,
       std::make_unique<ScriptedServer>(
           [this, Number](Poco::Net::StreamSocket &Connection,
                          const std::string &Request) {
             return this->serve(Number, Connection, Request);
           })});
  if (Listed)
    this->list(Number);
  return Number;
}

void VersionFleet::list(std::size_t Server, const std::string &State) {
  const Engine &Listed = this->Engines.at(Server);
  this->Store.put("servers/s" + std::to_string(Server),
                  R"({"service":")" + Listed.Service + R"(","address":")" +
                      Listed.Server->address() +
                      R"(","zone":"a","slots":32,"state":")" + State +
                      R"(","version":")" + Listed.Version +
                      R"(","seqNo":1,"coldLeftMs":0})");
}

void VersionFleet::unlist(std::size_t Server) {
  this->Store.remove("servers/s" + std::to_string(Server));
}

void VersionFleet::configure(const std::vector<std::string> &Services) {
  std::string Targets;
  std::string Declared;
  for (const std::string &Each : Services) {
    Targets += std::string(Targets.empty() ? "" : ",") + R"({"service":")" +
               Each + R"(","weight":1})";
    Declared +=
        std::string(Declared.empty() ? "" : ",") + R"({"name":")" + Each +
        "\"" +
        (this->Settings.Allocated ? R"(,"engine":{"kvCapacity":200000})" : "") +
        "}";
  }
  this->Store.put(
      "op/config",
      R"({"version":)" + std::to_string(++this->ConfigurationVersion) +
          R"(,"routes":[{"name":"stream","hostname":"h",)"
          R"("prefix":"/stream/","kind":"streaming","timeoutMs":)" +
          std::to_string(this->Settings.Timeout.count()) +
          R"(,)"
          R"("targetLatencyMs":500,"maxAttempts":2,"resumable":true,)"
          R"("trafficSplit":[)" +
          Targets + R"(]}],"services":[)" + Declared +
          R"(],"limits":{"tokensPerS":90000},)"
          R"("tenants":[{"name":"one","apiKeys":["k1"]},)"
          R"({"name":"two","apiKeys":["k2"]}]})");
}

void VersionFleet::start() {
  for (std::size_t I = 0; I < this->Routers.size(); ++I)
    this->startRouter(I);
  for (std::size_t I = 0; I < this->Routers.size(); ++I)
    this->waitUntilServing(I);
  // Routers that know only themselves hear of the others.
  std::this_thread::sleep_for(1500ms);
}

void VersionFleet::startRouter(std::size_t Router) {
  auto &Target = this->Routers.at(Router);
  Target.Process = std::make_unique<ChildProcess>(
      "parsleywing",
      std::vector<std::string>{"gateway", "--settings", Target.Settings},
      this->Folder.path(Target.Name + ".log"));
}

void VersionFleet::waitUntilServing(std::size_t Router) {
  static std::atomic<int> Number{0};
  const int Break = this->BreakAfter.exchange(0);
  bool Serving = false;
  const auto Deadline = SteadyClock::now() + StartTimeout;
  while (!Serving && SteadyClock::now() < Deadline) {
    std::this_thread::sleep_for(20ms);
    Serving =
        this->call({Router, "probe-" + std::to_string(++Number)}).Complete;
  }
  this->BreakAfter = Break;
  cr_assert(Serving, "router %zu does not serve", Router);
}

void VersionFleet::killRouter(std::size_t Router) {
  this->Routers.at(Router).Process.reset();
}

void VersionFleet::restartRouter(std::size_t Router) {
  auto &Target = this->Routers.at(Router);
  Target.Process->signal(SIGTERM);
  Target.Process->wait();
  this->startRouter(Router);
  this->waitUntilServing(Router);
}

void VersionFleet::freezeRouter(std::size_t Router, bool Frozen) {
  this->Routers.at(Router).Process->signal(Frozen ? SIGSTOP : SIGCONT);
}

void VersionFleet::loseMessages(std::size_t Router) const {
  constexpr int Datagrams = 4000;
  const std::string Bytes(1000, 'x');
  Poco::Net::DatagramSocket Socket;
  for (int I = 0; I < Datagrams; ++I)
    Socket.sendTo(
        Bytes.data(), static_cast<int>(Bytes.size()),
        Poco::Net::SocketAddress(this->Routers.at(Router).PeerAddress));
}

void VersionFleet::troubleStore(std::size_t Router, WayTrouble Trouble) {
  this->Routers.at(Router).StoreLink->setTrouble(Trouble);
}

bool VersionFleet::serve(std::size_t Server,
                         Poco::Net::StreamSocket &Connection,
                         const std::string &Request) {
  const std::string Id = fieldOf(Request, "Request-Id");
  const std::string LastId = fieldOf(Request, "Last-Event-Id");
  std::string Version;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Received[Id];
    Version = this->Engines.at(Server).Version;
  }
  sendText(Connection, "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
                           "\r\nResponse-Seal: s\r\n"
                           "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
  const int First = LastId.empty() ? 1 : std::stoi(LastId) + 1;
  for (int Number = First; Number <= StreamEvents; ++Number) {
    if (LastId.empty() && this->BreakAfter > 0 && Number > this->BreakAfter)
      return false;
    sendText(Connection, chunk(eventOf(Number, Version)));
    std::this_thread::sleep_for(this->EventPause.load());
  }
  sendText(Connection, "0\r\n\r\n");
  return true;
}

StreamResult VersionFleet::call(const StreamAttempt &Attempt) {
  StreamResult Result;
  Result.LastId = Attempt.LastId.value_or(0);
  const auto Start = SteadyClock::now();
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connect(Poco::Net::SocketAddress(
                       this->Routers.at(Attempt.Router).CallerAddress),
                   Poco::Timespan(1, 0));
    Socket.setReceiveTimeout(Poco::Timespan(ReceiveTimeoutSeconds, 0));
    sendText(Socket, textOf(Attempt));
    readResponse(Socket, Attempt.LeavesAfter, Result);
  } catch (const Poco::Exception &) {
    // The connection was refused or broken, which the result shows.
  }
  Result.Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock::now() - Start);
  return Result;
}

std::size_t VersionFleet::received(const std::string &RequestId) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Received[RequestId];
}

} // namespace parsleywing::test
