#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTSETTINGS_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTSETTINGS_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>

namespace parsleywing {

/// Limits on the requests of one router.
struct LimitSettings {
  /// Requests without a final response, of all accounts.
  std::size_t MaxOpen = 10000;
  /// The same per account.
  std::size_t MaxOpenPerAccount = 2500;
  /// Requests that wait for their first attempt, of all accounts. The limit of
  /// an account is in its declaration.
  std::size_t MaxWaiting = 8000;
};

/// Limits on the attempts of a request.
struct RetrySettings {
  /// Attempts per request, including the first.
  std::uint32_t MaxAttempts = 4;
  /// Retries that an account gains with each of its first attempts.
  double BudgetFraction = 0.1;
  /// Maximum of retries that an account can accumulate.
  double BudgetBurst = 10;
  /// Retries per second that all accounts of the router share in addition.
  double BudgetFloorPerSecond = 1;
  /// The delay before the first retry, doubled for each further one. The actual
  /// delay is random between half of it and all of it.
  Duration Backoff = std::chrono::milliseconds(50);
  Duration MaxBackoff = std::chrono::seconds(2);
  /// Attempts to fetch the rest of one response, in total.
  std::uint32_t MaxResumes = 4;
};

/// Timeouts for the progress of an attempt.
struct ProgressSettings {
  /// From the start of the attempt to the first token.
  Duration FirstTokenTimeout = std::chrono::seconds(30);
  /// Between two progress reports.
  Duration TokenTimeout = std::chrono::seconds(10);
  /// From the start of the attempt to its end, for services that report no
  /// progress.
  Duration PlainResponseTimeout = std::chrono::seconds(120);
  /// From a cancel until the end of the attempt is no longer awaited.
  Duration CancelTimeout = std::chrono::seconds(5);
};

/// Run records of requests that must not run twice.
struct RecordSettings {
  /// Maximum wait for the reply to a claim.
  Duration ClaimTimeout = std::chrono::seconds(1);
  /// Keys of ended requests that are cached here; about 150 bytes each.
  std::size_t MaxEndedKeys = 20000;
};

/// Bounds of the retry delay that refused callers get.
struct RetryAfterSettings {
  Duration Min = std::chrono::seconds(1);
  Duration Max = std::chrono::seconds(60);
};

/// The graceful shutdown of a router.
struct DrainSettings {
  /// When requests that are still open are aborted; zero for never.
  Duration HardLimit = std::chrono::minutes(10);
  /// Routers that one request is offered to. After that it is refused, or
  /// served here if an earlier attempt may have run.
  std::uint32_t MaxHandOvers = 3;
};

/// The settings of the request decision modules.
struct RequestSettings {
  LimitSettings Limits;
  RetrySettings Retry;
  ProgressSettings Progress;
  RecordSettings Records;
  RetryAfterSettings RetryAfter;
  DrainSettings Drain;
  /// Random seed for jitter; should differ between routers.
  std::uint64_t Seed = 1;
};

} // namespace parsleywing

#endif
