#include "Decision/RouterCore.h"
#include "Runtime/Overloaded.h"

#include <criterion/criterion.h>
#include <map>
#include <memory>
#include <random>

using namespace parsleywing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t RouterCount = 8;
constexpr unsigned LossPercent = 20;
const auto LeavingServer = idOf<ServerId>("leaver");
const auto OtherServer = idOf<ServerId>("stayer");
const auto Service = idOf<ServiceId>("advisory");
const auto Account = idOf<AccountId>("kettle");

DeclarationsPtr makeDeclarations() {
  Declarations All;
  All.Servers[LeavingServer] = {"leaver", "127.0.0.1:1", "z"};
  All.Servers[OtherServer] = {"stayer", "127.0.0.1:2", "z"};
  All.Services[Service].Name = "advisory";
  All.Services[Service].Servers = {LeavingServer, OtherServer};
  All.Accounts[Account].Services = {Service};
  return std::make_shared<const Declarations>(All);
}

// Each test fails without the mechanism that it covers; docs/PEERS.md lists the
// runs.

/// Complete router cores that exchange parts in simulated time. Each part takes
/// 1 to 20 ms, or is lost. The routers serve each request in one second and
/// always have new ones.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {
    for (std::size_t Number = 0; Number < RouterCount; ++Number)
      this->start(Number);
  }

  /// Starts a router, or restarts it without its state.
  void start(std::size_t Number) {
    RouterCoreSettings Settings;
    RouterRecord &Self = Settings.Membership.Self;
    Self.Name = "r" + std::to_string(Number);
    Self.Router = idOf<RouterId>(Self.Name);
    Self.IncarnationNumber = ++this->LastIncarnation;
    Self.PeerAddress = "10.0.0." + std::to_string(Number) + ":7400";
    Settings.Membership.Seeds = {"10.0.0.0:7400", "10.0.0.1:7400"};
    Settings.Membership.RandomSeed = this->Random();
    Settings.Servers.Seed = this->Random();
    this->Routers[Number] = std::make_unique<RouterCore>(Settings);
    this->Incarnations[Number] = Self.IncarnationNumber;
    this->send(Number, DeclarationsChanged{makeDeclarations()});
  }

  void send(std::size_t Number, const Event &NewEvent) {
    for (const Action &Emitted :
         this->Routers[Number]->handle(this->Now, NewEvent))
      std::visit([&](const auto &A) { this->on(Number, A); }, Emitted);
  }

  void run(Duration Length) {
    const TimePoint End = this->Now + Length;
    while (this->Now < End) {
      this->Now += milliseconds(10);
      this->deliver();
      for (std::size_t Number = 0; Number < RouterCount; ++Number) {
        this->send(Number, Tick{});
        if (this->Routers[Number]->openRequests() < 3)
          this->addRequest(Number);
      }
    }
  }

  /// Runs until every router knows that the server is leaving.
  Duration runUntilLeaving(Duration Limit) {
    const TimePoint Start = this->Now;
    while (this->Now - Start < Limit && !this->isLeavingEverywhere())
      this->run(milliseconds(50));
    return this->Now - Start;
  }

  bool isLeavingEverywhere() const {
    for (const auto &Router : this->Routers)
      if (Router->servers().conditionOf(LeavingServer) !=
          ServerCondition::Leaving)
        return false;
    return true;
  }

  ServerCondition conditionAt(std::size_t Number) const {
    return this->Routers[Number]->servers().conditionOf(LeavingServer);
  }

  /// Sends the platform's list to router 0; the others cannot read it.
  void sendServerList(bool IsLeaving) {
    ServersListed Listed;
    (IsLeaving ? Listed.Leaving : Listed.Live).push_back(LeavingServer);
    this->send(0, Listed);
  }

  std::size_t startCount(ServerId Server) { return this->Starts[Server]; }
  std::size_t ownerOfLeavingServer() const {
    for (std::size_t Number = 0; Number < RouterCount; ++Number)
      if (ownerOf(this->Routers[0]->membership().view(), LeavingServer.Value) ==
          idOf<RouterId>("r" + std::to_string(Number)))
        return Number;
    return RouterCount;
  }

private:
  struct Part {
    std::size_t From;
    Incarnation IncarnationNumber;
    std::size_t To;
    PeerPart Content;
  };

  void addRequest(std::size_t Number) {
    RequestDescription Request;
    Request.Request = RequestId{++this->LastRequest};
    Request.Account = Account;
    Request.Service = Service;
    Request.Deadline = this->Now + seconds(60);
    this->send(Number, RequestArrived{Request});
  }

  void deliver() {
    while (!this->InTransit.empty() &&
           this->InTransit.begin()->first <= this->Now) {
      const Part Arrived = std::move(this->InTransit.begin()->second);
      this->InTransit.erase(this->InTransit.begin());
      const std::string Name = std::to_string(Arrived.From);
      this->send(Arrived.To,
                 PeerPartReceived{idOf<RouterId>("r" + Name),
                                  Arrived.IncarnationNumber, Arrived.Content,
                                  "10.0.0." + Name + ":7400"});
    }
    while (!this->Ends.empty() && this->Ends.begin()->first <= this->Now) {
      const auto [Number, Ended] = this->Ends.begin()->second;
      this->Ends.erase(this->Ends.begin());
      this->send(Number, Ended);
    }
  }

  void transmit(std::size_t From, std::size_t To, const PeerPart &Content) {
    if (this->Random() % 100 < LossPercent)
      return;
    this->InTransit.emplace(this->Now + milliseconds(1 + this->Random() % 20),
                            Part{From, this->Incarnations[From], To, Content});
  }

  void on(std::size_t Number, const SendToPeer &A) {
    for (std::size_t To = 0; To < RouterCount; ++To)
      if (idOf<RouterId>("r" + std::to_string(To)) == A.To)
        this->transmit(Number, To, A.Part);
  }
  void on(std::size_t Number, const ContactAddress &A) {
    for (std::size_t To = 0; To < RouterCount; ++To)
      if ("10.0.0." + std::to_string(To) + ":7400" == A.Address)
        this->transmit(Number, To, A.Message);
  }
  void on(std::size_t Number, const StartAttempt &A) {
    ++this->Starts[A.Server];
    this->Ends.emplace(
        this->Now + seconds(1),
        std::pair{Number, AttemptEnded{A.Request, A.Attempt,
                                       AttemptOutcome::Completed, 10}});
  }
  template <typename Other> void on(std::size_t, const Other &) {}

  std::mt19937_64 Random;
  TimePoint Now{seconds(1000)};
  Incarnation LastIncarnation = 0;
  std::uint64_t LastRequest = 0;
  std::array<std::unique_ptr<RouterCore>, RouterCount> Routers;
  std::array<Incarnation, RouterCount> Incarnations{};
  std::multimap<TimePoint, Part> InTransit;
  std::multimap<TimePoint, std::pair<std::size_t, AttemptEnded>> Ends;
  std::map<ServerId, std::size_t> Starts;
};

} // namespace

// Guards against a leaving backend server that gets new requests until its VM
// is removed, because each router knows only what it has read itself. Only one
// router of eight can read the platform's list, the others are disconnected
// from the store, and a fifth of all messages is lost. Then a router restarts,
// and then the list shows the server as live again.
Test(ServerConditions, OneRouterThatReadsTheListIsEnough) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    Fleet Routers(Seed);
    Routers.run(seconds(10));
    cr_assert_gt(Routers.startCount(LeavingServer), 0);
    Routers.sendServerList(true);
    cr_assert_lt(Routers.runUntilLeaving(seconds(10)), seconds(3));
    const std::size_t Before = Routers.startCount(LeavingServer);
    const std::size_t Elsewhere = Routers.startCount(OtherServer);
    Routers.run(seconds(10));
    cr_assert_eq(Routers.startCount(LeavingServer), Before);
    cr_assert_gt(Routers.startCount(OtherServer), Elsewhere);
    Routers.start(5);
    cr_assert_lt(Routers.runUntilLeaving(seconds(60)), seconds(30));
    Routers.sendServerList(false);
    Routers.run(seconds(10));
    cr_assert_gt(Routers.startCount(LeavingServer), Before);
    cr_assert(!Routers.isLeavingEverywhere());
  }
}

// Guards against a draining server that gets requests again too early, or never
// again. The server reports to one router that it is leaving; an older load
// report arrives at its owner after the notice; the list shows it as live all
// the time; finally the owner finds it serving. Fails if an older observation,
// or one of a source that does not know, clears the fact.
Test(ServerConditions, OnlyALaterObservationOfTheSameSourceClearsLeaving) {
  Fleet Routers(4);
  Routers.run(seconds(10));
  const std::size_t Owner = Routers.ownerOfLeavingServer();
  const std::size_t Other = (Owner + 1) % RouterCount;
  Routers.send(Other,
               ServerConditionChanged{LeavingServer, ServerCondition::Leaving});
  cr_assert_lt(Routers.runUntilLeaving(seconds(10)), seconds(3));
  Routers.send(Owner, LoadReported{LeavingServer, 0, 0});
  Routers.sendServerList(false);
  Routers.run(seconds(1));
  cr_assert(Routers.isLeavingEverywhere());
  Routers.run(seconds(2));
  Routers.send(Owner, LoadReported{LeavingServer, 0, 0});
  Routers.run(seconds(3));
  for (std::size_t Number = 0; Number < RouterCount; ++Number)
    cr_assert_eq(Routers.conditionAt(Number), ServerCondition::Usable);
}

// Guards against a server that no router uses because one router cannot reach
// it, or that is never used again after its recovery. A router that does not
// own the server reports a failure; then its owner does, once. Fails if the
// failure report of any router counts, or never expires.
Test(ServerConditions, OnlyTheOwnersFailureReportCountsAndExpires) {
  Fleet Routers(5);
  Routers.run(seconds(10));
  const std::size_t Owner = Routers.ownerOfLeavingServer();
  const std::size_t Other = (Owner + 1) % RouterCount;
  const std::size_t Third = (Owner + 2) % RouterCount;
  const ServerConditionChanged Failed{LeavingServer, ServerCondition::Failed};
  Routers.send(Other, Failed);
  Routers.run(seconds(3));
  cr_assert_eq(Routers.conditionAt(Other), ServerCondition::Failed);
  cr_assert_eq(Routers.conditionAt(Third), ServerCondition::Usable);
  Routers.run(seconds(13));
  cr_assert_eq(Routers.conditionAt(Other), ServerCondition::Usable);
  Routers.send(Owner, Failed);
  Routers.run(seconds(3));
  cr_assert_eq(Routers.conditionAt(Third), ServerCondition::Failed);
  Routers.run(seconds(20));
  cr_assert_eq(Routers.conditionAt(Third), ServerCondition::Usable);
}

// Guards against a retry that goes to the server that just refused it although
// another one is free, or that waits although only that server is free. Fails
// if the scheduler does not know where the previous attempt failed.
Test(ServerConditions, ARetryPrefersAnotherServerButAcceptsAny) {
  for (const ServerId Failed : {LeavingServer, OtherServer}) {
    FairScheduler Scheduler;
    Scheduler.handle(TimePoint(), DeclarationsChanged{makeDeclarations()});
    const auto Admitted = Scheduler.handle(
        TimePoint(), RequestQueued{RequestId{1}, Account, Service, 10, Failed});
    cr_assert(std::get<AdmitRequest>(Admitted.at(0)).Server != Failed);
    const ServerId Remaining =
        Failed == LeavingServer ? OtherServer : LeavingServer;
    Scheduler.handle(TimePoint(), ServerConditionChanged{
                                      Remaining, ServerCondition::Leaving});
    const auto Alone = Scheduler.handle(
        TimePoint(), RequestQueued{RequestId{2}, Account, Service, 10, Failed});
    cr_assert(std::get<AdmitRequest>(Alone.at(0)).Server == Failed);
  }
}
