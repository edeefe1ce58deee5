#include "Decision/Fairness/FairScheduler.h"

#include <criterion/criterion.h>

using namespace parsleywing;

namespace {

const RouterId Self{1};
const RouterId Other{2};
const ServiceId Service{3};
const AccountId Account{4};

TimePoint at(int Milliseconds) {
  return TimePoint(std::chrono::milliseconds(10'000 + Milliseconds));
}

FairMessage makeMessage(std::uint32_t Sequence) {
  FairMessage Message;
  Message.Sequence = Sequence;
  Message.ToIncarnation = 1;
  return Message;
}

/// Returns a server that the other router owns.
ServerId serverOwnedByOther(const View &Current) {
  std::uint64_t Name = 1;
  while (ownerOf(Current, Name) != Other)
    ++Name;
  return ServerId{Name};
}

/// The scheduler has one slot from the other router, one running request and
/// one queued request. The other router then reports a queued request, and the
/// running request ends. Returns the actions of the last event.
FairnessActions actionsAfterRelease(bool OtherIsStarved) {
  const View BothRouters{Self, {{Self, 1, false}, {Other, 1, false}}};
  const ServerId Server = serverOwnedByOther(BothRouters);
  Declarations Declared;
  Declared.Servers[Server].MaxConcurrent = 4;
  Declared.Services[Service].Servers = {Server};
  FairScheduler Scheduler;
  Scheduler.handle(at(0), DeclarationsChanged{
                              std::make_shared<const Declarations>(Declared)});
  Scheduler.handle(at(0), ViewChanged{BothRouters});
  FairMessage Grant = makeMessage(1);
  Grant.Grants.push_back({Server.Value, 1, 0, 65535});
  for (std::uint64_t Request = 1; Request <= 2; ++Request)
    Scheduler.handle(at(1),
                     RequestQueued{RequestId{Request}, Account, Service, 100});
  Scheduler.handle(at(2), FairMessageReceived{Other, 1, Grant});
  FairMessage Digest = makeMessage(2);
  Digest.Digests.push_back(
      {Service.Value, 0,
       static_cast<std::uint16_t>(OtherIsStarved ? StarvedBit | 1 : 1)});
  Scheduler.handle(at(3), FairMessageReceived{Other, 1, Digest});
  return Scheduler.handle(at(4), RequestReleased{RequestId{1}, 100});
}

bool returnsSlot(const FairnessActions &Actions) {
  for (const FairnessAction &Action : Actions)
    if (const auto *Sent = std::get_if<SendFairMessage>(&Action))
      return !Sent->Message.Reports.empty() &&
             Sent->Message.Reports.front().Returned == 1;
  return false;
}

} // namespace

// Guards against a small account whose request waits for seconds during the
// flood of another account: the router of the flood is one request ahead and
// frees a slot, while a request is queued at a router without slots. The slack
// that avoids moves between routers with slots must not delay that request, nor
// may messages wait for the next tick. Fails if the slack applies to all
// routers, and if messages are held until the next tick.
Test(FairnessStarvation, returnsAFreedSlotImmediatelyForAStarvedRouter) {
  cr_assert(returnsSlot(actionsAfterRelease(true)));
  cr_assert(!returnsSlot(actionsAfterRelease(false)));
}

// Guards against starved routers that are overlooked because only a few routers
// are compared. Fails if only the randomly drawn routers are compared.
Test(FairnessStarvation, starvedRoutersAreAlwaysCompared) {
  DigestTable Table(std::chrono::seconds(4));
  for (std::uint64_t Router = 1; Router <= 30; ++Router)
    Table.update(at(0), RouterId{Router},
                 {Service.Value, 100.0 + static_cast<double>(Router), 5});
  Table.update(at(0), RouterId{31}, {Service.Value, 50, StarvedBit | 1});
  std::mt19937_64 Random(1);
  for (int Draw = 0; Draw < 20; ++Draw)
    cr_assert_eq(Table.sample(Service, 1, Random)->Router, RouterId{31});
}

// Guards against a queue that alternates between empty and not empty and is
// reported only once per second, so that most of its requests wait that long.
// Without `sendStarvedDigest`, the second digest is sent only after the
// interval.
Test(FairnessStarvation, starvedRoutersSendDigestsMoreOften) {
  const View BothRouters{Self, {{Self, 1, false}, {Other, 1, false}}};
  const ServerId Server = serverOwnedByOther(BothRouters);
  Declarations Declared;
  Declared.Servers[Server].MaxConcurrent = 4;
  Declared.Services[Service].Servers = {Server};
  FairScheduler Scheduler;
  Scheduler.handle(at(0), DeclarationsChanged{
                              std::make_shared<const Declarations>(Declared)});
  Scheduler.handle(at(0), ViewChanged{BothRouters});
  FairMessage Digest = makeMessage(1);
  Digest.Digests.push_back({Service.Value, 100, 5});
  Scheduler.handle(at(0), FairMessageReceived{Other, 1, Digest});
  int StarvedDigests = 0;
  for (int Cycle = 0; Cycle < 3; ++Cycle) {
    const RequestId Request{static_cast<std::uint64_t>(Cycle + 1)};
    const TimePoint Now = at(300 * Cycle);
    for (const FairnessAction &Action :
         Scheduler.handle(Now, RequestQueued{Request, Account, Service, 100}))
      if (const auto *Sent = std::get_if<SendFairMessage>(&Action))
        StarvedDigests +=
            !Sent->Message.Digests.empty() &&
            (Sent->Message.Digests.front().Waiting & StarvedBit) != 0;
    Scheduler.handle(Now, RequestWithdrawn{Request});
  }
  cr_assert_eq(StarvedDigests, 3);
}
