#include "LoadGenerator.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>

namespace parsleywing::bench {

using Poco::Net::PollSet;

namespace {

constexpr auto PauseAfterRefusal = std::chrono::milliseconds(200);
constexpr Duration PollTime = std::chrono::milliseconds(5);
constexpr std::size_t ReadBytes = 16384;

double secondsOf(Duration D) {
  return std::chrono::duration<double>(D).count();
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
      Records(this->Accounts.size()), Open(this->Accounts.size()),
      Waiting(this->Accounts.size()), NextRouter(this->Accounts.size()),
      WindowStart(this->Time.now()) {}

LoadGenerator::~LoadGenerator() { this->abandonAll(); }

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

void LoadGenerator::abandonAll() {
  this->Sockets.clear();
  this->Connections.clear();
  this->Starts = {};
  this->Open.assign(this->Accounts.size(), 0);
  this->Waiting.assign(this->Accounts.size(), 0);
}

void LoadGenerator::startWindow() {
  this->Records.assign(this->Accounts.size(), {});
  for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
    this->Records[Account].LeastWaiting = this->Waiting[Account];
  this->Samples.clear();
  this->WindowStart = this->Time.now();
}

double LoadGenerator::windowSeconds() const {
  return secondsOf(this->Time.now() - this->WindowStart);
}

void LoadGenerator::run(Duration For, const std::function<bool()> &Stop) {
  const TimePoint End = this->Time.now() + For;
  TimePoint NextSample = this->Time.now() + this->Options.SampleInterval;
  for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account)
    this->fill(Account);
  while (this->Time.now() < End) {
    this->startDue();
    for (const auto &[Socket, Mode] :
         this->Sockets.poll(Poco::Timespan(PollTime.count())))
      this->serve(Socket, Mode);
    if (this->Time.now() < NextSample)
      continue;
    NextSample += this->Options.SampleInterval;
    this->sample();
    if (Stop())
      return;
  }
}

void LoadGenerator::fill(std::size_t Account) {
  // Spread over a second, so that a fleet does not meet all of them at once.
  std::uniform_int_distribution<Duration::rep> Spread(0, 1'000'000);
  while (this->Open[Account] < this->Accounts[Account].OpenRequests)
    this->again(Account, Duration(Spread(this->Random)));
}

void LoadGenerator::again(std::size_t Account, Duration After) {
  if (this->Open[Account] >= this->Accounts[Account].OpenRequests)
    return;
  ++this->Open[Account];
  this->Starts.push({this->Time.now() + After, Account});
}

void LoadGenerator::startDue() {
  while (!this->Starts.empty() && this->Starts.top().At <= this->Time.now()) {
    const std::size_t Account = this->Starts.top().Account;
    this->Starts.pop();
    this->open(Account);
  }
}

void LoadGenerator::open(std::size_t Account) {
  const LoadAccount &A = this->Accounts[Account];
  const std::uint64_t Tokens = A.FixedTokens > 0
                                   ? A.FixedTokens
                                   : this->Options.Sizes.draw(this->Random);
  const std::uint64_t Hint =
      drawHint(Tokens, this->Options.WorstHintFactor, this->Random);
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
    ++this->Waiting[Account];
    this->Connections.emplace(Stream, std::move(C));
  } catch (const Poco::Exception &) {
    ++this->Records[Account].Outcomes["no connection"];
    --this->Open[Account];
    this->again(Account, PauseAfterRefusal);
  }
}

void LoadGenerator::serve(const Poco::Net::Socket &Socket, int Mode) {
  const auto Place = this->Connections.find(Socket);
  if (Place == this->Connections.end())
    return;
  Connection &C = *Place->second;
  Poco::Net::StreamSocket Stream(Socket);
  bool GoesOn = true;
  try {
    if (!C.Sent && (Mode & PollSet::POLL_ERROR) == 0)
      this->send(Stream, C);
    else
      GoesOn = this->receive(Stream, C);
  } catch (const Poco::Exception &) {
    GoesOn = false;
  }
  if (!GoesOn)
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
  std::array<char, ReadBytes> Buffer;
  const int Got = Stream.receiveBytes(Buffer.data(), Buffer.size());
  if (Got == 0)
    return false;
  if (Got < 0)
    return true; // Nothing has come yet.
  const std::uint64_t Before = C.Reader.tokens();
  C.Reader.feed({Buffer.data(), static_cast<std::size_t>(Got)});
  AccountRecord &R = this->Records[C.Account];
  R.Tokens += C.Reader.tokens() - Before;
  if (Before == 0 && C.Reader.tokens() > 0) {
    --this->Waiting[C.Account];
    R.FirstTokenSeconds.push_back(secondsOf(this->Time.now() - C.Opened));
  }
  return !C.Reader.ended();
}

void LoadGenerator::close(const Poco::Net::Socket &Socket) {
  const auto Place = this->Connections.find(Socket);
  const std::unique_ptr<Connection> C = std::move(Place->second);
  this->Sockets.remove(Socket);
  this->Connections.erase(Place);
  if (C->Reader.tokens() == 0)
    --this->Waiting[C->Account];
  this->record(*C);
  --this->Open[C->Account];
  const bool Refused = C->Reader.status() != 200;
  const Duration Told = std::chrono::seconds(C->Reader.retryAfterSeconds());
  this->again(C->Account, Refused ? std::max<Duration>(PauseAfterRefusal, Told)
                                  : this->Accounts[C->Account].Pause);
}

void LoadGenerator::record(const Connection &C) {
  AccountRecord &R = this->Records[C.Account];
  const LoadAnswerReader &Answer = C.Reader;
  std::string Outcome = Answer.outcome();
  if (Outcome.empty())
    Outcome = Answer.status() == 0 ? "no answer" : "stream cut";
  if (Answer.status() != 200 && Answer.status() != 0)
    Outcome += " (" + std::to_string(Answer.status()) + ")";
  ++R.Outcomes[Outcome];
  if (!Answer.requestId().empty())
    this->Told.push_back({Answer.requestId(), Answer.outcome()});
  const bool Whole = Answer.tokens() == C.ExpectedTokens &&
                     Answer.statedTokens() == C.ExpectedTokens;
  if (Answer.disordered() || (Answer.completed() && !Whole))
    ++R.Broken;
  if (Answer.status() == 200 && Answer.outcome().empty())
    ++R.Cut;
}

void LoadGenerator::sample() {
  ServiceSample Now;
  for (std::size_t Account = 0; Account < this->Accounts.size(); ++Account) {
    AccountRecord &R = this->Records[Account];
    Now.push_back(static_cast<double>(R.Tokens) /
                  this->Accounts[Account].Share);
    R.LeastWaiting = std::min(R.LeastWaiting, this->Waiting[Account]);
  }
  this->Samples.push_back(std::move(Now));
}

} // namespace parsleywing::bench
