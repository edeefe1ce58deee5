#ifndef PARSLEYWING_BENCH_LOADGENERATOR_H
#define PARSLEYWING_BENCH_LOADGENERATOR_H

#include "LoadResponseReader.h"
#include "LoadStatistics.h"
#include "Runtime/Clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace parsleywing::bench {

/// A client account whose callers the generator simulates.
struct LoadAccount {
  std::string Name;
  std::string Key;
  std::string Service;
  double Share = 1;
  /// Addresses of the routers that it calls, in round-robin order.
  std::vector<std::string> Routers;
  /// The number of requests that are always open.
  unsigned OpenRequests = 0;
  /// The time between the end of a request and the start of the next one.
  Duration Pause = Duration::zero();
  /// The number of tokens of each response; zero draws it from the
  /// distribution.
  std::uint64_t FixedTokens = 0;
};

/// What an account has received since the window started.
struct AccountRecord {
  std::uint64_t Tokens = 0;
  std::map<std::string, std::uint64_t> Outcomes;
  std::vector<double> FirstTokenSeconds;
  /// Responses reported as completed that were incomplete or out of order.
  std::uint64_t Invalid = 0;
  /// Streams that ended without a final event.
  std::uint64_t Truncated = 0;
  /// The minimum over all samples of the requests that wait for their first
  /// token.
  unsigned MinWaiting = 0;
};

/// The identity that a router gave a request, and the outcome that it reported;
/// empty if it reported none.
struct ReportedOutcome {
  std::string Request;
  std::string Outcome;
};

struct LoadOptions {
  std::uint64_t Seed = 1;
  ResponseSizes Sizes{16, 600, 1.2};
  /// Hints differ from the size by up to this factor in either direction.
  double MaxHintFactor = 10;
  Duration SampleInterval = std::chrono::milliseconds(100);
};

/// Simulates the callers of all accounts in a closed loop: when a request ends,
/// the next one of its account starts. Everything runs on the thread that calls
/// `run`; one thread sustains about 1,500 streams and 10,000 tokens per second.
/// Not meant to measure the maximum throughput of a fleet.
class LoadGenerator {
public:
  LoadGenerator(std::vector<LoadAccount> A, LoadOptions O);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Changes how many requests an account keeps open. A lower number takes
  /// effect as requests end.
  void setOpenRequests(std::size_t Account, unsigned Count);

  /// Changes the routers of an account's later requests.
  void setRouters(std::size_t Account, std::vector<std::string> Routers);

  /// Sends later requests of all accounts to another router, as a load balancer
  /// does for a router that is down.
  void replaceRouter(const std::string &From, const std::string &To);

  /// Aborts all open requests without recording them.
  void abortAll();

  /// Generates load for this long, or until `Stop`, which is checked at every
  /// sample, returns true.
  void run(Duration RunTime, const std::function<bool()> &Stop);

  /// Starts a new window: clears records and samples. Open requests continue.
  void startWindow();

  const std::vector<LoadAccount> &accounts() const { return this->Accounts; }
  const std::vector<AccountRecord> &records() const { return this->Records; }

  /// The service per share of each account at each sample of the window.
  const std::vector<ServiceSample> &samples() const { return this->Samples; }

  /// The outcomes that were reported to callers since the start of the
  /// generator.
  const std::vector<ReportedOutcome> &reportedOutcomes() const {
    return this->ReportedOutcomes;
  }

  /// Seconds since the window started.
  double windowSeconds() const;

private:
  struct Connection {
    std::size_t Account;
    std::uint64_t ExpectedTokens;
    TimePoint Opened;
    std::string Request;
    bool Sent = false;
    LoadResponseReader Reader;
  };
  struct Start {
    TimePoint At;
    std::size_t Account;
    bool operator>(const Start &Other) const { return this->At > Other.At; }
  };

  void scheduleMissing(std::size_t Account);
  void startDue();
  void openConnection(std::size_t Account);
  void handleReady(const Poco::Net::Socket &Socket, int Mode);
  void send(Poco::Net::StreamSocket &Stream, Connection &C);
  bool receive(Poco::Net::StreamSocket &Stream, Connection &C);
  void close(const Poco::Net::Socket &Socket);
  void recordResult(const Connection &C);
  void scheduleNext(std::size_t Account, Duration Delay);
  void takeSample();

  std::vector<LoadAccount> Accounts;
  LoadOptions Options;
  Clock Time = Clock::steady();
  std::mt19937_64 Random;
  std::vector<AccountRecord> Records;
  std::vector<unsigned> OpenCounts;
  std::vector<unsigned> WaitingCounts;
  std::vector<std::size_t> NextRouter;
  std::map<Poco::Net::Socket, std::unique_ptr<Connection>> Connections;
  Poco::Net::PollSet Sockets;
  std::priority_queue<Start, std::vector<Start>, std::greater<>>
      ScheduledStarts;
  std::vector<ServiceSample> Samples;
  std::vector<ReportedOutcome> ReportedOutcomes;
  TimePoint WindowStart;
};

} // namespace parsleywing::bench

#endif
