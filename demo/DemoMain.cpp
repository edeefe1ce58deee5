// Sends requests of several client accounts to the routers of a demonstration
// fleet and prints who got which part of the capacity.

#include "Runtime/LatencyHistogram.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

using namespace parsleywing;

namespace {

constexpr int TokensARequest = 20;
constexpr int WorkersAnAccount = 24;

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

/// Sends one request and adds its outcome to the account's numbers.
void sendOne(const std::string &Router, Account &Caller) {
  const auto Start = std::chrono::steady_clock::now();
  std::string Body = R"({"model":"advisory","stream":true,"input":"tokens=)" +
                     std::to_string(TokensARequest) + R"("})";
  ++Caller.Sent;
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Router)};
    Poco::Net::HTTPRequest Request("POST", "/v1/responses", "HTTP/1.1");
    Request.set("Authorization", "Bearer demo-" + Caller.Name);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    std::string Answer;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response), Answer);
    if (Answer.find("response.completed") != std::string::npos)
      ++Caller.Completed;
    else if (Response.get("X-Outcome", "") == "not-run")
      ++Caller.NotRun;
    else
      ++Caller.Unknown;
  } catch (const Poco::Exception &) {
    ++Caller.Unknown;
  }
  Caller.Latency.observe(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - Start));
}

void printTable(const std::vector<Account *> &Accounts) {
  int AllCompleted = 0;
  int AllShares = 0;
  for (const Account *Each : Accounts) {
    AllCompleted += Each->Completed;
    AllShares += Each->Share;
  }
  std::printf("%-10s %5s %8s %9s %7s %7s %7s %9s %9s %8s %8s\n", "account",
              "share", "requests", "completed", "not-run", "unknown", "tokens",
              "part due", "part got", "p50 ms", "p95 ms");
  for (const Account *Each : Accounts) {
    const auto Milliseconds = [Each](double Part) {
      return static_cast<double>(Each->Latency.quantile(Part).count()) / 1e3;
    };
    std::printf("%-10s %5d %8d %9d %7d %7d %7d %8.0f%% %8.0f%% %8.0f %8.0f\n",
                Each->Name.c_str(), Each->Share, Each->Sent.load(),
                Each->Completed.load(), Each->NotRun.load(),
                Each->Unknown.load(), Each->Completed * TokensARequest,
                100.0 * Each->Share / AllShares,
                AllCompleted ? 100.0 * Each->Completed / AllCompleted : 0.0,
                Milliseconds(0.5), Milliseconds(0.95));
  }
}

} // namespace

/// Takes the seconds to run and the routers' addresses.
int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount < 3) {
    std::fputs("usage: parsleywing-demo SECONDS ROUTER...\n", stderr);
    return 2;
  }
  const auto End = std::chrono::steady_clock::now() +
                   std::chrono::seconds(std::atoi(Arguments[1]));
  const std::vector<std::string> Routers(Arguments + 2,
                                         Arguments + ArgumentCount);
  Account Large("large", 4);
  Account Middle("middle", 2);
  Account Small("small", 1);
  const std::vector<Account *> Accounts{&Large, &Middle, &Small};
  std::vector<std::thread> Workers;
  for (Account *Each : Accounts)
    for (int Index = 0; Index < WorkersAnAccount; ++Index)
      Workers.emplace_back([Each, End, &Routers, Index] {
        const auto &Router =
            Routers[static_cast<std::size_t>(Index) % Routers.size()];
        while (std::chrono::steady_clock::now() < End)
          sendOne(Router, *Each);
      });
  for (std::thread &Worker : Workers)
    Worker.join();
  printTable(Accounts);
  return Large.Completed > 0 && Middle.Completed > 0 && Small.Completed > 0 ? 0
                                                                            : 1;
}
