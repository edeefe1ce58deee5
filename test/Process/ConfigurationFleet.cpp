#include "Process/ConfigurationFleet.h"

#include "Operator/OperatorClient.h"

#include <Poco/JSON/Parser.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace parsleywing::test {

namespace {

constexpr auto WaitTimeout = std::chrono::seconds(60);
constexpr auto PollInterval = std::chrono::milliseconds(50);

/// Returns nothing if the text is truncated, for instance because the router
/// was killed.
Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  try {
    return Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return {};
  }
}

std::vector<std::size_t> allIndexes(std::size_t Count) {
  std::vector<std::size_t> Indexes(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Indexes[Index] = Index;
  return Indexes;
}

} // namespace

bool waitFor(std::chrono::seconds Limit,
             const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

CommandResult runProgram(std::vector<std::string> Arguments) {
  const TemporaryFolder Folder;
  ChildProcess Command("parsleywing", std::move(Arguments), Folder.path("out"));
  const int Code = Command.wait();
  std::ostringstream Text;
  Text << std::ifstream(Folder.path("out")).rdbuf();
  return {Code, Text.str()};
}

std::optional<GenerationResponse> FleetRouter::generation() const {
  const OperatorClient Client(this->OperatorAddress, std::chrono::seconds(1));
  const auto Body = Client.get("/generation");
  if (!Body)
    return std::nullopt;
  const auto Document = parseObject(*Body);
  if (!Document)
    return std::nullopt;
  return GenerationResponse{Document->getValue<Poco::UInt64>("incarnation"),
                            Document->getValue<Poco::UInt64>("generation")};
}

Poco::JSON::Object::Ptr FleetRouter::dump() const {
  const auto Body = OperatorClient(this->OperatorAddress).get("/dump");
  return Body ? parseObject(*Body) : Poco::JSON::Object::Ptr();
}

bool FleetRouter::disconnectFrom(const std::vector<std::string> &Names) const {
  std::string List;
  for (const std::string &Name : Names)
    List += (List.empty() ? "\"" : ",\"") + Name + "\"";
  return OperatorClient(this->OperatorAddress)
      .post("/faults", "{\"cutFrom\":[" + List + "]}")
      .has_value();
}

ConfigurationFleet::ConfigurationFleet(std::size_t Count, bool WithStoreLinks,
                                       int Lease)
    : LeaseSeconds(Lease), Routers(Count),
      StoreProcess("parsleywing-standin", {"--store", this->Store},
                   this->Folder.path("store.log")),
      EngineProcess("parsleywing-standin", {"--engine", this->Engine},
                    this->Folder.path("engine.log")) {
  // Otherwise SIGPIPE would end the test when a router is killed during a poll.
  std::signal(SIGPIPE, SIG_IGN);
  if (!waitForListener(this->Store) || !waitForListener(this->Engine))
    throw std::runtime_error("the stand-ins are not listening");
  for (std::size_t Index = 0; Index < Count; ++Index) {
    this->Routers[Index].Name = "r" + std::to_string(Index + 1);
    if (WithStoreLinks)
      this->Routers[Index].StoreLink =
          std::make_unique<TroubledWay>(this->Store);
  }
  for (std::size_t Index = 0; Index < Count; ++Index) {
    FleetRouter &Router = this->Routers[Index];
    Router.SettingsFile = this->Folder.write(Router.Name + ".ini",
                                             this->settingsFor(Router, Index));
    this->startRouter(Index);
  }
  for (const FleetRouter &Router : this->Routers)
    if (!waitForListener(Router.OperatorAddress))
      throw std::runtime_error("a router is not listening");
}

ConfigurationFleet::~ConfigurationFleet() {
  // Routers end first, since a link waits for the end of their connections.
  for (FleetRouter &Router : this->Routers)
    Router.Process.reset();
}

std::string ConfigurationFleet::settingsFor(const FleetRouter &Router,
                                            std::size_t Index) const {
  std::string Text = "[router]\nname = " + Router.Name +
                     "\navailability_zone = z" + std::to_string(Index % 2) +
                     "\n[listen]\ncallers = " + Router.CallerAddress +
                     "\npeers = " + Router.PeerAddress +
                     "\noperators = " + Router.OperatorAddress +
                     "\n[peers]\nsecret = a-secret-of-the-fleet\n"
                     "fault_injection = yes\n";
  for (const FleetRouter &Other : this->Routers)
    if (Other.Name != Router.Name)
      Text += Other.Name + " = " + Other.PeerAddress + "\n";
  return Text + "[platform]\nlease_life_seconds = " +
         std::to_string(this->LeaseSeconds) + "\naddress = " +
         (Router.StoreLink ? Router.StoreLink->address() : this->Store) + "\n";
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
  Router.CallerAddress = freeAddress();
  Router.PeerAddress = freeAddress();
  Router.OperatorAddress = freeAddress();
  Router.SettingsFile = this->Folder.write(Router.Name + ".replaced.ini",
                                           this->settingsFor(Router, Index));
  this->startRouter(Index);
  if (!waitForListener(Router.OperatorAddress))
    throw std::runtime_error("the replacement router is not listening");
  return Old;
}

std::string
ConfigurationFleet::writeDeclarations(const std::string &Account) const {
  return this->Folder.write(
      Account + ".declarations.ini",
      "[account " + Account +
          "]\nkey_sha256 = " + digestOfKey(Account + "-key") +
          "\nservices = advisory\n[service advisory]\nservers = s1\n"
          "[server s1]\navailability_zone = z0\naddress = " +
          this->Engine + "\n");
}

CommandResult ConfigurationFleet::apply(
    const std::string &File, const std::string &Operator,
    const std::vector<std::string> &ExtraArguments) const {
  std::vector<std::string> Arguments{"apply",  File,         "--operator",
                                     Operator, "--platform", this->Store};
  Arguments.insert(Arguments.end(), ExtraArguments.begin(),
                   ExtraArguments.end());
  return runProgram(std::move(Arguments));
}

CommandResult ConfigurationFleet::show() const {
  return runProgram({"show", "--platform", this->Store});
}

void ConfigurationFleet::setStoreFaults(const std::string &Json) const {
  const auto Done = OperatorClient(this->Store).post("/standin/faults", Json);
  if (!Done)
    throw std::runtime_error(Done.error().Message);
}

std::uint64_t ConfigurationFleet::storeCalls() const {
  const auto Body = OperatorClient(this->Store).post("/standin/counts");
  if (!Body)
    throw std::runtime_error(Body.error().Message);
  const auto Counts = parseObject(*Body);
  if (!Counts)
    throw std::runtime_error("the counts are not valid JSON");
  std::uint64_t Calls = 0;
  for (const auto &[Kind, Count] : *Counts)
    if (Kind != "waiting-watches")
      Calls += Count.convert<std::uint64_t>();
  return Calls;
}

bool ConfigurationFleet::waitForGeneration(
    std::uint64_t Generation, const std::vector<std::size_t> &Indexes) {
  return waitFor(WaitTimeout, [&] {
    return std::ranges::all_of(Indexes, [&](std::size_t Index) {
      const auto Answer = this->Routers[Index].generation();
      return Answer && Answer->Generation >= Generation;
    });
  });
}

bool ConfigurationFleet::waitForGeneration(std::uint64_t Generation) {
  return this->waitForGeneration(Generation, allIndexes(this->Routers.size()));
}

bool ConfigurationFleet::waitForViewSize(
    std::size_t Size, const std::vector<std::size_t> &Indexes) {
  return waitFor(WaitTimeout, [&] {
    return std::ranges::all_of(Indexes, [&](std::size_t Index) {
      const auto Dump = this->Routers[Index].dump();
      const auto Part = Dump ? Dump->getObject("membership") : nullptr;
      return Part && Part->getValue<std::size_t>("view_size") == Size;
    });
  });
}

int ConfigurationFleet::requestStatusAt(std::size_t Index,
                                        const std::string &Account) {
  return callRouter(this->Routers[Index].CallerAddress, Account + "-key",
                    R"({"model":"advisory","input":"tokens=2","stream":true})")
      .Status;
}

GenerationMonitor::GenerationMonitor(const std::vector<FleetRouter> &Routers) {
  for (const FleetRouter &Router : Routers) {
    RouterHistory &History = this->Histories.emplace_back();
    this->Threads.emplace_back(
        [this, &Router, &History] { this->watch(Router, History); });
  }
}

GenerationMonitor::~GenerationMonitor() { this->stop(); }

void GenerationMonitor::watch(const FleetRouter &Router,
                              RouterHistory &History) {
  while (!this->Stopping) {
    if (const auto Now = Router.generation()) {
      ++this->Polls;
      const bool Restarted = Now->Incarnation != History.Last.Incarnation;
      const bool Unset = Restarted || History.Last.Generation == 0;
      const bool IsLower = Now->Generation < History.Highest;
      if (IsLower && !(Unset && Now->Generation == 0))
        History.Regressions += Router.Name + " went from " +
                               std::to_string(History.Highest) + " to " +
                               std::to_string(Now->Generation) + "\n";
      History.Last = *Now;
      History.Highest = std::max(History.Highest, Now->Generation);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

std::string GenerationMonitor::stop() {
  this->Stopping = true;
  std::string Regressions;
  for (std::thread &Thread : this->Threads)
    if (Thread.joinable())
      Thread.join();
  for (const RouterHistory &Router : this->Histories)
    Regressions += Router.Regressions;
  return Regressions;
}

} // namespace parsleywing::test
