// Measures the cost of the decisions of one router at the target size of the
// design: memory by component, and CPU time of each kind of event at the rate
// of such events at one router. Drives RouterCore alone, under a paused clock;
// the mailbox and the wake-ups of the control thread are not included (see
// CapacityProcessBench). Run: `build/CapacityControlBench`; takes about 10 s.

#include "Decision/RouterCore.h"
#include "Runtime/Overloaded.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <deque>
#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Routers = 380;
constexpr std::size_t Servers = 12'000;
constexpr std::size_t Accounts = 24'000;
constexpr std::size_t Services = 5;
constexpr std::size_t ActiveAccounts = 40; // times five services: 200 pairs.
constexpr std::uint32_t SlotsPerServer = 10;
constexpr std::size_t Waiting = 400;
/// 4.5 million tokens per second over 19,000 requests per second.
constexpr std::uint64_t TokensPerResponse = 237;
/// Time between two tokens of one response at the target.
constexpr Duration TokenInterval = 27ms;
constexpr Duration TickInterval = 10ms;
constexpr std::size_t RequestsPerSecond = 50;
/// Longer than a second, so that every periodic message is sent several times.
constexpr int MeasuredSeconds = 8;
constexpr Duration MeasuredTime = std::chrono::seconds(MeasuredSeconds);
/// Datagrams that reach a router each second: three digests and some ten with
/// contributions and slots. The pings and rumours of membership come on top.
constexpr int FairMessagesPerSecond = 13;
constexpr int LoadReportsPerSecond = 32;

double cpuSeconds() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return static_cast<double>(Now.tv_sec) +
         static_cast<double>(Now.tv_nsec) / 1e9;
}

double residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t Size = 0;
  std::uint64_t Resident = 0;
  In >> Size >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

/// Bytes taken from the allocator, including blocks that it mapped separately.
double heapBytes() {
  const auto Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

RouterId routerAt(std::size_t Index) {
  return idOf<RouterId>("router-" + std::to_string(Index));
}

/// Different for each router: of two routers with the same address, the older
/// is considered dead.
std::string addressOf(std::size_t Index) {
  return "10.1." + std::to_string(Index / 250) + "." +
         std::to_string(Index % 250 + 1) + ":7100";
}

DeclarationsPtr declarations() {
  auto All = std::make_shared<Declarations>();
  std::vector<ServiceId> Ids;
  for (std::size_t I = 0; I < Services; ++I) {
    const std::string Name = "model-" + std::to_string(I);
    Ids.push_back(idOf<ServiceId>(Name));
    All->Services[Ids.back()].Name = Name;
  }
  for (std::size_t I = 0; I < Servers; ++I) {
    const std::string Name = "server-" + std::to_string(I);
    const auto Server = idOf<ServerId>(Name);
    ServerDeclaration &Declared = All->Servers[Server];
    Declared.Name = Name;
    Declared.Address = "10.1.2.3:" + std::to_string(1 + I % 60'000);
    Declared.Zone = "zone-" + std::to_string(I % 9);
    Declared.MaxConcurrent = SlotsPerServer;
    All->Services[Ids[I % Services]].Servers.push_back(Server);
  }
  for (std::size_t I = 0; I < Accounts; ++I) {
    AccountDeclaration Account;
    Account.Name = "account-" + std::to_string(I);
    Account.KeyDigest = std::string(64, 'a');
    Account.Services = Ids;
    All->Accounts.emplace(idOf<AccountId>(Account.Name), std::move(Account));
  }
  return All;
}

/// The kinds of events whose cost is measured separately.
enum class Kind {
  Arrival,
  Sent,
  Progress,
  End,
  Tick,
  Digest,
  Contributions,
  Membership,
  LoadReport,
  Configuration,
};

inline constexpr EnumNames<Kind, 10> KindNames{{
    {Kind::Arrival, "arrival"},
    {Kind::Sent, "attempt sent"},
    {Kind::Progress, "progress report"},
    {Kind::End, "end and next admission"},
    {Kind::Tick, "tick"},
    {Kind::Digest, "fairness digest in"},
    {Kind::Contributions, "40 contributions in"},
    {Kind::Membership, "membership message in"},
    {Kind::LoadReport, "load report in"},
    {Kind::Configuration, "declarations changed"},
}};

struct Cost {
  std::uint64_t Count = 0;
  double Seconds = 0;
};

struct RunningRequest {
  RequestId Request;
  AttemptNumber Attempt = 1;
  TimePoint Started;
  std::uint64_t Tokens = 0;
};

/// One router of 380, with members that acknowledge its pings and servers that
/// generate a token every 27 ms.
class TargetRouter {
public:
  TargetRouter() : Core(settings()) {}

  void join() {
    MembershipMessage State;
    State.Kind = MembershipKind::State;
    for (std::size_t I = 0; I < Routers; ++I) {
      const RouterId Router = routerAt(I);
      State.Rumours.push_back({Router, 1, 0, MemberStatus::Alive, false});
      State.Records.push_back({Router, 1, static_cast<std::uint32_t>(I % 9),
                               "router-" + std::to_string(I), addressOf(I),
                               "10.0.0.1:7000"});
    }
    this->deliver(Kind::Membership,
                  PeerPartReceived{routerAt(1), 1, State, addressOf(1)});
  }

  void declare(DeclarationsPtr All) {
    this->deliver(Kind::Configuration, DeclarationsChanged{std::move(All)});
  }

  /// Waits until the takeover delays have passed.
  void settle() {
    for (int Step = 0; Step < 1000; ++Step)
      this->tick();
  }

  void arrive() {
    RequestDescription D;
    const std::uint64_t Number = ++this->LastRequest;
    D.Request = RequestId{Number};
    D.Account =
        idOf<AccountId>("account-" + std::to_string(Number % ActiveAccounts));
    D.Service = idOf<ServiceId>(
        "model-" + std::to_string(Number / ActiveAccounts % Services));
    D.EstimatedTokens = TokensPerResponse;
    D.Deadline = this->Now + 600s;
    D.Identity = "router-0-1-" + std::to_string(Number);
    this->deliver(Kind::Arrival, RequestArrived{D});
  }

  /// Simulates 10 ms: progress reports, ended requests, arrivals and a tick.
  /// `ReportInterval` is the time between two progress reports of one response.
  void step(Duration ReportInterval) {
    for (std::size_t I = 0; I < this->ActiveRequests.size(); ++I)
      this->progress(this->ActiveRequests[I], ReportInterval);
    while (!this->ActiveRequests.empty() &&
           this->ActiveRequests.front().Started +
                   TokensPerResponse * TokenInterval <=
               this->Now)
      this->end();
    this->tick();
  }

  void deliverPeerMessages(int Second) {
    FairMessage Digest = this->message();
    for (std::size_t I = 0; I < Services; ++I)
      Digest.Digests.push_back(
          {idOf<ServiceId>("model-" + std::to_string(I)).Value, 0, 0});
    FairMessage Sums = this->message();
    for (std::size_t I = 0; I < 40; ++I)
      Sums.Contributions.push_back({I * 7919, 1000.0 * Second, 500, 0});
    for (int I = 0; I < FairMessagesPerSecond; ++I) {
      FairMessage &Next = I < 3 ? Digest : Sums;
      Next.Sequence = ++this->Sequence;
      this->deliver(I < 3 ? Kind::Digest : Kind::Contributions,
                    PeerPartReceived{routerAt(static_cast<std::size_t>(I) + 1),
                                     1, Next, ""});
    }
    for (int I = 0; I < LoadReportsPerSecond; ++I)
      if (!this->OwnedServers.empty())
        this->deliver(
            Kind::LoadReport,
            LoadReported{this->OwnedServers[static_cast<std::size_t>(I) %
                                            this->OwnedServers.size()],
                         SlotsPerServer, 0});
  }

  void clearCosts() { this->Costs = {}; }
  const Cost &costOf(Kind K) const {
    return this->Costs[static_cast<std::size_t>(K)];
  }
  std::size_t running() const { return this->ActiveRequests.size(); }
  std::size_t open() const { return this->Core.openRequests(); }
  std::size_t owned() const { return this->OwnedServers.size(); }
  std::size_t members() const {
    return this->Core.membership().view().Members.size();
  }

private:
  static RouterCoreSettings settings() {
    RouterCoreSettings S;
    S.Membership.Self = {routerAt(0),    1, 0, "router-0", addressOf(0),
                         "10.0.0.1:7000"};
    return S;
  }

  FairMessage message() const {
    FairMessage M;
    M.ToIncarnation = 1;
    return M;
  }

  void deliver(Kind K, const Event &Delivered) {
    const double Before = cpuSeconds();
    const std::vector<Action> Actions = this->Core.handle(this->Now, Delivered);
    Cost &Spent = this->Costs[static_cast<std::size_t>(K)];
    Spent.Seconds += cpuSeconds() - Before;
    ++Spent.Count;
    for (const Action &A : Actions)
      this->execute(A);
  }

  void execute(const Action &Next) {
    std::visit(
        Overloaded{
            [&](const StartAttempt &A) {
              this->ActiveRequests.push_back(
                  {A.Request, A.Attempt, this->Now, 0});
              this->deliver(Kind::Sent, AttemptSent{A.Request, A.Attempt});
            },
            [&](const SendToPeer &A) { this->acknowledgePing(A); },
            [&](const WatchServers &A) { this->OwnedServers = A.Servers; },
            [](const auto &) {},
        },
        Next);
  }

  void acknowledgePing(const SendToPeer &Sent) {
    const auto *Ping = std::get_if<MembershipMessage>(&Sent.Part);
    if (Ping == nullptr || Ping->Kind != MembershipKind::Ping)
      return;
    MembershipMessage Ack;
    Ack.Kind = MembershipKind::Ack;
    Ack.Number = Ping->Number;
    Ack.ViewHash = Ping->ViewHash;
    this->deliver(Kind::Membership, PeerPartReceived{Sent.To, 1, Ack, {}});
  }

  void progress(RunningRequest &R, Duration ReportInterval) {
    const auto Tokens = std::min<std::uint64_t>(
        TokensPerResponse,
        static_cast<std::uint64_t>((this->Now - R.Started) / TokenInterval));
    const auto Batch =
        static_cast<std::uint64_t>(ReportInterval / TokenInterval);
    if (Tokens < R.Tokens + Batch || Tokens >= TokensPerResponse)
      return;
    R.Tokens = Tokens;
    this->deliver(Kind::Progress,
                  AttemptProgressed{R.Request, R.Attempt, Tokens});
  }

  void end() {
    const RunningRequest Done = this->ActiveRequests.front();
    this->ActiveRequests.pop_front();
    this->deliver(Kind::End, AttemptEnded{Done.Request, Done.Attempt,
                                          AttemptOutcome::Completed,
                                          TokensPerResponse, 1});
    this->arrive();
  }

  void tick() {
    this->Now += TickInterval;
    this->deliver(Kind::Tick, Tick{});
  }

  RouterCore Core;
  TimePoint Now{1h};
  std::deque<RunningRequest> ActiveRequests;
  std::vector<ServerId> OwnedServers;
  std::uint64_t LastRequest = 0;
  std::uint32_t Sequence = 0;
  std::array<Cost, KindNames.size()> Costs{};
};

/// Prints how much the heap and the process have grown since the last row.
class MemoryTable {
public:
  explicit MemoryTable(const char *First) {
    std::printf("%-44s %10s %10s\n", "memory", "heap KB", "RSS KB");
    this->row(First);
  }

  void row(const char *Name) {
    const double HeapNow = heapBytes();
    const double ResidentNow = residentBytes();
    std::printf("%-44s %10.0f %10.0f\n", Name, (HeapNow - this->Heap) / 1e3,
                (ResidentNow - this->Resident) / 1e3);
    this->Heap = HeapNow;
    this->Resident = ResidentNow;
  }

private:
  double Heap = 0;
  double Resident = 0;
};

void measureSteady(TargetRouter &Router, Duration ReportInterval) {
  Router.clearCosts();
  int Second = 0;
  for (Duration Spent{}; Spent < MeasuredTime; Spent += TickInterval) {
    if (Spent >= std::chrono::seconds(Second))
      Router.deliverPeerMessages(++Second);
    Router.step(ReportInterval);
  }
  std::printf(
      "\nprogress of each response reported every %lld ms; %zu running, "
      "%zu waiting\n",
      static_cast<long long>(
          std::chrono::duration_cast<std::chrono::milliseconds>(ReportInterval)
              .count()),
      Router.running(), Router.open() - Router.running());
  std::printf("%-24s %10s %10s %14s\n", "event", "us each", "per second",
              "% of a core");
  double Sum = 0;
  for (const auto &[K, Name] : KindNames) {
    const Cost &Spent = Router.costOf(K);
    if (Spent.Count == 0)
      continue;
    const double Part = Spent.Seconds / MeasuredSeconds * 100;
    Sum += Part;
    std::printf("%-24s %10.2f %10.1f %14.3f\n", std::string(Name).c_str(),
                Spent.Seconds / static_cast<double>(Spent.Count) * 1e6,
                static_cast<double>(Spent.Count) / MeasuredSeconds, Part);
  }
  std::printf("%-24s %10s %10s %14.3f\n", "all", "", "", Sum);
}

void measure() {
  MemoryTable Memory("the empty program");
  const DeclarationsPtr All = declarations();
  Memory.row("declarations: 24,000 accounts, 12,000 servers");
  TargetRouter Router;
  Router.join();
  Memory.row("380 members");
  Router.declare(All);
  Memory.row("state of the modules for the declarations");
  Router.settle();
  Memory.row("ownership of servers");
  const std::size_t Open = Router.owned() * SlotsPerServer + Waiting;
  for (std::size_t I = 0; I < Open; ++I)
    Router.arrive();
  Memory.row("requests, 200 (account, service) pairs");
  std::printf("%zu members, %zu servers owned, %zu requests running, %zu "
              "waiting\n",
              Router.members(), Router.owned(), Router.running(),
              Router.open() - Router.running());

  // Spreads the ends of the requests over time, so that each second has the
  // same load.
  for (Duration Spent{}; Spent < 13s; Spent += TickInterval)
    Router.step(432ms);
  measureSteady(Router, 108ms);
  measureSteady(Router, 432ms);

  Router.clearCosts();
  for (int Change = 0; Change < 3; ++Change)
    Router.declare(std::make_shared<Declarations>(*All));
  const Cost &Changed = Router.costOf(Kind::Configuration);
  std::printf("\nnew declarations applied: %.1f ms each; at 0.9 per second "
              "%.2f %% of a core\n",
              Changed.Seconds / 3 * 1e3, Changed.Seconds / 3 * 0.9 * 100);
}

} // namespace

int main() {
  try {
    measure();
    return 0;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return 1;
  }
}
