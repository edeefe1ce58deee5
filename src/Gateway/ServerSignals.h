#ifndef PARSLEYWING_GATEWAY_SERVERSIGNALS_H
#define PARSLEYWING_GATEWAY_SERVERSIGNALS_H

#include "Gateway/AllocationAgent.h"
#include "Gateway/UpstreamPool.h"
#include "Gateway/WireFormat.h"
#include "Placement/ServerTable.h"
#include "Runtime/Metrics.h"

#include <functional>
#include <string>

namespace parsleywing {

/// The server process that an attempt was sent to.
struct AttemptTarget {
  std::string ServerId;
  std::int64_t StartedMs = 0;
};

/// Applies what servers state about themselves in their responses. A server
/// that leaves gets no more requests from this router, whatever the store
/// lists, also while the store is unreachable. A server that asks for a pause
/// gets none from this router until it ends; other routers may still send.
///
/// Used on the event loop's thread only.
class ServerSignals {
public:
  ServerSignals(EventLoop &L, ServerTable &S, UpstreamPool &P,
                AllocationAgent &A, Metrics &M);
  ServerSignals(const ServerSignals &) = delete;
  ServerSignals &operator=(const ServerSignals &) = delete;

  /// `OnAvoided` is called whenever requests may have lost the last server that
  /// could take them.
  void start(std::function<void()> OnAvoided) {
    this->OnAvoided = std::move(OnAvoided);
  }

  /// Applies the head of a response that belongs to a request of this router.
  /// A response of another server at the same address says nothing about the
  /// intended one and is ignored.
  void onResponse(const AttemptTarget &Target,
                  const ServerResponseFields &Fields);

  /// The server wants no more requests from this router for this time.
  void onPause(const AttemptTarget &Target, Duration Pause);

private:
  void onLeaving(const AttemptTarget &Target);

  EventLoop &Loop;
  ServerTable &Servers;
  UpstreamPool &Pool;
  AllocationAgent &Agent;
  Counter &LeavingNotices;
  Counter &Pauses;
  std::function<void()> OnAvoided;
};

} // namespace parsleywing

#endif
