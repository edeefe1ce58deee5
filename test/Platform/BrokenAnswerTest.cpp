#include "MalformedAnswers.h"
#include "Platform/StoreConnection.h"
#include "Platform/StoreWatch.h"
#include "RawServer.h"

#include <atomic>
#include <criterion/criterion.h>
#include <fstream>
#include <thread>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

Result<StoreResponse> callStore(const RawAnswer &Answer,
                                const std::string &Body = "{}") {
  RawServer Server([&](const std::string &, std::size_t) { return Answer; });
  StoreConnection Store(Server.address(), 10s, Clock::steady());
  return Store.call({"POST", "/a", Body}, 2s);
}

std::shared_ptr<StoreBudget> anyNumberOfCalls() {
  return std::make_shared<StoreBudget>(1e6, 1e6, Clock::steady().now());
}

/// The memory of this process, in bytes.
std::size_t residentBytes() {
  constexpr std::size_t PageBytes = 4096;
  std::ifstream Statistics("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Statistics >> Total >> Resident;
  return Resident * PageBytes;
}

/// A store that answers a watch with this text and then with the same bytes
/// again and again, until the connection is closed.
class EndlessWatch {
public:
  EndlessWatch(std::string Start, std::string Repeated)
      : Worker([this, First = std::move(Start), Next = std::move(Repeated)] {
          while (!this->Stopping)
            if (this->Listener.poll(Poco::Timespan(0, 10'000),
                                    Poco::Net::Socket::SELECT_READ))
              this->serve(First, Next);
        }) {}
  ~EndlessWatch() {
    this->Stopping = true;
    this->Worker.join();
  }
  EndlessWatch(const EndlessWatch &) = delete;
  EndlessWatch &operator=(const EndlessWatch &) = delete;

  std::string address() const { return this->Listener.address().toString(); }
  /// Whether a watch has closed its connection.
  bool closed() const { return this->Closed; }

private:
  void serve(const std::string &First, const std::string &Next) {
    Poco::Net::StreamSocket Connection = this->Listener.acceptConnection();
    Connection.setSendTimeout(Poco::Timespan(0, 200'000));
    try {
      Connection.sendBytes(First.data(), static_cast<int>(First.size()));
      while (!this->Stopping)
        Connection.sendBytes(Next.data(), static_cast<int>(Next.size()));
    } catch (const Poco::Exception &) {
      this->Closed = true;
    }
  }

  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Closed{false};
  std::thread Worker;
};

/// Checks that a watch ends with this answer and keeps little of it.
void expectWatchEnds(const std::string &Start, const std::string &Repeated) {
  constexpr std::size_t MaxGrowth = 48U << 20U;
  EndlessWatch Store(Start, Repeated);
  StoreSettings Settings;
  Settings.Address = Store.address();
  const std::size_t Before = residentBytes();
  std::size_t Most = Before;
  {
    StoreWatch Watch(Settings, anyNumberOfCalls(), Clock::steady(), {"prefix/"},
                     [](const std::vector<StoreChange> &) {});
    const auto Until = std::chrono::steady_clock::now() + 5s;
    while (!Store.closed() && std::chrono::steady_clock::now() < Until &&
           Most - Before <= MaxGrowth) {
      std::this_thread::sleep_for(5ms);
      Most = std::max(Most, residentBytes());
    }
  }
  cr_expect(Store.closed());
  cr_expect_leq(Most - Before, MaxGrowth);
}

} // namespace

// Guards against an answer of the store whose connection ends before its body.
Test(BrokenAnswer, ofTheStoreThatEndsEarlyIsNone, .timeout = 60) {
  for (const RawEnd End : {RawEnd::OrderlyThenReset, RawEnd::Reset})
    for (const std::string Framed :
         {"Content-Length: 20\r\n\r\n{}",
          "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"})
      cr_expect_not(callStore({"HTTP/1.1 200 OK\r\n" + Framed, End,
                               RawAnswer::WholeRequest})
                        .has_value(),
                    "%s", Framed.c_str());
}

// Guards against a part of an answer of the store that looks complete, since a
// write met the reset behind it before a read did.
Test(BrokenAnswer, ofTheStoreThatIsResetIsNone, .timeout = 60) {
  constexpr std::size_t UploadBytes = 1U << 20U;
  constexpr int Plays = 20;
  for (int Play = 0; Play < Plays; ++Play)
    cr_expect_not(
        callStore({"HTTP/1.1 200 OK\r\n\r\n{}"}, std::string(UploadBytes, 'u'))
            .has_value());
}

// Guards against a malformed answer that is taken for one of the store.
Test(MalformedAnswer, ofTheStoreIsNone, .timeout = 60) {
  std::vector<MalformedAnswer> Answers = malformedStatusLines();
  for (const MalformedAnswer &Each : malformedFields())
    Answers.push_back(Each);
  for (const MalformedAnswer &Each : Answers)
    cr_expect_not(callStore({Each.Bytes, RawEnd::OrderlyThenReset,
                             RawAnswer::WholeRequest})
                      .has_value(),
                  "%s", Each.Name.c_str());
}

// Guards against a watch that keeps a message without end.
Test(BrokenAnswer, ofAWatchWithoutEndOfAMessage, .timeout = 60) {
  expectWatchEnds("HTTP/1.1 200 OK\r\n\r\n", std::string(65'536, 'x'));
}

// Guards against a watch that keeps a head without end.
Test(BrokenAnswer, ofAWatchWithoutEndOfItsHead, .timeout = 60) {
  expectWatchEnds("HTTP/1.1 200 OK\r\n", "Abc: def\r\n");
}

// Guards against a watch that goes on behind a malformed head.
Test(MalformedAnswer, ofAWatchIsNone, .timeout = 60) {
  RawServer Server([](const std::string &, std::size_t) {
    return RawAnswer{"HTTP/1.1 200 OK\r\nOdd Name: x\r\n\r\n"
                     "{\"result\":{\"events\":[]}}\n",
                     RawEnd::OrderlyThenReset};
  });
  StoreSettings Settings;
  Settings.Address = Server.address();
  std::atomic<int> Reports{0};
  {
    StoreWatch Watch(Settings, anyNumberOfCalls(), Clock::steady(), {"prefix/"},
                     [&](const std::vector<StoreChange> &) { ++Reports; });
    std::this_thread::sleep_for(500ms);
  }
  cr_expect_geq(Server.received(), 1U);
  cr_expect_eq(Reports, 0);
}
