#ifndef PARSLEYWING_PLACEMENT_CORRELATIONID_H
#define PARSLEYWING_PLACEMENT_CORRELATIONID_H

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace parsleywing {

/// Identifies a request from one router to another: the process of the sender
/// and a sequence number that is unique within it.
struct CorrelationId {
  std::uint64_t Process = 0;
  std::uint64_t Number = 0;

  friend bool operator==(const CorrelationId &,
                         const CorrelationId &) = default;
  friend bool operator<(const CorrelationId &Left, const CorrelationId &Right) {
    return std::tie(Left.Process, Left.Number) <
           std::tie(Right.Process, Right.Number);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Process, this->Number);
  }
};

/// The identifier as it appears in log lines, the same at the router and at the
/// allocator.
std::string textOf(const CorrelationId &Id);

/// Serializes a list with its length in a single byte. The list must have at
/// most 255 entries.
template <class Archive, class Entry>
void serializeCompactList(Archive &Ar, std::vector<Entry> &Entries) {
  auto Count = static_cast<std::uint8_t>(Entries.size());
  Ar(Count);
  Entries.resize(Count);
  for (Entry &Each : Entries)
    Ar(Each);
}

} // namespace parsleywing

#endif
