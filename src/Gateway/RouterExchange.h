#ifndef PARSLEYWING_GATEWAY_ROUTEREXCHANGE_H
#define PARSLEYWING_GATEWAY_ROUTEREXCHANGE_H

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

/// The routers of the fleet as this one sees them, and its datagrams to and
/// from them. Orders them for any key by weighted rendezvous, so that all
/// routers agree on the first one without a word. Messages may be lost, and
/// those of one turn of the loop share datagrams.
///
/// Belongs to the loop's thread.
class RouterExchange {
public:
  struct Options {
    std::string RouterName;
    /// Numeric IP and port for datagrams of other routers; empty for none.
    std::string Address;
    /// Cores that this router has; the same as others read of it.
    double Cores = 1;
    std::string Zone{};
  };

  using Receiver = std::function<void(const RouterMessage &Message,
                                      const Poco::Net::SocketAddress &From)>;

  RouterExchange(EventLoop &L, Options O, Metrics &M);
  ~RouterExchange();
  RouterExchange(const RouterExchange &) = delete;
  RouterExchange &operator=(const RouterExchange &) = delete;

  /// Fails where the address is taken.
  Result<void> open(Receiver Into);

  /// Takes the routers that are listed now.
  void setRouters(const RouterList &Places);

  const std::string &self() const { return this->Settings.RouterName; }
  const std::string &zone() const { return this->Settings.Zone; }
  /// Listed routers by their zone.
  const RouterCounts &counts() const { return this->Counts; }
  /// Where a listed router takes datagrams; null where it is listed no more.
  const Poco::Net::SocketAddress *addressOf(const std::string &Name) const;
  /// The listed router at an address; empty where there is none. Costs a look
  /// at each.
  std::string nameAt(const Poco::Net::SocketAddress &Address) const;

  /// The first live router in the order of a key: this one, where it has no
  /// other. Routers that are suspected are passed over.
  const std::string &firstFor(std::uint64_t Key);

  /// The same among the routers of these zones; of all, where these have no
  /// live one. A key must always come with the same zones.
  const std::string &firstIn(std::uint64_t Key,
                             const std::set<std::string> &Zones);

  /// A router did not answer, or is of no use: it is passed over for a while,
  /// twice as long with each time in a row.
  void suspect(const std::string &Name);

  /// This router stops soon: it is the first for no key where there is another.
  void leave();

  /// Sends to a router of the list. Nothing happens where it is listed no
  /// more: whoever waits for its answer asks another one in time.
  void send(const std::string &Router, RouterMessage Message);
  void send(const Poco::Net::SocketAddress &Address, RouterMessage Message);
  /// To each listed router but this one: a datagram each.
  void sendToAll(const RouterMessage &Message);
  /// The listed routers but this one.
  std::vector<std::string> others() const;

private:
  struct Router {
    Poco::Net::SocketAddress Address;
    std::uint64_t Hash = 0;
    double Cores = 1;
    std::string Zone;
    /// Passed over until then, for so long.
    TimePoint SuspectUntil{};
    Duration SuspectDuration{};
  };

  /// Where `Zones` is given, empty if these have no live router.
  std::string findFirst(std::uint64_t Key, TimePoint Now,
                        const std::set<std::string> *Zones = nullptr) const;
  std::string *cachedFirst(std::uint64_t Key);
  /// The orders may have changed.
  void clearFirstCache();
  void flush();
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
  /// Orders found since the list changed: a request costs one look-up here in
  /// place of one score for each router (85 routers: 6 microseconds).
  std::unordered_map<std::uint64_t, std::string> FirstCache;
  /// From then on a suspected router may be the first again.
  TimePoint FirstCacheValidUntil = TimePoint::max();
  std::map<Poco::Net::SocketAddress, std::vector<RouterMessage>> Outbox;
  bool FlushDue = false;
};

} // namespace parsleywing

#endif
