#include "standin/EngineStandIn.h"

#include "standin/EngineHandlers.h"

#include <Poco/JSONString.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace parsleywing::standin {

namespace {

constexpr int MaxConnections = 512;
constexpr std::size_t KeptFinished = 2000;
constexpr std::size_t KeptSamples = 4096;
constexpr std::size_t KeptConnections = 4096;
constexpr auto WaitSlice = std::chrono::milliseconds(50);
constexpr int Ok = 200;
constexpr int Conflict = 409;
constexpr int NotFound = 404;

std::string eventData(const EngineResponse &Response, const std::string &Type,
                      const std::string &Fields) {
  return "{\"type\":\"" + Type +
         "\",\"sequence_number\":" + std::to_string(Response.Events.size()) +
         Fields + "}";
}

std::string responseField(const EngineResponse &Response,
                          const std::string &Status, const std::string &More) {
  return ",\"response\":{\"id\":\"" + Response.Id + "\",\"status\":\"" +
         Status + "\",\"metadata\":" + Response.Metadata + More + "}";
}

std::string itemField(const EngineResponse &Response) {
  return ",\"item_id\":\"msg_" + Response.Id +
         "\",\"output_index\":0,\"content_index\":0";
}

/// Written by hand: these are the bulk of the stand-in's work.
void beginEvents(EngineResponse &Response) {
  Response.Events.push_back(eventData(Response, "response.created",
                                      responseField(Response, "queued", "")));
  Response.Events.push_back(eventData(
      Response, "response.output_item.added",
      ",\"output_index\":0,\"item\":{\"type\":\"message\",\"id\":\"msg_" +
          Response.Id + "\"}"));
}

void endEvents(EngineResponse &Response, bool WithUsage) {
  Response.Events.push_back(eventData(
      Response, "response.output_text.done",
      itemField(Response) + ",\"text\":" + Poco::toJSON(Response.Text)));
  const std::string Usage =
      WithUsage ? ",\"usage\":{\"input_tokens\":1,\"output_tokens\":" +
                      std::to_string(Response.Tokens) + "}"
                : "";
  Response.Events.push_back(
      eventData(Response, "response.completed",
                responseField(Response, "completed", Usage)));
}

} // namespace

EngineStandIn::EngineStandIn(EngineOptions O)
    : Options(std::move(O)), Server(MaxConnections, [this] {
        return new EngineHandlerFactory(*this);
      }) {
  this->Loaded.insert(this->Options.Model);
}

EngineStandIn::~EngineStandIn() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
    for (const auto &[Id, Response] : this->Responses)
      Response->Grown.notify_all();
  }
  this->Changed.notify_all();
  this->Server.stop();
  if (this->Stepper.joinable())
    this->Stepper.join();
}

void EngineStandIn::start() {
  this->Server.start(this->Options.Address);
  this->Stepper = std::thread([this] { this->runSteps(); });
}

std::string EngineStandIn::address() const { return this->Server.address(); }

EngineResponsePtr EngineStandIn::submit(EngineResponsePtr Response) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Response->Id = "resp_" + std::to_string(this->NextId++);
  beginEvents(*Response);
  this->Responses[Response->Id] = Response;
  this->Waiting.push_back(Response);
  this->sampleLoad();
  this->Changed.notify_all();
  return Response;
}

EngineResponsePtr EngineStandIn::find(const std::string &Id) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Responses.find(Id);
  return Found == this->Responses.end() ? nullptr : Found->second;
}

void EngineStandIn::cancel(const EngineResponsePtr &Response) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::erase(this->Waiting, Response);
  std::erase(this->Running, Response);
  if (!Response->Done)
    this->finish(Response);
  this->sampleLoad();
}

std::vector<std::string> EngineStandIn::takeEvents(EngineResponse &Response,
                                                   std::size_t Next) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Response.Grown.wait(Lock, [&] {
    return this->Stopping || Response.Done || Response.Events.size() > Next;
  });
  if (this->Stopping || Response.Events.size() <= Next)
    return {};
  return {Response.Events.begin() + static_cast<std::ptrdiff_t>(Next),
          Response.Events.end()};
}

void EngineStandIn::waitWhile(const std::function<bool()> &Holds) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    Lock.unlock();
    const bool Goes = Holds();
    Lock.lock();
    if (!Goes)
      return;
    this->Changed.wait_for(Lock, WaitSlice);
  }
}

void EngineStandIn::runSteps() {
  auto Next = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    if (this->Faults.Stall ||
        (this->Running.empty() && this->Waiting.empty())) {
      this->Changed.wait_for(Lock, WaitSlice);
      Next = std::chrono::steady_clock::now();
      continue;
    }
    this->admit();
    Next =
        std::max(Next + this->Options.Step, std::chrono::steady_clock::now());
    Lock.unlock();
    std::this_thread::sleep_until(Next);
    Lock.lock();
    if (!this->Stopping && !this->Faults.Stall)
      this->step();
  }
}

void EngineStandIn::admit() {
  while (!this->Waiting.empty() &&
         this->Running.size() < this->Options.MaxRunning) {
    const EngineResponsePtr First = this->Waiting.front();
    this->Waiting.pop_front();
    this->Running.push_back(First);
    this->countExecution(*First);
  }
  this->sampleLoad();
}

void EngineStandIn::countExecution(const EngineResponse &Response) {
  ++this->Executions[Response.Identity];
  if (!Response.IdempotencyKey.empty())
    ++this->ExecutionsByKey[Response.IdempotencyKey];
  if (this->Options.ExecutionsLog.empty())
    return;
  const std::string &Key = Response.IdempotencyKey;
  std::ofstream(this->Options.ExecutionsLog, std::ios::app)
      << Response.Identity + " " + (Key.empty() ? "-" : Key) + "\n";
}

void EngineStandIn::step() {
  std::vector<EngineResponsePtr> Ended;
  for (const EngineResponsePtr &Response : this->Running) {
    this->generate(*Response);
    if (Response->Tokens >= Response->TokensWanted)
      Ended.push_back(Response);
  }
  for (const EngineResponsePtr &Response : Ended) {
    endEvents(*Response, !this->Faults.NoUsage);
    std::erase(this->Running, Response);
    this->finish(Response);
  }
}

void EngineStandIn::generate(EngineResponse &Response) {
  const std::uint64_t Hold = this->Faults.HoldAfter;
  if (Response.Tokens >= Response.TokensWanted ||
      (Hold != 0 && Response.Tokens >= Hold))
    return;
  const std::string Piece = "t" + std::to_string(Response.Tokens) + " ";
  Response.Events.push_back(
      eventData(Response, "response.output_text.delta",
                itemField(Response) + ",\"delta\":\"" + Piece + "\""));
  Response.Text += Piece;
  ++Response.Tokens;
  Response.Grown.notify_all();
}

/// Keeps a number of finished responses, so that their streams can still be
/// taken up.
void EngineStandIn::finish(const EngineResponsePtr &Response) {
  Response->Done = true;
  Response->Grown.notify_all();
  this->Finished.push_back(Response->Id);
  if (this->Finished.size() <= KeptFinished)
    return;
  this->Responses.erase(this->Finished.front());
  this->Finished.pop_front();
}

void EngineStandIn::sampleLoad() {
  this->Load.push_back({Clock::steady().now(),
                        static_cast<std::uint32_t>(this->Running.size()),
                        static_cast<std::uint32_t>(this->Waiting.size())});
  if (this->Load.size() > KeptSamples)
    this->Load.pop_front();
}

std::string EngineStandIn::metrics() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimePoint Seen = Clock::steady().now() - this->Options.ReportLag;
  LoadSample Shown{Seen, static_cast<std::uint32_t>(this->Running.size()),
                   static_cast<std::uint32_t>(this->Waiting.size())};
  if (this->Options.ReportLag > Duration::zero()) {
    Shown = {Seen, 0, 0};
    for (const LoadSample &Sample : this->Load)
      if (Sample.At <= Seen)
        Shown = Sample;
  }
  const std::string Labels = "{model_name=\"" + this->Options.Model + "\"} ";
  const double Used =
      static_cast<double>(Shown.Running) / this->Options.MaxRunning;
  std::ostringstream Out;
  Out << "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running"
      << Labels << Shown.Running
      << "\n# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting"
      << Labels << Shown.Waiting
      << "\n# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc"
      << Labels << Used << '\n';
  return Out.str();
}

int EngineStandIn::obey(const std::string &Path, const std::string &Name,
                        std::uint64_t FencingNumber) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Options.ChecksFencing && FencingNumber < this->HighestFencing)
    return Conflict;
  this->HighestFencing = std::max(this->HighestFencing, FencingNumber);
  if (Path.ends_with("/unload_lora_adapter"))
    return this->Loaded.erase(Name) != 0 ? Ok : NotFound;
  this->Loaded.insert(Name);
  return Ok;
}

std::map<std::string, int> EngineStandIn::executions() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Executions;
}

std::map<std::string, int> EngineStandIn::executionsByKey() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->ExecutionsByKey;
}

std::uint32_t EngineStandIn::running() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return static_cast<std::uint32_t>(this->Running.size());
}

std::uint32_t EngineStandIn::waiting() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return static_cast<std::uint32_t>(this->Waiting.size());
}

std::set<std::string> EngineStandIn::loadedModels() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Loaded;
}

void EngineStandIn::setFaults(const EngineFaults &F) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Faults = F;
  }
  this->Changed.notify_all();
}

EngineFaults EngineStandIn::faults() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Faults;
}

void EngineStandIn::silenceConnections() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->SilenceEpoch;
}

void EngineStandIn::crash(Duration BackAfter) {
  this->Server.crash(BackAfter);
  // Behind the ends of the connections, or answers would look whole.
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  for (const EngineResponsePtr &Each : this->Waiting)
    this->finish(Each);
  for (const EngineResponsePtr &Each : this->Running)
    this->finish(Each);
  this->Waiting.clear();
  this->Running.clear();
}

bool EngineStandIn::isSilenced(std::uint64_t ConnectionCookie) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Known =
      this->EpochOfConnection.emplace(ConnectionCookie, this->SilenceEpoch)
          .first;
  const bool Silenced = Known->second != this->SilenceEpoch;
  if (this->EpochOfConnection.size() > KeptConnections)
    this->EpochOfConnection.erase(this->EpochOfConnection.begin());
  return Silenced;
}

} // namespace parsleywing::standin
