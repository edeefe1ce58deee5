#include "Placement/SlotAllocator.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <memory>
#include <random>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t SlotsPerServer = 6;
constexpr double ServiceMs = 15;
constexpr int ServerCount = 3;
constexpr int RouterCount = 60;
constexpr int AccountCount = 30;
constexpr std::int32_t ObjectiveMs = 120;

/// 60 routers that send requests of 30 accounts, the first three of which send
/// half of all, to 3 servers of 6 slots with a service time of 15 ms on
/// average. Messages take no time.
struct Load {
  struct Running {
    CorrelationId Id;
    TimePoint EndsAt;
  };
  struct Server {
    std::vector<Running> Active;
    double Slowness = 1;
    /// If set, the running requests that the server reports.
    std::optional<std::uint32_t> FalseRunning{};
    std::uint32_t WorkTimePercent = 100;
    /// Half of the routers cannot connect, the others return their grants.
    bool Unreachable = false;
    int Granted = 0;
  };
  struct Request {
    int Account = 0;
    TimePoint ArrivedAt;
    std::int32_t MaxWaitMs = ObjectiveMs;
  };

  Load() {
    for (int I = 0; I < ServerCount; ++I)
      this->add("s" + std::to_string(I));
    this->Configuration.Services["plain"].Name = "plain";
    this->Subject = std::make_unique<SlotAllocator>();
    this->publish();
  }

  void add(const std::string &Id) {
    GatewayServer Listing;
    Listing.Id = Id;
    Listing.Service = "plain";
    Listing.Slots = SlotsPerServer;
    this->Listed.emplace(Id, Listing);
    this->Servers[hashName(Id)] = {};
  }

  void publish() {
    const auto List = std::make_shared<ServerList>(this->Listed);
    this->Subject->setServers(List, &this->Configuration, ServerGroups(*List));
  }

  Server &server(int Number) {
    return this->Servers.at(hashName("s" + std::to_string(Number)));
  }

  /// Runs at this multiple of what three sound servers serve.
  void run(Duration Time, double Demand) {
    const double PerMs = Demand * ServerCount * SlotsPerServer / ServiceMs;
    for (const TimePoint End = this->Now + Time; this->Now < End;) {
      this->Now += 500us;
      const std::size_t RefusedBefore = this->Refused;
      this->endAttempts();
      for (this->Due += PerMs / 2; this->Due >= 1; --this->Due)
        this->arrive();
      this->Subject->tick(this->Now);
      this->collect();
      const bool Short =
          this->Subject->queuedRequests() > 0 || this->Refused > RefusedBefore;
      std::size_t InUse = 0;
      for (const auto &[Hash, Each] : this->Servers)
        InUse += Each.Active.size();
      if (Short) {
        this->ShortSlots += this->Listed.size() * SlotsPerServer;
        this->ShortInUse += InUse;
      }
    }
  }

  void arrive() {
    const int Account = this->Random() % 2 == 0
                            ? static_cast<int>(this->Random() % 3)
                            : static_cast<int>(this->Random() % AccountCount);
    ++this->Asked[Account];
    const CorrelationId Id{1 + this->Random() % RouterCount, ++this->LastId};
    this->Waiting[Id] = {Account, this->Now};
    this->send(Id);
  }

  void send(const CorrelationId &Id) {
    const Request &From = this->Waiting.at(Id);
    const auto Left = ObjectiveMs - (this->Now - From.ArrivedAt) / 1ms;
    AllocationRequest Message;
    Message.Id = Id;
    Message.Group = hashName("plain");
    Message.Account = static_cast<std::uint64_t>(From.Account);
    Message.ObjectiveLeftMs = static_cast<std::int32_t>(Left);
    Message.MaxWaitMs = Message.ObjectiveLeftMs;
    this->Subject->handle(Message, this->Now);
    this->collect();
  }

  void collect() {
    for (const RouterMessage &Each : this->Subject->takeReplies())
      if (const auto *Grant = std::get_if<AllocationGrant>(&Each))
        this->start(*Grant);
      else if (const auto *No = std::get_if<AllocationRefusal>(&Each)) {
        ++this->Refused;
        this->Waiting.erase(No->Id);
      }
  }

  void start(const AllocationGrant &Grant) {
    Server &At = this->Servers.at(Grant.Server);
    ++At.Granted;
    const Request From = this->Waiting.at(Grant.Id);
    this->Waiting.erase(Grant.Id);
    this->WaitsMs.push_back(
        std::chrono::duration<double, std::milli>(this->Now - From.ArrivedAt)
            .count());
    if (At.Unreachable) {
      this->Subject->handle(
          GrantEnded{Grant.Id, Grant.Id.Process % 2 == 0
                                   ? ServerVerdict::Unreachable
                                   : ServerVerdict::Healthy},
          this->Now);
      return;
    }
    if (At.Active.size() >= SlotsPerServer) {
      ++this->Full;
      this->Subject->handle(GrantEnded{Grant.Id, ServerVerdict::Full},
                            this->Now);
      return;
    }
    ++this->Served[From.Account];
    std::exponential_distribution<double> Time(1 / (ServiceMs * At.Slowness));
    At.Active.push_back(
        {Grant.Id, this->Now + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double, std::milli>(
                                       Time(this->Random)))});
  }

  void endAttempts() {
    for (auto &Entry : this->Servers) {
      Server &Each = Entry.second;
      std::erase_if(Each.Active, [&](const Running &Ended) {
        if (Ended.EndsAt > this->Now)
          return false;
        ServerLoadReport Report;
        Report.Id = Ended.Id;
        Report.Server = Entry.first;
        Report.Running = Each.FalseRunning.value_or(
            static_cast<std::uint32_t>(Each.Active.size()));
        Report.Slots = SlotsPerServer;
        Report.WorkTimePercent = Each.WorkTimePercent;
        for (const RouterMessage &Message :
             {RouterMessage(GrantStarted{Ended.Id}), RouterMessage(Report),
              RouterMessage(GrantEnded{Ended.Id, ServerVerdict::Healthy})})
          this->Subject->handle(Message, this->Now);
        return true;
      });
    }
    this->collect();
  }

  double slotsInUse() const {
    return this->ShortSlots == 0 ? 1
                                 : static_cast<double>(this->ShortInUse) /
                                       static_cast<double>(this->ShortSlots);
  }
  double p95WaitMs() {
    std::sort(this->WaitsMs.begin(), this->WaitsMs.end());
    return this->WaitsMs.at(this->WaitsMs.size() * 95 / 100);
  }
  /// Forgets what was counted so far.
  void restartCount() {
    this->ShortSlots = this->ShortInUse = this->Refused = this->Full = 0;
    this->WaitsMs.clear();
    this->Asked.clear();
    this->Served.clear();
    for (auto &[Hash, Each] : this->Servers)
      Each.Granted = 0;
  }
  /// The least part of its max-min share that an account was served.
  double leastShare() const {
    double Total = 0;
    for (const auto &[Account, Count] : this->Served)
      Total += Count;
    double Level = 0;
    double Step = Total;
    while (Step > 0.1) {
      double Needed = 0;
      for (const auto &[Account, Count] : this->Asked)
        Needed += std::min<double>(Count, Level + Step);
      Level += Needed <= Total ? Step : 0;
      Step /= 2;
    }
    double Least = 1;
    for (const auto &[Account, Count] : this->Asked) {
      const auto Got = this->Served.find(Account);
      Least = std::min(Least, (Got == this->Served.end() ? 0 : Got->second) /
                                  std::min<double>(Count, Level));
    }
    return Least;
  }
  void report(const char *Name) {
    cr_log_info("%s: in use %.3f p95 %.1f ms refused %zu full %zu share %.3f "
                "grants %d %d %d",
                Name, this->slotsInUse(), this->p95WaitMs(), this->Refused,
                this->Full, this->leastShare(), this->server(0).Granted,
                this->server(1).Granted, this->server(2).Granted);
  }

  GatewayConfiguration Configuration;
  ServerList Listed;
  std::unique_ptr<SlotAllocator> Subject;
  std::map<std::uint64_t, Server> Servers;
  std::map<CorrelationId, Request> Waiting;
  std::map<int, int> Asked;
  std::map<int, int> Served;
  std::vector<double> WaitsMs;
  std::size_t ShortSlots = 0;
  std::size_t ShortInUse = 0;
  std::size_t Refused = 0;
  std::size_t Full = 0;
  std::uint64_t LastId = 0;
  double Due = 0;
  TimePoint Now{1s};
  // NOLINTNEXTLINE(cert-msc51-cpp): the same sequence in each run.
  std::mt19937 Random{7};
};

constexpr double MinSlotsInUse = 0.95;
constexpr double MinShare = 0.9;

} // namespace

// Guards against idle slots while requests wait or are refused, against long
// waits below saturation, and against accounts that crowd out others.
Test(SlotAllocator, usesSlotsAndDividesThem) {
  for (const double Demand : {0.5, 0.9, 1.5, 3.0}) {
    Load Fleet;
    Fleet.run(10s, Demand);
    Fleet.report(std::to_string(Demand).c_str());
    cr_assert_geq(Fleet.slotsInUse(), MinSlotsInUse);
    cr_assert_eq(Fleet.Full, 0U);
    if (Demand < 1)
      cr_assert_leq(Fleet.p95WaitMs(), ObjectiveMs);
    if (Demand > 1)
      cr_assert_geq(Fleet.leastShare(), MinShare);
  }
}

// Guards against a slow server that holds up requests which others can serve.
// Demand: 0.5 and 0.9 of three sound servers.
Test(SlotAllocator, slowServerGetsLess) {
  for (const double Demand : {0.5, 0.9}) {
    Load Fleet;
    Fleet.run(2s, Demand);
    Fleet.restartCount();
    Fleet.server(0).Slowness = 3;
    Fleet.run(10s, Demand);
    Fleet.report("slow");
    cr_assert_geq(Fleet.slotsInUse(), MinSlotsInUse);
    cr_assert_leq(Fleet.p95WaitMs(), ObjectiveMs);
    cr_assert_lt(Fleet.server(0).Granted, Fleet.server(1).Granted / 2);
  }
}

// Guards against grants for a server that is no longer listed, and against a
// queue that no longer moves. Demand: 0.9.
Test(SlotAllocator, serverLeaves) {
  Load Fleet;
  Fleet.run(2s, 0.9);
  Fleet.restartCount();
  Fleet.Listed.erase("s0");
  Fleet.publish();
  Fleet.run(10s, 0.9);
  Fleet.report("left");
  cr_assert_eq(Fleet.server(0).Granted, 0);
  cr_assert_geq(Fleet.slotsInUse(), MinSlotsInUse);
  cr_assert_leq(Fleet.p95WaitMs(), ObjectiveMs);
}

// Guards against grants that routers return unused and that end the backoff of
// a server that cannot be reached. Demand: 0.5.
Test(SlotAllocator, unreachableServerIsProbedByFew) {
  Load Fleet;
  Fleet.server(0).Unreachable = true;
  Fleet.run(10s, 0.5);
  Fleet.report("unreachable");
  cr_assert_geq(Fleet.slotsInUse(), MinSlotsInUse * 2 / 3);
  // Backoffs of 0.5 to 4 s leave six probes in this time.
  cr_assert_leq(Fleet.server(0).Granted, 60);
}

// Guards against a server whose report is believed more than what it does:
// always idle and fast, and always full and slow. Demand: 0.5 and 1.5.
Test(SlotAllocator, falseLoadIsNotBelieved) {
  using Figures = std::pair<std::uint32_t, std::uint32_t>;
  for (const double Demand : {0.5, 1.5})
    for (const auto &[Running, WorkTimePercent] :
         {Figures{0, 1}, Figures{SlotsPerServer, 1000}, Figures{1000, 1000}}) {
      Load Fleet;
      Fleet.server(0).FalseRunning = Running;
      Fleet.server(0).WorkTimePercent = WorkTimePercent;
      Fleet.run(10s, Demand);
      Fleet.report("false");
      cr_assert_geq(Fleet.slotsInUse(), MinSlotsInUse);
      cr_assert_eq(Fleet.Full, 0U);
      cr_assert_gt(Fleet.server(0).Granted, Fleet.server(1).Granted / 2);
      cr_assert_lt(Fleet.server(0).Granted, Fleet.server(1).Granted * 2);
    }
}

// Guards against an allocator that fills servers twice since it does not know
// what an earlier one has granted. Demand: 0.9 and 3.
Test(SlotAllocator, nextAllocatorLearnsWhatRuns) {
  for (const double Demand : {0.9, 3.0}) {
    Load Fleet;
    Fleet.run(2s, Demand);
    Fleet.restartCount();
    Fleet.Subject = std::make_unique<SlotAllocator>();
    Fleet.publish();
    for (const auto &[Hash, Each] : Fleet.Servers)
      for (const Load::Running &Active : Each.Active)
        Fleet.Subject->handle(GrantActive{Active.Id, Hash}, Fleet.Now);
    for (const auto &[Id, Request] : std::map(Fleet.Waiting))
      Fleet.send(Id);
    Fleet.run(5s, Demand);
    Fleet.report("next");
    cr_assert_eq(Fleet.Full, 0U);
    cr_assert_geq(Fleet.slotsInUse(), MinSlotsInUse);
    cr_assert_leq(Fleet.p95WaitMs(), ObjectiveMs);
  }
}
