#ifndef PARSLEYWING_GATEWAY_STREAMAGENT_H
#define PARSLEYWING_GATEWAY_STREAMAGENT_H

#include "Gateway/RouterMessenger.h"
#include "Placement/StreamDirectory.h"
#include "Runtime/Metrics.h"

#include <functional>
#include <map>

namespace parsleywing {

/// Connects this router's `StreamDirectory` to the other routers and to the
/// requests that begin streams or take them up.
///
/// Used on the event loop's thread only.
class StreamAgent {
public:
  using Callback = std::function<void(const StreamOrigin &)>;

  /// `RouterProcess` distinguishes this process from earlier ones of the same
  /// router name.
  StreamAgent(EventLoop &L, RouterMessenger &R, std::uint64_t RouterProcess,
              Metrics &M);
  StreamAgent(const StreamAgent &) = delete;
  StreamAgent &operator=(const StreamAgent &) = delete;

  /// Starts to drop expired records.
  void start() { this->housekeeping(); }

  /// Must be called when the list of routers has changed.
  void setRouters(const RouterList &Listed);
  /// The drain of this router has begun.
  void leave();

  /// Records the software of a stream and tells other routers. Called before
  /// the first event is forwarded. `Lifetime` is how much longer a caller may
  /// take the stream up.
  void bind(StreamKey Key, SoftwareId Software, Duration Lifetime);

  /// Looks up a stream. `OnFound` is called once, possibly before this returns,
  /// unless the lookup is cancelled.
  CorrelationId find(StreamKey Key, Callback OnFound);
  void cancel(const CorrelationId &Id);

  void onMessage(const RouterMessage &Message,
                 const Poco::Net::SocketAddress &From);

  const StreamRecords &records() const { return this->Directory.records(); }

private:
  void housekeeping();
  /// Sends what the directory has to send, ends lookups, and sees to the next
  /// tick.
  void update();
  void scheduleTick();

  EventLoop &Loop;
  RouterMessenger &Routers;
  std::uint64_t RouterProcess;
  std::uint64_t LastNumber = 0;
  StreamDirectory Directory;
  std::map<CorrelationId, Callback> Callbacks;
  bool TickScheduled = false;
  Counter &Bindings;
  Counter &FoundOwn;
  Counter &FoundByOthers;
  Counter &NotFound;
  Counter &FoundDisputed;
};

} // namespace parsleywing

#endif
