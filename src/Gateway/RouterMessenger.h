#ifndef PARSLEYWING_GATEWAY_ROUTERMESSENGER_H
#define PARSLEYWING_GATEWAY_ROUTERMESSENGER_H

#include "Gateway/RelayClusters.h"
#include "Loop/EventLoop.h"
#include "Placement/RouterMessages.h"
#include "Runtime/Metrics.h"

#include <Poco/Net/DatagramSocket.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace parsleywing {

/// The routers of the fleet as known to this one, and the datagrams to and from
/// them. Orders the routers for any key by weighted rendezvous hashing, so that
/// all routers agree on the first one without communication. Messages may be
/// lost; those sent in one iteration of the event loop share datagrams.
///
/// Used on the event loop's thread only.
class RouterMessenger {
public:
  struct Options {
    std::string RouterName;
    /// Numeric IP address and port for datagrams of other routers; empty for
    /// none.
    std::string Address;
    /// Must equal the value in this router's entry in the store.
    double Cores = 1;
    std::string Zone{};
  };

  using Receiver = std::function<void(const RouterMessage &Message,
                                      const Poco::Net::SocketAddress &From)>;

  RouterMessenger(EventLoop &L, Options O, Metrics &M);
  ~RouterMessenger();
  RouterMessenger(const RouterMessenger &) = delete;
  RouterMessenger &operator=(const RouterMessenger &) = delete;

  /// Fails if the address is in use.
  Result<void> open(Receiver OnMessage);

  void setRouters(const RouterList &Endpoints);

  const std::string &self() const { return this->Settings.RouterName; }
  const std::string &zone() const { return this->Settings.Zone; }
  /// The number of listed routers in each zone.
  const RouterCounts &counts() const { return this->Counts; }
  /// The address of a listed router, or null if it is not listed.
  const Poco::Net::SocketAddress *addressOf(const std::string &Name) const;
  /// The listed router at an address; empty if there is none. Linear in the
  /// number of routers.
  std::string nameAt(const Poco::Net::SocketAddress &Address) const;

  /// The first live router in the rendezvous order of a key; this one if there
  /// is no other. Routers that `skip` was called for do not count as live for a
  /// while.
  const std::string &firstFor(std::uint64_t Key);

  /// The first live router of these zones, or of all zones if these have none.
  /// A key must always be used with the same zones.
  const std::string &firstIn(std::uint64_t Key,
                             const std::set<std::string> &Zones);

  /// Skips a router that did not answer or is disconnected from the store, for
  /// a time that doubles with each call in a row.
  void skip(const std::string &Name);

  /// The drain of this router has begun: it is no longer the first router for
  /// any key, unless there is no other.
  void leave();
  bool isLeaving() const { return this->Leaving; }

  /// Sends to a listed router. Does nothing if the router is not listed; the
  /// sender of a request then times out and asks another router.
  void send(const std::string &Router, RouterMessage Message);
  void send(const Poco::Net::SocketAddress &Address, RouterMessage Message);
  /// Sends the message to each listed router except this one.
  void sendToAll(const RouterMessage &Message);
  /// The listed routers except this one.
  std::vector<std::string> others() const;

private:
  struct Router {
    Poco::Net::SocketAddress Address;
    std::uint64_t Hash = 0;
    double Cores = 1;
    std::string Zone;
    /// Until when the router is skipped, or was last, and for how long.
    TimePoint SkippedUntil{};
    Duration SkipDuration{};
  };

  /// Empty if `Zones` is given and has no live router.
  std::string findFirst(std::uint64_t Key, TimePoint Now,
                        const std::set<std::string> *Zones = nullptr) const;
  std::string *cachedFirst(std::uint64_t Key);
  void clearFirstCache();
  void flush();
  MessageFormat formatOfReceiver(const Poco::Net::SocketAddress &Address) const;
  void sendDatagram(const Poco::Net::SocketAddress &Address,
                    const std::string &Bytes);
  void onReadable();
  void onDatagram(std::string_view Bytes, const Poco::Net::SocketAddress &From);

  EventLoop &Loop;
  Options Settings;
  Counter &Datagrams;
  Counter &Malformed;
  Poco::Net::DatagramSocket Socket;
  bool Opened = false;
  bool Leaving = false;
  Receiver OnMessage;
  std::map<std::string, Router> Routers;
  RouterCounts Counts;
  /// The results of `firstFor` and `firstIn` by key, until the list of routers
  /// changes or a router is skipped or used again. A request costs one lookup
  /// instead of one score per router (6 microseconds with 85 routers).
  std::unordered_map<std::uint64_t, std::string> FirstCache;
  /// When the next skipped router may be used again, which may change the first
  /// routers.
  TimePoint FirstCacheValidUntil = TimePoint::max();
  /// The newest format that the router at an address is known to read: as its
  /// entry states, or as it has sent since the last list.
  std::map<Poco::Net::SocketAddress, MessageFormat> Formats;
  std::map<Poco::Net::SocketAddress, std::vector<RouterMessage>> Outbox;
  bool FlushDue = false;
};

} // namespace parsleywing

#endif
