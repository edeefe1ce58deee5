#ifndef PARSLEYWING_CALLER_CALLERSETTINGS_H
#define PARSLEYWING_CALLER_CALLERSETTINGS_H

#include "Backend/BackendSettings.h"
#include "Runtime/Clock.h"

#include <cstdint>
#include <string>

namespace parsleywing {

/// What the front to callers needs from the settings. Every limit has a
/// counter in `CallerCounters` and a stated answer in docs/CALLERS.md.
struct CallerSettings {
  /// Numeric host and port to listen on.
  std::string Address;
  std::string RouterName;

  /// Connections served at once; each has a thread. Further ones get 503.
  int MaxConnections = 512;
  /// Requests of one account that wait or run at this router; further ones
  /// get 429.
  std::uint32_t MaxInFlightPerAccount = 256;

  /// Largest request line with all headers, in bytes; 431 beyond. Enforced in
  /// steps of one read (4 KiB).
  std::uint64_t MaxHeaderBytes = 32768;
  /// Most header fields; 431 beyond. At most 100.
  std::uint32_t MaxHeaderFields = 64;
  /// Longest request target, in bytes; 414 beyond. At most 16384.
  std::uint32_t MaxUriBytes = 2048;
  /// Largest body, in bytes; 413 beyond.
  std::uint64_t MaxBodyBytes = 1 << 20;
  /// Deepest nesting of arrays and objects in a JSON body; 400 beyond.
  std::uint32_t MaxJsonDepth = 32;
  /// Largest `max_output_tokens`; 400 beyond.
  std::uint64_t MaxOutputTokens = 1'000'000;
  /// Longest `Idempotency-Key`, in characters; 400 beyond.
  std::uint32_t MaxIdempotencyKeyLength = 128;

  /// The time from the first byte of a request to its last; 408 beyond.
  Duration ReceiveTimeout = std::chrono::seconds(20);
  /// The time that a caller may take no byte of its answer before it counts
  /// as gone.
  Duration SendTimeout = std::chrono::seconds(20);
  /// How long a connection may stay open without a request.
  Duration IdleTimeout = std::chrono::seconds(30);

  /// The time a request may take where the caller names none.
  Duration DefaultTimeout = std::chrono::seconds(60);
  /// The longest time that a caller may name; longer ones are cut to it.
  Duration MaxTimeout = std::chrono::seconds(600);
  /// Limits of calls to backend servers.
  BackendSettings Backend;
  /// Proves to another router that a request was handed over by one of the
  /// fleet. Without it nothing is handed over nor taken as such.
  std::string FleetSecret;
  /// When to come back after a limit of this router was met.
  Duration LimitRetryAfter = std::chrono::seconds(1);
};

} // namespace parsleywing

#endif
