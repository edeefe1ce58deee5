#ifndef PARSLEYWING_PLACEMENT_STREAMDIRECTORY_H
#define PARSLEYWING_PLACEMENT_STREAMDIRECTORY_H

#include "Placement/RouterMessages.h"
#include "Placement/StreamRecords.h"
#include "Placement/StreamReplicas.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleywing {

/// The result of a lookup: what the fleet knows of a stream.
struct StreamOrigin {
  StreamLookupResult Result = StreamLookupResult::Unknown;
  /// Set if `Result` is `Known`.
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
/// bound to. The router that begins a stream tells two others
/// (`StreamReplicas`). A router that a caller returns to asks those that may
/// have been told. When the list of routers changes, all that know a stream
/// tell its new replicas, so that routers may restart one after the other; a
/// router that starts asks for what it is to keep.
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

  explicit StreamDirectory(const std::string &RouterName);

  /// Sets the list of routers. New replicas are told by a later `tick`, so that
  /// many changes in a row are handled at once.
  void setRouters(const RouterList &Listed);
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
  std::vector<StreamsBound> repliesTo(const StreamSyncRequest &Message,
                                      TimePoint Now);

  /// Repeats queries without an answer, ends lookups that take too long, tells
  /// new replicas, and drops expired records. Called every few milliseconds
  /// while `isBusy`, and otherwise about once a second.
  void tick(TimePoint Now);
  bool isBusy() const {
    return !this->Lookups.empty() || this->ReplicasBefore.has_value();
  }

  /// Return and clear the messages to send and the lookups that have ended.
  std::vector<Outgoing> takeOutgoing();
  std::vector<Finished> takeFinished();

  const StreamRecords &records() const { return this->Records; }

private:
  struct Lookup {
    StreamKey Key;
    TimePoint StartedAt{};
    TimePoint NextQueryAt{};
    int QueryCount = 0;
    /// The routers that have not answered, by the hashes of their names.
    std::map<std::uint64_t, std::string> Unanswered;
  };

  /// The routers to which bindings must be sent, and the bindings.
  using BindingsByRouter = std::map<std::string, std::vector<StreamBinding>>;

  void ask(const CorrelationId &Id, Lookup &Pending, TimePoint Now);
  void finish(const CorrelationId &Id, const StreamOrigin &Origin);
  void setReplicas(StreamReplicas New);
  /// Tells the replicas that the routers' list before did not have.
  void tellNewReplicas(TimePoint Now);
  void requestRecords();
  void send(const BindingsByRouter &Contents);
  static StreamBinding
  bindingOf(StreamKey Key, const StreamRecords::Record &Known, TimePoint Now);

  std::string Self;
  std::uint64_t SelfHash;
  StreamReplicas Replicas;
  /// The replicas before the changes whose new replicas have not been told yet.
  std::optional<StreamReplicas> ReplicasBefore;
  TimePoint LastToldAt{};
  RouterList LastListed;
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
