#include "Placement/VersionHistory.h"

#include <criterion/criterion.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

constexpr Duration ListDelay = 2s;
/// Twice the timeout of the route, 2 s, and the delay of other routers' lists.
constexpr Duration Window = 20s + 2s + ListDelay;

/// A history that gets a proven view each second, in simulated time.
struct Model {
  Model() { this->setTargets({{"one", 1}}); }

  void setTargets(std::vector<RouteTarget> Targets) {
    this->Route.Kind = RequestKind::Stream;
    this->Route.Timeout = 10s;
    this->Route.Targets = std::move(Targets);
    GatewayConfiguration New;
    New.Routes = {this->Route};
    this->View.Configuration = std::make_shared<GatewayConfiguration>(New);
  }
  void list(const std::string &Id, const std::string &Version,
            std::int64_t StartedMs = 0, const std::string &Service = "one") {
    GatewayServer Server;
    Server.Id = Id;
    Server.Service = Service;
    Server.Version = Version;
    Server.StartedMs = StartedMs;
    this->Servers[Id] = Server;
  }
  void advance(Duration Time) {
    for (const TimePoint End = this->Now + Time; this->Now < End;) {
      this->Now += 1s;
      this->View.Servers = std::make_shared<ServerList>(this->Servers);
      this->View.ListsProvenAt = this->Now;
      this->History.update(this->View, this->Now);
    }
  }
  VersionEvidence evidence() const {
    return this->History.evidenceFor(this->Route, this->Now).Evidence;
  }

  VersionHistory History{ListDelay};
  TimePoint Now{1h};
  GatewayRoute Route;
  ServerList Servers;
  FleetView View;
};

} // namespace

// Guards against a process that has just started and takes the versions that it
// finds for those that have always been there.
Test(VersionHistory, knowsNothingAtItsStart) {
  Model M;
  cr_assert_eq(M.evidence(), VersionEvidence::TooShort);
  M.list("s", "v1");
  M.advance(Window);
  cr_assert_eq(M.evidence(), VersionEvidence::TooShort);
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::One);
}

// Guards against a version that is forgotten while streams that it has begun
// may be taken up, and against one that is remembered for ever.
Test(VersionHistory, remembersAVersionThatHasLeft) {
  Model M;
  M.list("old", "v1");
  M.advance(Window + 1s);
  M.list("new", "v2");
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::Several);
  M.Servers.erase("old");
  M.advance(Window + 1s);
  cr_assert_eq(M.evidence(), VersionEvidence::Several);
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::One);
  M.advance(1min);
  cr_assert_eq(M.History.size(), 1U);
}

// Guards against a version that is in none of the views since it left at once.
Test(VersionHistory, remembersAVersionBetweenTwoViews) {
  Model M;
  M.list("s", "v1");
  M.advance(Window + 1s);
  M.list("t", "v2");
  M.History.recordListed(M.Servers.at("t"), M.Now);
  M.Servers.erase("t");
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::Several);
}

// Guards against a router that was cut off while another version came and went.
Test(VersionHistory, startsAnewBehindAGap) {
  Model M;
  M.list("s", "v1");
  M.advance(Window + 1s);
  M.Now += VersionHistory::MaxProofGap - 1s;
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::One);
  M.Now += VersionHistory::MaxProofGap;
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::TooShort);
}

// Guards against a stream that began at a service which its route had until
// recently.
Test(VersionHistory, startsAnewWhenStreamRoutesChange) {
  Model M;
  M.setTargets({{"one", 1}, {"other", 0}});
  M.list("s", "v1");
  M.list("t", "v1", 0, "other");
  M.advance(Window + 1s);
  cr_assert_eq(M.evidence(), VersionEvidence::One);
  M.setTargets({{"one", 3}, {"other", 0}});
  M.advance(1s);
  cr_assert_eq(M.evidence(), VersionEvidence::One);
  M.setTargets({{"one", 0}, {"other", 1}});
  M.advance(Window);
  cr_assert_eq(M.evidence(), VersionEvidence::TooShort);
}

// Guards against servers of unknown version that are taken for the same one: a
// second server, and the process before.
Test(VersionHistory, unknownVersionsAreOfOneProcess) {
  for (const char *Next : {"s", "t"}) {
    Model M;
    M.list("s", "", 1);
    M.advance(Window + 1s);
    cr_assert_eq(M.evidence(), VersionEvidence::One);
    M.list(Next, "", 2);
    M.advance(1s);
    cr_assert_eq(M.evidence(), VersionEvidence::Several);
  }
}
