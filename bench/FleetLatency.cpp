#include "FleetLatency.h"

#include "FleetDeployment.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <atomic>
#include <thread>

namespace parsleywing::bench {

namespace {

constexpr auto ThroughputTime = std::chrono::seconds(2);
constexpr unsigned WarmUpRequests = 20;
constexpr unsigned BatchSize = 20;

/// A caller with one connection, which is kept alive as long as the server
/// allows.
class LatencyCaller {
public:
  LatencyCaller(const std::string &Address, std::string ApiKey,
                const std::string &Service)
      : Session(Poco::Net::SocketAddress(Address)), Key(std::move(ApiKey)),
        Body(R"({"model":")" + Service +
             R"(","input":"tokens=1","stream":true,"max_output_tokens":1,)"
             R"("metadata":{"identity":"small"}})") {
    this->Session.setKeepAlive(true);
  }

  /// Returns false if the response was not complete.
  bool call() {
    try {
      Poco::Net::HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
      Request.set("Authorization", "Bearer " + this->Key);
      Request.setContentLength(static_cast<std::streamsize>(this->Body.size()));
      this->Session.sendRequest(Request) << this->Body;
      Poco::Net::HTTPResponse Response;
      std::string ResponseBody;
      Poco::StreamCopier::copyToString(this->Session.receiveResponse(Response),
                                       ResponseBody);
      return ResponseBody.find("response.completed") != std::string::npos;
    } catch (const Poco::Exception &) {
      this->Session.reset();
      return false;
    }
  }

private:
  Poco::Net::HTTPClientSession Session;
  std::string Key;
  std::string Body;
};

/// Measures one path to the engine.
class MeasuredPath {
public:
  MeasuredPath(std::string TargetAddress, const LoadAccount &CallingAccount)
      : Address(std::move(TargetAddress)), Account(CallingAccount),
        Caller(this->Address, CallingAccount.Key, CallingAccount.Service) {}

  void measureLatencies(unsigned Requests) {
    for (unsigned Request = 0; Request < Requests; ++Request) {
      const auto Start = std::chrono::steady_clock::now();
      const bool IsComplete = this->Caller.call();
      const std::chrono::duration<double> Elapsed =
          std::chrono::steady_clock::now() - Start;
      this->Failed += !IsComplete;
      this->Seconds.push_back(Elapsed.count());
    }
  }

  void discard() { this->Seconds.clear(); }

  void measureThroughput(unsigned Callers) {
    const auto Start = std::chrono::steady_clock::now();
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (unsigned Index = 0; Index < Callers; ++Index)
      Threads.emplace_back([this, Start] { this->callUntil(Start); });
    for (std::thread &Thread : Threads)
      Thread.join();
    const std::chrono::duration<double> Elapsed =
        std::chrono::steady_clock::now() - Start;
    this->Rate = static_cast<double>(this->Completed) / Elapsed.count();
  }

  PathLatency results() const {
    return {percentile(this->Seconds, 0.5), percentile(this->Seconds, 0.99),
            this->Rate, this->Failed};
  }

private:
  void callUntil(std::chrono::steady_clock::time_point Start) {
    LatencyCaller OwnCaller(this->Address, this->Account.Key,
                            this->Account.Service);
    while (std::chrono::steady_clock::now() - Start < ThroughputTime)
      ++(OwnCaller.call() ? this->Completed : this->Failed);
  }

  std::string Address;
  LoadAccount Account;
  LatencyCaller Caller;
  std::vector<double> Seconds;
  std::atomic<std::uint64_t> Completed = 0;
  std::atomic<std::uint64_t> Failed = 0;
  double Rate = 0;
};

DeploymentPlan smallPlan() {
  DeploymentPlan Plan;
  Plan.Routers = 1;
  Plan.Services = {{"advisory", 1, 1, 0}};
  Plan.MaxRunning = 64;
  Plan.StepMilliseconds = 1;
  return Plan;
}

} // namespace

LatencyResults measureLatency(unsigned Requests, unsigned Callers,
                              const std::function<bool()> &Stop) {
  LatencyResults Results;
  FleetDeployment Fleet(smallPlan());
  Results.Error = Fleet.start(FairnessPolicy::Local, 1);
  if (!Results.Error.empty())
    return Results;
  MeasuredPath Direct(Fleet.engines().front().Address,
                      Fleet.accounts().front());
  MeasuredPath Routed(Fleet.routers().front().Address,
                      Fleet.accounts().front());
  for (MeasuredPath *Path : {&Direct, &Routed}) {
    Path->measureLatencies(WarmUpRequests);
    Path->discard();
  }
  // Alternates between the paths, so that load peaks of the machine affect
  // both.
  for (unsigned Count = 0; Count < Requests && !Stop(); Count += BatchSize) {
    Direct.measureLatencies(BatchSize);
    Routed.measureLatencies(BatchSize);
  }
  Direct.measureThroughput(Callers);
  Routed.measureThroughput(Callers);
  Results.Direct = Direct.results();
  Results.Routed = Routed.results();
  if (Stop())
    Results.Error = "interrupted";
  return Results;
}

} // namespace parsleywing::bench
