#ifndef PARSLEYWING_BACKEND_SHORTCALL_H
#define PARSLEYWING_BACKEND_SHORTCALL_H

#include "Backend/BackendSettings.h"
#include "Runtime/ConnectOutcome.h"
#include "Runtime/Result.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace parsleywing {

/// Parameters of one HTTP call with a short response, which is read into
/// memory. Uses a new connection; the whole call is limited to `Timeout`.
struct ShortCall {
  std::string Address;
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  Duration Timeout = std::chrono::seconds(1);
  /// Clock for the timeout once the connection is established.
  Clock Time = Clock::steady();
  std::size_t MaxResponseBytes = 1 << 20;
  /// If set, called on the established connection, immediately before the first
  /// byte is sent; returns the deadline of the call. On nullopt nothing is sent
  /// and the call fails with `Denied`. A permission checked before connecting
  /// could be outdated, since connecting may take long.
  std::function<std::optional<TimePoint>()> SendPermission;
};

struct ShortResponse {
  int Status = 0;
  std::string Body;
  /// Whether the server states that it is draining.
  bool Leaving = false;
  /// Bytes transferred in both directions.
  std::uint64_t Bytes = 0;
};

/// Runs the call. On `Unreachable` and `Denied` nothing was sent. On
/// `TimedOut`, `Interrupted` and `Malformed` the call may have taken effect. A
/// response with any status code is a result, not an error.
Result<ShortResponse> runShortCall(const ShortCall &Call);

/// Whether the server answers `GET /health` with 200 on a new connection.
bool probeServer(const std::string &Address, const BackendSettings &Settings);

/// Connects to a numeric address and closes the connection.
ConnectOutcome tryConnect(const std::string &Address, Duration Timeout);

/// Tells the engine to cancel a response, which frees its slot.
Result<void> cancelResponse(const std::string &Address,
                            const std::string &ResponseId,
                            const BackendSettings &Settings);

/// Whether a response states that the server is draining: by the header with
/// any status, since a draining server may still serve, or by the error body of
/// a 503.
bool reportsLeaving(int Status, const std::string &DrainHeader,
                    const std::string &Body);

/// How long a server that responds with this status and `Retry-After` wants no
/// more requests. Only a refusal (503 or 429) can state this.
std::optional<Duration> pauseOf(int Status, const std::string &RetryAfter);

/// Whether the body is the documented error object of engines:
/// `{"error":{"message":...}}`.
bool isPublishedError(const std::string &Body);

/// The header by which a server states that it is draining.
inline constexpr const char *DrainHeader = "X-Draining";

} // namespace parsleywing

#endif
