#ifndef PARSLEYWING_CALLER_CALLERSETTINGS_H
#define PARSLEYWING_CALLER_CALLERSETTINGS_H

#include "Backend/BackendSettings.h"
#include "Runtime/Clock.h"

#include <cstdint>
#include <string>

namespace parsleywing {

/// Settings of the caller-facing server. Each limit has a counter in
/// `CallerCounters` and a documented response in docs/CALLERS.md.
struct CallerSettings {
  /// Numeric host and port to listen on.
  std::string Address;
  std::string RouterName;

  /// Maximum number of connections; each occupies a thread. Further
  /// connections are rejected with 503.
  int MaxConnections = 512;
  /// Maximum number of requests that one account may have waiting or running
  /// at this router. Further requests are rejected with 429.
  std::uint32_t MaxInFlightPerAccount = 256;

  /// Maximum size in bytes of the request line and headers; 431 above it.
  /// Enforced with the granularity of one read (4 KiB).
  std::uint64_t MaxHeaderBytes = 32768;
  /// Maximum number of header fields; 431 above it. Must not exceed 100.
  std::uint32_t MaxHeaderFields = 64;
  /// Maximum length of the request target in bytes; 414 above it. Must not
  /// exceed 16384.
  std::uint32_t MaxUriBytes = 2048;
  /// Maximum size of the request body in bytes; 413 above it.
  std::uint64_t MaxBodyBytes = 1 << 20;
  /// Maximum nesting of arrays and objects in a JSON body; 400 above it.
  std::uint32_t MaxJsonDepth = 32;
  /// Maximum value of `max_output_tokens`; 400 above it.
  std::uint64_t MaxOutputTokens = 1'000'000;
  /// Maximum length of `Idempotency-Key` in characters; 400 above it.
  std::uint32_t MaxIdempotencyKeyLength = 128;

  /// Maximum time from the first to the last byte of a request; 408 above it.
  Duration ReceiveTimeout = std::chrono::seconds(20);
  /// A caller that accepts no byte of its response for this long is considered
  /// disconnected.
  Duration SendTimeout = std::chrono::seconds(20);
  /// Connections without a request are closed after this time.
  Duration IdleTimeout = std::chrono::seconds(30);

  /// Request timeout if the caller sends none.
  Duration DefaultTimeout = std::chrono::seconds(60);
  /// Maximum request timeout; larger values sent by callers are reduced to it.
  Duration MaxTimeout = std::chrono::seconds(600);
  /// Timeouts and limits of calls to backend servers.
  BackendSettings Backend;
  /// Signs requests handed over between routers. If empty, this router neither
  /// hands requests over nor accepts hand-overs.
  std::string FleetSecret;
  /// `Retry-After` of responses to requests that exceed a limit of this router.
  Duration LimitRetryAfter = std::chrono::seconds(1);
};

} // namespace parsleywing

#endif
