#ifndef PARSLEYWING_TEST_PLACEMENT_STREAMFLEET_H
#define PARSLEYWING_TEST_PLACEMENT_STREAMFLEET_H

#include "Placement/ServerTable.h"
#include "Placement/StreamDirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace parsleywing::test {

/// Routers with the product's directories and placement, in simulated time, in
/// front of servers of several versions that know nothing of versions. Callers
/// begin streams, lose them, and take them up at other routers. Processes end,
/// datagrams are lost and late, routers are cut off, and lists lag.
class StreamFleet {
public:
  struct Options {
    std::size_t Routers = 6;
    std::size_t Zones = 2;
    std::uint64_t Seed = 1;
    /// How many of 100 datagrams are lost.
    unsigned LostPercent = 0;
    /// Routers of this number and above are of a release that knows nothing of
    /// streams.
    std::size_t FirstOldRouter = 1'000'000;
  };

  explicit StreamFleet(Options O);

  void advance(Duration Step);

  void addServer(const std::string &Version);
  /// The server of that number among the present ones ends. Its entry follows.
  void removeServer(std::size_t Number);
  std::size_t serverCount() const { return this->Servers.size(); }

  /// The process is killed, and the next one starts without its memory; the
  /// entry in the list stays.
  void killRouter(std::size_t Router);
  /// The router leaves in order: its entry is removed, and it ends after
  /// `Drain`; the next process has a new entry.
  void restartRouter(std::size_t Router);
  /// No datagrams reach or leave the router, and its lists stay as they are.
  void setCutOff(std::size_t Router, bool CutOff);

  /// A caller begins a stream at a router.
  void begin(std::size_t Router);
  /// The streams of a router are lost to their callers, who take them up at
  /// other routers.
  void loseStreamsOf(std::size_t Router);
  /// The server of a stream breaks it off, and the router continues it.
  void breakOff(std::size_t Stream);
  std::size_t streamCount() const { return this->Streams.size(); }

  /// The streams whose caller holds events of two versions.
  std::size_t mixedStreams() const;
  /// Streams that callers took up while two servers of their version were
  /// listed by the router, and those of them that went on.
  std::size_t takenUp() const { return this->TakenUp; }
  std::size_t continued() const { return this->Continued; }

private:
  struct Router {
    std::string Name;
    std::unique_ptr<StreamDirectory> Directory;
    ServerTable Servers;
    bool Listed = true;
    bool CutOff = false;
    /// When a router that leaves ends.
    std::optional<TimePoint> EndsAt{};
    std::uint64_t Process = 0;
  };
  struct Stream {
    std::string RequestId;
    std::size_t Router = 0;
    std::set<std::string> Versions;
    SoftwareId Software{};
    bool Lost = false;
  };
  struct Datagram {
    std::size_t From = 0;
    std::size_t To = 0;
    RouterMessage Message;
  };
  struct PendingTakeUp {
    std::size_t Stream = 0;
    std::size_t Router = 0;
  };

  void startProcess(std::size_t Number);
  void publish();
  void sendAll(std::size_t Router);
  void post(std::size_t From, std::size_t To, const RouterMessage &Message);
  void deliver(const Datagram &Each);
  void takeUp(std::size_t Stream);
  void finishLookups(std::size_t Router);
  /// Sends a stream to a server that the router's table chooses; false if there
  /// is none.
  bool place(std::size_t Router, Stream &Placed,
             std::optional<SoftwareId> Software);
  std::size_t chance(std::size_t Bound) { return this->Random() % Bound; }

  Options Settings;
  std::mt19937_64 Random;
  TimePoint Now{std::chrono::hours(1)};
  std::vector<Router> Routers;
  ServerList Servers;
  std::uint64_t LastServer = 0;
  std::uint64_t LastProcess = 0;
  std::uint64_t LastLookup = 0;
  std::vector<Stream> Streams;
  std::multimap<TimePoint, Datagram> Network;
  std::map<CorrelationId, PendingTakeUp> TakeUps;
  std::size_t TakenUp = 0;
  std::size_t Continued = 0;
};

} // namespace parsleywing::test

#endif
