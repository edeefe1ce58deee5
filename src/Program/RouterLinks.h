#ifndef PARSLEYWING_PROGRAM_ROUTERLINKS_H
#define PARSLEYWING_PROGRAM_ROUTERLINKS_H

#include "Backend/LoadPoller.h"
#include "Control/ControlLoop.h"
#include "Operator/PeerFaultOrder.h"
#include "Peer/PeerTransport.h"
#include "Platform/PlatformThread.h"
#include "Platform/RunRecordWriter.h"
#include "Program/DeclarationsLoader.h"
#include "Program/Settings.h"

#include <atomic>
#include <memory>

namespace parsleywing {

/// Joins the control thread to what a router speaks to beside callers: other
/// routers, the platform, and the load reports of backend servers. Carries out
/// the actions that are not for the thread of one request, and posts what
/// arrives as events. Parts that the settings leave out are not there.
class RouterLinks {
public:
  RouterLinks(const Settings &Wanted, Incarnation Life, ControlLoop &Control,
              std::function<void(DeclarationsPtr)> PutInForce);
  ~RouterLinks();
  RouterLinks(const RouterLinks &) = delete;
  RouterLinks &operator=(const RouterLinks &) = delete;

  /// Opens the peers' sockets and starts the threads. Before the control
  /// thread starts, since it calls `carryOut`.
  Result<void> start();

  /// Carries out one action. Called from the control thread; never blocks.
  void execute(const Action &Wanted);

  /// Says which declarations the load reports and the VM list refer to.
  void setDeclarations(const DeclarationsPtr &InForce);

  /// True once a later process of this router's name was met.
  bool superseded() const { return this->IsSuperseded; }

  /// Requests that the time limit of the drain cut off.
  std::uint64_t unfinishedRequests() const { return this->UnfinishedRequests; }

  const PeerTransport *peerTransport() const { return this->Peers.get(); }
  /// Calls on the platform's store so far.
  std::uint64_t storeCallCount(StoreCall Kind) const;
  const RunRecordWriter *runRecords() const { return this->RunRecords.get(); }
  Poco::JSON::Object::Ptr dump() const;

  /// Puts the faults of an order in place of those before. `Denied` unless the
  /// settings allow it.
  Result<void> setFaults(const PeerFaultOrder &Order);

private:
  Result<void> startPeers();
  void startPlatform();
  void onPlatformEvent(const PlatformEvent &Told);
  void onRoutersListed(const RoutersListed &Listed);
  void onVmsListed(const VmsListed &Listed);
  void watchServers(const std::vector<ServerId> &Servers);

  void on(const SendToPeer &Wanted);
  void on(const ContactAddress &Wanted);
  void on(const PeerAddressLearned &Wanted);
  void on(const Superseded &Wanted);
  void on(const ClaimRunRecord &Wanted);
  void on(const CompleteRunRecord &Wanted);
  void on(const ReleaseRunRecord &Wanted);
  void on(const PutInForce &Wanted) { this->Loader.load(Wanted); }
  void on(const WatchServers &Wanted);
  void on(const DrainFinished &Wanted) {
    this->UnfinishedRequests = Wanted.Unfinished;
  }
  template <typename OtherAction> void on(const OtherAction &Wanted);

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
};

/// Fills in what the decision modules need to know of this process.
RouterCoreSettings coreSettings(const Settings &Wanted, Incarnation Life);

} // namespace parsleywing

#endif
