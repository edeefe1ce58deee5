#include "LoadGenerator.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>

namespace parsleywing::bench {

using Poco::Net::PollSet;

namespace {

constexpr auto RefusalDelay = std::chrono::milliseconds(200);
constexpr Duration PollTimeout = std::chrono::milliseconds(5);
constexpr std::size_t ReadBufferSize = 16384;

double secondsOf(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

std::string requestText(const LoadAccount &Account, std::uint64_t Tokens,
                        std::uint64_t Hint) {
  const std::string Body = R"({"model":")" + Account.Service +
                           R"(","input":"tokens=)" + std::to_string(Tokens) +
                           R"(","stream":true,"max_output_tokens":)" +
                           std::to_string(Hint) + "}";
  return "POST /v1/responses HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n"
         "Authorization: Bearer " +
         Account.Key +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

LoadGenerator::LoadGenerator(std::vector<LoadAccount> A, LoadOptions O)
    : Accounts(std::move(A)), Options(O), Random(O.Seed),
      Records(this->Accounts.size()), OpenCounts(this->Accounts.size()),
      WaitingCounts(this->Accounts.size()), NextRouter(this->Accounts.size()),
      WindowStart(this->Time.now()) {}

LoadGenerator::~LoadGenerator() { this->abortAll(); }

void LoadGenerator::setOpenRequests(std::size_t Account, unsigned Count) {
  this->Accounts[Account].OpenRequests = Count;
}

void LoadGenerator::setRouters(std::size_t Account,
                               std::vector<std::string> Routers) {
  this->Accounts[Account].Routers = std::move(Routers);
}

void LoadGenerator::replaceRouter(const std::string &From,
                                  const std::string &To) {
  for (LoadAccount &Account : this->Accounts)
    std::ranges::replace(Account.Routers, From, To);
}

void LoadGenerator::abortAll() {
  this->Sockets.clear();
  this->Connections.clear();
  this->ScheduledStarts = {};
  this->OpenCounts.assign(this->Accounts.size(), 0);
  this->WaitingCounts.assign(this->Accounts.size(), 0);
}

void LoadGenerator::startWindow() {
  this->Records.assign(this->Accounts.size(), {});
  for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
    this->Records[Account].MinWaiting = this->WaitingCounts[Account];
  this->Samples.clear();
  this->WindowStart = this->Time.now();
}

double LoadGenerator::windowSeconds() const {
  return secondsOf(this->Time.now() - this->WindowStart);
}

void LoadGenerator::run(Duration RunTime, const std::function<bool()> &Stop) {
  const TimePoint End = this->Time.now() + RunTime;
  TimePoint NextSample = this->Time.now() + this->Options.SampleInterval;
  for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
    this->scheduleMissing(Account);
  while (this->Time.now() < End) {
    this->startDue();
    for (const auto &[Socket, Mode] :
         this->Sockets.poll(Poco::Timespan(PollTimeout.count())))
      this->handleReady(Socket, Mode);
    if (this->Time.now() < NextSample)
      continue;
    NextSample += this->Options.SampleInterval;
    this->takeSample();
    if (Stop())
      return;
  }
}

void LoadGenerator::scheduleMissing(std::size_t Account) {
  // Spread over one second, so that the requests do not all arrive at once.
  std::uniform_int_distribution<Duration::rep> StartDelay(0, 1'000'000);
  while (this->OpenCounts[Account] < this->Accounts[Account].OpenRequests)
    this->scheduleNext(Account, Duration(StartDelay(this->Random)));
}

void LoadGenerator::scheduleNext(std::size_t Account, Duration Delay) {
  if (this->OpenCounts[Account] >= this->Accounts[Account].OpenRequests)
    return;
  ++this->OpenCounts[Account];
  this->ScheduledStarts.push({this->Time.now() + Delay, Account});
}

void LoadGenerator::startDue() {
  while (!this->ScheduledStarts.empty() &&
         this->ScheduledStarts.top().At <= this->Time.now()) {
    const std::size_t Account = this->ScheduledStarts.top().Account;
    this->ScheduledStarts.pop();
    this->openConnection(Account);
  }
}

void LoadGenerator::openConnection(std::size_t Account) {
  const LoadAccount &A = this->Accounts[Account];
  const std::uint64_t Tokens = A.FixedTokens > 0
                                   ? A.FixedTokens
                                   : this->Options.Sizes.draw(this->Random);
  const std::uint64_t Hint =
      drawHint(Tokens, this->Options.MaxHintFactor, this->Random);
  const std::string &Router =
      A.Routers[this->NextRouter[Account]++ % A.Routers.size()];
  auto C = std::make_unique<Connection>();
  C->Account = Account;
  // An engine stops at the limit that the caller has set.
  C->ExpectedTokens = std::min(Tokens, Hint);
  C->Opened = this->Time.now();
  C->Request = requestText(A, Tokens, Hint);
  try {
    Poco::Net::StreamSocket Stream;
    Stream.connectNB(Poco::Net::SocketAddress(Router));
    this->Sockets.add(Stream, PollSet::POLL_WRITE | PollSet::POLL_ERROR);
    ++this->WaitingCounts[Account];
    this->Connections.emplace(Stream, std::move(C));
  } catch (const Poco::Exception &) {
    ++this->Records[Account].Outcomes["no connection"];
    --this->OpenCounts[Account];
    this->scheduleNext(Account, RefusalDelay);
  }
}

void LoadGenerator::handleReady(const Poco::Net::Socket &Socket, int Mode) {
  const auto Found = this->Connections.find(Socket);
  if (Found == this->Connections.end())
    return;
  Connection &C = *Found->second;
  Poco::Net::StreamSocket Stream(Socket);
  bool KeepOpen = true;
  try {
    if (!C.Sent && (Mode & PollSet::POLL_ERROR) == 0)
      this->send(Stream, C);
    else
      KeepOpen = this->receive(Stream, C);
  } catch (const Poco::Exception &) {
    KeepOpen = false;
  }
  if (!KeepOpen)
    this->close(Socket);
}

void LoadGenerator::send(Poco::Net::StreamSocket &Stream, Connection &C) {
  const int Sent =
      Stream.sendBytes(C.Request.data(), static_cast<int>(C.Request.size()));
  if (Sent > 0)
    C.Request.erase(0, static_cast<std::size_t>(Sent));
  if (!C.Request.empty())
    return;
  C.Sent = true;
  this->Sockets.update(Stream, PollSet::POLL_READ | PollSet::POLL_ERROR);
}

bool LoadGenerator::receive(Poco::Net::StreamSocket &Stream, Connection &C) {
  std::array<char, ReadBufferSize> Buffer;
  const int Received = Stream.receiveBytes(Buffer.data(), Buffer.size());
  if (Received == 0)
    return false;
  if (Received < 0)
    return true; // No bytes are available yet.
  const std::uint64_t Before = C.Reader.tokens();
  C.Reader.feed({Buffer.data(), static_cast<std::size_t>(Received)});
  AccountRecord &R = this->Records[C.Account];
  R.Tokens += C.Reader.tokens() - Before;
  if (Before == 0 && C.Reader.tokens() > 0) {
    --this->WaitingCounts[C.Account];
    R.FirstTokenSeconds.push_back(secondsOf(this->Time.now() - C.Opened));
  }
  return !C.Reader.ended();
}

void LoadGenerator::close(const Poco::Net::Socket &Socket) {
  const auto Found = this->Connections.find(Socket);
  const std::unique_ptr<Connection> C = std::move(Found->second);
  this->Sockets.remove(Socket);
  this->Connections.erase(Found);
  if (C->Reader.tokens() == 0)
    --this->WaitingCounts[C->Account];
  this->recordResult(*C);
  --this->OpenCounts[C->Account];
  const bool Refused = C->Reader.status() != 200;
  const Duration RetryAfter =
      std::chrono::seconds(C->Reader.retryAfterSeconds());
  this->scheduleNext(C->Account,
                     Refused ? std::max<Duration>(RefusalDelay, RetryAfter)
                             : this->Accounts[C->Account].Pause);
}

void LoadGenerator::recordResult(const Connection &C) {
  AccountRecord &R = this->Records[C.Account];
  const LoadResponseReader &Response = C.Reader;
  std::string Outcome = Response.outcome();
  if (Outcome.empty())
    Outcome = Response.status() == 0 ? "no response" : "stream truncated";
  if (Response.status() != 200 && Response.status() != 0)
    Outcome += " (" + std::to_string(Response.status()) + ")";
  ++R.Outcomes[Outcome];
  if (!Response.requestId().empty())
    this->ReportedOutcomes.push_back(
        {Response.requestId(), Response.outcome()});
  const bool IsComplete = Response.tokens() == C.ExpectedTokens &&
                          Response.reportedTokens() == C.ExpectedTokens;
  if (Response.isOutOfOrder() || (Response.completed() && !IsComplete))
    ++R.Invalid;
  if (Response.status() == 200 && Response.outcome().empty())
    ++R.Truncated;
}

void LoadGenerator::takeSample() {
  ServiceSample Now;
  for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account) {
    AccountRecord &R = this->Records[Account];
    Now.push_back(static_cast<double>(R.Tokens) /
                  this->Accounts[Account].Share);
    R.MinWaiting = std::min(R.MinWaiting, this->WaitingCounts[Account]);
  }
  this->Samples.push_back(std::move(Now));
}

} // namespace parsleywing::bench
