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
const auto Leaver = idOf<ServerId>("leaver");
const auto Stayer = idOf<ServerId>("stayer");
const auto Model = idOf<ServiceId>("advisory");
const auto Kettle = idOf<AccountId>("kettle");

DeclarationsPtr declared() {
  Declarations All;
  All.Servers[Leaver] = {"leaver", "127.0.0.1:1", "z"};
  All.Servers[Stayer] = {"stayer", "127.0.0.1:2", "z"};
  All.Services[Model].Name = "advisory";
  All.Services[Model].Servers = {Leaver, Stayer};
  All.Accounts[Kettle].Services = {Model};
  return std::make_shared<const Declarations>(All);
}

// Each test fails with its mechanism taken out; docs/PEERS.md lists the runs.

/// Whole decision cores that exchange parts under a paused clock. Each part
/// takes 1 to 20 ms, or is lost. The routers serve each request in a second
/// and have new ones all the time.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {
    for (std::size_t Number = 0; Number < RouterCount; ++Number)
      this->start(Number);
  }

  /// Starts a router anew, without memory.
  void start(std::size_t Number) {
    RouterCoreSettings Settings;
    RouterRecord &Self = Settings.Membership.Self;
    Self.Name = "r" + std::to_string(Number);
    Self.Router = idOf<RouterId>(Self.Name);
    Self.IncarnationNumber = ++this->LastLife;
    Self.PeerAddress = "10.0.0." + std::to_string(Number) + ":7400";
    Settings.Membership.Seeds = {"10.0.0.0:7400", "10.0.0.1:7400"};
    Settings.Membership.RandomSeed = this->Random();
    Settings.Servers.Seed = this->Random();
    this->Routers[Number] = std::make_unique<RouterCore>(Settings);
    this->Lives[Number] = Self.IncarnationNumber;
    this->give(Number, DeclarationsChanged{declared()});
  }

  void give(std::size_t Number, const Event &Happened) {
    for (const Action &Wanted :
         this->Routers[Number]->handle(this->Now, Happened))
      std::visit([&](const auto &A) { this->on(Number, A); }, Wanted);
  }

  void run(Duration Length) {
    const TimePoint End = this->Now + Length;
    while (this->Now < End) {
      this->Now += milliseconds(10);
      this->deliver();
      for (std::size_t Number = 0; Number < RouterCount; ++Number) {
        this->give(Number, Tick{});
        if (this->Routers[Number]->openRequests() < 3)
          this->arrive(Number);
      }
    }
  }

  /// Runs until no router would admit to the leaving server.
  Duration runUntilKnown(Duration Limit) {
    const TimePoint Start = this->Now;
    while (this->Now - Start < Limit && !this->allKnow())
      this->run(milliseconds(50));
    return this->Now - Start;
  }

  bool allKnow() const {
    for (const auto &Router : this->Routers)
      if (Router->servers().conditionOf(Leaver) != ServerCondition::Leaving)
        return false;
    return true;
  }

  ServerCondition conditionAt(std::size_t Number) const {
    return this->Routers[Number]->servers().conditionOf(Leaver);
  }

  /// Router 0 alone reads the platform's list; the others are cut from it.
  void list(bool Leaves) {
    ServersListed Listed;
    (Leaves ? Listed.Leaving : Listed.Live).push_back(Leaver);
    this->give(0, Listed);
  }

  std::size_t starts(ServerId Server) { return this->Starts[Server]; }
  std::size_t ownerOfLeaver() const {
    for (std::size_t Number = 0; Number < RouterCount; ++Number)
      if (ownerOf(this->Routers[0]->membership().view(), Leaver.Value) ==
          idOf<RouterId>("r" + std::to_string(Number)))
        return Number;
    return RouterCount;
  }

private:
  struct Part {
    std::size_t From;
    Incarnation Life;
    std::size_t To;
    PeerPart Content;
  };

  void arrive(std::size_t Number) {
    RequestDescription Request;
    Request.Request = RequestId{++this->LastRequest};
    Request.Account = Kettle;
    Request.Service = Model;
    Request.Deadline = this->Now + seconds(60);
    this->give(Number, RequestArrived{Request});
  }

  void deliver() {
    while (!this->Flying.empty() && this->Flying.begin()->first <= this->Now) {
      const Part Arrived = std::move(this->Flying.begin()->second);
      this->Flying.erase(this->Flying.begin());
      const std::string Name = std::to_string(Arrived.From);
      this->give(Arrived.To,
                 PeerPartReceived{idOf<RouterId>("r" + Name), Arrived.Life,
                                  Arrived.Content, "10.0.0." + Name + ":7400"});
    }
    while (!this->Ends.empty() && this->Ends.begin()->first <= this->Now) {
      const auto [Number, Ended] = this->Ends.begin()->second;
      this->Ends.erase(this->Ends.begin());
      this->give(Number, Ended);
    }
  }

  void fly(std::size_t From, std::size_t To, const PeerPart &Content) {
    if (this->Random() % 100 < LossPercent)
      return;
    this->Flying.emplace(this->Now + milliseconds(1 + this->Random() % 20),
                         Part{From, this->Lives[From], To, Content});
  }

  void on(std::size_t Number, const SendToPeer &A) {
    for (std::size_t To = 0; To < RouterCount; ++To)
      if (idOf<RouterId>("r" + std::to_string(To)) == A.To)
        this->fly(Number, To, A.Part);
  }
  void on(std::size_t Number, const ContactAddress &A) {
    for (std::size_t To = 0; To < RouterCount; ++To)
      if ("10.0.0." + std::to_string(To) + ":7400" == A.Address)
        this->fly(Number, To, A.Message);
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
  Incarnation LastLife = 0;
  std::uint64_t LastRequest = 0;
  std::array<std::unique_ptr<RouterCore>, RouterCount> Routers;
  std::array<Incarnation, RouterCount> Lives{};
  std::multimap<TimePoint, Part> Flying;
  std::multimap<TimePoint, std::pair<std::size_t, AttemptEnded>> Ends;
  std::map<ServerId, std::size_t> Starts;
};

} // namespace

// Symptom: a backend server that leaves gets new work until its VM goes.
// Sequence: one router of eight reads the platform's list, the others are cut
// off from the store; a fifth of all messages is lost; then a router starts
// anew; then the list says that the server is back.
// Cause: each router knew only what it read itself.
Test(ServerConditions, OneRouterThatReadsTheListIsEnough) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    Fleet Routers(Seed);
    Routers.run(seconds(10));
    cr_assert_gt(Routers.starts(Leaver), 0);
    Routers.list(true);
    cr_assert_lt(Routers.runUntilKnown(seconds(10)), seconds(3));
    const std::size_t Before = Routers.starts(Leaver);
    const std::size_t Elsewhere = Routers.starts(Stayer);
    Routers.run(seconds(10));
    cr_assert_eq(Routers.starts(Leaver), Before);
    cr_assert_gt(Routers.starts(Stayer), Elsewhere);
    Routers.start(5);
    cr_assert_lt(Routers.runUntilKnown(seconds(60)), seconds(30));
    Routers.list(false);
    Routers.run(seconds(10));
    cr_assert_gt(Routers.starts(Leaver), Before);
    cr_assert(!Routers.allKnow());
  }
}

// Symptom: a server that drains gets work again, or never again.
// Sequence: it says that it leaves to one router; its load report, taken
// before, arrives at its owner after the notice; the list shows it live all
// the time; at last the owner finds it serving.
// Cause: a look of earlier, or by a source that does not know, is believed.
Test(ServerConditions, OnlyALaterLookOfTheSameSourceTakesLeavingBack) {
  Fleet Routers(4);
  Routers.run(seconds(10));
  const std::size_t Owner = Routers.ownerOfLeaver();
  const std::size_t Other = (Owner + 1) % RouterCount;
  Routers.give(Other, ServerConditionChanged{Leaver, ServerCondition::Leaving});
  cr_assert_lt(Routers.runUntilKnown(seconds(10)), seconds(3));
  Routers.give(Owner, LoadReported{Leaver, 0, 0});
  Routers.list(false);
  Routers.run(seconds(1));
  cr_assert(Routers.allKnow());
  Routers.run(seconds(2));
  Routers.give(Owner, LoadReported{Leaver, 0, 0});
  Routers.run(seconds(3));
  for (std::size_t Number = 0; Number < RouterCount; ++Number)
    cr_assert_eq(Routers.conditionAt(Number), ServerCondition::Usable);
}

// Symptom: a server that only one router cannot reach gets work from nobody,
// or one that was repaired is never tried again.
// Sequence: a router that does not own the server says that it failed; then
// the owner does, and says nothing more.
// Cause: anybody's word on a failure counts, and for ever.
Test(ServerConditions, AFailureIsItsOwnersWordAndEnds) {
  Fleet Routers(5);
  Routers.run(seconds(10));
  const std::size_t Owner = Routers.ownerOfLeaver();
  const std::size_t Other = (Owner + 1) % RouterCount;
  const std::size_t Third = (Owner + 2) % RouterCount;
  const ServerConditionChanged Failed{Leaver, ServerCondition::Failed};
  Routers.give(Other, Failed);
  Routers.run(seconds(3));
  cr_assert_eq(Routers.conditionAt(Other), ServerCondition::Failed);
  cr_assert_eq(Routers.conditionAt(Third), ServerCondition::Usable);
  Routers.run(seconds(13));
  cr_assert_eq(Routers.conditionAt(Other), ServerCondition::Usable);
  Routers.give(Owner, Failed);
  Routers.run(seconds(3));
  cr_assert_eq(Routers.conditionAt(Third), ServerCondition::Failed);
  Routers.run(seconds(20));
  cr_assert_eq(Routers.conditionAt(Third), ServerCondition::Usable);
}

// Symptom: a retry goes to the server that just refused it, or waits although
// that server alone is free.
// Sequence: two servers are free, then one.
// Cause: the scheduler is not told where the attempt before failed.
Test(ServerConditions, ARetryPrefersAnotherServerButTakesAny) {
  for (const ServerId Failed : {Leaver, Stayer}) {
    FairScheduler Scheduler;
    Scheduler.handle(TimePoint(), DeclarationsChanged{declared()});
    const auto Admitted = Scheduler.handle(
        TimePoint(), RequestQueued{RequestId{1}, Kettle, Model, 10, Failed});
    cr_assert(std::get<AdmitRequest>(Admitted.at(0)).Server != Failed);
    const ServerId Rest = Failed == Leaver ? Stayer : Leaver;
    Scheduler.handle(TimePoint(),
                     ServerConditionChanged{Rest, ServerCondition::Leaving});
    const auto Alone = Scheduler.handle(
        TimePoint(), RequestQueued{RequestId{2}, Kettle, Model, 10, Failed});
    cr_assert(std::get<AdmitRequest>(Alone.at(0)).Server == Failed);
  }
}
