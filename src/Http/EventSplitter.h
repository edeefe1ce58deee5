#ifndef PARSLEYWING_HTTP_EVENTSPLITTER_H
#define PARSLEYWING_HTTP_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// One complete server-sent event, including the empty line that ends it.
struct StreamEvent {
  std::string Text;
  std::optional<std::uint64_t> Id;
  /// Whether the event has a field other than its identity; comments have none.
  bool HasContent = false;
};

/// Splits the payload of an event stream into complete events. If a server dies
/// in the middle of an event, the partial event must never reach a caller: the
/// next server sends that event again from its start, and the caller would read
/// half an event joined to another. So this class returns only complete events.
class EventSplitter {
public:
  /// Adds payload and returns the events that it completes.
  std::vector<StreamEvent> add(std::string_view Payload);

  /// The bytes of an event that is not complete yet.
  std::string_view partialEvent() const { return this->Pending; }
  /// Whether an event was begun and is not complete. Empty lines belong to
  /// none.
  bool insideEvent() const {
    return this->Pending.find_first_not_of("\r\n") != std::string::npos;
  }
  void clear() {
    this->Pending.clear();
    this->ScannedLines = 0;
  }

private:
  std::string Pending;
  /// The bytes of `Pending` up to the end of its last complete line.
  std::size_t ScannedLines = 0;
};

} // namespace parsleywing

#endif
