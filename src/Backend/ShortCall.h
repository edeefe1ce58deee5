#ifndef PARSLEYWING_BACKEND_SHORTCALL_H
#define PARSLEYWING_BACKEND_SHORTCALL_H

#include "Backend/BackendSettings.h"
#include "Runtime/Result.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace parsleywing {

/// One call whose answer is short and read whole, over a connection of its
/// own, ended after `Limit` in all.
struct ShortCall {
  std::string Address;
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  Duration Timeout = std::chrono::seconds(1);
  /// What the limit is measured by once the connection stands.
  Clock Time = Clock::steady();
  std::size_t MaxResponseBytes = 1 << 20;
  /// Asked once the connection stands, as the last thing before the first
  /// byte: until when the call may last. Nothing: it is not sent, and the call
  /// fails as `Denied`. Making the connection may take long, and what the
  /// caller knew before it may no longer be so.
  std::function<std::optional<TimePoint>()> SendPermission;
};

struct ShortResponse {
  int Status = 0;
  std::string Body;
  /// Whether the server says that it finishes its work and takes no more.
  bool Leaving = false;
  /// Bytes in both directions.
  std::uint64_t Bytes = 0;
};

/// Runs the call. `Unreachable` and `Denied` say for certain that nothing was
/// sent; `TimedOut`, `Interrupted` and `Malformed` leave open whether it took
/// effect. A status of any kind is an answer, not an error.
Result<ShortResponse> runShortCall(const ShortCall &Call);

/// Whether the server answers `GET /health` over a new connection.
bool probeServer(const std::string &Address, const BackendSettings &Settings);

/// Orders the engine to cancel a response, so that its slot frees.
Result<void> cancelResponse(const std::string &Address,
                            const std::string &ResponseId,
                            const BackendSettings &Settings);

/// Whether a 503 with this header or error body says that the server drains.
bool reportsLeaving(int Status, const std::string &DrainHeader,
                    const std::string &Body);

/// Whether the body is the published error object of engines:
/// `{"error":{"message":...}}`.
bool isPublishedError(const std::string &Body);

/// The header by which a server says that it drains.
inline constexpr const char *DrainHeader = "X-Draining";

} // namespace parsleywing

#endif
