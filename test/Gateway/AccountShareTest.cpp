#include "Gateway/AllocationAgent.h"
#include "Gateway/LoopbackRouters.h"
#include "Runtime/Id.h"

#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <set>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr int EngineCount = 84;
constexpr std::size_t GroupCount = 4;
constexpr Duration ServiceTime = 60ms;
constexpr Duration RunTime = 3s;
/// Requests that an account keeps waiting at each router for a group.
constexpr int Waiting = 30;

/// Two routers that allocate engines in four groups to callers of accounts. An
/// account sends its next request when one has been served or refused.
struct Fleet {
  Fleet() : Routers(Clock::steady()) {
    for (int I = 0; I < EngineCount; ++I) {
      GatewayServer Server;
      Server.Id = "e" + std::to_string(I);
      Server.Service = "engines";
      Server.Slots = 2;
      this->Servers->emplace(Server.Id, Server);
    }
    GatewayService Engines;
    Engines.Name = "engines";
    Engines.KvCapacityTokens = 200'000;
    this->Configuration->Services["engines"] = Engines;
    this->Configuration->Limits.TokensPerSecond =
        std::uint64_t{EngineCount} * 25'000;
    this->findParts();
    for (const char *Name : {"r1", "r2"})
      this->addRouter(Name);
    this->Routers.publishList();
    FleetView View;
    View.Configuration = this->Configuration;
    View.Servers = this->Servers;
    View.RouterEndpoints =
        std::make_shared<RouterList>(this->Routers.Endpoints);
    for (const auto &Each : this->Agents) {
      Each->setServers(View);
      Each->updateView(View);
      Each->start();
    }
  }

  /// Finds a prompt part for each group.
  void findParts() {
    const ServerGroups Groups(*this->Servers);
    std::set<std::uint64_t> Found;
    for (std::uint64_t Part = 1; Found.size() < GroupCount; ++Part)
      if (Found
              .insert(Groups.groupForRequest(hashName("engines"),
                                             {{Part, 100}, {1, 1}}, 0))
              .second)
        this->Parts.push_back(Part);
  }

  void addRouter(const std::string &Name) {
    RouterMessenger &Messenger = this->Routers.add(Name, 1);
    this->MetricsRegistries.push_back(std::make_unique<Metrics>());
    const std::uint64_t Process = this->Agents.size() + 1;
    this->Agents.push_back(std::make_unique<AllocationAgent>(
        this->Routers.Loop, Messenger, Process, WarmUpBounds{},
        *this->MetricsRegistries.back()));
    AllocationAgent &Agent = *this->Agents.back();
    cr_assert(Messenger.open([&Agent](const RouterMessage &Message,
                                      const Poco::Net::SocketAddress &From) {
      Agent.onMessage(Message, From);
    }));
  }

  /// Lets an account ask for engines of a group all the time.
  void flood(std::uint64_t Account, std::size_t Group) {
    for (const auto &Each : this->Agents)
      for (int I = 0; I < Waiting; ++I)
        this->request(*Each, Account, Group);
  }

  void request(AllocationAgent &Agent, std::uint64_t Account,
               std::size_t Group) {
    AllocationRequest Request;
    Request.Id = Agent.newId();
    Request.Group = hashName("engines");
    Request.Account = Account;
    Request.Parts = {{this->Parts[Group], 100},
                     {1'000'000 + ++this->LastPart, 100}};
    Request.PromptTokens = 200;
    Request.MaxOutputTokens = 10;
    Request.ObjectiveLeftMs = 600;
    Request.MaxWaitMs = 600;
    Agent.request(std::move(Request), [this, &Agent, Account, Group](
                                          const AllocationOutcome &Outcome) {
      const auto *Grant = std::get_if<AllocationGrant>(&Outcome.Reply);
      if (Grant == nullptr) {
        this->Routers.Loop.after(20ms, [this, &Agent, Account, Group] {
          this->request(Agent, Account, Group);
        });
        return;
      }
      ++this->Served[Account];
      this->serve(Agent, *Grant, Account, Group);
    });
  }

  void serve(AllocationAgent &Agent, const AllocationGrant &Grant,
             std::uint64_t Account, std::size_t Group) {
    const CorrelationId Id = Grant.Id;
    Agent.onAttemptSent(Id, hashName("engines"), Grant.Server,
                        {Grant.PrefillTokens, 10, Grant.ServerStartedMs});
    Agent.onAttemptStarted(Id);
    this->Routers.Loop.after(ServiceTime, [this, &Agent, Id, Account, Group] {
      Agent.onAttemptEnded(Id, ServerVerdict::Healthy);
      this->request(Agent, Account, Group);
    });
  }

  /// Runs for some time and counts what is served in the second half of it.
  void run() {
    this->Routers.Loop.after(RunTime / 2, [this] { this->Served.clear(); });
    this->Routers.Loop.after(RunTime, [this] { this->Routers.Loop.stop(); });
    this->Routers.Loop.run();
  }

  LoopbackRouters Routers;
  std::shared_ptr<ServerList> Servers = std::make_shared<ServerList>();
  std::shared_ptr<GatewayConfiguration> Configuration =
      std::make_shared<GatewayConfiguration>();
  std::vector<std::uint64_t> Parts;
  std::vector<std::unique_ptr<Metrics>> MetricsRegistries;
  std::vector<std::unique_ptr<AllocationAgent>> Agents;
  std::map<std::uint64_t, int> Served;
  std::uint64_t LastPart = 0;
};

} // namespace

// Guards against counting an account's share in each group of servers apart: an
// account whose requests all go to one group gets a part of that group, while
// others get a part of each.
Test(AccountShare, isAPartOfTheFleetNotOfAGroup, .timeout = 60) {
  constexpr std::uint64_t OneGroup = 1;
  Fleet F;
  F.flood(OneGroup, 0);
  for (std::uint64_t Account = 2; Account <= 5; ++Account)
    for (std::size_t Group = 0; Group < GroupCount; ++Group)
      F.flood(Account, Group);
  F.run();
  int Best = 0;
  int Sum = 0;
  for (const auto &[Account, Count] : F.Served) {
    Best = std::max(Best, Count);
    Sum += Count;
  }
  cr_log_info("one group: %d, best: %d, all: %d", F.Served[OneGroup], Best,
              Sum);
  // The platform's rule: at least half of what the best served account gets.
  cr_expect_geq(2 * F.Served[OneGroup], Best, "%d and %d", F.Served[OneGroup],
                Best);
}
