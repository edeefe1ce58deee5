// Measures the cost of one router process: resident memory by component, memory
// of each caller's connection, and CPU time per request and token, separately
// for the threads of callers' connections and for all others. Runs a real
// router process with stand-in engines on loopback, without other routers and
// without a platform. Run: `build/CapacityProcessBench`; takes about 65 s in
// total. The argument `memory` or `load` runs one half.

#include "FleetProbe.h"
#include "LoadGenerator.h"
#include "Process/Fleet.h"

#include <Poco/Net/StreamSocket.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace parsleywing;
using namespace parsleywing::bench;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Accounts = 24'000;
constexpr std::size_t Servers = 12'000;
constexpr std::size_t Models = 5;
constexpr std::size_t MaxConnections = 800;
/// The load of one router at the target: 320 concurrent responses, a token
/// every 27 ms, 237 tokens per response.
constexpr std::size_t Engines = 8;
constexpr unsigned MaxRunningPerEngine = 40;
constexpr unsigned StepMilliseconds = 27;
constexpr std::uint64_t TokensPerResponse = 237;
constexpr unsigned OpenRequests = 720;
constexpr std::size_t LoadAccounts = 4;
/// Servers that one router owns at the target, each polled for its load.
constexpr std::size_t OwnedServers = 32;
constexpr int NoPolls = 60'000;
constexpr int PollEverySecond = 1'000;
constexpr auto PollWindow = 5s;
constexpr auto WarmUp = 12s;
constexpr auto Window = 15s;
constexpr double TargetRequests = 50;
constexpr double TargetTokens = 11'850;

struct Size {
  std::size_t Accounts = 0;
  std::size_t Servers = 0;
};

std::string accountSection(const std::string &Name, const std::string &Models) {
  return "[account " + Name +
         "]\nkey_sha256 = " + test::digestOfKey("key-of-" + Name) +
         "\nservices = " + Models + "\n";
}

std::string serverSection(const std::string &Name, const std::string &Address,
                          unsigned Slots) {
  return "[server " + Name + "]\naddress = " + Address +
         "\navailability_zone = z1\nmax_concurrent_requests = " +
         std::to_string(Slots) + "\n";
}

/// Generates declarations of this size, with servers that are not running.
std::string declarations(Size Requested) {
  std::string Text;
  std::string Lists[Models];
  for (std::size_t I = 0; I < Requested.Servers; ++I) {
    const std::string Name = "server-" + std::to_string(I);
    Text += serverSection(Name, "127.0.0.1:1", 8);
    std::string &List = Lists[I % Models];
    List += (List.empty() ? "" : ", ") + Name;
  }
  for (std::size_t I = 0; I < Models; ++I)
    Text += "[service model-" + std::to_string(I) + "]\nservers = " + Lists[I] +
            "\n";
  for (std::size_t I = 0; I < Requested.Accounts; ++I)
    Text += accountSection("account-" + std::to_string(I),
                           "model-0, model-1, model-2, model-3, model-4");
  return Text;
}

std::string settings(const std::string &Callers, const std::string &File,
                     int PollMilliseconds) {
  return "[router]\nname = r1\navailability_zone = z1\n[listen]\ncallers = " +
         Callers + "\n[declarations]\nfile = " + File +
         "\n[callers]\nmax_connections = 2000\n[backends]\n"
         "load_poll_interval_milliseconds = " +
         std::to_string(PollMilliseconds) + "\n[log]\nlevel = warn\n";
}

/// A router process with its files.
class Router {
public:
  explicit Router(const std::string &Declarations,
                  int PollMilliseconds = NoPolls)
      : Address(test::freeAddress()),
        Process(
            "parsleywing",
            {"router", "--settings",
             this->Folder.write(
                 "r1.ini", settings(this->Address,
                                    this->Folder.write("d.ini", Declarations),
                                    PollMilliseconds))},
            this->Folder.path("r1.log")) {
    if (!test::waitForListener(this->Address))
      throw std::runtime_error("the router does not listen");
  }

  const std::string &address() const { return this->Address; }
  int id() const { return this->Process.id(); }
  double resident() const { return useOf(this->id()).ResidentMebibytes; }

private:
  test::TemporaryFolder Folder;
  std::string Address;
  test::ChildProcess Process;
};

/// Returns the CPU time in seconds of each thread, by thread ID.
std::map<int, double> threadsOf(int ProcessId) {
  std::map<int, double> Seconds;
  const std::string Tasks = "/proc/" + std::to_string(ProcessId) + "/task";
  std::error_code Ignored;
  for (const auto &Task : std::filesystem::directory_iterator(Tasks, Ignored)) {
    std::ifstream File(Task.path() / "stat");
    std::string Line;
    std::getline(File, Line);
    const std::size_t NameEnd = Line.rfind(')');
    if (NameEnd == std::string::npos)
      continue;
    std::istringstream Fields(Line.substr(NameEnd + 1));
    std::string Field;
    double Ticks = 0;
    for (int Number = 1; Fields >> Field && Number <= 13; ++Number)
      if (Number >= 12)
        Ticks += std::stod(Field);
    Seconds[std::stoi(Task.path().filename())] =
        Ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  return Seconds;
}

void measureDeclarations() {
  std::printf("%-44s %10s\n", "resident memory of a router", "MiB");
  for (const auto &[Name, Requested] :
       {std::pair<const char *, Size>{"5 servers, no account", {0, 5}},
        {"24,000 accounts, 5 servers", {Accounts, 5}},
        {"24,000 accounts, 12,000 servers", {Accounts, Servers}}}) {
    const Router One(declarations(Requested));
    std::this_thread::sleep_for(3s);
    std::printf("%-44s %10.1f\n", Name, One.resident());
    std::fflush(stdout);
  }
}

/// Opens a connection and requests `/health` on it, so that its thread has read
/// and written once and then waits.
Poco::Net::StreamSocket idleConnection(const std::string &Address) {
  Poco::Net::StreamSocket Socket{Poco::Net::SocketAddress(Address)};
  const std::string Text = "GET /health HTTP/1.1\r\nHost: fleet\r\n\r\n";
  Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
  char Response[4096];
  Socket.receiveBytes(Response, sizeof(Response));
  return Socket;
}

void measureConnections() {
  const Router One(declarations({0, Models}));
  std::vector<Poco::Net::StreamSocket> Open;
  double First = 0;
  std::printf("\n%-44s %10s\n", "idle connections of callers", "MiB");
  for (const std::size_t Count :
       {std::size_t{0}, MaxConnections / 8, MaxConnections / 4,
        MaxConnections / 2, MaxConnections}) {
    while (Open.size() < Count)
      Open.push_back(idleConnection(One.address()));
    const double Now = One.resident();
    First = Count == 0 ? Now : First;
    std::printf("%-44zu %10.1f\n", Count, Now);
    if (Count == MaxConnections)
      std::printf("%-44s %10.1f\n", "KiB per connection",
                  (Now - First) * 1024 / static_cast<double>(Count));
  }
}

class EngineGroup {
public:
  EngineGroup() {
    for (std::size_t I = 0; I < Engines; ++I) {
      this->Addresses.push_back(test::freeAddress());
      this->Processes.emplace_back(
          "parsleywing-standin",
          std::vector<std::string>{
              "--engine", this->Addresses.back(), "--max-running",
              std::to_string(MaxRunningPerEngine), "--step-ms",
              std::to_string(StepMilliseconds)},
          this->Folder.path("engine.log"));
    }
    for (const std::string &Address : this->Addresses)
      if (!test::waitForListener(Address))
        throw std::runtime_error("an engine does not listen");
  }

  /// Declares as many servers as one router owns, which share these engines.
  std::string ownedServers() const {
    std::string Text;
    std::string List;
    for (std::size_t I = 0; I < OwnedServers; ++I) {
      const std::string Name = "server-" + std::to_string(I);
      Text += serverSection(Name, this->Addresses[I % Engines], 8);
      List += (List.empty() ? "" : ", ") + Name;
    }
    return Text + "[service model-0]\nservers = " + List + "\n" +
           accountSection("account-0", "model-0");
  }

  /// Returns the size of one response with the server's load, including
  /// headers.
  std::size_t loadResponseBytes() const {
    Poco::Net::StreamSocket Socket{
        Poco::Net::SocketAddress(this->Addresses.front())};
    const std::string Text =
        "GET /metrics HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    char Part[4096];
    std::size_t Bytes = 0;
    for (int Received = 1; Received > 0;
         Bytes += static_cast<std::size_t>(Received))
      Received = Socket.receiveBytes(Part, sizeof(Part));
    return Bytes;
  }

  /// Declares these engines as one service, and all accounts of the target.
  std::string declarations() const {
    std::string Text;
    std::string List;
    for (std::size_t I = 0; I < Engines; ++I) {
      const std::string Name = "engine-" + std::to_string(I);
      Text += serverSection(Name, this->Addresses[I], MaxRunningPerEngine);
      List += (List.empty() ? "" : ", ") + Name;
    }
    Text += "[service model-0]\nservers = " + List + "\n";
    for (std::size_t I = 0; I < Accounts; ++I)
      Text += accountSection("account-" + std::to_string(I), "model-0");
    return Text;
  }

private:
  test::TemporaryFolder Folder;
  std::vector<std::string> Addresses;
  std::vector<test::ChildProcess> Processes;
};

void measurePolls() {
  const EngineGroup Servers;
  std::printf("\n%-44s %10s\n", "an idle router", "% of a core");
  for (const int Interval : {NoPolls, PollEverySecond}) {
    const Router One(Servers.ownedServers(), Interval);
    std::this_thread::sleep_for(2s);
    const double Before = useOf(One.id()).ProcessorSeconds;
    std::this_thread::sleep_for(PollWindow);
    const double Spent = useOf(One.id()).ProcessorSeconds - Before;
    std::printf("%zu servers, each polled every %6d ms %17.2f\n", OwnedServers,
                Interval, Spent / PollWindow.count() * 100);
  }
  std::printf("%-44s %10zu bytes\n", "size of a stand-in's load report",
              Servers.loadResponseBytes());
}

std::vector<LoadAccount> loadOn(const std::string &Address) {
  std::vector<LoadAccount> All;
  for (std::size_t I = 0; I < LoadAccounts; ++I) {
    LoadAccount Account;
    Account.Name = "account-" + std::to_string(I);
    Account.Key = "key-of-" + Account.Name;
    Account.Service = "model-0";
    Account.Routers = {Address};
    Account.OpenRequests = OpenRequests / LoadAccounts;
    Account.FixedTokens = TokensPerResponse;
    All.push_back(Account);
  }
  return All;
}

void printLoad(double Seconds, double Requests, double Tokens, double Others,
               double Traffic) {
  std::printf("%.1f requests/s, %.0f tokens/s\n", Requests / Seconds,
              Tokens / Seconds);
  std::printf("%-44s %10.2f %% of a core\n",
              "threads that existed before the load", Others / Seconds * 100);
  std::printf("%-44s %10.2f %% of a core\n", "threads of callers' connections",
              Traffic / Seconds * 100);
  std::printf("%-44s %10.1f us\n", "connections' threads, per token",
              Traffic / Tokens * 1e6);
  std::printf("%-44s %10.2f us\n", "other threads, per token",
              Others / Tokens * 1e6);
  std::printf("%-44s %10.2f cores\n", "at 11,850 tokens/s, in proportion",
              (Traffic + Others) / Tokens * TargetTokens);
}

void measureLoad() {
  const EngineGroup Servers;
  const Router One(Servers.declarations());
  std::this_thread::sleep_for(2s);
  std::set<int> Before;
  const auto AtRest = threadsOf(One.id());
  for (const auto &[Thread, Seconds] : AtRest)
    Before.insert(Thread);
  const double RestResident = One.resident();
  std::this_thread::sleep_for(3s);
  double RestSeconds = 0;
  for (const auto &[Thread, Seconds] : threadsOf(One.id()))
    RestSeconds += Seconds - AtRest.at(Thread);
  std::printf("\nidle: %.2f %% of a core, %zu threads, %.1f MiB\n",
              RestSeconds / 3 * 100, Before.size(), RestResident);

  LoadGenerator Load(loadOn(One.address()), {});
  const auto Never = [] { return false; };
  Load.run(WarmUp, Never);
  Load.startWindow();
  const auto First = threadsOf(One.id());
  const double FirstAll = useOf(One.id()).ProcessorSeconds;
  Load.run(Window, Never);
  const double Seconds = Load.windowSeconds();
  const double All = useOf(One.id()).ProcessorSeconds - FirstAll;
  double Others = 0;
  double Max = 0;
  for (const auto &[Thread, Now] : threadsOf(One.id()))
    if (Before.contains(Thread)) {
      const double Spent = Now - First.at(Thread);
      Others += Spent;
      Max = std::max(Max, Spent);
    }
  double Tokens = 0;
  double Requests = 0;
  for (const AccountRecord &Record : Load.records()) {
    Tokens += static_cast<double>(Record.Tokens);
    for (const auto &[Outcome, Count] : Record.Outcomes) {
      Requests += static_cast<double>(Count);
      std::printf("%s: %llu  ", Outcome.c_str(),
                  static_cast<unsigned long long>(Count));
    }
  }
  std::printf("\nunder load: %.1f MiB, %zu threads; the busiest of the other "
              "threads %.2f %% of a core\n",
              One.resident(), threadsOf(One.id()).size(), Max / Seconds * 100);
  printLoad(Seconds, Requests, Tokens, Others, All - Others);
}

} // namespace

int main(int Count, char **Arguments) {
  const std::string Half = Count > 1 ? Arguments[1] : "";
  try {
    if (Half != "load") {
      measureDeclarations();
      measureConnections();
    }
    if (Half != "memory") {
      measurePolls();
      measureLoad();
    }
    return 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 1;
  }
}
