#ifndef PARSLEYWING_BENCH_FLEETDEPLOYMENT_H
#define PARSLEYWING_BENCH_FLEETDEPLOYMENT_H

#include "LoadGenerator.h"
#include "Process/Fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleywing::bench {

/// How routers share fairness positions, as `[fairness] policy` names it.
enum class FairnessPolicy { Local, Shared };

/// A service, the number of its engines, and of the accounts that use it.
struct ServicePlan {
  std::string Name;
  unsigned Engines = 0;
  unsigned SmallAccounts = 0;
  unsigned LargeAccounts = 0;
};

/// What to start and which load to put on it.
struct DeploymentPlan {
  std::string Name;
  unsigned Routers = 8;
  unsigned Zones = 4;
  std::vector<ServicePlan> Services;
  unsigned MaxRunning = 8;
  /// What is declared of each engine beyond what it runs at once.
  unsigned DeclaredBeyond = 0;
  unsigned StepMilliseconds = 25;
  /// Whether a stand-in for the platform's store runs.
  bool WithStore = false;
};

/// The plan of a named deployment, or one service with `Engines` engines where
/// the name is empty. Throws std::invalid_argument for an unknown name.
DeploymentPlan planFor(const std::string &Name, unsigned Routers,
                       unsigned Engines);

/// A small account that sends one request at a time, now and then, to the
/// first service. Always the last of `accountsFor`.
constexpr const char *OccasionalAccount = "occasional";

/// The accounts of the plan, entering unevenly: small ones at one or two
/// routers, large ones at up to four. Router addresses are filled in.
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

/// Engines and routers as processes on loopback. All are killed, by id, when
/// the object goes; when this process is killed, the system ends them.
class FleetDeployment {
public:
  explicit FleetDeployment(DeploymentPlan P);

  /// Starts engines and routers and waits until all listen. An empty text, or
  /// what went wrong.
  std::string start(FairnessPolicy Policy, std::uint64_t Seed);

  const DeploymentPlan &plan() const { return this->Plan; }
  const std::vector<FleetProcess> &routers() const { return this->Routers; }
  const std::vector<FleetProcess> &engines() const { return this->Engines; }
  const std::vector<LoadAccount> &accounts() const { return this->Accounts; }

  /// Starts a router anew after its process was killed; the same addresses.
  void restartRouter(std::size_t Router);

  /// Names of the routers' processes that have ended by themselves.
  std::string endedRouters() const;

private:
  std::string newAddress();
  void planProcesses();
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
