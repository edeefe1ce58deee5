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
constexpr unsigned RequestsPerTurn = 20;

/// One caller with one connection, kept open while the server allows.
class SmallCaller {
public:
  SmallCaller(const std::string &Address, std::string K,
              const std::string &Service)
      : Session(Poco::Net::SocketAddress(Address)), Key(std::move(K)),
        Body(R"({"model":")" + Service +
             R"(","input":"tokens=1","stream":true,"max_output_tokens":1,)"
             R"("metadata":{"identity":"small"}})") {
    this->Session.setKeepAlive(true);
  }

  /// False where the answer was not whole.
  bool call() {
    try {
      Poco::Net::HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
      Request.set("Authorization", "Bearer " + this->Key);
      Request.setContentLength(static_cast<std::streamsize>(this->Body.size()));
      this->Session.sendRequest(Request) << this->Body;
      Poco::Net::HTTPResponse Response;
      std::string Answer;
      Poco::StreamCopier::copyToString(this->Session.receiveResponse(Response),
                                       Answer);
      return Answer.find("response.completed") != std::string::npos;
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

/// One way to the engine, measured.
class Path {
public:
  Path(std::string A, const LoadAccount &L)
      : Address(std::move(A)), Account(L),
        Caller(this->Address, L.Key, L.Service) {}

  void time(unsigned Requests) {
    for (unsigned Request = 0; Request < Requests; ++Request) {
      const auto Start = std::chrono::steady_clock::now();
      const bool Whole = this->Caller.call();
      const std::chrono::duration<double> Taken =
          std::chrono::steady_clock::now() - Start;
      this->Failed += !Whole;
      this->Seconds.push_back(Taken.count());
    }
  }

  void forget() { this->Seconds.clear(); }

  void saturate(unsigned Callers) {
    const auto Start = std::chrono::steady_clock::now();
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (unsigned Index = 0; Index < Callers; ++Index)
      Threads.emplace_back([this, Start] { this->callUntil(Start); });
    for (std::thread &Thread : Threads)
      Thread.join();
    const std::chrono::duration<double> Taken =
        std::chrono::steady_clock::now() - Start;
    this->Rate = static_cast<double>(this->Completed) / Taken.count();
  }

  PathLatency figures() const {
    return {percentile(this->Seconds, 0.5), percentile(this->Seconds, 0.99),
            this->Rate, this->Failed};
  }

private:
  void callUntil(std::chrono::steady_clock::time_point Start) {
    SmallCaller Own(this->Address, this->Account.Key, this->Account.Service);
    while (std::chrono::steady_clock::now() - Start < ThroughputTime)
      ++(Own.call() ? this->Completed : this->Failed);
  }

  std::string Address;
  LoadAccount Account;
  SmallCaller Caller;
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

LatencyFigures measureLatency(unsigned Requests, unsigned Callers,
                              const std::function<bool()> &Stop) {
  LatencyFigures Figures;
  FleetDeployment Fleet(smallPlan());
  Figures.Missing = Fleet.start(FairnessPolicy::Local, 1);
  if (!Figures.Missing.empty())
    return Figures;
  Path Direct(Fleet.engines().front().Address, Fleet.accounts().front());
  Path Routed(Fleet.routers().front().Address, Fleet.accounts().front());
  for (Path *Each : {&Direct, &Routed}) {
    Each->time(WarmUpRequests);
    Each->forget();
  }
  // In turns, so that a busy moment of the machine meets both ways.
  for (unsigned Done = 0; Done < Requests && !Stop(); Done += RequestsPerTurn) {
    Direct.time(RequestsPerTurn);
    Routed.time(RequestsPerTurn);
  }
  Direct.saturate(Callers);
  Routed.saturate(Callers);
  Figures.Direct = Direct.figures();
  Figures.Routed = Routed.figures();
  if (Stop())
    Figures.Missing = "interrupted";
  return Figures;
}

} // namespace parsleywing::bench
