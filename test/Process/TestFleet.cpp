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

constexpr auto PollPause = std::chrono::milliseconds(10);
constexpr auto PollLimit = std::chrono::seconds(20);
/// Silence of a router after which a caller gives up; far above any verdict.
constexpr long AnswerLimitSeconds = 60;
constexpr long ControlLimitSeconds = 2;

constexpr const char *ExecutionsLog = "executions.log";

std::string exchange(const std::string &Method, const std::string &Address,
                     const std::string &Path, const std::string &Body) {
  std::string Answer;
  try {
    HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(ControlLimitSeconds, 0));
    HTTPRequest Request(Method, Path, "HTTP/1.1");
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    HTTPResponse Response;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Answer);
  } catch (const Poco::Exception &) {
    return {};
  }
  return Answer;
}

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  try {
    return Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return new Poco::JSON::Object;
  }
}

std::string bodyOf(const Call &C) {
  return R"({"model":")" + C.Service + R"(","input":"tokens=)" +
         std::to_string(C.Tokens) + R"(","max_output_tokens":)" +
         std::to_string(C.Tokens) + R"(,"stream":)" +
         (C.Stream ? "true" : "false") + "}";
}

void sendRequest(HTTPClientSession &Session, const Call &C) {
  const std::string Body = bodyOf(C);
  HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
  Request.set("Authorization", "Bearer " + C.Account + "-key");
  if (!C.IdempotencyKey.empty())
    Request.set("Idempotency-Key", C.IdempotencyKey);
  if (C.TimeoutSeconds > 0)
    Request.set("X-Request-Timeout-Seconds", std::to_string(C.TimeoutSeconds));
  Request.setContentLength(static_cast<std::streamsize>(Body.size()));
  Session.sendRequest(Request) << Body << std::flush;
}

/// Takes one event's data into the result.
void takeEvent(const std::string &Data, CallResult &Into) {
  const auto Event = parseObject(Data);
  const auto Type = Event->optValue<std::string>("type", "");
  if (Type == "response.output_text.delta")
    Into.Text += Event->optValue<std::string>("delta", "");
  if (Type != "response.completed" && Type != "response.incomplete")
    return;
  ++Into.FinalAnswers;
  Into.LastEvent = Type;
  if (const auto Response = Event->getObject("response")) {
    Into.Outcome = Response->optValue<std::string>("outcome", "");
    Into.Reason = Response->optValue<std::string>("reason", "");
  }
}

void readStream(std::istream &In, CallResult &Into,
                const std::function<bool(const std::string &)> &OnText) {
  std::string Line;
  while (std::getline(In, Line)) {
    Into.Body += Line + "\n";
    if (!Line.starts_with("data: "))
      continue;
    takeEvent(Line.substr(std::string("data: ").size()), Into);
    if (OnText && !OnText(Into.Text))
      return;
  }
}

void readDocument(std::istream &In, CallResult &Into) {
  Poco::StreamCopier::copyToString(In, Into.Body);
  const auto Document = parseObject(Into.Body);
  Into.Text = Document->optValue<std::string>("output_text", "");
  const auto Type = Document->optValue<std::string>("type", "");
  Into.Reason = Type.empty() ? Document->optValue<std::string>("reason", "")
                             : Type.substr(Type.rfind(':') + 1);
  if (!Into.Reason.empty())
    ++Into.FinalAnswers;
  if (Into.Status == HTTPResponse::HTTP_OK)
    Into.LastEvent = "response.completed";
}

std::string textOfTokens(int Tokens) {
  std::string Text;
  for (int Number = 0; Number < Tokens; ++Number)
    Text += "t" + std::to_string(Number) + " ";
  return Text;
}

/// The value of one line of an engine's metrics.
int metricOf(const std::string &Text, const std::string &Name) {
  const std::size_t Line = Text.find("\n" + Name + "{");
  if (Line == std::string::npos)
    return -1;
  return std::atoi(Text.c_str() + Text.find("} ", Line) + 2);
}

std::string listOf(const std::string &Prefix, int Count) {
  std::string List;
  for (int Index = 0; Index < Count; ++Index)
    List += (Index == 0 ? "" : ", ") + Prefix + std::to_string(Index);
  return List;
}

std::string serviceText(const std::string &Name, const std::string &Kind,
                        bool Repeatable, const std::string &Servers) {
  return "[service " + Name + "]\nkind = " + Kind +
         "\nrepeatable = " + (Repeatable ? "yes" : "no") +
         "\nservers = " + Servers + "\n";
}

} // namespace

bool waitUntil(const std::function<bool()> &Holds) {
  const auto Limit = SteadyClock::now() + PollLimit;
  while (!Holds()) {
    if (SteadyClock::now() > Limit)
      return false;
    std::this_thread::sleep_for(PollPause);
  }
  return true;
}

std::string getFrom(const std::string &Address, const std::string &Path) {
  return exchange("GET", Address, Path, "");
}

std::string postTo(const std::string &Address, const std::string &Path,
                   const std::string &Body) {
  return exchange("POST", Address, Path, Body);
}

bool CallResult::isWhole(int Tokens) const {
  return this->Status == HTTPResponse::HTTP_OK &&
         this->LastEvent == "response.completed" &&
         this->Outcome == "completed" && this->FinalAnswers == 1 &&
         this->Text == textOfTokens(Tokens);
}

std::string CallResult::describe() const {
  return std::to_string(this->Status) + " " + this->Outcome + " " +
         this->Reason + " " + this->LastEvent + " retry-after '" +
         this->RetryAfter + "' finals " + std::to_string(this->FinalAnswers) +
         " after " + std::to_string(this->Took.count()) + " ms: " + this->Text +
         (this->Text.empty() ? this->Body : "");
}

CallResult sendCall(const std::string &Address, const Call &C,
                    const std::function<bool(const std::string &)> &OnText) {
  CallResult Got;
  const auto Start = SteadyClock::now();
  try {
    HTTPClientSession Session{Poco::Net::SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(AnswerLimitSeconds, 0));
    sendRequest(Session, C);
    HTTPResponse Response;
    std::istream &In = Session.receiveResponse(Response);
    Got.Status = Response.getStatus();
    Got.Outcome = Response.get("X-Outcome", "");
    Got.RetryAfter = Response.get("Retry-After", "");
    Got.RequestId = Response.get("X-Request-Id", "");
    if (Response.getContentType().starts_with("text/event-stream"))
      readStream(In, Got, OnText);
    else
      readDocument(In, Got);
  } catch (const Poco::Exception &Failure) {
    Got.Body += Failure.displayText();
  }
  Got.Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock::now() - Start);
  return Got;
}

TestFleet::TestFleet(FleetPlan P)
    : Plan(std::move(P)), StoreAt(this->Plan.Store ? freeAddress() : "") {
  for (int Index = 0; Index < this->Plan.Routers; ++Index)
    this->Routers.push_back({"r" + std::to_string(Index), freeAddress(),
                             freeAddress(), freeAddress(), nullptr});
  for (int Index = 0; Index < this->Plan.Engines; ++Index)
    this->Engines.push_back(
        {"s" + std::to_string(Index), freeAddress(), "", "", nullptr});
  for (int Index = 0; Index < this->Plan.PlainServices; ++Index)
    this->Plains.push_back(
        {"p" + std::to_string(Index), freeAddress(), "", "", nullptr});
  this->writeDeclarations();
  for (const Node &Router : this->Routers)
    this->writeSettings(Router);
  this->Ready = !this->Plan.Store || this->startStore();
  for (int Index = 0; Index < this->Plan.Engines; ++Index)
    this->Ready = this->startEngine(Index) && this->Ready;
  for (int Index = 0; Index < this->Plan.PlainServices; ++Index)
    this->Ready = this->startPlain(Index) && this->Ready;
  for (int Index = 0; Index < this->Plan.Routers; ++Index)
    this->Ready = this->startRouter(Index) && this->Ready;
}

void TestFleet::writeDeclarations() const {
  std::string Text;
  const std::string Services =
      this->Plains.empty() ? "advisory, batch" : "advisory, batch, records";
  for (const std::string &Account : this->Plan.Accounts)
    Text.append("[account ")
        .append(Account)
        .append("]\nkey_sha256 = ")
        .append(digestOfKey(Account + "-key"))
        .append("\nservices = ")
        .append(Services)
        .append("\n")
        .append(this->Plan.AccountLines);
  const std::string Names = listOf("s", this->Plan.Engines);
  Text += serviceText("advisory", "engine", true, Names) +
          serviceText("batch", "engine", false, Names);
  if (!this->Plains.empty())
    Text += serviceText("records", "plain", false,
                        listOf("p", this->Plan.PlainServices));
  const auto AddServer = [&Text, this](const Node &Server) {
    Text += "[server " + Server.Name +
            "]\navailability_zone = z1\naddress = " + Server.Address +
            "\nmax_concurrent_requests = " +
            std::to_string(this->Plan.MaxConcurrent) + "\n";
  };
  std::ranges::for_each(this->Engines, AddServer);
  std::ranges::for_each(this->Plains, AddServer);
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
    Text += "[platform]\naddress = " + this->StoreAt + "\n";
  Text += "[declarations]\nfile = " + this->declarations() + "\n" +
          this->Plan.Settings;
  this->Folder.write(Router.Name + ".ini", Text);
}

const std::string &TestFleet::callers(int Router) const {
  return this->Routers.at(Router).Address;
}

const std::string &TestFleet::operators(int Router) const {
  return this->Routers.at(Router).Operators;
}

const std::string &TestFleet::engineAddress(int Engine) const {
  return this->Engines.at(Engine).Address;
}

const std::string &TestFleet::plainAddress(int Service) const {
  return this->Plains.at(Service).Address;
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
  return *this->Plains.at(Service).Process;
}

ChildProcess &TestFleet::store() { return *this->StoreNode.Process; }

bool TestFleet::start(Node &N, const std::string &Program,
                      std::vector<std::string> Words) {
  N.Process.reset();
  N.Process = std::make_unique<ChildProcess>(
      Program, std::move(Words), this->Folder.path(N.Name + ".log"));
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

bool TestFleet::startPlain(int Service) {
  return this->start(this->Plains.at(Service), "parsleywing-standin",
                     {"--plain", this->plainAddress(Service)});
}

bool TestFleet::startStore() {
  this->StoreNode.Name = "store";
  this->StoreNode.Address = this->StoreAt;
  return this->start(this->StoreNode, "parsleywing-standin",
                     {"--store", this->StoreAt});
}

void TestFleet::engineFaults(int Engine, const std::string &Json) const {
  postTo(this->engineAddress(Engine), "/standin/faults", Json);
}

void TestFleet::storeFaults(const std::string &Json) const {
  postTo(this->StoreAt, "/standin/faults", Json);
}

std::vector<TestFleet::Execution> TestFleet::executions() const {
  std::ifstream Log(this->Folder.path(ExecutionsLog));
  std::vector<Execution> All;
  Execution Next;
  while (Log >> Next.Identity >> Next.Key)
    All.push_back(Next);
  return All;
}

int TestFleet::executionsOfKey(const std::string &Key) const {
  int Count = 0;
  for (const Execution &Each : this->executions())
    Count += Each.Key == Key ? 1 : 0;
  return Count;
}

int TestFleet::executionsOfRequest(const std::string &RequestId) const {
  // Engines get the request's identity and the attempt's number behind a dot.
  int Count = 0;
  for (const Execution &Each : this->executions())
    Count += Each.Identity.starts_with(RequestId + ".") ? 1 : 0;
  return Count;
}

int TestFleet::runningAt(int Engine) const {
  return metricOf(getFrom(this->engineAddress(Engine), "/metrics"),
                  "vllm:num_requests_running");
}

int TestFleet::waitingAt(int Engine) const {
  return metricOf(getFrom(this->engineAddress(Engine), "/metrics"),
                  "vllm:num_requests_waiting");
}

int TestFleet::running() const {
  int Sum = 0;
  for (int Index = 0; Index < this->Plan.Engines; ++Index)
    Sum += this->runningAt(Index);
  return Sum;
}

int TestFleet::openAt(int Router) const {
  const std::string Health = getFrom(this->operators(Router), "/health");
  return parseObject(Health)->optValue<int>("open_requests", -1);
}

} // namespace parsleywing::test
