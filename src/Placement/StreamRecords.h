#ifndef PARSLEYWING_PLACEMENT_STREAMRECORDS_H
#define PARSLEYWING_PLACEMENT_STREAMRECORDS_H

#include "Placement/StreamMessages.h"
#include "Runtime/Clock.h"

#include <set>
#include <unordered_map>
#include <utility>

namespace parsleywing {

/// The software that streams are bound to, as far as one router knows. A
/// binding never changes: of two that disagree neither is believed. Bounded;
/// performs no I/O and has no clock of its own.
class StreamRecords {
public:
  /// What is known of one stream.
  struct Record {
    StreamLookupResult Result = StreamLookupResult::Unknown;
    /// Set if `Result` is `Known`.
    SoftwareId Software{};
    TimePoint LearnedAt{};
    TimePoint ExpiresAt{};
  };

  /// The largest number of streams, at about 150 bytes each.
  static constexpr std::size_t MaxRecords = 16'384;

  /// Records a binding, or extends its lifetime. If the records are full, the
  /// one that expires first is dropped.
  void add(StreamKey Key, SoftwareId Software, Duration Lifetime,
           TimePoint Now);

  /// `Unknown` if there is no record.
  Record find(StreamKey Key, TimePoint Now) const;

  void removeExpired(TimePoint Now);

  std::size_t size() const { return this->Records.size(); }
  /// The number of records that were dropped before they expired.
  std::uint64_t droppedCount() const { return this->Dropped; }

  /// Calls `Visit` with the key and the record of each stream.
  template <typename Visitor> void visit(Visitor Visit) const {
    for (const auto &[Key, Each] : this->Records)
      Visit(Key, Each);
  }

private:
  void removeFirst();

  std::unordered_map<StreamKey, Record> Records;
  /// The keys in the order in which their records expire.
  std::set<std::pair<TimePoint, StreamKey>> Expiries;
  std::uint64_t Dropped = 0;
};

} // namespace parsleywing

#endif
