#include "Decision/Fairness/FairScheduler.h"

#include <criterion/criterion.h>
#include <map>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

const RouterId Self{1};
const RouterId Other{2};
const ServiceId Service{3};
const AccountId Account{4};
const ServerId First{11};
const ServerId Second{12};

TimePoint at(Duration Since) { return TimePoint(10s + Since); }

/// A scheduler of two servers with two slots each. `Members` are the routers.
class PauseHarness {
public:
  explicit PauseHarness(const std::vector<Member> &Members,
                        std::vector<ServerId> Servers = {First, Second}) {
    Declarations Declared;
    for (const ServerId Each : Servers)
      Declared.Servers[Each].MaxConcurrent = 2;
    Declared.Services[Service].Servers = std::move(Servers);
    this->send(0s, DeclarationsChanged{
                       std::make_shared<const Declarations>(Declared)});
    this->send(0s, ViewChanged{View{Self, Members}});
    this->send(1s, Tick{});
  }

  void send(Duration Since, const FairnessEvent &Event) {
    for (const FairnessAction &Each : this->Scheduler.handle(at(Since), Event))
      if (const auto *Admitted = std::get_if<AdmitRequest>(&Each))
        ++this->Admitted[Admitted->Server];
      else if (const auto *Refused = std::get_if<RefusePaused>(&Each))
        this->Refused.push_back(*Refused);
      else if (const auto *Sent = std::get_if<SendFairMessage>(&Each))
        this->GrantsToOther += Sent->Message.Grants.empty() ? 0 : 1;
  }

  void queue(Duration Since, std::uint64_t Request) {
    this->send(Since, RequestQueued{RequestId{Request}, Account, Service, 100});
  }

  FairScheduler Scheduler;
  std::map<ServerId, int> Admitted;
  std::vector<RefusePaused> Refused;
  int GrantsToOther = 0;
};

const std::vector<Member> OneRouter{{Self, 1, false}};

} // namespace

// Guards against requests to a paused server, and against a pause that does not
// end.
Test(FairnessPause, aPausedServerGetsNoRequestsUntilItsPauseEnds) {
  PauseHarness H(OneRouter);
  H.send(1s, ServerPaused{First, at(3s)});
  for (const std::uint64_t Request : {1U, 2U, 3U})
    H.queue(2s, Request);
  cr_assert_eq(H.Admitted[First], 0);
  cr_assert_eq(H.Admitted[Second], 2);
  cr_assert(H.Refused.empty());
  H.send(2900ms, Tick{});
  cr_assert_eq(H.Admitted[First], 0);
  H.send(3s, Tick{});
  cr_assert_eq(H.Admitted[First], 1);
}

// Guards against a pause that a later, shorter one ends.
Test(FairnessPause, aShorterPauseDoesNotEndALongerOne) {
  PauseHarness H(OneRouter, {First});
  H.send(1s, ServerPaused{First, at(5s)});
  H.send(1s, ServerPaused{First, at(2s)});
  H.send(3s, Tick{});
  cr_assert(H.Scheduler.pausedUntil(at(3s), Service) == at(5s));
}

// Guards against queued requests that wait although all servers are paused.
Test(FairnessPause, queuedRequestsAreRefusedWhenTheLastServerIsPaused) {
  PauseHarness H(OneRouter);
  for (std::uint64_t Request = 1; Request <= 6; ++Request)
    H.queue(1s, Request);
  H.send(1s, ServerPaused{First, at(4s)});
  cr_assert(H.Refused.empty());
  cr_assert_not(H.Scheduler.pausedUntil(at(1s), Service));
  H.send(2s, ServerPaused{Second, at(5s)});
  cr_assert_eq(H.Refused.size(), 2U);
  cr_assert(H.Refused.front().PauseLeft == Duration(2s));
  cr_assert(H.Scheduler.pausedUntil(at(2s), Service) == at(4s));
}

// Guards against requests that wait for a paused server since the others have
// failed.
Test(FairnessPause, aFailedServerIsNoReasonToWait) {
  PauseHarness H(OneRouter);
  H.send(1s, ServerPaused{First, at(4s)});
  H.send(1s, ServerConditionChanged{Second, ServerCondition::Failed});
  cr_assert(H.Scheduler.pausedUntil(at(1s), Service) == at(4s));
}

// Guards against capacity that idles: a server that has asked its owner for a
// pause still takes requests of other routers.
Test(FairnessPause, theOwnerGrantsAPausedServerToOthers) {
  const std::vector<Member> Both{{Self, 1, false}, {Other, 1, false}};
  std::uint64_t Name = 1;
  while (ownerOf(View{Self, Both}, Name) != Self)
    ++Name;
  PauseHarness H(Both, {ServerId{Name}});
  H.send(1s, ServerPaused{ServerId{Name}, at(9s)});
  FairMessage Digest;
  Digest.Sequence = 1;
  Digest.ToIncarnation = 1;
  Digest.Digests.push_back({Service.Value, 100, 5});
  H.send(2s, FairMessageReceived{Other, 1, Digest});
  H.send(2s + 10ms, Tick{});
  cr_assert_gt(H.GrantsToOther, 0);
  cr_assert_eq(H.Admitted[ServerId{Name}], 0);
}
