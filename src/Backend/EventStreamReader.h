#ifndef PARSLEYWING_BACKEND_EVENTSTREAMREADER_H
#define PARSLEYWING_BACKEND_EVENTSTREAMREADER_H

#include <istream>
#include <string>

namespace parsleywing {

/// One server-sent event.
struct StreamEvent {
  std::string Name;
  std::string Data;
};

enum class ReadStatus {
  Event,    ///< A whole event was read.
  End,      ///< The stream ended; a piece of an event before it is dropped.
  TooLarge, ///< The event is larger than the limit.
};

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) into its
/// events. Comments and fields without use here are passed over. Failures of
/// the connection come through as the exceptions of the stream's buffer.
class EventStreamReader {
public:
  EventStreamReader(std::istream &Input, std::size_t MaxBytes)
      : In(*Input.rdbuf()), MaxEventBytes(MaxBytes) {}

  /// Blocks for the next whole event. Reuses the memory of `Event`.
  ReadStatus next(StreamEvent &Event);

private:
  ReadStatus readLine();
  void takeField(StreamEvent &Event) const;

  std::streambuf &In;
  std::size_t MaxEventBytes;
  std::string Line;
};

} // namespace parsleywing

#endif
