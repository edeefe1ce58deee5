#ifndef PARSLEYWING_BACKEND_RESPONSESTREAMCHECK_H
#define PARSLEYWING_BACKEND_RESPONSESTREAMCHECK_H

#include "Backend/BackendCounters.h"
#include "Backend/EventStreamReader.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <string>

namespace parsleywing {

/// Where a broken stream can be taken up again: all that was passed on so far.
struct ResumePoint {
  /// Empty where the engine has not named its response yet; then nothing can
  /// be resumed.
  std::string ResponseId;
  /// The item of the response that holds the text; empty before the first.
  std::string ItemId;
  /// Number of the last event that was passed on or needed no passing on.
  std::uint64_t Sequence = 0;
  /// Bytes of text passed on, in all and of this item.
  std::uint64_t TextOffset = 0;
  std::uint64_t ItemTextOffset = 0;
  /// Pieces of text passed on, taken as tokens until the engine states them.
  std::uint64_t Tokens = 0;

  bool isResumable() const { return !this->ResponseId.empty(); }
};

/// What to do after an event of the stream.
enum class StreamVerdict {
  Skip,      ///< Nothing to pass on.
  Forward,   ///< Pass `text()` on.
  Finished,  ///< The answer is whole.
  Abandoned, ///< The engine ended its response short of a whole answer.
  Broken,    ///< The stream cannot be trusted from here on; resume or give up.
  Foreign,   ///< The answer is not to this request at all; never resume it.
};

/// Checks each event of one streamed response. Answers are told apart by the
/// identity that the engine repeats from the request, by the ids of response
/// and item, and by the numbering without gaps. No thread and no I/O.
class ResponseStreamCheck {
public:
  /// `Start` is empty for a new request.
  ResponseStreamCheck(std::string I, ResumePoint Start, BackendCounters &C)
      : Identity(std::move(I)), Counters(C), Point(std::move(Start)),
        Started(this->Point.isResumable()) {}

  /// Judges the next event. Never throws: an event that does not follow the
  /// published form breaks the stream.
  StreamVerdict processEvent(const StreamEvent &Event);

  const std::string &text() const { return this->Text; }
  const ResumePoint &point() const { return this->Point; }
  bool outputStarted() const { return this->Point.Tokens > 0; }

  /// The cost: as the engine stated it, or the pieces counted here.
  std::uint64_t tokens() const;
  bool usageStated() const { return this->UsageStated; }

private:
  StreamVerdict judge(const StreamEvent &Event);
  StreamVerdict judgeNumber(const Poco::JSON::Object &Data,
                            std::uint64_t &Number);
  StreamVerdict byKind(const std::string &Kind, const Poco::JSON::Object &Data,
                       std::uint64_t Number);
  StreamVerdict created(const Poco::JSON::Object &Data);
  StreamVerdict itemAdded(const Poco::JSON::Object &Data, std::uint64_t Number);
  StreamVerdict delta(const Poco::JSON::Object &Data);
  StreamVerdict textDone(const Poco::JSON::Object &Data);
  StreamVerdict ended(const Poco::JSON::Object &Data, bool Whole);
  bool ofThisResponse(const Poco::JSON::Object &Response);
  bool ofThisItem(const Poco::JSON::Object &Data, std::uint64_t Number) const;
  StreamVerdict foreignEvent();
  StreamVerdict broken(BackendCounters::Count &Counter);

  std::string Identity;
  BackendCounters &Counters;
  ResumePoint Point;
  /// The point before the event that opened the current item, and the number
  /// of that event; zero where the item was opened on an earlier connection.
  ResumePoint BeforeItem;
  std::uint64_t ItemNumber = 0;
  bool Started;
  bool WrongIdentity = false;
  bool UsageStated = false;
  std::uint64_t StatedTokens = 0;
  std::string Text;
  Poco::JSON::Parser Parser;
};

} // namespace parsleywing

#endif
