#include "standin/EngineStandIn.h"

#include "standin/EngineHandlers.h"

#include <Poco/JSONString.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace parsleywing::standin {

namespace {

constexpr int MaxConnections = 512;
constexpr std::size_t MaxFinishedResponses = 2000;
constexpr std::size_t MaxLoadSamples = 4096;
constexpr std::size_t MaxTrackedConnections = 4096;
constexpr auto PollInterval = std::chrono::milliseconds(50);
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
                          const std::string &Status,
                          const std::string &ExtraFields) {
  return ",\"response\":{\"id\":\"" + Response.Id + "\",\"status\":\"" +
         Status + "\",\"metadata\":" + Response.Metadata + ExtraFields + "}";
}

std::string itemField(const EngineResponse &Response) {
  return ",\"item_id\":\"msg_" + Response.Id +
         "\",\"output_index\":0,\"content_index\":0";
}

/// Events are built as strings rather than with a JSON library, since they are
/// most of the stand-in's work.
void appendInitialEvents(EngineResponse &Response) {
  Response.Events.push_back(eventData(Response, "response.created",
                                      responseField(Response, "queued", "")));
  Response.Events.push_back(eventData(
      Response, "response.output_item.added",
      ",\"output_index\":0,\"item\":{\"type\":\"message\",\"id\":\"msg_" +
          Response.Id + "\"}"));
}

void appendFinalEvents(EngineResponse &Response, bool WithUsage) {
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
  this->LoadedModels.insert(this->Options.Model);
}

EngineStandIn::~EngineStandIn() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
    for (const auto &[Id, Response] : this->Responses)
      Response->EventsAvailable.notify_all();
  }
  this->Changed.notify_all();
  this->Server.stop();
  if (this->StepThread.joinable())
    this->StepThread.join();
}

void EngineStandIn::start() {
  this->Server.start(this->Options.Address);
  this->StepThread = std::thread([this] { this->runSteps(); });
}

std::string EngineStandIn::address() const { return this->Server.address(); }

EngineResponsePtr EngineStandIn::submit(EngineResponsePtr Response) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Response->Id = "resp_" + std::to_string(this->NextId++);
  appendInitialEvents(*Response);
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

std::vector<std::string> EngineStandIn::waitForEvents(EngineResponse &Response,
                                                      std::size_t Next) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Response.EventsAvailable.wait(Lock, [&] {
    return this->Stopping || Response.Done || Response.Events.size() > Next;
  });
  if (this->Stopping || Response.Events.size() <= Next)
    return {};
  return {Response.Events.begin() + static_cast<std::ptrdiff_t>(Next),
          Response.Events.end()};
}

void EngineStandIn::waitWhile(const std::function<bool()> &Condition) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    Lock.unlock();
    const bool StillHolds = Condition();
    Lock.lock();
    if (!StillHolds)
      return;
    this->Changed.wait_for(Lock, PollInterval);
  }
}

void EngineStandIn::waitWhilePaused() {
  this->waitWhile(
      [this] { return this->Pauses.isPaused(Clock::steady().now()); });
}

void EngineStandIn::waitFor(Duration Time) {
  const TimePoint End = Clock::steady().now() + Time;
  this->waitWhile([End] { return Clock::steady().now() < End; });
}

void EngineStandIn::runSteps() {
  auto Next = std::chrono::steady_clock::now();
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    const bool Paused = this->Pauses.isPaused(Clock::steady().now());
    if (Paused || this->Faults.Stall ||
        (this->Running.empty() && this->Waiting.empty())) {
      this->Changed.wait_for(Lock, PollInterval);
      Next = std::chrono::steady_clock::now();
      continue;
    }
    this->admit();
    Next =
        std::max(Next + this->Options.Step, std::chrono::steady_clock::now());
    Lock.unlock();
    std::this_thread::sleep_until(Next);
    Lock.lock();
    if (!this->Stopping && !this->Faults.Stall &&
        !this->Pauses.isPaused(Clock::steady().now()))
      this->step();
  }
}

void EngineStandIn::admit() {
  while (!this->Waiting.empty() &&
         this->Running.size() < this->Options.MaxRunning) {
    const EngineResponsePtr Admitted = this->Waiting.front();
    this->Waiting.pop_front();
    this->Running.push_back(Admitted);
    this->countExecution(*Admitted);
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
  std::vector<EngineResponsePtr> Completed;
  for (const EngineResponsePtr &Response : this->Running) {
    this->generate(*Response);
    if (Response->Tokens >= Response->TokensWanted)
      Completed.push_back(Response);
  }
  for (const EngineResponsePtr &Response : Completed) {
    appendFinalEvents(*Response, !this->Faults.NoUsage);
    std::erase(this->Running, Response);
    this->finish(Response);
  }
}

void EngineStandIn::generate(EngineResponse &Response) {
  const std::uint64_t HoldLimit = this->Faults.HoldAfter;
  if (Response.Tokens >= Response.TokensWanted ||
      (HoldLimit != 0 && Response.Tokens >= HoldLimit))
    return;
  const std::string &Version = this->Options.Version;
  const std::string Delta = (Version.empty() ? "" : Version + "-") + "t" +
                            std::to_string(Response.Tokens) + " ";
  Response.Events.push_back(
      eventData(Response, "response.output_text.delta",
                itemField(Response) + ",\"delta\":\"" + Delta + "\""));
  Response.Text += Delta;
  ++Response.Tokens;
  Response.EventsAvailable.notify_all();
}

/// Keeps the last `MaxFinishedResponses` responses, so that their streams can
/// still be resumed.
void EngineStandIn::finish(const EngineResponsePtr &Response) {
  Response->Done = true;
  Response->EventsAvailable.notify_all();
  this->Finished.push_back(Response->Id);
  if (this->Finished.size() <= MaxFinishedResponses)
    return;
  this->Responses.erase(this->Finished.front());
  this->Finished.pop_front();
}

void EngineStandIn::sampleLoad() {
  this->LoadSamples.push_back(
      {Clock::steady().now(), static_cast<std::uint32_t>(this->Running.size()),
       static_cast<std::uint32_t>(this->Waiting.size())});
  if (this->LoadSamples.size() > MaxLoadSamples)
    this->LoadSamples.pop_front();
}

std::string EngineStandIn::metrics() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const TimePoint ReportTime = Clock::steady().now() - this->Options.ReportLag;
  LoadSample Reported{ReportTime,
                      static_cast<std::uint32_t>(this->Running.size()),
                      static_cast<std::uint32_t>(this->Waiting.size())};
  if (this->Options.ReportLag > Duration::zero()) {
    Reported = {ReportTime, 0, 0};
    for (const LoadSample &Sample : this->LoadSamples)
      if (Sample.At <= ReportTime)
        Reported = Sample;
  }
  const std::string Labels = "{model_name=\"" + this->Options.Model + "\"} ";
  const double Usage =
      static_cast<double>(Reported.Running) / this->Options.MaxRunning;
  std::ostringstream Out;
  Out << "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running"
      << Labels << Reported.Running
      << "\n# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting"
      << Labels << Reported.Waiting
      << "\n# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc"
      << Labels << Usage << '\n';
  return Out.str();
}

int EngineStandIn::executeOrder(const std::string &Path,
                                const std::string &Name,
                                std::uint64_t FencingNumber) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Options.ChecksFencing && FencingNumber < this->HighestFencingNumber)
    return Conflict;
  this->HighestFencingNumber =
      std::max(this->HighestFencingNumber, FencingNumber);
  if (Path.ends_with("/unload_lora_adapter"))
    return this->LoadedModels.erase(Name) != 0 ? Ok : NotFound;
  this->LoadedModels.insert(Name);
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
  return this->LoadedModels;
}

void EngineStandIn::setFaults(const EngineFaults &F) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Faults = F;
    this->Pauses.start(F, Clock::steady().now());
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

void EngineStandIn::setVersion(const std::string &Version) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Options.Version = Version;
}

std::string EngineStandIn::version() const {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Options.Version;
}

void EngineStandIn::crash(Duration RestartDelay) {
  this->Server.crash(RestartDelay);
  // Done after the connections are closed, since otherwise clients would
  // receive these responses as completed.
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
  const auto Connection =
      this->ConnectionEpochs.emplace(ConnectionCookie, this->SilenceEpoch)
          .first;
  const bool Silenced = Connection->second != this->SilenceEpoch;
  if (this->ConnectionEpochs.size() > MaxTrackedConnections)
    this->ConnectionEpochs.erase(this->ConnectionEpochs.begin());
  return Silenced;
}

} // namespace parsleywing::standin
