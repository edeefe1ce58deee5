#ifndef PARSLEYWING_GATEWAY_CACHEDPARTSREADER_H
#define PARSLEYWING_GATEWAY_CACHEDPARTSREADER_H

#include "Gateway/UpstreamPool.h"
#include "Placement/FleetView.h"
#include "Runtime/Metrics.h"

#include <deque>
#include <functional>
#include <set>

namespace parsleywing {

/// Queries engines for the prompt parts in their cache, for an allocator that
/// does not know them. Queries one engine at a time, since a response of some
/// 30 KB takes a small VM milliseconds to read and briefly blocks the engine.
/// If a query fails, the cache's contents are inferred from the requests sent
/// to the engine.
///
/// Used on the loop's thread.
class CachedPartsReader {
public:
  using PartsCallback =
      std::function<void(const GatewayServer &, const CachedParts &)>;
  using PauseCallback = std::function<void(const GatewayServer &, Duration)>;

  CachedPartsReader(EventLoop &L, const WireFormat &F, UpstreamPool &P,
                    Metrics &M);
  CachedPartsReader(const CachedPartsReader &) = delete;
  CachedPartsReader &operator=(const CachedPartsReader &) = delete;

  /// Sets the receiver of the responses. Call before `query`.
  void setPartsCallback(PartsCallback C) { this->OnParts = std::move(C); }

  /// Sets the receiver of the pauses that servers ask for in refusals of a
  /// query. Call before `query`.
  void setPauseCallback(PauseCallback C) { this->OnPause = std::move(C); }

  /// Queues a query. Does nothing if one for this server is already pending.
  void query(const GatewayServer &Server);

private:
  void queryNext();
  void onResponseEnd(UpstreamEnd End);
  /// `Reason` says why the query failed; null if it succeeded.
  void finishQuery(const char *Reason);

  EventLoop &Loop;
  const WireFormat &Format;
  UpstreamPool &Pool;
  Counter &Queries;
  Counter &FailedQueries;
  PartsCallback OnParts;
  PauseCallback OnPause;
  std::deque<GatewayServer> Pending;
  std::set<std::string> PendingIds;
  /// The connection of the current query; null if none is running.
  std::shared_ptr<UpstreamConnection> Connection;
  TimerId Timer = 0;
  int Status = 0;
  std::string Body;
};

} // namespace parsleywing

#endif
