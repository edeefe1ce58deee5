// Sends requests of several client accounts to the routers of a demonstration
// fleet, and prints each account's share of the completed requests and which
// router served them.

#include "Runtime/LatencyHistogram.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <array>
#include <atomic>
#include <cstdio>
#include <deque>
#include <string>
#include <thread>
#include <vector>

using namespace parsleywing;

namespace {

constexpr int TokensPerRequest = 20;
constexpr int WorkersPerAccount = 24;
constexpr auto PauseAfterRefusal = std::chrono::milliseconds(50);

struct Account {
  Account(std::string N, int S) : Name(std::move(N)), Share(S) {}

  std::string Name;
  int Share;
  std::atomic<int> Sent{0};
  std::atomic<int> Completed{0};
  std::atomic<int> NotRun{0};
  std::atomic<int> Unknown{0};
  LatencyHistogram Latency;
};

struct Router {
  explicit Router(std::string A) : Address(std::move(A)) {}

  std::string Address;
  /// Completed requests in the first and in the second half of the run.
  std::array<std::atomic<int>, 2> Completed{};
};

/// The duration and the targets of one run.
struct Load {
  std::chrono::steady_clock::time_point Middle;
  std::chrono::steady_clock::time_point End;
  std::deque<Router> Routers;
};

/// Counts the outcome of one complete response.
void countOutcome(const Load &Run, Router &Target, Account &Caller,
                  const Poco::Net::HTTPResponse &Response,
                  const std::string &Text) {
  if (Text.find("response.completed") != std::string::npos) {
    ++Caller.Completed;
    ++Target.Completed[std::chrono::steady_clock::now() < Run.Middle ? 0 : 1];
    return;
  }
  if (Response.get("X-Outcome", "") != "not-run") {
    ++Caller.Unknown;
    return;
  }
  ++Caller.NotRun;
  std::this_thread::sleep_for(PauseAfterRefusal);
}

/// Sends one request on an open connection and counts its outcome. The outcome
/// of a truncated response is unknown.
void sendAndCount(const Load &Run, Router &Target, Account &Caller,
                  const Poco::Net::StreamSocket &Connection) {
  const std::string Body =
      R"({"model":"advisory","stream":true,"input":"tokens=)" +
      std::to_string(TokensPerRequest) + R"("})";
  const auto Start = std::chrono::steady_clock::now();
  ++Caller.Sent;
  try {
    Poco::Net::HTTPClientSession Session(Connection);
    Poco::Net::HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
    Request.set("Authorization", "Bearer demo-" + Caller.Name);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string Text;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Text);
    countOutcome(Run, Target, Caller, Response, Text);
  } catch (const Poco::Exception &) {
    ++Caller.Unknown;
  }
  Caller.Latency.observe(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - Start));
}

/// Sends requests one after another. If a router accepts no connection,
/// switches to the next one, as a load balancer in front of the fleet would.
void work(Load &Run, Account &Caller, std::size_t FirstRouter) {
  std::size_t Index = FirstRouter % Run.Routers.size();
  while (std::chrono::steady_clock::now() < Run.End) {
    Router &Target = Run.Routers[Index];
    try {
      const Poco::Net::StreamSocket Connection{
          Poco::Net::SocketAddress(Target.Address)};
      sendAndCount(Run, Target, Caller, Connection);
    } catch (const Poco::Exception &) {
      Index = (Index + 1) % Run.Routers.size();
      std::this_thread::sleep_for(PauseAfterRefusal);
    }
  }
}

void printAccounts(const std::vector<Account *> &Accounts) {
  int AllCompleted = 0;
  int AllShares = 0;
  for (const Account *Each : Accounts) {
    AllCompleted += Each->Completed;
    AllShares += Each->Share;
  }
  std::printf("%-10s %5s %8s %9s %7s %7s %7s %9s %9s %8s %8s\n", "account",
              "share", "requests", "completed", "not-run", "unknown", "tokens",
              "expected", "received", "p50 ms", "p95 ms");
  for (const Account *Each : Accounts) {
    const auto Milliseconds = [Each](double Part) {
      return static_cast<double>(Each->Latency.quantile(Part).count()) / 1e3;
    };
    std::printf("%-10s %5d %8d %9d %7d %7d %7d %8.1f%% %8.1f%% %8.0f %8.0f\n",
                Each->Name.c_str(), Each->Share, Each->Sent.load(),
                Each->Completed.load(), Each->NotRun.load(),
                Each->Unknown.load(), Each->Completed * TokensPerRequest,
                100.0 * Each->Share / AllShares,
                AllCompleted ? 100.0 * Each->Completed / AllCompleted : 0.0,
                Milliseconds(0.5), Milliseconds(0.95));
  }
}

void printRouters(const std::deque<Router> &Routers) {
  std::printf("\n%-10s %-22s %22s %22s\n", "router", "address",
              "completed, first half", "completed, second half");
  int Number = 0;
  for (const Router &Each : Routers)
    std::printf("router-%-3d %-22s %22d %22d\n", ++Number, Each.Address.c_str(),
                Each.Completed[0].load(), Each.Completed[1].load());
}

bool served(const std::vector<Account *> &Accounts) {
  for (const Account *Each : Accounts)
    if (Each->Completed == 0)
      return false;
  return true;
}

} // namespace

/// Arguments: the duration in seconds, and the addresses of the routers.
int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 3) {
    std::fputs("usage: parsleywing-demo SECONDS ROUTER...\n", stderr);
    return 2;
  }
  const auto RunTime = std::chrono::seconds(std::atoi(Arguments[1]));
  const auto Start = std::chrono::steady_clock::now();
  Load Run{Start + RunTime / 2, Start + RunTime, {}};
  for (int Index = 2; Index < ArgumentCount; ++Index)
    Run.Routers.emplace_back(Arguments[Index]);
  Account Large("large", 4);
  Account Middle("middle", 2);
  Account Small("small", 1);
  const std::vector<Account *> Accounts{&Large, &Middle, &Small};
  std::vector<std::thread> Workers;
  for (Account *Each : Accounts)
    for (std::size_t Index = 0; Index < WorkersPerAccount; ++Index)
      Workers.emplace_back([&Run, Each, Index] { work(Run, *Each, Index); });
  for (std::thread &Worker : Workers)
    Worker.join();
  printAccounts(Accounts);
  printRouters(Run.Routers);
  return served(Accounts) ? 0 : 1;
}
