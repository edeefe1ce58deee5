#include "Process/ConfigurationFleet.h"

#include "Operator/OperatorClient.h"

#include <Poco/JSON/Parser.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace parsleywing::test {

namespace {

constexpr auto Settled = std::chrono::seconds(60);
constexpr auto Pause = std::chrono::milliseconds(50);

/// Nothing where the text is cut short, as by a router killed meanwhile.
Poco::JSON::Object::Ptr parse(const std::string &Text) {
  try {
    return Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return {};
  }
}

std::vector<std::size_t> allOf(std::size_t Count) {
  std::vector<std::size_t> All(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    All[Index] = Index;
  return All;
}

} // namespace

bool within(std::chrono::seconds Limit, const std::function<bool()> &IsSo) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!IsSo()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(Pause);
  }
  return true;
}

CommandResult runProgram(std::vector<std::string> Words) {
  const TemporaryFolder Folder;
  ChildProcess Command("parsleywing", std::move(Words), Folder.path("out"));
  const int Code = Command.wait();
  std::ostringstream Text;
  Text << std::ifstream(Folder.path("out")).rdbuf();
  return {Code, Text.str()};
}

std::optional<GenerationAnswer> FleetRouter::generation() const {
  const OperatorClient Client(this->Operators, std::chrono::seconds(1));
  const auto Body = Client.get("/generation");
  if (!Body)
    return std::nullopt;
  const auto Told = parse(*Body);
  if (!Told)
    return std::nullopt;
  return GenerationAnswer{Told->getValue<Poco::UInt64>("incarnation"),
                          Told->getValue<Poco::UInt64>("generation")};
}

Poco::JSON::Object::Ptr FleetRouter::dump() const {
  const auto Body = OperatorClient(this->Operators).get("/dump");
  return Body ? parse(*Body) : Poco::JSON::Object::Ptr();
}

bool FleetRouter::cutFrom(const std::vector<std::string> &Names) const {
  std::string List;
  for (const std::string &Name : Names)
    List += (List.empty() ? "\"" : ",\"") + Name + "\"";
  return OperatorClient(this->Operators)
      .post("/faults", "{\"cutFrom\":[" + List + "]}")
      .has_value();
}

ConfigurationFleet::ConfigurationFleet(std::size_t Count, bool WithRelays,
                                       int Lease)
    : LeaseSeconds(Lease), Routers(Count),
      StoreProcess("parsleywing-standin", {"--store", this->Store},
                   this->Folder.path("store.log")),
      EngineProcess("parsleywing-standin", {"--engine", this->Engine},
                    this->Folder.path("engine.log")) {
  // A poll of a router that is killed meanwhile would else end the test.
  std::signal(SIGPIPE, SIG_IGN);
  if (!waitForListener(this->Store) || !waitForListener(this->Engine))
    throw std::runtime_error("the stand-ins do not listen");
  for (std::size_t Index = 0; Index < Count; ++Index) {
    this->Routers[Index].Name = "r" + std::to_string(Index + 1);
    if (WithRelays)
      this->Routers[Index].Relay = std::make_unique<TroubledWay>(this->Store);
  }
  for (std::size_t Index = 0; Index < Count; ++Index) {
    FleetRouter &Router = this->Routers[Index];
    Router.SettingsFile = this->Folder.write(Router.Name + ".ini",
                                             this->settingsFor(Router, Index));
    this->startRouter(Index);
  }
  for (const FleetRouter &Router : this->Routers)
    if (!waitForListener(Router.Operators))
      throw std::runtime_error("a router does not listen");
}

ConfigurationFleet::~ConfigurationFleet() {
  // Routers go first: a relay waits for the end of their connections.
  for (FleetRouter &Router : this->Routers)
    Router.Process.reset();
}

std::string ConfigurationFleet::settingsFor(const FleetRouter &Router,
                                            std::size_t Index) const {
  std::string Text =
      "[router]\nname = " + Router.Name + "\navailability_zone = z" +
      std::to_string(Index % 2) + "\n[listen]\ncallers = " + Router.Callers +
      "\npeers = " + Router.Peers + "\noperators = " + Router.Operators +
      "\n[peers]\nsecret = a-secret-of-the-fleet\n"
      "fault_injection = yes\n";
  for (const FleetRouter &Other : this->Routers)
    if (Other.Name != Router.Name)
      Text += Other.Name + " = " + Other.Peers + "\n";
  return Text + "[platform]\nlease_life_seconds = " +
         std::to_string(this->LeaseSeconds) + "\naddress = " +
         (Router.Relay ? Router.Relay->address() : this->Store) + "\n";
}

void ConfigurationFleet::startRouter(std::size_t Index) {
  FleetRouter &Router = this->Routers[Index];
  Router.Process.reset();
  Router.Process = std::make_unique<ChildProcess>(
      "parsleywing",
      std::vector<std::string>{"router", "--settings", Router.SettingsFile},
      this->Folder.path(Router.Name + ".log"));
}

std::unique_ptr<ChildProcess>
ConfigurationFleet::replaceRouter(std::size_t Index) {
  FleetRouter &Router = this->Routers[Index];
  auto Old = std::move(Router.Process);
  Router.Callers = freeAddress();
  Router.Peers = freeAddress();
  Router.Operators = freeAddress();
  Router.SettingsFile = this->Folder.write(Router.Name + ".replaced.ini",
                                           this->settingsFor(Router, Index));
  this->startRouter(Index);
  if (!waitForListener(Router.Operators))
    throw std::runtime_error("the replacement does not listen");
  return Old;
}

std::string ConfigurationFleet::declare(const std::string &Account) const {
  return this->Folder.write(
      Account + ".declarations.ini",
      "[account " + Account +
          "]\nkey_sha256 = " + digestOfKey(Account + "-key") +
          "\nservices = advisory\n[service advisory]\nservers = s1\n"
          "[server s1]\navailability_zone = z0\naddress = " +
          this->Engine + "\n");
}

CommandResult
ConfigurationFleet::apply(const std::string &File, const std::string &Operator,
                          const std::vector<std::string> &More) const {
  std::vector<std::string> Words{"apply",  File,         "--operator",
                                 Operator, "--platform", this->Store};
  Words.insert(Words.end(), More.begin(), More.end());
  return runProgram(std::move(Words));
}

CommandResult ConfigurationFleet::show() const {
  return runProgram({"show", "--platform", this->Store});
}

void ConfigurationFleet::orderStoreFaults(const std::string &Json) const {
  const auto Done = OperatorClient(this->Store).post("/standin/faults", Json);
  if (!Done)
    throw std::runtime_error(Done.error().Message);
}

std::uint64_t ConfigurationFleet::storeCalls() const {
  const auto Body = OperatorClient(this->Store).post("/standin/counts");
  if (!Body)
    throw std::runtime_error(Body.error().Message);
  const auto Counts = parse(*Body);
  if (!Counts)
    throw std::runtime_error("the counts are not readable");
  std::uint64_t Calls = 0;
  for (const auto &[Kind, Count] : *Counts)
    if (Kind != "waiting-watches")
      Calls += Count.convert<std::uint64_t>();
  return Calls;
}

bool ConfigurationFleet::waitForGeneration(
    std::uint64_t Generation, const std::vector<std::size_t> &Which) {
  return within(Settled, [&] {
    return std::ranges::all_of(Which, [&](std::size_t Index) {
      const auto Answer = this->Routers[Index].generation();
      return Answer && Answer->Generation >= Generation;
    });
  });
}

bool ConfigurationFleet::waitForGeneration(std::uint64_t Generation) {
  return this->waitForGeneration(Generation, allOf(this->Routers.size()));
}

bool ConfigurationFleet::waitForViews(std::size_t Size,
                                      const std::vector<std::size_t> &Which) {
  return within(Settled, [&] {
    return std::ranges::all_of(Which, [&](std::size_t Index) {
      const auto Dump = this->Routers[Index].dump();
      const auto Part = Dump ? Dump->getObject("membership") : nullptr;
      return Part && Part->getValue<std::size_t>("view_size") == Size;
    });
  });
}

int ConfigurationFleet::callAt(std::size_t Index, const std::string &Account) {
  return callRouter(this->Routers[Index].Callers, Account + "-key",
                    R"({"model":"advisory","input":"tokens=2","stream":true})")
      .Status;
}

GenerationWatch::GenerationWatch(const std::vector<FleetRouter> &Routers) {
  for (const FleetRouter &Router : Routers) {
    Seen &Into = this->All.emplace_back();
    this->Threads.emplace_back(
        [this, &Router, &Into] { this->watch(Router, Into); });
  }
}

GenerationWatch::~GenerationWatch() { this->stop(); }

void GenerationWatch::watch(const FleetRouter &Router, Seen &Into) {
  while (!this->Stopping) {
    if (const auto Now = Router.generation()) {
      ++this->Polls;
      const bool Restarted = Now->Incarnation != Into.Last.Incarnation;
      const bool Unset = Restarted || Into.Last.Generation == 0;
      const bool IsLower = Now->Generation < Into.Highest;
      if (IsLower && !(Unset && Now->Generation == 0))
        Into.StepsBack += Router.Name + " went from " +
                          std::to_string(Into.Highest) + " to " +
                          std::to_string(Now->Generation) + "\n";
      Into.Last = *Now;
      Into.Highest = std::max(Into.Highest, Now->Generation);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

std::string GenerationWatch::stop() {
  this->Stopping = true;
  std::string StepsBack;
  for (std::thread &Each : this->Threads)
    if (Each.joinable())
      Each.join();
  for (const Seen &Router : this->All)
    StepsBack += Router.StepsBack;
  return StepsBack;
}

} // namespace parsleywing::test
