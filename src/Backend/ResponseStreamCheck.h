#ifndef PARSLEYWING_BACKEND_RESPONSESTREAMCHECK_H
#define PARSLEYWING_BACKEND_RESPONSESTREAMCHECK_H

#include "Backend/BackendCounters.h"
#include "Backend/EventStreamReader.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <string>

namespace parsleywing {

/// Where an interrupted stream can be resumed: everything forwarded so far.
struct ResumePoint {
  /// Empty if the engine has not sent its response id yet; the stream cannot be
  /// resumed then.
  std::string ResponseId;
  /// The software that makes the response, as the `Server` field of its head
  /// states it; empty if it does not.
  std::string Software;
  /// The output item that contains the text; empty before the first one.
  std::string ItemId;
  /// Sequence number of the last event that was processed.
  std::uint64_t Sequence = 0;
  /// Bytes of text forwarded, in total and of this item.
  std::uint64_t TextOffset = 0;
  std::uint64_t ItemTextOffset = 0;
  /// Chunks of text forwarded. Counted as tokens until the engine states the
  /// usage.
  std::uint64_t Tokens = 0;

  bool isResumable() const { return !this->ResponseId.empty(); }
};

/// What to do after an event of the stream.
enum class StreamVerdict {
  Skip,      ///< Nothing to forward.
  Forward,   ///< Forward `text()`.
  Finished,  ///< The response is complete.
  Abandoned, ///< The engine ended the response before it was complete.
  Broken,    ///< The rest of the stream is unreliable; resume or give up.
  Foreign,   ///< The response belongs to another request; never resume it.
};

/// Validates the events of one streamed response. Events belong to it if the
/// engine repeats the identity of the request, the ids of response and item
/// match, and the sequence numbers have no gaps. Performs no I/O; not
/// thread-safe.
class ResponseStreamCheck {
public:
  /// `Start` is default-constructed for a new request.
  ResponseStreamCheck(std::string I, ResumePoint Start, BackendCounters &C)
      : Identity(std::move(I)), Counters(C), Point(std::move(Start)),
        Started(this->Point.isResumable()) {}

  /// Validates the next event. Never throws: a malformed event makes the stream
  /// `Broken`.
  StreamVerdict processEvent(const ServerSentEvent &Event);

  /// Sets the software that makes the response, at its start.
  void setSoftware(std::string Stated) {
    this->Point.Software = std::move(Stated);
  }

  const std::string &text() const { return this->Text; }
  const ResumePoint &point() const { return this->Point; }
  bool outputStarted() const { return this->Point.Tokens > 0; }

  /// The cost in tokens as stated by the engine, or else the number of chunks.
  std::uint64_t tokens() const;
  bool usageStated() const { return this->UsageStated; }

private:
  StreamVerdict checkEvent(const ServerSentEvent &Event);
  StreamVerdict checkSequence(const Poco::JSON::Object &Data,
                              std::uint64_t &Number);
  StreamVerdict checkByType(const std::string &Type,
                            const Poco::JSON::Object &Data,
                            std::uint64_t Number);
  StreamVerdict onCreated(const Poco::JSON::Object &Data);
  StreamVerdict onItemAdded(const Poco::JSON::Object &Data,
                            std::uint64_t Number);
  StreamVerdict onDelta(const Poco::JSON::Object &Data);
  StreamVerdict onTextDone(const Poco::JSON::Object &Data);
  StreamVerdict onResponseEnd(const Poco::JSON::Object &Data, bool Complete);
  bool belongsToResponse(const Poco::JSON::Object &Response);
  bool belongsToItem(const Poco::JSON::Object &Data,
                     std::uint64_t Number) const;
  StreamVerdict rejectForeignEvent();
  StreamVerdict reject(BackendCounters::Count &Counter);

  std::string Identity;
  BackendCounters &Counters;
  ResumePoint Point;
  /// The resume point before the event that added the current item, and the
  /// sequence number of that event; zero if the item was added on an earlier
  /// connection.
  ResumePoint BeforeItem;
  std::uint64_t ItemSequence = 0;
  bool Started;
  bool WrongIdentity = false;
  bool UsageStated = false;
  std::uint64_t StatedTokens = 0;
  std::string Text;
  Poco::JSON::Parser Parser;
};

} // namespace parsleywing

#endif
