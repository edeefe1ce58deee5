#ifndef PARSLEYWING_HTTP_EVENTSPLITTER_H
#define PARSLEYWING_HTTP_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleywing {

/// One whole server-sent event, with the empty line that ends it.
struct StreamEvent {
  std::string Text;
  std::optional<std::uint64_t> Id;
};

/// Cuts the payload of an event stream into whole events. A server that dies in
/// the middle of an event leaves a piece that must never reach a caller: the
/// next server begins that event anew, and the caller would read half an event
/// joined to another. So only whole events leave this class.
class EventSplitter {
public:
  /// Adds payload and returns the events that it completes.
  std::vector<StreamEvent> add(std::string_view Payload);

  /// Bytes of an event that has not ended.
  std::string_view partialEvent() const { return this->Pending; }
  void clear() { this->Pending.clear(); }

private:
  std::string Pending;
};

} // namespace parsleywing

#endif
