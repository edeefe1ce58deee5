#ifndef PARSLEYWING_BACKEND_EVENTSTREAMREADER_H
#define PARSLEYWING_BACKEND_EVENTSTREAMREADER_H

#include <istream>
#include <optional>
#include <string>

namespace parsleywing {

/// One server-sent event.
struct StreamEvent {
  std::string Name;
  std::string Data;
};

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) into its
/// events. Comments and fields without use here are passed over.
class EventStreamReader {
public:
  explicit EventStreamReader(std::istream &Input) : In(Input) {}

  /// Blocks for the next whole event. Nothing at the end of the stream; an
  /// event cut off by the end is dropped.
  std::optional<StreamEvent> next();

private:
  std::istream &In;
};

} // namespace parsleywing

#endif
