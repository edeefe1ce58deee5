#include "Placement/Allocator.h"
#include "Placement/RouterOrder.h"
#include "Placement/ServerOwnership.h"
#include "Runtime/Id.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdlib>
#include <deque>
#include <functional>
#include <random>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr double PerSecond = 9.1;
constexpr WarmUpBounds Bounds{1.5, 5};
/// What the whole fleet may send to one cold server in any second.
constexpr double Bound = PerSecond * 1.5 + 5;

const WarmUpLoad Load{3s, PerSecond};

GatewayServer engine(const std::string &Id) {
  GatewayServer Made;
  Made.Id = Id;
  Made.Service = "engines";
  Made.Slots = 32;
  return Made;
}

std::shared_ptr<GatewayConfiguration> configuration() {
  auto Made = std::make_shared<GatewayConfiguration>();
  GatewayService Stated;
  Stated.Name = "engines";
  Stated.KvCapacityTokens = 200'000;
  Stated.WarmUp = Load;
  Made->Services["engines"] = Stated;
  Made->Limits.TokensPerSecond = 50'000;
  return Made;
}

/// The most moments that lie within one second.
std::size_t mostInASecond(std::vector<TimePoint> Moments) {
  std::sort(Moments.begin(), Moments.end());
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Moments.size(); ++Last) {
    while (Moments[Last] - Moments[First] >= 1s)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

} // namespace

Test(WarmUpLimit, staysBelowTheBoundHoweverGrantsSlip) {
  WarmUpLimiter Limit(Load, Bounds);
  std::vector<TimePoint> Sent;
  std::mt19937_64 Random(5);
  for (TimePoint Now(10s); Now < TimePoint(30s); Now += 3ms)
    if (Limit.hasToken(Now)) {
      Limit.recordSent(Now);
      Sent.push_back(Now + Duration(static_cast<Duration::rep>(
                               Random() % (MaxWarmUpSendDelay.count() + 1))));
    }
  cr_assert_leq(static_cast<double>(mostInASecond(Sent)), Bound);
  // And uses the stated rate, not a part of it.
  cr_assert_geq(static_cast<double>(Sent.size()), 20 * PerSecond * 0.97);
}

Test(WarmUpLimit, aServerThatTurnsColdHasHadTheRequestsOfItsLastSecond) {
  WarmUpLimiter Limit(Load, Bounds);
  TimePoint Now(10s);
  for (int Sent = 0; Sent < 400; ++Sent, Now += 25ms)
    Limit.recordSent(Now);
  cr_assert_not(Limit.hasToken(Now + 500ms));
  // But it does not pay for all that it was sent while it was warm.
  cr_assert(Limit.hasToken(Now + 2s));
}

Test(WarmUpLimit, aServiceWithoutARateIsNotLimited) {
  cr_assert_not(WarmUpLimiter(WarmUpLoad{}, Bounds).isLimited());
}

// Symptom: the load that a server had before it restarted comes back at once,
// and it crashes. Sequence: an allocator hears of the restart by a router's
// send before the list tells of it. Cause: the entry of the earlier process was
// taken for the new one's.
Test(ServerBook, aRestartedServerIsColdBeforeItsEntrySaysSo) {
  ServerTable Book;
  auto Listed = std::make_shared<ServerList>();
  GatewayServer One = engine("a");
  One.StartedMs = 100;
  Listed->emplace("a", One);
  const auto Stated = configuration();
  Book.setServers(Listed, Stated.get());
  const std::uint64_t Server = hashName("a");
  cr_assert(Book.usable(Server, TimePoint(1s)));
  Book.recordStart(Server, 200);
  cr_assert_not(Book.usable(Server, TimePoint(1s)));
  auto Again = std::make_shared<ServerList>();
  One.StartedMs = 200;
  One.WarmUpEndsAt = TimePoint(4s);
  Again->emplace("a", One);
  Book.setServers(Again, Stated.get(), nullptr, {TimePoint(1s), TimePoint(1s)});
  cr_assert_not(Book.usable(Server, TimePoint(3s)));
  cr_assert(Book.usable(Server, TimePoint(5s)));
}

// Symptom: requests wait for a server that may have nine a second, while others
// stand idle. Cause: it looks least loaded, so all were meant for it.
Test(Allocator, nothingWaitsForAServerThatWarmsUp) {
  Allocator Subject;
  auto Listed = std::make_shared<ServerList>();
  GatewayServer Cold = engine("cold");
  Cold.WarmUpEndsAt = TimePoint(100s);
  Listed->emplace("cold", Cold);
  Listed->emplace("warm", engine("warm"));
  const auto Stated = configuration();
  Subject.setWarmUpPolicy(Bounds, [](std::uint64_t) { return true; });
  Subject.setServers(Listed, Stated.get(), ServerGroups(*Listed),
                     {TimePoint(1s), TimePoint(1s)});
  std::map<std::uint64_t, int> Granted;
  for (std::uint64_t Number = 1; Number <= 20; ++Number) {
    AllocationRequest Ask;
    Ask.Id = {1, Number};
    Ask.Service = hashName("engines");
    Ask.PromptTokens = 10;
    Ask.ObjectiveLeftMs = 500;
    Ask.MaxWaitMs = 500;
    Subject.handle(Ask, TimePoint(1s));
  }
  for (const RouterMessage &Each : Subject.takeReplies())
    if (const auto *Answer = std::get_if<AllocationGrant>(&Each)) {
      ++Granted[Answer->Server];
      cr_assert_eq(Answer->SendWithinMs > 0,
                   Answer->Server == hashName("cold"));
    }
  cr_assert_eq(Granted[hashName("cold")], 2);
  cr_assert_eq(Granted[hashName("warm")], 18);
}

namespace {

/// Routers that allocate two cold servers for each other, with lists that lag,
/// cuts, freezes, and datagrams that are lost, doubled and late. Each believes
/// what it likes of who answers.
class ColdFleet {
public:
  static constexpr std::size_t Routers = 6;

  explicit ColdFleet(std::uint64_t Seed) : Random(Seed) {
    auto Servers = std::make_shared<ServerList>();
    for (const char *Id : {"a", "b"}) {
      GatewayServer Made = engine(Id);
      Made.WarmUpEndsAt = TimePoint(1000s);
      Servers->emplace(Id, Made);
    }
    this->Servers = Servers;
    this->Groups = ServerGroups(*Servers);
    for (std::size_t I = 0; I < Routers; ++I) {
      this->Listed["r" + std::to_string(I)] = {"127.0.0.1:1", I < 2 ? 0.5 : 0.4,
                                               1};
      this->All.push_back(std::make_unique<Router>("r" + std::to_string(I)));
      Router &Each = *this->All.back();
      Each.Local.setWarmUpPolicy(Bounds, [this, &Each](std::uint64_t Server) {
        return Each.Sole.owns(Server, this->Now);
      });
      Each.Local.setServers(this->Servers, this->Stated.get(), this->Groups,
                            {this->Now, this->Now});
    }
    this->record();
  }

  void run(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;
         this->Now += 5ms)
      this->step();
  }

  std::map<std::uint64_t, std::vector<TimePoint>> Sends;
  int Late = 0;

private:
  struct Router {
    explicit Router(std::string N) : Name(std::move(N)), Sole(Name) {}
    std::string Name;
    ServerOwnership Sole;
    Allocator Local;
    std::shared_ptr<const RouterList> Seen;
    TimePoint NextLook{};
    TimePoint CutUntil{};
    TimePoint FrozenUntil{};
    std::map<std::uint64_t, TimePoint> AskedAt;
    /// What has arrived and is not read yet.
    std::deque<std::pair<std::size_t, RouterMessage>> Inbox;
  };
  struct OnItsWay {
    TimePoint At;
    std::size_t From;
    std::size_t To;
    RouterMessage Message;
  };

  bool chance(double Part) {
    return std::uniform_real_distribution<double>(0, 1)(this->Random) < Part;
  }
  Duration upTo(Duration Most) {
    return Duration(static_cast<Duration::rep>(
        this->Random() % static_cast<std::uint64_t>(Most.count() + 1)));
  }
  void record() {
    this->History.emplace_back(this->Now,
                               std::make_shared<RouterList>(this->Listed));
  }

  void change() {
    const std::string Name = "r" + std::to_string(this->Random() % Routers);
    // A lease that lapses; back a moment later or much later.
    if (this->Listed.erase(Name) == 0)
      this->Listed[Name] = {"127.0.0.1:1", 0.5, ++this->Revision};
    this->record();
  }

  void look(Router &Each) {
    const TimePoint Read = this->Now - this->upTo(50ms);
    std::shared_ptr<const RouterList> List = this->History.front().second;
    for (const auto &[At, Known] : this->History)
      if (At <= Read)
        List = Known;
    Each.Seen = List;
    FleetView View;
    View.Configuration = this->Stated;
    View.Servers = this->Servers;
    View.RouterEndpoints = List;
    View.ListsProvenAt = Read;
    Each.Sole.updateView(View, this->Groups, this->Now);
    Each.NextLook = this->Now + 300ms + this->upTo(900ms);
  }

  void post(std::size_t From, std::size_t To, const RouterMessage &Message) {
    if (this->chance(0.1))
      return;
    for (int Copies = this->chance(0.05) ? 2 : 1; Copies > 0; --Copies)
      this->Way.push_back(
          {this->Now + this->upTo(this->chance(0.03) ? 2s : 40ms), From, To,
           Message});
  }

  void ask(std::size_t From) {
    Router &Each = *this->All[From];
    std::size_t To = this->Random() % Routers;
    if (Each.Seen != nullptr && this->chance(0.8)) {
      const std::string First =
          topRankedRouter(*Each.Seen, hashName("engines"));
      for (std::size_t I = 0; I < Routers; ++I)
        if (this->All[I]->Name == First)
          To = I;
    }
    AllocationRequest Ask;
    Ask.Id = {From, ++this->LastNumber};
    Ask.Service = hashName("engines");
    Ask.PromptTokens = 10;
    Ask.ObjectiveLeftMs = 400;
    Ask.MaxWaitMs = 400;
    Each.AskedAt[Ask.Id.Number] = this->Now;
    this->post(From, To, Ask);
  }

  void take(std::size_t To, std::size_t From, const RouterMessage &Message) {
    Router &Each = *this->All[To];
    const auto *Granted = std::get_if<AllocationGrant>(&Message);
    if (Granted == nullptr) {
      Each.Local.handle(Message, this->Now);
      return;
    }
    const auto Asked = Each.AskedAt.find(Granted->Id.Number);
    if (Asked == Each.AskedAt.end())
      return;
    cr_assert_gt(Granted->SendWithinMs, 0U);
    const bool InTime = this->Now - Asked->second <=
                        std::chrono::milliseconds(Granted->SendWithinMs);
    Each.AskedAt.erase(Asked);
    if (InTime)
      this->Sends[Granted->Server].push_back(
          this->Now + this->upTo(MaxWarmUpSendDelay - WarmUpGrantLifetime));
    else
      ++this->Late;
    this->post(To, From, GrantEnded{Granted->Id, ServerVerdict::Healthy});
  }

  void step() {
    if (this->chance(0.003))
      this->change();
    for (std::size_t I = 0; I < this->Way.size();) {
      if (this->Way[I].At > this->Now) {
        ++I;
        continue;
      }
      this->All[this->Way[I].To]->Inbox.emplace_back(this->Way[I].From,
                                                     this->Way[I].Message);
      this->Way[I] = std::move(this->Way.back());
      this->Way.pop_back();
    }
    for (std::size_t I = 0; I < Routers; ++I)
      this->turn(I);
  }

  void turn(std::size_t Index) {
    Router &Each = *this->All[Index];
    if (this->chance(0.0005))
      Each.CutUntil = this->Now + this->upTo(8s);
    if (this->chance(0.0005))
      Each.FrozenUntil = this->Now + this->upTo(4s);
    if (this->Now < Each.FrozenUntil)
      return;
    if (this->Now >= Each.NextLook && this->Now >= Each.CutUntil)
      this->look(Each);
    while (!Each.Inbox.empty()) {
      const auto [From, Message] = Each.Inbox.front();
      Each.Inbox.pop_front();
      this->take(Index, From, Message);
    }
    if (this->chance(0.25))
      this->ask(Index);
    Each.Local.tick(this->Now);
    for (const RouterMessage &Answer : Each.Local.takeReplies())
      if (const auto *Granted = std::get_if<AllocationGrant>(&Answer))
        this->post(Index, Granted->Id.Process, Answer);
  }

  std::mt19937_64 Random;
  TimePoint Now{100s};
  std::shared_ptr<const GatewayConfiguration> Stated = configuration();
  std::shared_ptr<const ServerList> Servers;
  ServerGroups Groups;
  RouterList Listed;
  std::int64_t Revision = 1;
  std::vector<std::pair<TimePoint, std::shared_ptr<const RouterList>>> History;
  std::vector<std::unique_ptr<Router>> All;
  std::vector<OnItsWay> Way;
  std::uint64_t LastNumber = 0;
};

} // namespace

// Symptom: servers that come back crash again, one after the other. Sequence: a
// router is cut off or its lease lapses, another takes its servers over, grants
// of both arrive together, some late. Cause: each allocator kept to the bound
// by itself. Fails in SoleAllocator without TakeOver (seed 5), without the
// proof of the lists (31), and where a router that is listed anew does not
// begin anew (319). (Run on scratch copies.)
Test(ColdFleet, neverGoesBeyondTheBoundOfAServer) {
  const char *Wanted = std::getenv("WARM_UP_SEEDS");
  const int Seeds = Wanted == nullptr ? 60 : std::atoi(Wanted);
  std::vector<std::uint64_t> All{319};
  for (int Seed = 1; Seed <= Seeds; ++Seed)
    All.push_back(static_cast<std::uint64_t>(Seed));
  std::size_t Sent = 0;
  int Late = 0;
  for (const std::uint64_t Seed : All) {
    ColdFleet Fleet(Seed);
    Fleet.run(40s);
    Late += Fleet.Late;
    for (const auto &[Server, Moments] : Fleet.Sends) {
      Sent += Moments.size();
      const std::size_t Most = mostInASecond(Moments);
      cr_assert_leq(static_cast<double>(Most), Bound,
                    "seed %zu: %zu in one second", Seed, Most);
    }
  }
  // The rate is used, too, in spite of all that.
  cr_assert_gt(Sent, static_cast<std::size_t>(Seeds) * 2 * 40);
  cr_assert_gt(Late, 0);
}
