#include "Runtime/Id.h"
#include "platform/FleetFormat.h"
#include "platform/HeadFormat.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace parsleywing;
using namespace std::chrono_literals;

namespace {

const WireFormat Format = platformWireFormat();

HttpHead callerHead() {
  const auto Head = parseRequestHead(
      "POST /p/x HTTP/1.1\r\nHost: h.example:80\r\nRequest-Id: r1\r\n"
      "Deadline-Ms: 6000\r\nAuthorization: Token key\r\nModel-Name: m\r\n"
      "Token-Count: 1460,80\r\nPrefix-Hash: 5c:800,91:410,e4:250\r\n"
      "Last-Event-Id: 12\r\nResumes: first\r\nX-Other: y\r\n"
      "Tenant-Id: forged\r\nKv-Hold: forged\r\nPin-Ms: 1\r\n"
      "Connection: Model-Name\r\n\r\n");
  cr_assert(Head.has_value());
  return *Head;
}

} // namespace

Test(HeadFormat, parsesACallersRequest) {
  const auto Fields = Format.ParseCallerRequest(callerHead());
  cr_assert(Fields.has_value());
  cr_assert_eq(Fields->RequestId, "r1");
  cr_assert_eq(Fields->Host, "h.example");
  cr_assert_eq(Fields->Timeout->count(), Duration(6s).count());
  cr_assert_eq(Fields->AccountKey, "key");
  cr_assert_eq(Fields->PromptTokens, 1460U);
  cr_assert_eq(Fields->MaxOutputTokens, 80U);
  cr_assert_eq(Fields->PromptParts.size(), 3U);
  cr_assert_eq(Fields->PromptParts[1].Tokens, 410U);
  cr_assert_eq(*Fields->LastEventId, 12U);
  cr_assert(Fields->IsResumption);
  cr_assert_eq(Fields->StreamBegunBy, "first");
}

// If a caller's values of the router's own fields were forwarded, the caller
// could run under another account or use reserved capacity. A Connection field
// must not remove fields that the server needs.
Test(HeadFormat, callerCannotSetRouterFieldsOrRemoveRequiredOnes) {
  ServerRequestFields Fields;
  Fields.TimeLeft = 500ms;
  Fields.ServerId = "i-1";
  Fields.Account = "acc";
  const HttpHead Head = Format.BuildServerRequest(callerHead(), Fields);
  cr_assert_eq(Head.value("Tenant-Id"), "acc");
  cr_assert_eq(Head.count("Tenant-Id"), 1U);
  cr_assert_eq(Head.value("Expect-Instance"), "i-1");
  cr_assert_eq(Head.value("Deadline-Ms"), "500");
  cr_assert_eq(Head.value("Model-Name"), "m");
  cr_assert_eq(Head.value("Last-Event-Id"), "12");
  cr_assert_eq(Head.value("X-Other"), "y");
  for (const char *Name : {"Authorization", "Kv-Hold", "Pin-Ms", "Connection"})
    cr_assert_null(Head.find(Name), "%s is forwarded", Name);
}

Test(HeadFormat, onlyTheRouterSetsTheCacheSource) {
  HttpHead Caller = callerHead();
  Caller.add("Kv-Fetch", "10.9.9.9:1");
  ServerRequestFields Fields;
  Fields.TimeLeft = 500ms;
  cr_assert_null(Format.BuildServerRequest(Caller, Fields).find("Kv-Fetch"));
  Fields.CacheSourceAddress = "10.0.0.2:80";
  const HttpHead Head = Format.BuildServerRequest(Caller, Fields);
  cr_assert_eq(Head.count("Kv-Fetch"), 1U);
  cr_assert_eq(Head.value("Kv-Fetch"), "10.0.0.2:80");
}

Test(HeadFormat, onlyTheServersFieldMeansNotRun) {
  HttpHead Head;
  Head.Status = 503;
  cr_assert_not(Format.ParseServerResponse(Head).NotRun);
  Head.add("Not-Executed", "1");
  Head.add("Server-Load", "3,1,8");
  Head.add("Keep-Alive", "timeout=7");
  const ServerResponseFields Fields = Format.ParseServerResponse(Head);
  cr_assert(Fields.NotRun);
  cr_assert_eq(Fields.Load->Waiting, 1U);
  cr_assert_eq(Fields.IdleTimeout->count(), Duration(7s).count());
}

// Guards against a load report that is discarded because the server adds how
// long work takes there now, and against a half-read malformed one.
Test(HeadFormat, readsLoadWithAndWithoutWorkTime) {
  const auto LoadOf = [](const char *Value) {
    HttpHead Head;
    Head.Status = 200;
    Head.add("Server-Load", Value);
    return Format.ParseServerResponse(Head).Load;
  };
  const auto Three = LoadOf("3,1,8");
  cr_assert(Three.has_value());
  cr_assert_eq(Three->Running, 3U);
  cr_assert_eq(Three->Slots, 8U);
  cr_assert_not(Three->WorkTimePercent.has_value());
  const auto Four = LoadOf("3, 1, 8, 250");
  cr_assert(Four.has_value());
  cr_assert_eq(Four->Running, 3U);
  cr_assert_eq(Four->Waiting, 1U);
  cr_assert_eq(Four->Slots, 8U);
  cr_assert_eq(Four->WorkTimePercent.value_or(0), 250U);
  for (const char *Malformed :
       {"", "3", "3,1", "3,1,8,", "3,1,8,x", "3,1,8,-1", "3,1,8,0", "3,1,8,1e2",
        "x,1,8", "3,,8", "3,1,8,100,7", "3,1,8,999999999999999999999"})
    cr_assert_not(LoadOf(Malformed).has_value(), "%s", Malformed);
}

Test(HeadFormat, readsThatAServerLeavesFromAnyStatus) {
  for (const int Status : {200, 404, 500, 503}) {
    HttpHead Head;
    Head.Status = Status;
    cr_assert_not(Format.ParseServerResponse(Head).Leaving);
    Head.add("Server-Leaving", "0");
    cr_assert_not(Format.ParseServerResponse(Head).Leaving);
    Head.remove("Server-Leaving");
    Head.add("Server-Leaving", "1");
    cr_assert(Format.ParseServerResponse(Head).Leaving);
  }
}

// Guards against callers that take the notice for one of the router.
Test(HeadFormat, callersDoNotSeeThatAServerLeaves) {
  HttpHead Head;
  Head.Status = 200;
  Head.add("Server-Leaving", "1");
  cr_assert_null(Format.BuildCallerResponse(Head).find("Server-Leaving"));
}

Test(HeadFormat, onlyARefusalAsksForAPause) {
  HttpHead Head;
  Head.Status = 503;
  cr_assert_not(Format.ParseServerResponse(Head).Pause);
  Head.add("Retry-After", "0.5");
  Head.add("Retry-After", "soon");
  Head.add("Retry-After", "3");
  cr_assert(Format.ParseServerResponse(Head).Pause == Duration(3s));
  Head.Status = 200;
  cr_assert_not(Format.ParseServerResponse(Head).Pause);
}

Test(HeadFormat, acceptsOrRejectsArbitraryBytes) {
  cr_assert(rc::check("fields", [](const std::string &Value) {
    HttpHead Head = callerHead();
    for (const char *Name : {"Token-Count", "Prefix-Hash", "Last-Event-Id",
                             "Deadline-Ms", "Authorization"}) {
      Head.remove(Name);
      Head.add(Name, Value);
    }
    (void)Format.ParseCallerRequest(Head);
  }));
}

Test(FleetFormat, decodesAConfiguration) {
  const auto Configuration = decodeConfiguration(
      R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/a/",)"
      R"("kind":"streaming","timeoutMs":6000,"targetLatencyMs":600,)"
      R"("trafficSplit":[{"service":"s","weight":90},)"
      R"({"service":"t","weight":10}],"maxAttempts":2,"public":false,)"
      R"("sticky":true,"resumable":true},{"name":"q","hostname":"h",)"
      R"("prefix":"/a/b/","kind":"new-kind","service":"t","public":true}],)"
      R"("services":[{"name":"s","maxConns":360,)"
      R"("engine":{"kvCapacity":240898}},{"name":"t"}],)"
      R"("limits":{"maxHeaderBytes":100,"tokensPerS":280000.5},)"
      R"("tenants":[{"name":"acc","apiKeys":["k1","k2"]}]})");
  cr_assert(Configuration.has_value(), "%s",
            Configuration.error().Message.c_str());
  cr_assert_eq(Configuration->Version, 7);
  const GatewayRoute *Route = Configuration->findRoute("h", "/a/x");
  cr_assert_not_null(Route);
  cr_assert_eq(Route->Name, "r");
  cr_assert(Route->repeatable());
  cr_assert_eq(Route->Targets.size(), 2U);
  cr_assert_eq(Configuration->findRoute("H", "/a/b/c")->Name, "q");
  cr_assert_null(Configuration->findRoute("h", "/b"));
  // An unknown kind is treated as the one that may run only once.
  cr_assert_eq(Configuration->findRoute("h", "/a/b/c")->Kind,
               RequestKind::AtMostOnce);
  cr_assert_eq(Configuration->Services.at("s").KvCapacityTokens, 240898U);
  cr_assert_eq(Configuration->AccountOfKey.at("k2"), "acc");
  cr_assert_eq(Configuration->Limits.MaxHeaderBytes, 100U);
}

Test(FleetFormat, rejectsInvalidConfigurations) {
  for (const char *Text :
       {"", "[]", "{}", R"({"version":"x"})", "{\"version\""})
    cr_assert_not(decodeConfiguration(Text).has_value(), "accepted: %s", Text);
}

// If missing fields or fields of the wrong type were accepted, a foreign entry
// under a server's key could send requests to an address that nobody serves, or
// make the whole list fail.
Test(FleetFormat, rejectsMalformedServerEntries) {
  const std::string ValidEntry =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":64,"state":"ready","seqNo":4,"coldLeftMs":0,"born":17})";
  cr_assert(decodeServer("i-1", ValidEntry).has_value());
  const std::vector<std::pair<std::string, std::string>> Changes{
      {R"("service":"s",)", ""},
      {R"("service":"s")", R"("service":7)"},
      {R"("service":"s")", R"("service":null)"},
      {R"("10.0.0.1:80")", R"("engine.example:80")"},
      {R"("10.0.0.1:80")", R"("10.0.0.1")"},
      {R"("10.0.0.1:80")", R"("10.0.0.1:0")"},
      {R"("10.0.0.1:80")", R"("10.0.0.1:65536")"},
      {R"("10.0.0.1:80")", R"("10.0.0.1:-1")"},
      {R"("10.0.0.1:80")", R"(["10.0.0.1:80"])"},
      {R"("zone":"z",)", ""},
      {R"("zone":"z")", R"("zone":{})"},
      {R"("version":"v1",)", ""},
      {R"("slots":64)", R"("slots":"64")"},
      {R"("slots":64)", R"("slots":0)"},
      {R"("slots":64)", R"("slots":-1)"},
      {R"("slots":64)", R"("slots":6.5)"},
      {R"("slots":64)", R"("slots":true)"},
      {R"("slots":64)", R"("slots":99999999999999999999)"},
      {R"("state":"ready")", R"("state":"resting")"},
      {R"("state":"ready",)", ""},
      {R"("state":"ready")", R"("state":1)"},
      {R"("seqNo":4)", R"("seqNo":"4")"},
      {R"("seqNo":4,)", ""},
      {R"("coldLeftMs":0)", R"("coldLeftMs":"0")"},
      {R"("coldLeftMs":0)", R"("coldLeftMs":-1)"},
      {R"("coldLeftMs":0)", R"("coldLeftMs":null)"},
      {R"("born":17)", R"("born":"17")"},
      {R"("born":17)", R"("born":-17)"},
      {R"("born":17)", R"("born":1.5)"},
      {R"({"service")", R"("service")"},
  };
  for (const auto &[From, To] : Changes) {
    std::string Text = ValidEntry;
    const std::size_t Position = Text.find(From);
    cr_assert_neq(Position, std::string::npos, "%s", From.c_str());
    Text.replace(Position, From.size(), To);
    cr_assert_not(decodeServer("i-1", Text).has_value(), "accepted: %s",
                  Text.c_str());
  }
  for (const std::string &Text :
       {std::string(), std::string("null"), std::string("[]"),
        std::string("\xff\xfe\0x", 4), std::string(1U << 20U, ' '),
        std::string(1U << 20U, '['), std::string(1U << 20U, '{')})
    cr_assert_not(decodeServer("i-1", Text).has_value());
}

Test(FleetFormat, decodesWarmUpSettings) {
  const auto Server = decodeServer(
      "i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
             R"("version":"v1","slots":64,"state":"ready","seqNo":4,)"
             R"("coldLeftMs":1200.5})");
  cr_assert(Server.has_value());
  cr_assert(Server->WarmUpLeft == std::chrono::microseconds(1'200'500));
  const auto Configuration = decodeConfiguration(
      R"({"version":1,"services":[{"name":"s","coldStartS":3.0,)"
      R"("coldPerS":9.1},{"name":"plain","coldStartS":0.0,"coldPerS":0.0}]})");
  cr_assert(Configuration.has_value());
  cr_assert(Configuration->Services.at("s").WarmUp.Period ==
            std::chrono::seconds(3));
  cr_assert_float_eq(Configuration->Services.at("s").WarmUp.RequestsPerSecond,
                     9.1, 1e-9);
  cr_assert_eq(Configuration->Services.at("plain").WarmUp.RequestsPerSecond, 0);
}

Test(FleetFormat, acceptsOrRejectsArbitraryEntries) {
  cr_assert(rc::check("foreign entries", [](const std::string &Bytes) {
    (void)decodeServer("i-1", Bytes);
    (void)decodeRouter("r", Bytes);
    (void)decodeConfiguration(Bytes);
  }));
}

// Cached parts and the parts of requests must be identified by the same hash of
// their name.
Test(FleetFormat, decodesCachedParts) {
  const auto Decoded = decodeCachedParts(
      R"({"epoch":3,"next":9,"born":17,"held":[["","5c1e07a2",800,"m"],)"
      R"(["",7,800,"m"],["","91bd3f06","800","m"],["","e4402b7d",-1,"m"],)"
      R"("x",[],["","91bd3f06",410,"m"]]})");
  cr_assert(Decoded.has_value());
  cr_assert_eq(Decoded->ServerStartedMs, 17);
  cr_assert_eq(Decoded->Parts.size(), 2U);
  cr_assert_eq(Decoded->Parts[0].Id, hashName("5c1e07a2"));
  cr_assert_eq(Decoded->Parts[0].Tokens, 800U);
  cr_assert_eq(Decoded->Parts[1].Tokens, 410U);
  for (const char *Text : {"", "[]", R"({"held":7})", R"({"born":"x"})"})
    cr_assert(!decodeCachedParts(Text) ||
                  decodeCachedParts(Text)->Parts.empty(),
              "accepted: %s", Text);
  cr_assert(rc::check("foreign lists", [](const std::string &Bytes) {
    (void)decodeCachedParts(Bytes);
  }));
}

Test(FleetFormat, decodesServerAndRouterEntries) {
  const auto Server = decodeServer(
      "i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
             R"("slots":64,"state":"draining","version":"v1","seqNo":4,)"
             R"("coldLeftMs":0,"born":1790000000123})");
  cr_assert(Server.has_value());
  cr_assert_eq(Server->StartedMs, 1790000000123);
  cr_assert(Server->Draining);
  cr_assert_eq(Server->Slots, 64U);
  cr_assert_not(decodeServer("i-1", R"({"address":"nowhere"})").has_value());
  const auto Router =
      decodeRouter("a", encodeRouter({"a", "10.0.0.1:7400", 0.25, 0}));
  cr_assert(Router.has_value());
  cr_assert_eq(Router->Address, "10.0.0.1:7400");
  cr_assert_float_eq(Router->Cores, 0.25, 1e-9);
  cr_assert(Router->Format == NewestMessageFormat);
  // An entry of the release before, and one of a later release.
  cr_assert(decodeRouter("a", R"({"address":"10.0.0.1:7400"})")->Format ==
            OldestMessageFormat);
  cr_assert(
      decodeRouter("a", R"({"address":"10.0.0.1:7400","messageFormat":99})")
          ->Format == NewestMessageFormat);
}
