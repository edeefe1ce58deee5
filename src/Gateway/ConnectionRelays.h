#ifndef PARSLEYWING_GATEWAY_CONNECTIONRELAYS_H
#define PARSLEYWING_GATEWAY_CONNECTIONRELAYS_H

#include "Gateway/CallerSession.h"
#include "Gateway/ConnectionRelay.h"
#include "Gateway/OverloadAgent.h"
#include "Gateway/RouterMessenger.h"
#include "Runtime/Metrics.h"

#include <Poco/JSON/Object.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleywing {

/// The caller connections that this router relays to others, and which accepted
/// connections others relay to this one.
///
/// Used on the event loop's thread only.
class ConnectionRelays {
public:
  using ServeCallback =
      std::function<void(std::shared_ptr<ByteChannel> Caller)>;

  /// Relays connect from the IP of `PeerAddress`, by which their targets
  /// recognize them.
  ConnectionRelays(EventLoop &L, RouterMessenger &R, OverloadAgent &O,
                   const std::string &PeerAddress, Metrics &M);
  ~ConnectionRelays();
  ConnectionRelays(const ConnectionRelays &) = delete;
  ConnectionRelays &operator=(const ConnectionRelays &) = delete;

  /// Must be called when the list of routers has changed.
  void setRouters(const RouterList &Listed);

  /// The other router whose address an accepted connection comes from; none if
  /// it is a caller's own. Costs one system call.
  std::optional<RelaySource>
  sourceOf(const Poco::Net::StreamSocket &Accepted) const;

  /// Relays a new connection if this router lacks processor time and another
  /// one has it. Returns false if the connection is to be served here.
  /// `ServeHere` is called if that turns out later: the target cannot be
  /// reached, and nothing was read.
  bool tryRelay(const std::shared_ptr<ByteChannel> &Caller, bool IsFromRouter,
                ServeCallback ServeHere);

  /// The drain of this router has begun: the targets announce the close of the
  /// relayed connections, and close idle ones after `closeIdle`.
  void drain();
  void closeIdle() { this->ClosingIdle = true; }

  /// Resets all relayed connections.
  void abortAll();

  std::size_t size() const { return this->Relays.size(); }
  /// The file descriptors of all relays.
  std::size_t descriptors() const { return 2 * this->Relays.size(); }
  Poco::JSON::Object::Ptr dump() const;

private:
  struct Entry {
    std::shared_ptr<ConnectionRelay> Relay;
    std::string Router;
  };

  void onEnded(ConnectionRelay *Relay, const char *Reason);
  void askTargetsToClose();

  EventLoop &Loop;
  RouterMessenger &Routers;
  OverloadAgent &Overload;
  Poco::Net::IPAddress LocalAddress;
  std::map<Poco::Net::IPAddress, std::string> RouterAtAddress;
  std::map<ConnectionRelay *, Entry> Relays;
  bool ClosingIdle = false;
  TimerId CloseTimer = 0;
  Counter &Opened;
  Counter &Failed;
  Counter &BytesToTargets;
  Counter &BytesToCallers;
};

} // namespace parsleywing

#endif
