#ifndef PARSLEYWING_BACKEND_EVENTSTREAMREADER_H
#define PARSLEYWING_BACKEND_EVENTSTREAMREADER_H

#include <istream>
#include <string>

namespace parsleywing {

/// One server-sent event.
struct ServerSentEvent {
  std::string Name;
  std::string Data;
};

enum class ReadStatus {
  Event,    ///< A complete event was read.
  End,      ///< The stream ended; a partial event before the end is dropped.
  TooLarge, ///< The event exceeds the size limit.
};

/// Parses a stream of server-sent events (WHATWG HTML, section 9.2). Ignores
/// comments and fields other than `event` and `data`. Connection errors
/// propagate as the exceptions of the stream's buffer.
class EventStreamReader {
public:
  EventStreamReader(std::istream &Input, std::size_t MaxBytes)
      : In(*Input.rdbuf()), MaxEventBytes(MaxBytes) {}

  /// Blocks until the next complete event arrives. Reuses the memory of
  /// `Event`.
  ReadStatus next(ServerSentEvent &Event);

private:
  ReadStatus readLine();
  void parseField(ServerSentEvent &Event) const;

  std::streambuf &In;
  std::size_t MaxEventBytes;
  std::string Line;
};

} // namespace parsleywing

#endif
