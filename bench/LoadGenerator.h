#ifndef PARSLEYWING_BENCH_LOADGENERATOR_H
#define PARSLEYWING_BENCH_LOADGENERATOR_H

#include "LoadAnswerReader.h"
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

/// A client account whose callers the generator plays.
struct LoadAccount {
  std::string Name;
  std::string Key;
  std::string Service;
  double Share = 1;
  /// Addresses of the routers at which it enters, used in turn.
  std::vector<std::string> Routers;
  /// Requests kept open at all times.
  unsigned OpenRequests = 0;
  /// Time between the end of a request and the next one.
  Duration Pause = Duration::zero();
  /// Tokens of each answer; zero draws them from the distribution.
  std::uint64_t FixedTokens = 0;
};

/// What an account has got since the window began.
struct AccountRecord {
  std::uint64_t Tokens = 0;
  std::map<std::string, std::uint64_t> Outcomes;
  std::vector<double> FirstTokenSeconds;
  /// Answers told to be completed that were not whole.
  std::uint64_t Broken = 0;
  /// Streams that ended without a final event.
  std::uint64_t Cut = 0;
  /// The fewest requests that waited for their first token at any sample.
  unsigned LeastWaiting = 0;
};

/// The identity that a router gave a request, and the final word on it; empty
/// where none came.
struct ToldOutcome {
  std::string Request;
  std::string Outcome;
};

struct LoadOptions {
  std::uint64_t Seed = 1;
  AnswerSizes Sizes{16, 600, 1.2};
  /// Hints are wrong by up to this factor either way.
  double WorstHintFactor = 10;
  Duration SampleInterval = std::chrono::milliseconds(100);
};

/// Plays the callers of all accounts in a closed loop: when a request ends,
/// the next one of its account begins. Everything runs in the thread that
/// calls `run`; one thread carries about 1,500 streams and 10,000 tokens a
/// second. Not meant to find the largest rate of a fleet.
class LoadGenerator {
public:
  LoadGenerator(std::vector<LoadAccount> A, LoadOptions O);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Changes how many requests an account keeps open. Fewer takes effect as
  /// requests end.
  void setOpenRequests(std::size_t Account, unsigned Count);

  /// Changes where an account's later requests enter.
  void setRouters(std::size_t Account, std::vector<std::string> Routers);

  /// Sends later requests of all accounts to another router, as a balancer
  /// does for a router that is gone.
  void replaceRouter(const std::string &From, const std::string &To);

  /// Breaks off every open request without recording it.
  void abandonAll();

  /// Carries the load for this long, or until `Stop` (asked at every sample)
  /// says true.
  void run(Duration For, const std::function<bool()> &Stop);

  /// Forgets records and samples; open requests go on.
  void startWindow();

  const std::vector<LoadAccount> &accounts() const { return this->Accounts; }
  const std::vector<AccountRecord> &records() const { return this->Records; }

  /// Weighted service of each account at each sample of the window.
  const std::vector<ServiceSample> &samples() const { return this->Samples; }

  /// What callers were told of their requests, since the generator began.
  const std::vector<ToldOutcome> &told() const { return this->Told; }

  /// Seconds since the window began.
  double windowSeconds() const;

private:
  struct Connection {
    std::size_t Account;
    std::uint64_t ExpectedTokens;
    TimePoint Opened;
    std::string Request;
    bool Sent = false;
    LoadAnswerReader Reader;
  };
  struct Start {
    TimePoint At;
    std::size_t Account;
    bool operator>(const Start &Other) const { return this->At > Other.At; }
  };

  void fill(std::size_t Account);
  void startDue();
  void open(std::size_t Account);
  void serve(const Poco::Net::Socket &Socket, int Mode);
  void send(Poco::Net::StreamSocket &Stream, Connection &C);
  bool receive(Poco::Net::StreamSocket &Stream, Connection &C);
  void close(const Poco::Net::Socket &Socket);
  void record(const Connection &C);
  void again(std::size_t Account, Duration After);
  void sample();

  std::vector<LoadAccount> Accounts;
  LoadOptions Options;
  Clock Time = Clock::steady();
  std::mt19937_64 Random;
  std::vector<AccountRecord> Records;
  std::vector<unsigned> Open;
  std::vector<unsigned> Waiting;
  std::vector<std::size_t> NextRouter;
  std::map<Poco::Net::Socket, std::unique_ptr<Connection>> Connections;
  Poco::Net::PollSet Sockets;
  std::priority_queue<Start, std::vector<Start>, std::greater<>> Starts;
  std::vector<ServiceSample> Samples;
  std::vector<ToldOutcome> Told;
  TimePoint WindowStart;
};

} // namespace parsleywing::bench

#endif
