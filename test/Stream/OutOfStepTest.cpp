#include "Stream/VersionFleet.h"

#include <criterion/criterion.h>
#include <map>
#include <thread>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr int Streams = 16;
/// The router that is out of step, and the other ones.
constexpr std::size_t Late = 1;
constexpr std::size_t Other = 0;
constexpr std::size_t Third = 2;

/// A stream of which a caller has received the first events.
struct BegunStream {
  std::string RequestId;
  StreamResult Result;
};

/// How the router gets out of step while servers of another version join.
enum class Trouble {
  Frozen,   ///< Its process stands still.
  StoreCut, ///< It is cut off from the store.
  /// Its process stands still, and it hears neither the store nor other routers
  /// when it goes on.
  Isolated,
};

/// When the broken streams are taken up.
enum class TakeUp {
  During, ///< While the router is out of step.
  Behind, ///< As soon as it is in step again.
};

class OutOfStepRouter {
public:
  OutOfStepRouter(Trouble K, bool Allocated) : Kind(K), Fleet({3, Allocated}) {
    for (int I = 0; I < 2; ++I)
      this->Fleet.addServer("v1");
    this->Fleet.start();
    // The history of versions reaches back further than any stream.
    std::this_thread::sleep_for(1s);
  }

  /// Lets servers of another version join while the router is out of step,
  /// begins streams at another router, most of them there, and takes all of
  /// them up at this one.
  void play(std::chrono::milliseconds Before, TakeUp When, bool Named) {
    this->beginTrouble();
    for (int I = 0; I < 4; ++I)
      this->Fleet.addServer("v2");
    std::this_thread::sleep_for(Before);
    const std::vector<BegunStream> Begun = this->beginStreams();
    this->isolate();
    std::vector<StreamResult> Rests(Begun.size());
    std::vector<std::thread> Callers;
    for (std::size_t I = 0; I < Begun.size(); ++I)
      Callers.emplace_back([&, I] {
        StreamAttempt Attempt{Late, Begun[I].RequestId + ".1"};
        Attempt.LastId = Begun[I].Result.LastId;
        if (Named)
          Attempt.Resumes = Begun[I].RequestId;
        Rests[I] = this->callUntilAccepted(Attempt);
      });
    std::this_thread::sleep_for(When == TakeUp::During ? 2500ms : 100ms);
    this->endTrouble();
    for (std::thread &Each : Callers)
      Each.join();
    this->check(Begun, Rests);
  }

private:
  void beginTrouble() {
    if (this->Kind == Trouble::StoreCut) {
      this->Fleet.troubleStore(Late, WayTrouble::Cut);
      return;
    }
    this->Fleet.freezeRouter(Late, true);
    if (this->Kind == Trouble::Isolated)
      this->Fleet.loseMessages(Late);
  }

  /// The router goes on, but knows no more than before.
  void isolate() {
    if (this->Kind != Trouble::Isolated)
      return;
    this->Fleet.troubleStore(Late, WayTrouble::SilentFrom);
    this->Fleet.freezeRouter(Other, true);
    this->Fleet.freezeRouter(Third, true);
    this->Fleet.freezeRouter(Late, false);
  }

  void endTrouble() {
    this->Fleet.troubleStore(Late, WayTrouble::None);
    for (const std::size_t Router : {Other, Late, Third})
      this->Fleet.freezeRouter(Router, false);
  }

  /// A router whose loop lags refuses connections for a while.
  StreamResult callUntilAccepted(const StreamAttempt &Attempt) {
    constexpr int MaxTries = 40;
    constexpr auto RefusedWithin = 500ms;
    StreamResult Result = this->Fleet.call(Attempt);
    for (int Try = 1;
         Try < MaxTries && Result.Status == 0 && Result.Elapsed < RefusedWithin;
         ++Try) {
      std::this_thread::sleep_for(50ms);
      Result = this->Fleet.call(Attempt);
    }
    return Result;
  }

  std::vector<BegunStream> beginStreams() {
    std::vector<BegunStream> Begun;
    this->Fleet.setPause(10ms);
    for (int I = 0; I < Streams; ++I) {
      StreamAttempt Attempt{Other, "q" + std::to_string(I)};
      Attempt.LeavesAfter = 3;
      Begun.push_back({Attempt.RequestId, this->Fleet.call(Attempt)});
    }
    this->Fleet.setPause(1ms);
    return Begun;
  }

  static void check(const std::vector<BegunStream> &Begun,
                    const std::vector<StreamResult> &Rests) {
    int OfNewVersion = 0;
    std::map<int, int> Statuses;
    for (std::size_t I = 0; I < Begun.size(); ++I) {
      std::set<std::string> Versions = Begun[I].Result.distinctVersions();
      OfNewVersion += Versions.contains("v2") ? 1 : 0;
      Versions.merge(Rests[I].distinctVersions());
      ++Statuses[Rests[I].Status];
      cr_expect_leq(Versions.size(), 1U, "began %s, taken up %s",
                    Begun[I].Result.describe().c_str(),
                    Rests[I].describe().c_str());
      cr_expect(Rests[I].InOrder, "%s", Rests[I].describe().c_str());
    }
    for (const auto &[Status, Count] : Statuses)
      cr_log_info("%d taken up with status %d", Count, Status);
    cr_expect_gt(OfNewVersion, 0, "no stream began at the new version");
  }

  Trouble Kind;
  VersionFleet Fleet;
};

void expectOneVersion(Trouble Kind) {
  for (const bool Named : {true, false})
    for (const TakeUp When : {TakeUp::During, TakeUp::Behind}) {
      OutOfStepRouter Router(Kind, /*Allocated=*/Named);
      Router.play(When == TakeUp::During ? 300ms : 2000ms, When, Named);
    }
}

} // namespace

// Guards against streams that go on at another version at a router that stood
// still while the servers joined which began them.
Test(OutOfStep, aFrozenRouterJoinsNoVersions, .timeout = 300) {
  expectOneVersion(Trouble::Frozen);
}

// The same of a router that was cut off from the store.
Test(OutOfStep, aRouterWithoutStoreJoinsNoVersions, .timeout = 300) {
  expectOneVersion(Trouble::StoreCut);
}

// The same of a router that goes on, but hears neither the store nor others.
Test(OutOfStep, anIsolatedRouterJoinsNoVersions, .timeout = 300) {
  expectOneVersion(Trouble::Isolated);
}
