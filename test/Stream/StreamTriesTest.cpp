#include "Stream/VersionFleet.h"

#include <criterion/criterion.h>
#include <functional>
#include <thread>

using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

constexpr int Streams = 20;

std::string idOf(int Stream, int Try) {
  return "q" + std::to_string(Stream) + "-" + std::to_string(Try);
}

/// A stream of which a caller has received the first events.
struct BegunStream {
  std::string RequestId;
  StreamResult Result;
};

/// Begins streams at a router and leaves them after three events.
std::vector<BegunStream> beginStreams(VersionFleet &Fleet, std::size_t Router) {
  std::vector<BegunStream> Begun;
  Fleet.setPause(20ms);
  for (int I = 0; I < Streams; ++I) {
    StreamAttempt Attempt{Router, idOf(I, 0)};
    Attempt.LeavesAfter = 3;
    Begun.push_back({Attempt.RequestId, Fleet.call(Attempt)});
    cr_assert_geq(Begun.back().Result.LastId, 3, "%s",
                  Begun.back().Result.describe().c_str());
  }
  Fleet.setPause(1ms);
  return Begun;
}

StreamResult takeUp(VersionFleet &Fleet, const BegunStream &Stream,
                    std::size_t Router, bool Named = true) {
  StreamAttempt Attempt{Router, Stream.RequestId + ".1"};
  Attempt.LastId = Stream.Result.LastId;
  if (Named)
    Attempt.Resumes = Stream.RequestId;
  return Fleet.call(Attempt);
}

/// Takes all streams up at a router; returns how many went on. Each ends with
/// events of its version alone, or is refused without a run.
int takeUpAll(VersionFleet &Fleet, const std::vector<BegunStream> &Begun,
              std::size_t Router, bool Named = true) {
  int Continued = 0;
  for (const BegunStream &Each : Begun) {
    const StreamResult Rest = takeUp(Fleet, Each, Router, Named);
    std::set<std::string> Versions = Each.Result.distinctVersions();
    Versions.merge(Rest.distinctVersions());
    cr_assert_eq(Versions.size(), 1U, "began %s, taken up %s",
                 Each.Result.describe().c_str(), Rest.describe().c_str());
    cr_assert(Rest.InOrder, "%s", Rest.describe().c_str());
    cr_assert(Rest.Complete, "%s", Rest.describe().c_str());
    if (Rest.Status == 503)
      cr_assert_eq(Fleet.received(Each.RequestId + ".1"), 0U);
    Continued += Rest.Status == 200 ? 1 : 0;
  }
  return Continued;
}

void addTwoOfEachVersion(VersionFleet &Fleet) {
  for (const char *Version : {"v1", "v2", "v1", "v2"})
    Fleet.addServer(Version);
}

} // namespace

// Guards against a stream that goes on at another version since the router that
// the caller returns to has not begun it.
Test(StreamTries, goOnAtTheirVersionAtAnotherRouter, .timeout = 90) {
  for (const bool Allocated : {true, false}) {
    VersionFleet Fleet({3, Allocated});
    addTwoOfEachVersion(Fleet);
    Fleet.start();
    cr_assert_eq(takeUpAll(Fleet, beginStreams(Fleet, 0), 1), Streams);
  }
}

// Guards against streams that are lost, or go on at another version, with the
// router that began them.
Test(StreamTries, goOnAfterACrashOfTheirRouter, .timeout = 60) {
  VersionFleet Fleet({3, true});
  addTwoOfEachVersion(Fleet);
  Fleet.start();
  const auto Begun = beginStreams(Fleet, 0);
  Fleet.killRouter(0);
  cr_assert_eq(takeUpAll(Fleet, Begun, 2), Streams);
}

// Guards against versions that are forgotten while routers restart one after
// the other.
Test(StreamTries, goOnAfterARestartOfAllRoutersInTurn, .timeout = 90) {
  VersionFleet Fleet({3, true});
  addTwoOfEachVersion(Fleet);
  Fleet.start();
  const auto Begun = beginStreams(Fleet, 0);
  for (const std::size_t Router : {0U, 1U, 2U})
    Fleet.restartRouter(Router);
  cr_assert_geq(takeUpAll(Fleet, Begun, 1), Streams / 2);
}

// Guards against a stream that waits for a version that is gone, or goes on at
// another one.
Test(StreamTries, areRefusedAtOnceWithoutAServerOfTheirVersion, .timeout = 60) {
  VersionFleet Fleet({2, true});
  Fleet.addServer("v1");
  Fleet.start();
  const auto Begun = beginStreams(Fleet, 0);
  Fleet.addServer("v2");
  Fleet.unlist(0);
  std::this_thread::sleep_for(1s);
  for (const BegunStream &Each : Begun) {
    const StreamResult Rest = takeUp(Fleet, Each, 1);
    cr_assert_eq(Rest.Status, 503, "%s", Rest.describe().c_str());
    cr_assert_lt(Rest.Elapsed, 500ms, "%s", Rest.describe().c_str());
    cr_assert_eq(Rest.RetryAfter, "", "no wait brings the version back");
    cr_assert_eq(Fleet.received(Each.RequestId + ".1"), 0U);
  }
}

// Guards against a stream of unknown version that goes on at any server.
Test(StreamTries, ofUnknownOriginAreRefusedAtOnce, .timeout = 60) {
  VersionFleet Fleet({2, true});
  addTwoOfEachVersion(Fleet);
  Fleet.start();
  for (const char *Resumes : {"never-sent", ""}) {
    StreamAttempt Attempt{0, std::string("lost") + Resumes};
    Attempt.LastId = 3;
    Attempt.Resumes = Resumes;
    const StreamResult Rest = Fleet.call(Attempt);
    cr_assert_eq(Rest.Status, 503, "%s", Rest.describe().c_str());
    cr_assert_lt(Rest.Elapsed, 500ms, "%s", Rest.describe().c_str());
    cr_assert_eq(Fleet.received(Attempt.RequestId), 0U);
  }
}

// Guards against callers without `Resumes` that get no rest of their streams
// although all servers have had one version for as long as a stream lasts, and
// against a router that has just started and lets them go on.
Test(StreamTries, withoutResumesGoOnWhileThereIsOneVersion, .timeout = 60) {
  VersionFleet Fleet({2, true, 1000ms});
  for (int I = 0; I < 2; ++I)
    Fleet.addServer("v1");
  Fleet.start();
  StreamAttempt Attempt{1, "too-early"};
  Attempt.LastId = 3;
  const StreamResult Refused = Fleet.call(Attempt);
  cr_assert_eq(Refused.Status, 503, "%s", Refused.describe().c_str());
  cr_assert_neq(Refused.RetryAfter, "", "another router may know");
  // Twice the route's timeout, 2 s more, and 5 s for other routers' lists.
  std::this_thread::sleep_for(9500ms);
  for (const std::size_t Router : {0U, 1U}) {
    Attempt = {Router, "older-client" + std::to_string(Router)};
    Attempt.LastId = 3;
    const StreamResult Rest = Fleet.call(Attempt);
    cr_assert_eq(Rest.Status, 200, "%s", Rest.describe().c_str());
    cr_assert(Rest.Complete && Rest.InOrder, "%s", Rest.describe().c_str());
  }
}

// Guards against an account that takes up the stream of another one.
Test(StreamTries, areRefusedToAnotherAccount, .timeout = 60) {
  VersionFleet Fleet({2, true});
  addTwoOfEachVersion(Fleet);
  Fleet.start();
  const BegunStream Begun = beginStreams(Fleet, 0).front();
  StreamAttempt Attempt{1, "foreign"};
  Attempt.LastId = Begun.Result.LastId;
  Attempt.Resumes = Begun.RequestId;
  Attempt.Key = "k2";
  cr_assert_eq(Fleet.call(Attempt).Status, 503);
  cr_assert_eq(Fleet.received("foreign"), 0U);
}

// Guards against a request for the rest of a stream that names it with bytes of
// any kind or length.
Test(StreamTries, withAnyNameAreRefused, .timeout = 60) {
  VersionFleet Fleet({1, true});
  addTwoOfEachVersion(Fleet);
  Fleet.start();
  for (const std::string &Name :
       {std::string(10'000, 'x'), std::string("a b=c\"\\"),
        std::string("\xff\xfe")}) {
    StreamAttempt Attempt{0, "odd"};
    Attempt.LastId = 3;
    Attempt.Resumes = Name;
    cr_assert_eq(Fleet.call(Attempt).Status, 503);
  }
  cr_assert_eq(Fleet.received("odd"), 0U);
}

// Guards against a stream that goes on at another service of its route, which
// has a version of the same name.
Test(StreamTries, goOnAtTheServiceThatBeganThem, .timeout = 60) {
  VersionFleet Fleet({2, true});
  for (const char *Service : {"engines", "others"})
    for (int I = 0; I < 2; ++I)
      Fleet.addServer(Service, Service);
  Fleet.configure({"engines", "others"});
  Fleet.start();
  cr_assert_eq(takeUpAll(Fleet, beginStreams(Fleet, 0), 1), Streams);
}

// Guards against the stream of a caller that goes on at the only version that
// is left in the list, with the name of its attempt or without, behind a
// release alone and behind one or two kills of all routers.
Test(StreamTries, areNotJoinedBehindAReleaseAndKillsOfAllRouters,
     .timeout = 120) {
  for (const int Kills : {0, 1, 2}) {
    VersionFleet Fleet({2, true});
    for (int I = 0; I < 2; ++I)
      Fleet.addServer("v1");
    Fleet.start();
    const auto Begun = beginStreams(Fleet, 0);
    for (std::size_t I = 0; I < 2; ++I) {
      Fleet.addServer("v2");
      Fleet.unlist(I);
    }
    std::this_thread::sleep_for(1s);
    for (int I = 0; I < Kills; ++I) {
      for (const std::size_t Router : {0U, 1U})
        Fleet.killRouter(Router);
      Fleet.start();
    }
    cr_assert_eq(takeUpAll(Fleet, Begun, 0, /*Named=*/true), 0);
    cr_assert_eq(takeUpAll(Fleet, Begun, 1, /*Named=*/false), 0);
  }
}
