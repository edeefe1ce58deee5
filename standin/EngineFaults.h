#ifndef PARSLEYWING_STANDIN_ENGINEFAULTS_H
#define PARSLEYWING_STANDIN_ENGINEFAULTS_H

#include <cstdint>
#include <string>

namespace parsleywing::standin {

/// Faults that a test injects into a stand-in. Token counts are per stream;
/// zero disables the fault. Stream faults apply to new requests; they apply to
/// resumed streams only if `OnResume` is set.
struct EngineFaults {
  bool Stall = false;      ///< Generates no tokens.
  bool Silent = false;     ///< Accepts connections but never responds.
  bool Refuse = false;     ///< Responds with 503.
  bool BareRefuse = false; ///< Responds with 503 and no error object.
  bool Reject = false;     ///< Responds with 429.
  bool Leaving = false;    ///< Responds with 503 and reports that it drains.
  /// Serves requests, and reports in all responses that it drains.
  bool LeavingServed = false;
  bool Close = false;      ///< Closes connections without reading the request.
  bool LoseAnswer = false; ///< Runs the request but sends no response.
  bool Doubled = false;    ///< Sends each event twice.
  bool WrongMetadata = false; ///< Reports another request's identity.
  bool NoUsage = false;       ///< Omits the usage from the final event.
  /// States no length: the response ends with its connection.
  bool Unframed = false;
  bool OnResume = false;
  std::uint64_t CutAfter = 0;       ///< Closes the connection.
  std::uint64_t TruncateAfter = 0;  ///< Closes it within an event.
  std::uint64_t CrossedAfter = 0;   ///< Sends an event of another response.
  std::uint64_t SkipAfter = 0;      ///< Omits one event.
  std::uint64_t MalformedAfter = 0; ///< Sends an event that is not JSON.
  std::uint64_t OversizedAfter = 0; ///< Sends an oversized line.
  std::uint64_t SilentAfter = 0;    ///< Stops sending without closing.
  std::uint64_t DelayMs = 0;        ///< Delays each response.
  std::uint64_t PauseSeconds = 0;   ///< `Retry-After` of a refusal.
  /// Crashes when it receives a request whose body contains this text. Empty
  /// disables the fault.
  std::string CrashOn;
  std::uint64_t BackAfterMs = 0; ///< Time from a crash until the restart.
  /// Stops generating tokens for every response that has this many, until the
  /// fault is cleared.
  std::uint64_t HoldAfter = 0;
  /// The process neither reads nor writes nor generates for this time, then
  /// goes on. Connections stay open, and new ones wait.
  std::uint64_t PauseProcessMs = 0;
  /// The same for the connection of the next request alone, once it has sent
  /// `PauseAfter` tokens; with none, before the head of its response.
  std::uint64_t PauseConnectionMs = 0;
  std::uint64_t PauseAfter = 0;
  /// This pause comes in the middle of an event instead.
  bool PauseInside = false;
  /// With a seed, pauses of the process follow each other until the faults
  /// change; lengths and times between them are drawn, from a quarter of
  /// `PauseProcessMs` to all of it. So are the length of the connection's pause
  /// and its place, up to `PauseAfter`.
  std::uint64_t PauseSeed = 0;
};

/// Parses the faults from JSON, with names such as `"cut_after"`. Faults that
/// are not named are off. Throws Poco::Exception if the text is not valid JSON.
EngineFaults readFaults(const std::string &Json);

} // namespace parsleywing::standin

#endif
