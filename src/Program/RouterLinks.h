#ifndef PARSLEYWING_PROGRAM_ROUTERLINKS_H
#define PARSLEYWING_PROGRAM_ROUTERLINKS_H

#include "Backend/LoadPoller.h"
#include "Control/ControlLoop.h"
#include "Operator/PeerFaultOrder.h"
#include "Peer/PeerTransport.h"
#include "Platform/PlatformThread.h"
#include "Platform/RunRecordWriter.h"
#include "Program/DeclarationsLoader.h"
#include "Program/ServerChecker.h"
#include "Program/Settings.h"

#include <atomic>
#include <memory>

namespace parsleywing {

/// Connects the control thread with everything a router communicates with
/// except callers: other routers, the platform, and the load reports of backend
/// servers. Executes the actions that do not belong to the thread of a single
/// request, and posts incoming data as events. Parts that are not configured
/// are absent.
class RouterLinks {
public:
  RouterLinks(const Settings &Config, Incarnation Number, ControlLoop &Loop,
              std::function<void(DeclarationsPtr)> OnDeclarations);
  ~RouterLinks();
  RouterLinks(const RouterLinks &) = delete;
  RouterLinks &operator=(const RouterLinks &) = delete;

  /// Opens the sockets for other routers and starts the threads. Must be called
  /// before the control thread starts, since that thread calls `execute`.
  Result<void> start();

  /// Executes one action. Called from the control thread; never blocks.
  void execute(const Action &A);

  /// Sets the declarations that the load reports and the VM list refer to.
  void setDeclarations(const DeclarationsPtr &Active);

  /// True once a later process with this router's name has been seen.
  bool superseded() const { return this->IsSuperseded; }

  /// Requests that were aborted by the time limit of the drain.
  std::uint64_t unfinishedRequests() const { return this->UnfinishedRequests; }

  const PeerTransport *peerTransport() const { return this->Peers.get(); }
  /// The number of calls to the platform's store so far.
  std::uint64_t storeCallCount(StoreCall Kind) const;
  const RunRecordWriter *runRecords() const { return this->RunRecords.get(); }
  Poco::JSON::Object::Ptr dump() const;

  /// Replaces the injected faults with those of the order. Returns `Denied`
  /// unless the settings allow fault injection.
  Result<void> setFaults(const PeerFaultOrder &Order);

private:
  Result<void> startPeers();
  void startPlatform();
  void onPlatformEvent(const PlatformEvent &Event);
  void onRoutersListed(const RoutersListed &List);
  void onVmsListed(const VmsListed &List);
  void watchServers(const std::vector<ServerId> &Servers);
  /// Returns the server's declaration; empty if it is no longer declared.
  ServerDeclaration declarationOf(ServerId Server) const;

  void on(const SendToPeer &A);
  void on(const ContactAddress &A);
  void on(const PeerAddressLearned &A);
  void on(const Superseded &A);
  void on(const ClaimRunRecord &A);
  void on(const CompleteRunRecord &A);
  void on(const ReleaseRunRecord &A);
  void on(const ActivateConfiguration &A) { this->Loader.load(A); }
  void on(const WatchServers &A);
  void on(const CheckServer &A);
  void on(const ServerCrashed &A);
  void on(const ContentRefused &A);
  void on(const DrainFinished &A) { this->UnfinishedRequests = A.Unfinished; }
  template <typename OtherAction> void on(const OtherAction &A);

  const Settings &RouterSettings;
  Incarnation IncarnationNumber;
  ControlLoop &Control;
  std::atomic<bool> IsSuperseded{false};
  std::atomic<std::uint64_t> UnfinishedRequests{0};

  mutable std::mutex Mutex;
  DeclarationsPtr ActiveDeclarations = std::make_shared<Declarations>();
  std::vector<ServerId> WatchedServers;

  DeclarationsLoader Loader;
  std::unique_ptr<PeerTransport> Peers;
  std::shared_ptr<StoreBudget> Budget;
  std::shared_ptr<StoreBudget> RecordBudget;
  std::unique_ptr<PlatformThread> Platform;
  std::unique_ptr<RunRecordWriter> RunRecords;
  std::unique_ptr<LoadPoller> Poller;
  ServerChecker Checker;
};

/// Returns the settings of the decision modules, completed with the names,
/// seeds and addresses of this process.
RouterCoreSettings coreSettings(const Settings &From, Incarnation Number);

} // namespace parsleywing

#endif
