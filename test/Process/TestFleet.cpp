#include "Process/Fleet.h"

#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <fstream>
#include <sstream>
#include <thread>

namespace parsleywing::test {

namespace {

using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using SteadyClock = std::chrono::steady_clock;

constexpr auto PollInterval = std::chrono::milliseconds(10);
constexpr auto PollTimeout = std::chrono::seconds(20);
/// A caller gives up after this long without bytes from the router. This is far
/// longer than a router takes to decide a request.
constexpr long ResponseTimeoutSeconds = 60;
constexpr long ControlTimeoutSeconds = 2;

constexpr const char *ExecutionsLog = "executions.log";

std::string sendHttpRequest(const std::string &Method,
                            const std::string &Address, const std::string &Path,
                            const std::string &Body) {
  std::string ResponseBody;
  try {
    HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(ControlTimeoutSeconds, 0));
    HTTPRequest Request(Method, Path, "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    HTTPResponse Response;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                     ResponseBody);
  } catch (const Poco::Exception &) {
    return {};
  }
  return ResponseBody;
}

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  try {
    return Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return new Poco::JSON::Object;
  }
}

std::string requestBody(const Call &C) {
  return R"({"model":")" + C.Service + R"(","input":"tokens=)" +
         std::to_string(C.Tokens) + R"(","max_output_tokens":)" +
         std::to_string(C.Tokens) + R"(,"stream":)" +
         (C.Stream ? "true" : "false") + "}";
}

void sendRequest(HTTPClientSession &Session, const Call &C) {
  const std::string Body = requestBody(C);
  HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
  Request.set("Authorization", "Bearer " + C.Account + "-key");
  if (!C.IdempotencyKey.empty())
    Request.set("Idempotency-Key", C.IdempotencyKey);
  if (C.TimeoutSeconds > 0)
    Request.set("X-Request-Timeout-Seconds", std::to_string(C.TimeoutSeconds));
  Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  Session.sendRequest(Request) << Body << std::flush;
}

/// Applies the data of one event to the result.
void applyEvent(const std::string &Data, CallResult &Result) {
  const auto Event = parseObject(Data);
  const auto Type = Event->optValue<std::string>("type", "");
  if (Type == "response.output_text.delta")
    Result.Text += Event->optValue<std::string>("delta", "");
  if (Type != "response.completed" && Type != "response.incomplete")
    return;
  ++Result.FinalResponses;
  Result.LastEvent = Type;
  if (const auto Response = Event->getObject("response")) {
    Result.Outcome = Response->optValue<std::string>("outcome", "");
    Result.Reason = Response->optValue<std::string>("reason", "");
  }
}

void readStream(std::istream &In, CallResult &Result,
                const std::function<bool(const std::string &)> &OnText) {
  std::string Line;
  while (std::getline(In, Line)) {
    Result.Body += Line + "\n";
    if (!Line.starts_with("data: "))
      continue;
    applyEvent(Line.substr(std::string("data: ").size()), Result);
    if (OnText && !OnText(Result.Text))
      return;
  }
}

void readDocument(std::istream &In, CallResult &Result) {
  Poco::StreamCopier::copyToString(In, Result.Body);
  const auto Document = parseObject(Result.Body);
  Result.Text = Document->optValue<std::string>("output_text", "");
  const auto Type = Document->optValue<std::string>("type", "");
  Result.Reason = Type.empty() ? Document->optValue<std::string>("reason", "")
                               : Type.substr(Type.rfind(':') + 1);
  if (!Result.Reason.empty())
    ++Result.FinalResponses;
  if (Result.Status == HTTPResponse::HTTP_OK)
    Result.LastEvent = "response.completed";
}

std::string expectedText(int Tokens) {
  std::string Text;
  for (int Number = 0; Number < Tokens; ++Number)
    Text += "t" + std::to_string(Number) + " ";
  return Text;
}

/// Returns the value of a metric of an engine, or -1 if it is missing.
int metricValue(const std::string &Text, const std::string &Name) {
  const std::size_t Line = Text.find("\n" + Name + "{");
  if (Line == std::string::npos)
    return -1;
  return std::atoi(Text.c_str() + Text.find("} ", Line) + 2);
}

std::string nameList(const std::string &Prefix, int Count) {
  std::string List;
  for (int Index = 0; Index < Count; ++Index)
    List += (Index == 0 ? "" : ", ") + Prefix + std::to_string(Index);
  return List;
}

std::string serviceSection(const std::string &Name, const std::string &Kind,
                           bool Repeatable, const std::string &Servers) {
  return "[service " + Name + "]\nkind = " + Kind +
         "\nrepeatable = " + (Repeatable ? "yes" : "no") +
         "\nservers = " + Servers + "\n";
}

} // namespace

void waitForRetryFloor() {
  std::this_thread::sleep_for(std::chrono::seconds(12));
}

bool waitUntil(const std::function<bool()> &Condition) {
  const auto Deadline = SteadyClock::now() + PollTimeout;
  while (!Condition()) {
    if (SteadyClock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

std::string httpGet(const std::string &Address, const std::string &Path) {
  return sendHttpRequest("GET", Address, Path, "");
}

std::string httpPost(const std::string &Address, const std::string &Path,
                     const std::string &Body) {
  return sendHttpRequest("POST", Address, Path, Body);
}

bool CallResult::isComplete(int Tokens) const {
  return this->Status == HTTPResponse::HTTP_OK &&
         this->LastEvent == "response.completed" &&
         this->Outcome == "completed" && this->FinalResponses == 1 &&
         this->Text == expectedText(Tokens);
}

std::string CallResult::describe() const {
  return std::to_string(this->Status) + " " + this->Outcome + " " +
         this->Reason + " " + this->LastEvent + " retry-after '" +
         this->RetryAfter + "' finals " + std::to_string(this->FinalResponses) +
         " after " + std::to_string(this->Elapsed.count()) +
         " ms: " + this->Text + (this->Text.empty() ? this->Body : "");
}

CallResult sendCall(const std::string &Address, const Call &C,
                    const std::function<bool(const std::string &)> &OnText) {
  CallResult Result;
  const auto Start = SteadyClock::now();
  try {
    HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(ResponseTimeoutSeconds, 0));
    sendRequest(Session, C);
    HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    Result.Status = Response.getStatus();
    Result.Outcome = Response.get("X-Outcome", "");
    Result.RetryAfter = Response.get("Retry-After", "");
    Result.RequestId = Response.get("X-Request-Id", "");
    if (Response.getContentType().starts_with("text/event-stream"))
      readStream(In, Result, OnText);
    else
      readDocument(In, Result);
  } catch (const Poco::Exception &Error) {
    Result.Body += Error.displayText();
  }
  Result.Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock::now() - Start);
  return Result;
}

TestFleet::TestFleet(FleetPlan P)
    : Plan(std::move(P)), StoreAddress(this->Plan.Store ? freeAddress() : "") {
  for (int Index = 0; Index < this->Plan.Routers; ++Index)
    this->Routers.push_back({"r" + std::to_string(Index), freeAddress(),
                             freeAddress(), freeAddress(), nullptr});
  for (int Index = 0; Index < this->Plan.Engines; ++Index)
    this->Engines.push_back(
        {"s" + std::to_string(Index), freeAddress(), "", "", nullptr});
  for (int Index = 0; Index < this->Plan.PlainServices; ++Index)
    this->PlainServiceNodes.push_back(
        {"p" + std::to_string(Index), freeAddress(), "", "", nullptr});
  this->writeDeclarations();
  for (const Node &Router : this->Routers)
    this->writeSettings(Router);
  this->Ready = !this->Plan.Store || this->startStore();
  for (int Index = 0; Index < this->Plan.Engines; ++Index)
    this->Ready = this->startEngine(Index) && this->Ready;
  for (int Index = 0; Index < this->Plan.PlainServices; ++Index)
    this->Ready = this->startPlainService(Index) && this->Ready;
  for (int Index = 0; Index < this->Plan.Routers; ++Index)
    this->Ready = this->startRouter(Index) && this->Ready;
}

void TestFleet::writeDeclarations() const {
  std::string Text;
  const std::string Services = this->PlainServiceNodes.empty()
                                   ? "advisory, batch"
                                   : "advisory, batch, records";
  for (const std::string &Account : this->Plan.Accounts)
    Text.append("[account ")
        .append(Account)
        .append("]\nkey_sha256 = ")
        .append(digestOfKey(Account + "-key"))
        .append("\nservices = ")
        .append(Services)
        .append("\n")
        .append(this->Plan.AccountLines);
  const std::string Names = nameList("s", this->Plan.Engines);
  Text += serviceSection("advisory", "engine", true, Names) +
          serviceSection("batch", "engine", false, Names);
  if (!this->PlainServiceNodes.empty())
    Text += serviceSection("records", "plain", false,
                           nameList("p", this->Plan.PlainServices));
  const auto AddServer = [&Text, this](const Node &Server) {
    Text += "[server " + Server.Name +
            "]\navailability_zone = z1\naddress = " + Server.Address +
            "\nmax_concurrent_requests = " +
            std::to_string(this->Plan.MaxConcurrent) + "\n";
  };
  std::ranges::for_each(this->Engines, AddServer);
  std::ranges::for_each(this->PlainServiceNodes, AddServer);
  this->Folder.write("declarations.ini", Text);
}

void TestFleet::writeSettings(const Node &Router) const {
  std::string Text =
      "[router]\nname = " + Router.Name +
      "\navailability_zone = z1\n[listen]\ncallers = " + Router.Address +
      "\noperators = " + Router.Operators + "\npeers = " + Router.Peers +
      "\n[peers]\nsecret = a-secret-of-the-fleet\n";
  for (const Node &Other : this->Routers)
    if (Other.Name != Router.Name)
      Text += Other.Name + " = " + Other.Peers + "\n";
  if (this->Plan.Store)
    Text += "[platform]\naddress = " + this->StoreAddress + "\n";
  Text += "[declarations]\nfile = " + this->declarations() + "\n" +
          this->Plan.Settings;
  this->Folder.write(Router.Name + ".ini", Text);
}

const std::string &TestFleet::callerAddress(int Router) const {
  return this->Routers.at(Router).Address;
}

const std::string &TestFleet::operatorAddress(int Router) const {
  return this->Routers.at(Router).Operators;
}

const std::string &TestFleet::engineAddress(int Engine) const {
  return this->Engines.at(Engine).Address;
}

const std::string &TestFleet::plainAddress(int Service) const {
  return this->PlainServiceNodes.at(Service).Address;
}

std::string TestFleet::declarations() const {
  return this->Folder.path("declarations.ini");
}

std::string TestFleet::settings(int Router) const {
  return this->Folder.path(this->Routers.at(Router).Name + ".ini");
}

ChildProcess &TestFleet::router(int Router) {
  return *this->Routers.at(Router).Process;
}

ChildProcess &TestFleet::engine(int Engine) {
  return *this->Engines.at(Engine).Process;
}

ChildProcess &TestFleet::plain(int Service) {
  return *this->PlainServiceNodes.at(Service).Process;
}

ChildProcess &TestFleet::store() { return *this->StoreNode.Process; }

bool TestFleet::start(Node &N, const std::string &Program,
                      std::vector<std::string> Arguments) {
  N.Process.reset();
  N.Process = std::make_unique<ChildProcess>(
      Program, std::move(Arguments), this->Folder.path(N.Name + ".log"));
  return waitForListener(N.Address);
}

bool TestFleet::startRouter(int Router) {
  return this->start(this->Routers.at(Router), "parsleywing",
                     {"router", "--settings", this->settings(Router)});
}

bool TestFleet::startEngine(int Engine) {
  return this->start(this->Engines.at(Engine), "parsleywing-standin",
                     {"--engine", this->engineAddress(Engine), "--max-running",
                      std::to_string(this->Plan.MaxConcurrent), "--step-ms",
                      std::to_string(this->Plan.StepMilliseconds),
                      "--executions-log", this->Folder.path(ExecutionsLog)});
}

bool TestFleet::startPlainService(int Service) {
  return this->start(this->PlainServiceNodes.at(Service), "parsleywing-standin",
                     {"--plain", this->plainAddress(Service)});
}

bool TestFleet::startStore() {
  this->StoreNode.Name = "store";
  this->StoreNode.Address = this->StoreAddress;
  return this->start(this->StoreNode, "parsleywing-standin",
                     {"--store", this->StoreAddress});
}

void TestFleet::engineFaults(int Engine, const std::string &Json) const {
  httpPost(this->engineAddress(Engine), "/standin/faults", Json);
}

void TestFleet::storeFaults(const std::string &Json) const {
  httpPost(this->StoreAddress, "/standin/faults", Json);
}

std::vector<TestFleet::Execution> TestFleet::executions() const {
  std::ifstream Log(this->Folder.path(ExecutionsLog));
  std::vector<Execution> All;
  Execution Entry;
  while (Log >> Entry.Identity >> Entry.Key)
    All.push_back(Entry);
  return All;
}

int TestFleet::executionsOfKey(const std::string &Key) const {
  int Count = 0;
  for (const Execution &Logged : this->executions())
    Count += Logged.Key == Key ? 1 : 0;
  return Count;
}

int TestFleet::executionsOfRequest(const std::string &RequestId) const {
  // Engines receive the request's identity with the attempt's number after a
  // dot.
  int Count = 0;
  for (const Execution &Logged : this->executions())
    Count += Logged.Identity.starts_with(RequestId + ".") ? 1 : 0;
  return Count;
}

int TestFleet::arrivalsAt(int Engine) const {
  const std::string Counts =
      httpGet(this->engineAddress(Engine), "/standin/executions");
  return parseObject(Counts)->optValue<int>("arrivals", -1);
}

int TestFleet::runningAt(int Engine) const {
  return metricValue(httpGet(this->engineAddress(Engine), "/metrics"),
                     "vllm:num_requests_running");
}

int TestFleet::waitingAt(int Engine) const {
  return metricValue(httpGet(this->engineAddress(Engine), "/metrics"),
                     "vllm:num_requests_waiting");
}

int TestFleet::running() const {
  int Sum = 0;
  for (int Index = 0; Index < this->Plan.Engines; ++Index)
    Sum += this->runningAt(Index);
  return Sum;
}

int TestFleet::openRequestsAt(int Router) const {
  const std::string Health = httpGet(this->operatorAddress(Router), "/health");
  return parseObject(Health)->optValue<int>("open_requests", -1);
}

} // namespace parsleywing::test
