#ifndef PARSLEYWING_DECISION_REQUEST_REQUESTSETTINGS_H
#define PARSLEYWING_DECISION_REQUEST_REQUESTSETTINGS_H

#include "Runtime/Clock.h"

#include <cstddef>
#include <cstdint>

namespace parsleywing {

/// How many requests one router holds.
struct LimitSettings {
  /// Requests without a final answer, of all accounts.
  std::size_t MaxOpen = 10000;
  /// The same for each account.
  std::size_t MaxOpenPerAccount = 2500;
  /// Requests that wait for their first attempt, of all accounts. An account's
  /// own limit stands in its declaration.
  std::size_t MaxWaiting = 8000;
};

/// How often a request is tried again.
struct RetrySettings {
  /// Attempts of one request, the first counted.
  std::uint32_t MaxAttempts = 4;
  /// Retries that an account gains by each first attempt of its own.
  double BudgetFraction = 0.1;
  /// Retries that an account can save up.
  double BudgetBurst = 10;
  /// Retries a second that the router adds for all accounts together.
  double BudgetFloorPerSecond = 1;
  /// The first wait before a retry, doubled each time; the wait itself is drawn
  /// between half of it and all of it.
  Duration Backoff = std::chrono::milliseconds(50);
  Duration MaxBackoff = std::chrono::seconds(2);
  /// Tries to fetch the rest of one answer, in all.
  std::uint32_t MaxResumes = 4;
};

/// How long an attempt may stand still.
struct ProgressSettings {
  /// From the order to send to the first token.
  Duration FirstTokenTimeout = std::chrono::seconds(30);
  /// Between two reports of progress.
  Duration TokenTimeout = std::chrono::seconds(10);
  /// From the order to send to the end, for services that report no progress.
  Duration PlainResponseTimeout = std::chrono::seconds(120);
  /// From a cancel until the end of the attempt is taken as never to come.
  Duration CancelTimeout = std::chrono::seconds(5);
};

/// Run records of requests that may not be repeated.
struct RecordSettings {
  /// The longest wait for an answer to a claim.
  Duration ClaimTimeout = std::chrono::seconds(1);
  /// Ended keys remembered here; about 150 bytes each.
  std::size_t MaxEndedKeys = 20000;
};

/// When callers that were refused are told to come back.
struct RetryAfterSettings {
  Duration Min = std::chrono::seconds(1);
  Duration Max = std::chrono::seconds(60);
};

/// A graceful shutdown.
struct DrainSettings {
  /// When requests still open are cut off; zero for never.
  Duration HardLimit = std::chrono::minutes(10);
  /// Routers to which one request is offered before it is served here.
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
  /// Start of the random numbers for jitter; should differ between routers.
  std::uint64_t Seed = 1;
};

} // namespace parsleywing

#endif
