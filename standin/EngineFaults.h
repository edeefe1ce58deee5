#ifndef PARSLEYWING_STANDIN_ENGINEFAULTS_H
#define PARSLEYWING_STANDIN_ENGINEFAULTS_H

#include <cstdint>
#include <string>

namespace parsleywing::standin {

/// What the stand-in does wrong on order. Counts of tokens are per stream;
/// zero means never. Faults of streams hold for new requests, not for streams
/// that are taken up again, unless `OnResume` is set.
struct EngineFaults {
  bool Stall = false;         ///< Makes no tokens.
  bool Silent = false;        ///< Accepts connections and never answers.
  bool Refuse = false;        ///< Answers 503.
  bool BareRefuse = false;    ///< Answers 503 without the error object.
  bool Reject = false;        ///< Answers 429.
  bool Leaving = false;       ///< Answers 503 and says that it drains.
  bool Close = false;         ///< Closes connections without reading.
  bool LoseAnswer = false;    ///< Runs the request and answers nothing.
  bool Doubled = false;       ///< Sends each event twice.
  bool WrongMetadata = false; ///< Repeats another request's identity.
  bool NoUsage = false;       ///< Leaves the usage out of the last event.
  bool OnResume = false;
  std::uint64_t CutAfter = 0;       ///< Ends the connection.
  std::uint64_t TruncateAfter = 0;  ///< Ends it within an event.
  std::uint64_t CrossedAfter = 0;   ///< Sends an event of another response.
  std::uint64_t SkipAfter = 0;      ///< Leaves one event out.
  std::uint64_t MalformedAfter = 0; ///< Sends an event that is not JSON.
  std::uint64_t OversizedAfter = 0; ///< Sends a line without end.
  std::uint64_t SilentAfter = 0;    ///< Writes nothing more on the connection.
  std::uint64_t DelayMs = 0;        ///< Before each answer.
  /// Crashes as it begins to run a request whose body holds this text. Empty
  /// for none.
  std::string CrashOn;
  std::uint64_t BackAfterMs = 0; ///< From a crash until it listens again.
  /// Makes no more tokens of any response that has so many, until cleared.
  std::uint64_t HoldAfter = 0;
};

/// Reads the faults from JSON, with names as in `"cut_after"`; what is not
/// named is off. Throws Poco::Exception where it is not JSON.
EngineFaults readFaults(const std::string &Json);

} // namespace parsleywing::standin

#endif
