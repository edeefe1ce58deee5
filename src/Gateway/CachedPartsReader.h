#ifndef PARSLEYWING_GATEWAY_CACHEDPARTSREADER_H
#define PARSLEYWING_GATEWAY_CACHEDPARTSREADER_H

#include "Gateway/UpstreamPool.h"
#include "Placement/FleetView.h"
#include "Runtime/Metrics.h"

#include <deque>
#include <functional>
#include <set>

namespace parsleywing {

/// Asks engines which parts of prompts they keep, for an allocator that does
/// not know. One engine after the other: an answer of some 30 KB takes a small
/// VM milliseconds to read, and holds the engine up for a moment. What an
/// engine does not tell is learnt from what is sent there, as before.
///
/// Belongs to the loop's thread.
class CachedPartsReader {
public:
  using Sink = std::function<void(const GatewayServer &, const CachedParts &)>;

  CachedPartsReader(EventLoop &L, const WireFormat &F, UpstreamPool &P,
                    Metrics &M);
  CachedPartsReader(const CachedPartsReader &) = delete;
  CachedPartsReader &operator=(const CachedPartsReader &) = delete;

  void start(Sink Told) { this->OnParts = std::move(Told); }

  /// Nothing happens where the server is asked already.
  void query(const GatewayServer &Server);

private:
  void queryNext();
  void onResponseEnd(UpstreamEnd How);
  void finishQuery(const char *Problem);

  EventLoop &Loop;
  const WireFormat &Format;
  UpstreamPool &Pool;
  Counter &Queries;
  Counter &FailedQueries;
  Sink OnParts;
  std::deque<GatewayServer> Pending;
  std::set<std::string> PendingIds;
  /// The present call; null where there is none.
  std::shared_ptr<UpstreamConnection> Connection;
  TimerId Timer = 0;
  int Status = 0;
  std::string Body;
};

} // namespace parsleywing

#endif
