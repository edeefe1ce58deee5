#include "FleetDeployment.h"

#include "FleetProbe.h"

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace parsleywing::bench {

namespace {

constexpr unsigned SmallOpenRequests = 24;
constexpr unsigned LargeOpenRequests = 96;
constexpr unsigned MaxSmallAccountRouters = 2;
constexpr unsigned LargeAccountRouters = 4;
constexpr unsigned LargeShareSteps = 3;

std::string zoneOf(std::size_t Index, unsigned Zones) {
  return "z" + std::to_string(Index % Zones + 1);
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

std::string engineName(const ServicePlan &Service, unsigned Index) {
  return Service.Name + "-" + std::to_string(Index + 1);
}

/// Chooses the routers that an account calls.
std::vector<std::string> chooseRouters(std::vector<std::string> All,
                                       unsigned Count,
                                       std::mt19937_64 &Random) {
  std::ranges::shuffle(All, Random);
  All.resize(std::min<std::size_t>(Count, All.size()));
  return All;
}

LoadAccount makeAccount(const std::string &Name, const std::string &Service) {
  LoadAccount Account;
  Account.Name = Name;
  Account.Key = "key-of-" + Name;
  Account.Service = Service;
  return Account;
}

} // namespace

const char *nameOf(FairnessPolicy Policy) {
  return Policy == FairnessPolicy::Local ? "local" : "shared";
}

DeploymentPlan planFor(const std::string &Name, unsigned Routers,
                       unsigned Engines) {
  DeploymentPlan Plan;
  Plan.Name = Name;
  Plan.Routers = Routers;
  if (Name == "association")
    Plan.Services = {{"advisory", 12, 9, 3}, {"record", 4, 3, 1}};
  else if (Name == "meridian")
    Plan.Services = {{"pool", 18, 9, 3}, {"compliance", 4, 3, 1}};
  else if (Name.empty())
    Plan.Services = {{"advisory", Engines, 13, 3}};
  else
    throw std::invalid_argument("unknown deployment '" + Name +
                                "'; allowed are association and meridian");
  return Plan;
}

std::vector<LoadAccount> accountsFor(const DeploymentPlan &Plan,
                                     const std::vector<std::string> &Routers,
                                     std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<LoadAccount> Accounts;
  for (const ServicePlan &Service : Plan.Services) {
    for (unsigned Index = 0; Index < Service.SmallAccounts; ++Index) {
      LoadAccount Small = makeAccount(
          Service.Name + "-small-" + std::to_string(Index + 1), Service.Name);
      Small.Share = Index % 3 == 2 ? 2 : 1;
      Small.OpenRequests = SmallOpenRequests;
      Small.Routers =
          chooseRouters(Routers, 1 + Index % MaxSmallAccountRouters, Random);
      Accounts.push_back(Small);
    }
    for (unsigned Index = 0; Index < Service.LargeAccounts; ++Index) {
      LoadAccount Large = makeAccount(
          Service.Name + "-large-" + std::to_string(Index + 1), Service.Name);
      Large.Share = 1U << Index % LargeShareSteps; // 1, 2 and 4.
      Large.OpenRequests = LargeOpenRequests;
      Large.Routers = chooseRouters(Routers, LargeAccountRouters, Random);
      Accounts.push_back(Large);
    }
  }
  LoadAccount Occasional =
      makeAccount(OccasionalAccount, Plan.Services.front().Name);
  Occasional.OpenRequests = 1;
  Occasional.Pause = std::chrono::milliseconds(100);
  Occasional.FixedTokens = 4;
  Occasional.Routers = chooseRouters(Routers, 1, Random);
  Accounts.push_back(Occasional);
  return Accounts;
}

FleetDeployment::FleetDeployment(DeploymentPlan P) : Plan(std::move(P)) {}

std::string FleetDeployment::unusedAddress() {
  // The system may return an address again that it returned a moment ago.
  std::string Address = test::freeAddress();
  while (std::ranges::count(this->UsedAddresses, Address) > 0)
    Address = test::freeAddress();
  this->UsedAddresses.push_back(Address);
  return Address;
}

void FleetDeployment::assignAddresses() {
  for (const ServicePlan &Service : this->Plan.Services)
    for (unsigned Index = 0; Index < Service.Engines; ++Index)
      this->Engines.push_back(
          {engineName(Service, Index), this->unusedAddress(), "", "", nullptr});
  for (unsigned Index = 0; Index < this->Plan.Routers; ++Index)
    this->Routers.push_back({"r" + std::to_string(Index + 1),
                             this->unusedAddress(), this->unusedAddress(),
                             this->unusedAddress(), nullptr});
}

std::string FleetDeployment::start(FairnessPolicy P, std::uint64_t Seed) {
  this->Policy = P;
  this->assignAddresses();
  std::vector<std::string> Addresses;
  for (const FleetProcess &Router : this->Routers)
    Addresses.push_back(Router.Address);
  this->Accounts = accountsFor(this->Plan, Addresses, Seed);
  return this->startAll();
}

std::string FleetDeployment::startAll() {
  this->Folder.write("declarations.ini", this->declarationsText());
  if (this->Plan.WithStore) {
    this->Store = {"store", this->unusedAddress(), "", "", nullptr};
    this->Store.Process = std::make_unique<test::ChildProcess>(
        "parsleywing-standin",
        std::vector<std::string>{"--store", this->Store.Address},
        this->Folder.path("store.log"));
    if (!test::waitForListener(this->Store.Address))
      return "the store is not listening";
  }
  for (FleetProcess &Engine : this->Engines)
    Engine.Process = std::make_unique<test::ChildProcess>(
        "parsleywing-standin",
        std::vector<std::string>{"--engine", Engine.Address, "--max-running",
                                 std::to_string(this->Plan.MaxRunning),
                                 "--step-ms",
                                 std::to_string(this->Plan.StepMilliseconds)},
        this->Folder.path(Engine.Name + ".log"));
  for (std::size_t Router = 0; Router < this->Routers.size(); ++Router)
    this->restartRouter(Router);
  for (const FleetProcess &Engine : this->Engines)
    if (!test::waitForListener(Engine.Address))
      return "engine " + Engine.Name + " is not listening";
  for (const FleetProcess &Router : this->Routers)
    if (!test::waitForListener(Router.Address))
      return "router " + Router.Name + " is not listening";
  return {};
}

void FleetDeployment::restartRouter(std::size_t Index) {
  FleetProcess &Router = this->Routers[Index];
  const std::string Settings =
      this->Folder.write(Router.Name + ".ini", this->settingsText(Index));
  Router.Process.reset();
  Router.Process = std::make_unique<test::ChildProcess>(
      "parsleywing", std::vector<std::string>{"router", "--settings", Settings},
      this->Folder.path(Router.Name + ".log"));
}

std::string FleetDeployment::exitedRouters() const {
  std::vector<std::string> Names;
  for (const FleetProcess &Router : this->Routers)
    if (hasExited(Router.Process->id()))
      Names.push_back(Router.Name);
  return joinNames(Names);
}

std::string FleetDeployment::declarationsText() const {
  std::string Text;
  std::size_t Engine = 0;
  for (const ServicePlan &Service : this->Plan.Services) {
    std::vector<std::string> Names;
    for (unsigned Index = 0; Index < Service.Engines; ++Index, ++Engine) {
      Names.push_back(this->Engines[Engine].Name);
      Text += "[server " + Names.back() +
              "]\naddress = " + this->Engines[Engine].Address +
              "\navailability_zone = " + zoneOf(Engine, this->Plan.Zones) +
              "\nmax_concurrent_requests = " +
              std::to_string(this->Plan.MaxRunning +
                             this->Plan.ExtraDeclaredRequests) +
              "\n";
    }
    Text +=
        "[service " + Service.Name + "]\nservers = " + joinNames(Names) + "\n";
  }
  for (const LoadAccount &Account : this->Accounts)
    Text += "[account " + Account.Name + "]\nshare = " +
            std::to_string(static_cast<unsigned>(Account.Share)) +
            "\nkey_sha256 = " + test::digestOfKey(Account.Key) +
            "\nservices = " + Account.Service + "\n";
  return Text;
}

std::string FleetDeployment::settingsText(std::size_t Index) const {
  const FleetProcess &Router = this->Routers[Index];
  std::string Text =
      "[router]\nname = " + Router.Name +
      "\navailability_zone = " + zoneOf(Index, this->Plan.Zones) +
      "\n[listen]\ncallers = " + Router.Address +
      "\npeers = " + Router.PeerAddress +
      "\noperators = " + Router.OperatorAddress +
      "\n[declarations]\nfile = " + this->Folder.path("declarations.ini") +
      "\n[log]\nlevel = warn\n";
  Text += std::string("[fairness]\npolicy = ") + nameOf(this->Policy) +
          "\n[peers]\nsecret = secret-of-the-measured-fleet\n";
  for (const FleetProcess &Other : this->Routers)
    if (&Other != &Router)
      Text += Other.Name + " = " + Other.PeerAddress + "\n";
  if (this->Store.Process)
    Text += "[platform]\naddress = " + this->Store.Address + "\n";
  return Text;
}

} // namespace parsleywing::bench
