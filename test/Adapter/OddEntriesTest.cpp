#include "Adapter/FakePlatformStore.h"
#include "OddValues.h"
#include "platform/StoreCalls.h"
#include "platform/WireNames.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace parsleywing;
using namespace parsleywing::test;
using namespace std::chrono_literals;

namespace {

/// How long a look-up of a host name would take at least, if it failed at once
/// for each of the entries of a test.
constexpr auto MaxTime = 3s;
const EntryFields ServerFields{
    {"service", R"("s")"},    {"address", R"("127.0.0.1:1")"},
    {"state", R"("ready")"},  {"zone", R"("z")"},
    {"version", R"("v1")"},   {"slots", "8"},
    {"seqNo", "1"},           {"coldLeftMs", "0"},
    {"born", "1790000000123"}};
const EntryFields RouterFields{{"address", R"("127.0.0.1:2")"},
                               {"cores", "0.5"},
                               {"zone", R"("z")"},
                               {"messageFormat", "3"}};

/// Writes an entry for each field and each odd value.
int putOddEntries(FakePlatformStore &Store, const std::string &Prefix,
                  const EntryFields &Fields) {
  int Count = 0;
  for (const auto &[Name, Sound] : Fields)
    for (const std::string &Value : oddValues())
      Store.put(Prefix + "odd" + std::to_string(++Count),
                entryOf(Fields, Name, Value));
  return Count;
}

struct Store {
  FakePlatformStore Fake;
  FleetSource Source = platformFleetSource(this->Fake.address())();
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();

  void expectSwift() const {
    cr_expect_lt((std::chrono::steady_clock::now() - this->Start).count(),
                 std::chrono::nanoseconds(MaxTime).count(),
                 "an entry has delayed the reader");
  }
};

bool isUsable(const GatewayServer &Server) {
  return Server.Address.port() > 0 && Server.Slots > 0 &&
         Server.StartedMs < 10'000'000'000'000;
}

bool isUsable(const StoredRouter &Router) {
  return Router.Address.starts_with("127.0.0.1:") &&
         Router.Address != "127.0.0.1:0" && Router.Cores > 0 &&
         Router.Cores < 1e6;
}

template <typename Change> int countOf(const FleetChanges &Changes) {
  return static_cast<int>(std::count_if(
      Changes.Changes.begin(), Changes.Changes.end(),
      [](const auto &Each) { return std::holds_alternative<Change>(Each); }));
}

} // namespace

// Guards against an odd entry of a server that ends the process or hides other
// servers from a router that reads the list.
Test(OddEntries, ofServersAreLeftOutOfAPage, .timeout = 60) {
  for (const bool Alone : {true, false}) {
    Store S;
    putOddEntries(S.Fake, wire::ServerPrefix, ServerFields);
    if (!Alone)
      S.Fake.put(std::string(wire::ServerPrefix) + "sound",
                 entryOf(ServerFields));
    const auto Read = S.Source.Servers(ReadConsistency::Linearizable);
    cr_assert(Read.has_value(), "%s", Read.error().Message.c_str());
    bool HasSound = false;
    for (const auto &Each : Read->Servers) {
      HasSound = HasSound || Each.Server.Id == "sound";
      cr_expect(isUsable(Each.Server), "%s at %s, started %lld",
                Each.Server.Id.c_str(), Each.Server.Address.toString().c_str(),
                static_cast<long long>(Each.Server.StartedMs));
    }
    cr_expect_eq(HasSound, !Alone);
    S.expectSwift();
  }
}

// The same of a router that follows the changes.
Test(OddEntries, ofServersDoNotEndAWatch, .timeout = 60) {
  for (const bool Alone : {true, false}) {
    Store S;
    const int Odd = putOddEntries(S.Fake, wire::ServerPrefix, ServerFields);
    if (!Alone)
      S.Fake.put(std::string(wire::ServerPrefix) + "sound",
                 entryOf(ServerFields));
    const auto Changes = S.Source.Changes(0, 100ms, {});
    cr_assert(Changes.has_value(), "%s", Changes.error().Message.c_str());
    cr_expect_eq(countOf<StoredServer>(*Changes) +
                     countOf<InvalidServerEntry>(*Changes),
                 Odd + (Alone ? 0 : 1));
    for (const FleetChange &Each : Changes->Changes)
      if (const auto *Listed = std::get_if<StoredServer>(&Each))
        cr_expect(isUsable(Listed->Server), "%s", Listed->Server.Id.c_str());
    cr_expect_geq(Changes->LastRevision, Odd);
    S.expectSwift();
  }
}

// Guards against an odd entry of a router that ends the process of another one,
// delays it by a look-up of a host name, or hides the others.
Test(OddEntries, ofRoutersAreLeftOut, .timeout = 60) {
  for (const bool Alone : {true, false}) {
    Store S;
    putOddEntries(S.Fake, wire::RouterPrefix, RouterFields);
    if (!Alone)
      S.Fake.put(std::string(wire::RouterPrefix) + "sound",
                 entryOf(RouterFields));
    const auto Read = S.Source.Routers(ReadConsistency::Linearizable);
    cr_assert(Read.has_value(), "%s", Read.error().Message.c_str());
    bool HasSound = false;
    for (const StoredRouter &Each : Read->Routers) {
      HasSound = HasSound || Each.Name == "sound";
      cr_expect(isUsable(Each), "%s at '%s', %f cores", Each.Name.c_str(),
                Each.Address.c_str(), Each.Cores);
    }
    cr_expect_eq(HasSound, !Alone);
    const auto Changes = S.Source.Changes(0, 100ms, {});
    cr_assert(Changes.has_value(), "%s", Changes.error().Message.c_str());
    for (const FleetChange &Each : Changes->Changes)
      if (const auto *Listed = std::get_if<StoredRouter>(&Each))
        cr_expect(isUsable(*Listed), "%s at '%s', %f cores",
                  Listed->Name.c_str(), Listed->Address.c_str(), Listed->Cores);
    S.expectSwift();
  }
}

// Guards against an odd configuration, or an odd name of an evacuated zone,
// that hides changes of servers.
Test(OddEntries, ofOtherKeysDoNotHideServers, .timeout = 60) {
  for (const std::string &Value : oddValues()) {
    Store S;
    S.Fake.put(wire::ConfigurationKey, Value);
    S.Fake.put(std::string(wire::EvacuationPrefix) + "z", Value);
    S.Fake.put("other/key", Value);
    S.Fake.put(std::string(wire::ServerPrefix) + "sound",
               entryOf(ServerFields));
    const std::string Shown = Value.substr(0, 40);
    cr_expect_not(
        S.Source.Configuration(0, ReadConsistency::Linearizable).has_value(),
        "%s", Shown.c_str());
    const auto Zones = S.Source.Evacuations(ReadConsistency::Linearizable);
    cr_expect(Zones.has_value() && Zones->Zones.size() == 1, "%s",
              Shown.c_str());
    const auto Changes = S.Source.Changes(0, 100ms, {});
    cr_assert(Changes.has_value(), "%s", Shown.c_str());
    cr_expect_eq(countOf<StoredServer>(*Changes), 1, "%s", Shown.c_str());
    cr_expect_eq(countOf<EvacuatedZone>(*Changes), 1, "%s", Shown.c_str());
  }
}

// Guards against odd fields of a configuration that end the process.
Test(OddEntries, ofAConfigurationAreReadOrRejected, .timeout = 60) {
  for (const char *Text :
       {R"({"version":3,"routes":[{"name":"r","timeoutMs":@}]})",
        R"({"version":3,"routes":[{"name":"r","trafficSplit":@}]})",
        R"({"version":3,"services":[{"name":"s","engine":@}]})",
        R"({"version":3,"services":[{"name":"s","coldStartS":@}]})",
        R"({"version":3,"limits":{"tokensPerS":@}})",
        R"({"version":3,"limits":{"idleTimeoutMs":@}})",
        R"({"version":3,"tenants":[{"name":"t","apiKeys":[@]}]})",
        R"({"version":@})", R"({"version":3,"routes":@})"})
    for (const std::string &Value : oddValues()) {
      Store S;
      std::string Entry = Text;
      Entry.replace(Entry.find('@'), 1, Value);
      S.Fake.put(wire::ConfigurationKey, Entry);
      (void)S.Source.Configuration(0, ReadConsistency::Linearizable);
    }
}
