#include "Gateway/FrontFixture.h"

#include <Poco/Net/NetException.h>
#include <atomic>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

using Socket = Poco::Net::StreamSocket;

std::string whole(const std::string &Body, const std::string &Fields = "") {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string chunk(const std::string &Text) {
  constexpr const char *Digits = "0123456789abcdef";
  std::string Size;
  for (std::size_t Left = Text.size(); Left > 0; Left /= 16)
    Size.insert(Size.begin(), Digits[Left % 16]);
  return Size + "\r\n" + Text + "\r\n";
}

std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: " + std::to_string(Id) + "\n\n";
}

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::size_t requestsAt(std::initializer_list<ScriptedServer *> Servers) {
  std::size_t Count = 0;
  for (ScriptedServer *Each : Servers)
    Count += Each->requests().size();
  return Count;
}

bool starts(const std::string &Text, const std::string &With) {
  return Text.starts_with(With);
}

} // namespace

Test(GatewayFront, passesARequestAndItsAnswer) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  const std::string Answer = F.call(FrontFixture::request("/safe/x?y"));
  cr_assert(starts(Answer, "HTTP/1.1 200"), "%s", Answer.c_str());
  cr_assert(Answer.ends_with("hello"));
  cr_assert_eq(fieldOf(Answer, "Response-Seal"), "s");
  const std::string Sent = Server.requests().at(0);
  cr_assert(starts(Sent, "GET /safe/x?y HTTP/1.1"));
  cr_assert_eq(fieldOf(Sent, "Tenant-Id"), "acc");
  cr_assert_eq(fieldOf(Sent, "Expect-Instance"), "s0");
  cr_assert_eq(fieldOf(Sent, "Authorization"), "");
}

// Symptom: a booking is made twice. Sequence: the server reads the request and
// its connection breaks; the router sends the request to another server.
// Cause: a broken connection taken for "not run".
Test(GatewayFront, anUnsafeRequestIsSentOnceThoughItsServerBreaksOff) {
  const auto Break = [](Socket &, const std::string &) { return false; };
  ScriptedServer One(Break);
  ScriptedServer Other(Break);
  FrontFixture F;
  F.addServer(One);
  F.addServer(Other);
  F.start();
  const std::string Answer = F.call(FrontFixture::request("/unsafe/x"));
  cr_assert(starts(Answer, "HTTP/1.1 502"), "%s", Answer.c_str());
  cr_assert_eq(requestsAt({&One, &Other}), 1U);
}

Test(GatewayFront, whatAServerSaysItDidNotRunGoesToAnother) {
  const auto Refuse = [](Socket &S, const std::string &) {
    sendText(S, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n");
    return true;
  };
  ScriptedServer One(Refuse);
  ScriptedServer Other(Refuse);
  FrontFixture F;
  F.addServer(One);
  F.addServer(Other);
  F.start();
  const std::string Answer = F.call(FrontFixture::request("/unsafe/x"));
  cr_assert(starts(Answer, "HTTP/1.1 503"), "%s", Answer.c_str());
  cr_assert_neq(fieldOf(Answer, "Retry-After"), "");
  cr_assert_eq(requestsAt({&One, &Other}), 2U);
}

// Symptom: a caller that is told "not run" sends again what has run. Sequence:
// something behind the server answers 503 without its word. Cause: the status
// was passed on, and to callers it is a promise.
Test(GatewayFront, aBare503IsNotPassedOnAsAPromise) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\n"
                "Content-Length: 0\r\n\r\n");
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  cr_assert(starts(F.call(FrontFixture::request("/unsafe/x")), "HTTP/1.1 502"));
  cr_assert_eq(Server.requests().size(), 1U);
}

Test(GatewayFront, aSafeRequestIsRepeatedAfterAFailure) {
  std::atomic<int> Count{0};
  const auto FailOnce = [&Count](Socket &S, const std::string &) {
    if (Count++ == 0)
      sendText(S, "HTTP/1.1 500 No\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                  "Content-Length: 0\r\n\r\n");
    else
      sendText(S, whole("good"));
    return true;
  };
  ScriptedServer One(FailOnce);
  ScriptedServer Other(FailOnce);
  FrontFixture F;
  F.addServer(One);
  F.addServer(Other);
  F.start();
  cr_assert(F.call(FrontFixture::request("/safe/x")).ends_with("good"));
}

// Symptom: a caller gets 502 though its server was about to answer. Sequence:
// the server is slow to begin; the fleet has no repeat left. Cause: the request
// was broken off at the server before that was looked up.
Test(GatewayFront, aSlowAnswerIsWaitedForWhereNoRepeatIsLeft) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    std::this_thread::sleep_for(900ms);
    sendText(S, whole("late"));
    return true;
  });
  FrontFixture F;
  F.Settings.Retries.Ratio = 0;
  F.Settings.Retries.Slack = 0;
  F.addServer(Server);
  F.start();
  const std::string Answer = F.call(FrontFixture::request("/safe/x"));
  cr_assert(starts(Answer, "HTTP/1.1 200"), "%s", Answer.c_str());
  cr_assert_eq(Server.requests().size(), 1U);
}

// Symptom: a caller gets another one's answer. Sequence: a faulty server sends
// a second answer to a request late, where the next answer on the connection
// is due. Cause: answers were taken in order, without a look at their identity.
Test(GatewayFront, anAnswerToAnotherRequestIsDropped) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Seal: s\r\n"
                "Content-Length: 5\r\n\r\nwrong" +
                    whole("right"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  cr_assert(F.call(FrontFixture::request("/unsafe/x")).ends_with("right"));
}

Test(GatewayFront, aSuccessWithoutReceiptOrCutShortIsNoSuccess) {
  for (const char *Text :
       {"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
        "Content-Length: 9\r\n\r\nok",
        "not an answer\r\n\r\n"}) {
    ScriptedServer Server([Text](Socket &S, const std::string &) {
      sendText(S, Text);
      return false;
    });
    FrontFixture F;
    F.addServer(Server);
    F.start();
    const std::string Answer = F.call(FrontFixture::request("/unsafe/x"));
    cr_assert(starts(Answer, "HTTP/1.1 502"), "%s", Answer.c_str());
  }
}

// Symptom: a reader sees half an event, one twice, or one missing. Sequence:
// the server dies in the middle of event 3. Cause: the next server was asked
// to begin anew, or pieces of events were passed on.
Test(GatewayFront, aBrokenStreamGoesOnBehindTheLastWholeEvent) {
  const auto Script = [](Socket &S, const std::string &Request) {
    const std::string Last = fieldOf(Request, "Last-Event-Id");
    if (Last.empty()) {
      sendText(S, StreamHead + chunk(event(1)) + chunk(event(2)) +
                      chunk("id: 3\nda"));
      return false;
    }
    sendText(S, StreamHead + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    return true;
  };
  ScriptedServer One(Script);
  ScriptedServer Other(Script);
  FrontFixture F;
  F.addServer(One);
  F.addServer(Other);
  F.start();
  const std::string Answer = F.call(FrontFixture::request("/stream/x"));
  const std::size_t Length = headLength(Answer);
  BodyDecoder Body({BodyFraming::Chunked, 0});
  std::string Events;
  Body.feed(Answer.substr(Length), Events);
  cr_assert(Body.complete());
  cr_assert_eq(Events, event(1) + event(2) + event(3) + event(4), "%s",
               Events.c_str());
  cr_assert_eq(requestsAt({&One, &Other}), 2U);
}

Test(GatewayFront, aStreamThatMayNotBeResumedIsCutAndNotEnded) {
  const auto Script = [](Socket &S, const std::string &) {
    sendText(S, StreamHead + chunk(event(1)));
    return false;
  };
  ScriptedServer One(Script);
  ScriptedServer Other(Script);
  FrontFixture F;
  F.addServer(One);
  F.addServer(Other);
  F.start();
  const std::string Answer = F.call(FrontFixture::request("/once/x"));
  cr_assert_not(Answer.ends_with("0\r\n\r\n"), "%s", Answer.c_str());
  cr_assert_eq(requestsAt({&One, &Other}), 1U);
}

// Symptom: servers work for callers that have left. Cause: the connection to
// the server stayed open.
Test(GatewayFront, aLeavingCallerStopsItsServer) {
  std::atomic<bool> Stopped{false};
  ScriptedServer Server([&Stopped](Socket &S, const std::string &) {
    std::array<char, 16> Buffer{};
    S.setReceiveTimeout(Poco::Timespan(1, 0));
    try {
      Stopped = S.receiveBytes(Buffer.data(), Buffer.size()) == 0;
    } catch (const Poco::TimeoutException &) {
      Stopped = false;
    } catch (const Poco::Exception &) {
      Stopped = true;
    }
    return false;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  {
    Socket Caller = F.connect();
    sendText(Caller, FrontFixture::request("/unsafe/x"));
    // A caller that leaves before its request was passed on stops nothing.
    for (int I = 0; I < 200 && Server.requests().empty(); ++I)
      std::this_thread::sleep_for(10ms);
    cr_assert_eq(Server.requests().size(), 1U);
  }
  std::this_thread::sleep_for(400ms);
  cr_assert(Stopped.load());
}

// Symptom: a caller's key that was taken away still works at a router that is
// cut off; or proper callers are told 404 there for routes that exist by now.
// Cause: what the router knew was not dated.
Test(GatewayFront, anOldConfigurationDecidesNothingForGood) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start(6s);
  cr_assert(starts(F.call(FrontFixture::request("/safe/x")), "HTTP/1.1 503"));
  cr_assert(starts(F.call(FrontFixture::request("/none/x")), "HTTP/1.1 503"));
  cr_assert_eq(Server.requests().size(), 0U);
}

// Symptom: hundreds of requests were refused, and only counting log lines tells
// why. Cause: one counter for all reasons.
Test(GatewayFront, refusalsAreCountedByTheirReason) {
  FrontFixture F;
  F.start(5s);
  cr_assert(starts(F.call(FrontFixture::request("/safe/x")), "HTTP/1.1 503"));
  cr_assert(starts(F.call(FrontFixture::request("/no/x")), "HTTP/1.1 503"));
  // Counted behind the answer, on the router's thread.
  std::this_thread::sleep_for(200ms);
  const std::string Shown = F.metrics();
  for (const char *Line :
       {"requests_refused_total{reason=\"keys-may-be-revoked\"} 1",
        "requests_refused_total{reason=\"route-may-be-new\"} 1",
        "requests_refused_total{reason=\"no-room-in-time\"} 0"})
    cr_assert_neq(Shown.find(Line), std::string::npos, "%s in %s", Line,
                  Shown.c_str());
}

Test(GatewayFront, aFreshConfigurationDenies) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  cr_assert(starts(F.call(FrontFixture::request("/none/x")), "HTTP/1.1 404"));
  std::string Unknown = FrontFixture::request("/safe/x");
  Unknown.replace(Unknown.find("Token key"), 9, "Token kex");
  cr_assert(starts(F.call(Unknown), "HTTP/1.1 401"));
  cr_assert(
      starts(F.call("GET /safe/ HTTP/1.1\r\nHost: h\r\n\r\n"), "HTTP/1.1 400"));
  cr_assert_eq(Server.requests().size(), 0U);
}

// Symptom: a request hidden in another one's body runs. Cause: two lengths.
Test(GatewayFront, aRequestWithTwoLengthsIsRefused) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  const std::string Answer = F.call(FrontFixture::request(
      "/safe/x", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"));
  cr_assert(starts(Answer, "HTTP/1.1 400"));
  cr_assert_eq(fieldOf(Answer, "Connection"), "close");
  cr_assert_eq(Server.requests().size(), 0U);
}

// Symptom: a router that stops cuts answers. Sequence: a stop signal comes
// while a request runs. Cause: connections were closed with the signal.
Test(GatewayFront, aDrainFinishesWhatRunsAndThenEnds) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    std::this_thread::sleep_for(400ms);
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  std::string Answer;
  std::thread Caller(
      [&] { Answer = F.call(FrontFixture::request("/unsafe/x")); });
  std::this_thread::sleep_for(150ms);
  F.front().drain();
  Caller.join();
  cr_assert(Answer.ends_with("hello"), "%s", Answer.c_str());
  cr_assert_eq(fieldOf(Answer, "Connection"), "close");
  cr_assert_not(F.front().ready());
}

// Symptom: whole requests get neither an answer nor a refusal. Sequence: a
// flood of callers takes all places; the next ones are accepted and closed
// unread. Cause: a caller too many was closed in place of being refused.
Test(GatewayFront, aCallerTooManyIsRefusedWithAnAnswer) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    std::this_thread::sleep_for(600ms);
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.Settings.MaxCallerConnections = 4;
  F.addServer(Server);
  F.start();
  std::vector<Socket> Busy;
  for (int I = 0; I < 4; ++I) {
    Busy.push_back(F.connect());
    sendText(Busy.back(), FrontFixture::request("/unsafe/x"));
  }
  std::this_thread::sleep_for(100ms);
  const std::string Answer = F.call(FrontFixture::request("/unsafe/y"));
  cr_assert(starts(Answer, "HTTP/1.1 503"), "%s", Answer.c_str());
  cr_assert_eq(fieldOf(Answer, "Connection"), "close");
  cr_assert_neq(fieldOf(Answer, "Retry-After"), "");
}

// Symptom: requests on new connections get no answer while a router is full.
// Sequence: a caller connects; its request is on the way; room is made for
// others. Cause: a connection without a request so far counted as idle.
Test(GatewayFront, aConnectionThatHasSentNothingYetIsNotClosedForOthers) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.Settings.MaxCallerConnections = 2;
  F.addServer(Server);
  F.start();
  Socket First = F.connect();
  Socket Second = F.connect();
  std::this_thread::sleep_for(50ms);
  (void)F.call(FrontFixture::request("/unsafe/y"));
  sendText(First, FrontFixture::request("/unsafe/x"));
  std::array<char, 512> Buffer{};
  const int Count = First.receiveBytes(Buffer.data(), Buffer.size());
  cr_assert_gt(Count, 0);
  cr_assert(starts(std::string(Buffer.data(), 12), "HTTP/1.1 200"));
}

// Symptom: a booking fails though its server is there. Sequence: the server
// restarts under its identity; the router sends the next request over a
// connection to the earlier process. Cause: kept connections belonged to an
// identity, not to a process.
Test(GatewayFront, noRequestGoesOverAConnectionToAnEarlierProcess) {
  // The earlier process serves the first request and reads no other.
  std::atomic<int> EarlierPort{0};
  ScriptedServer Server([&EarlierPort](Socket &S, const std::string &) {
    const int Port = S.peerAddress().port();
    int None = 0;
    const bool IsFirst = EarlierPort.compare_exchange_strong(None, Port);
    if (!IsFirst && EarlierPort == Port)
      return false;
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  cr_assert(F.call(FrontFixture::request("/unsafe/1")).ends_with("hello"));
  F.restartServer("s0", 1000);
  const std::string Answer = F.call(FrontFixture::request("/unsafe/2"));
  cr_assert(starts(Answer, "HTTP/1.1 200"), "%s", Answer.c_str());
}

// Symptom: a caller is held to its deadline for an answer that nobody makes.
// Sequence: a server is cut off with a request and restarts; the connection
// stays open, and the new process answers others. Cause: a server that is heard
// was taken to be at work on the request.
Test(GatewayFront, aRequestThatItsServersRestartLostEndsBeforeItsTime) {
  ScriptedServer Server([](Socket &S, const std::string &Request) {
    if (Request.find("/unsafe/lost") != std::string::npos)
      return true;
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  std::string Answer;
  const auto Began = std::chrono::steady_clock::now();
  Duration Took{};
  std::thread Caller([&F, &Answer, &Took, Began] {
    Answer = F.call(FrontFixture::request("/unsafe/lost"));
    Took = std::chrono::duration_cast<Duration>(
        std::chrono::steady_clock::now() - Began);
  });
  std::this_thread::sleep_for(100ms);
  F.restartServer("s0", 1000);
  for (int I = 0; I < 8; ++I) {
    Poco::Net::StreamSocket Other = F.connect();
    sendText(Other, FrontFixture::request("/safe/other"));
    std::this_thread::sleep_for(50ms);
  }
  Caller.join();
  cr_assert(starts(Answer, "HTTP/1.1 502"), "%s", Answer.c_str());
  cr_assert_lt(Took, 1500ms);
}

Test(GatewayFront, aRouteTimeoutEndsTheWait) {
  ScriptedServer Server([](Socket &, const std::string &) {
    std::this_thread::sleep_for(1s);
    return false;
  });
  FrontFixture F;
  for (GatewayRoute &Route : F.Configuration.Routes)
    Route.Timeout = 300ms;
  F.addServer(Server);
  F.start();
  const auto Begun = std::chrono::steady_clock::now();
  const std::string Answer = F.call(FrontFixture::request("/unsafe/x"));
  cr_assert(starts(Answer, "HTTP/1.1 504"), "%s", Answer.c_str());
  cr_assert(std::chrono::steady_clock::now() - Begun < 700ms);
}

// Guards against connections that lose bytes without a trace for an operator.
Test(GatewayFront, bytesBehindTheEndOfAConnectionAreCounted) {
  ScriptedServer Server([](Socket &S, const std::string &) {
    sendText(S, whole("hello"));
    return true;
  });
  FrontFixture F;
  F.addServer(Server);
  F.start();
  const std::string Last =
      FrontFixture::request("/safe/x", "Connection: close\r\n");
  {
    Socket Caller = F.connect();
    sendText(Caller, Last);
    std::this_thread::sleep_for(200ms);
    sendText(Caller, FrontFixture::request("/safe/y"));
    std::this_thread::sleep_for(100ms);
  }
  std::this_thread::sleep_for(200ms);
  cr_assert_neq(F.metrics().find("caller_connections_lossy_total"
                                 "{bytes=\"discarded\"} 1\n"),
                std::string::npos);
  cr_assert_neq(
      F.metrics().find("caller_connections_lossy_total{bytes=\"unsent\"} 0\n"),
      std::string::npos);
}
