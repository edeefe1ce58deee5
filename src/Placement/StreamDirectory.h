#ifndef PARSLEYWING_PLACEMENT_STREAMDIRECTORY_H
#define PARSLEYWING_PLACEMENT_STREAMDIRECTORY_H

#include "Placement/RouterMessages.h"
#include "Placement/StreamRecords.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleywing {

/// The result of a lookup: what the fleet knows of a stream.
struct StreamOrigin {
  StreamKnowledge Knowledge = StreamKnowledge::Unknown;
  /// Set if `Knowledge` is `Known`.
  SoftwareId Software{};
  /// Whether this router had the record itself.
  bool IsOwn = false;
  /// The age of an own record.
  Duration Age{};
  /// The time of the lookup.
  Duration WaitTime{};
  /// All routers that were asked have answered.
  bool AllAnswered = true;
};

/// One router's part of the fleet's memory of which software each stream is
/// bound to. The router that begins a stream tells two others, drawn from the
/// stream's key by rendezvous hashing and in different availability zones if
/// there are several. A router that a caller returns to asks those that may
/// have been told. When the list of routers changes, all that know a stream
/// tell those that now come first for it, so that routers may restart one after
/// the other; a router that starts asks for what it is to keep.
///
/// An unknown stream stays unknown: nothing is guessed from the servers that
/// are listed now.
///
/// Performs no I/O and has no clock of its own; the owner sends the messages
/// and delivers the replies.
class StreamDirectory {
public:
  /// A message, and the name of the router that it is for.
  struct Outgoing {
    std::string Router;
    RouterMessage Message;
  };
  /// A lookup that has ended.
  struct Finished {
    CorrelationId Id;
    StreamOrigin Origin;
  };

  /// The number of routers that are told of a stream.
  static constexpr std::size_t Copies = 2;
  /// The largest number of routers that are asked for a stream: more than
  /// `Copies`, since the list of routers may have changed since.
  static constexpr std::size_t MaxAsked = 6;

  explicit StreamDirectory(const std::string &RouterName);

  /// Sets the list of routers. Those that do not read the messages about
  /// streams take no part.
  void setRouters(const RouterList &Listed, TimePoint Now);
  /// This router is about to stop: tells the others what they need to know.
  void leave(TimePoint Now);

  /// Records the software of a stream whose first event is about to be
  /// forwarded, and tells other routers.
  void bind(StreamKey Key, SoftwareId Software, Duration Lifetime,
            TimePoint Now);

  /// Starts a lookup, whose result is in `takeFinished`, mostly later. `Id`
  /// must be unique.
  void find(const CorrelationId &Id, StreamKey Key, TimePoint Now);
  /// Ends a lookup without a result.
  void cancel(const CorrelationId &Id) { this->Lookups.erase(Id); }

  void onBound(const StreamsBound &Message, TimePoint Now);
  void onAnswer(const StreamAnswer &Message, TimePoint Now);
  /// The answer to another router's query.
  StreamAnswer answerTo(const StreamQuery &Query, TimePoint Now) const;
  /// The replies to a router that has just started.
  std::vector<StreamsBound> repliesTo(const StreamsWanted &Message,
                                      TimePoint Now);

  /// Repeats queries without an answer, ends lookups that take too long, and
  /// drops expired records. Called while `hasLookups`, every few milliseconds,
  /// and otherwise about once a second.
  void tick(TimePoint Now);
  bool hasLookups() const { return !this->Lookups.empty(); }

  /// Return and clear the messages to send and the lookups that have ended.
  std::vector<Outgoing> takeOutgoing();
  std::vector<Finished> takeFinished();

  const StreamRecords &records() const { return this->Records; }

private:
  struct Router {
    std::uint64_t Hash = 0;
    std::string Zone;
  };
  struct Lookup {
    StreamKey Key;
    TimePoint StartedAt{};
    TimePoint NextQueryAt{};
    int QueryCount = 0;
    /// The routers that have not answered, by the hashes of their names.
    std::map<std::uint64_t, std::string> Unanswered;
  };

  /// The routers to which bindings must be sent, and the bindings.
  using Shipment = std::map<std::string, std::vector<StreamBinding>>;

  const std::vector<std::string> &orderOf(StreamKey Key);
  std::vector<std::string> computeOrder(std::uint64_t Shard) const;
  /// The first routers of an order, without this one.
  std::vector<std::string> firstOthers(const std::vector<std::string> &Order,
                                       std::size_t Count) const;
  void ask(const CorrelationId &Id, Lookup &Pending, TimePoint Now);
  void finish(const CorrelationId &Id, const StreamOrigin &Origin);
  void requestRecords();
  void send(const Shipment &Contents);
  static StreamBinding
  bindingOf(StreamKey Key, const StreamRecords::Record &Known, TimePoint Now);

  std::string Self;
  std::uint64_t SelfHash;
  std::map<std::string, Router> Routers;
  /// Orders of routers by shard, computed when needed.
  std::map<std::uint64_t, std::vector<std::string>> Orders;
  StreamRecords Records;
  std::map<CorrelationId, Lookup> Lookups;
  bool Leaving = false;
  /// Whether others have been asked for the records of an earlier process.
  bool RecordsRequested = false;
  std::vector<Outgoing> OutgoingMessages;
  std::vector<Finished> FinishedLookups;
};

} // namespace parsleywing

#endif
