#ifndef PARSLEYWING_BENCH_FLEETDEPLOYMENT_H
#define PARSLEYWING_BENCH_FLEETDEPLOYMENT_H

#include "LoadGenerator.h"
#include "Process/Fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleywing::bench {

/// Whether routers share virtual times, as `[fairness] policy` names it.
enum class FairnessPolicy { Local, Shared };

/// A service, the number of its engines, and the number of accounts that use
/// it.
struct ServicePlan {
  std::string Name;
  unsigned Engines = 0;
  unsigned SmallAccounts = 0;
  unsigned LargeAccounts = 0;
};

/// The processes to start and the load to generate.
struct DeploymentPlan {
  std::string Name;
  unsigned Routers = 8;
  unsigned Zones = 4;
  std::vector<ServicePlan> Services;
  unsigned MaxRunning = 8;
  /// The number of concurrent requests declared for each engine in excess of
  /// what it runs.
  unsigned ExtraDeclaredRequests = 0;
  unsigned StepMilliseconds = 25;
  /// Whether a stand-in for the platform's store runs.
  bool WithStore = false;
};

/// Returns the plan of a named deployment, or a plan with one service and
/// `Engines` engines if the name is empty. Throws std::invalid_argument if the
/// name is unknown.
DeploymentPlan planFor(const std::string &Name, unsigned Routers,
                       unsigned Engines);

/// A small account that sends one request at a time, with pauses, to the first
/// service. Always the last one of `accountsFor`.
constexpr const char *OccasionalAccount = "occasional";

/// Returns the accounts of the plan. They call different numbers of routers:
/// small ones call one or two, large ones up to four.
std::vector<LoadAccount> accountsFor(const DeploymentPlan &Plan,
                                     const std::vector<std::string> &Routers,
                                     std::uint64_t Seed);

/// A process of the deployment with its addresses.
struct FleetProcess {
  std::string Name;
  std::string Address;
  std::string OperatorAddress;
  std::string PeerAddress;
  std::unique_ptr<test::ChildProcess> Process;
};

/// Engines and routers as processes on loopback addresses. The destructor kills
/// each process; if this process is killed, the kernel kills them.
class FleetDeployment {
public:
  explicit FleetDeployment(DeploymentPlan P);

  /// Starts engines and routers and waits until all are listening. Returns an
  /// error message, or an empty text.
  std::string start(FairnessPolicy Policy, std::uint64_t Seed);

  const DeploymentPlan &plan() const { return this->Plan; }
  const std::vector<FleetProcess> &routers() const { return this->Routers; }
  const std::vector<FleetProcess> &engines() const { return this->Engines; }
  const std::vector<LoadAccount> &accounts() const { return this->Accounts; }

  /// Restarts a router at the same addresses after its process was killed.
  void restartRouter(std::size_t Router);

  /// The names of the routers whose processes have exited by themselves.
  std::string exitedRouters() const;

private:
  std::string unusedAddress();
  void assignAddresses();
  std::string declarationsText() const;
  std::string settingsText(std::size_t Router) const;
  std::string startAll();

  DeploymentPlan Plan;
  FairnessPolicy Policy = FairnessPolicy::Local;
  test::TemporaryFolder Folder;
  std::vector<std::string> UsedAddresses;
  FleetProcess Store;
  std::vector<FleetProcess> Engines;
  std::vector<FleetProcess> Routers;
  std::vector<LoadAccount> Accounts;
};

/// The policy's name in settings.
const char *nameOf(FairnessPolicy Policy);

} // namespace parsleywing::bench

#endif
