#ifndef PARSLEYWING_CALLER_CALLERCONTEXT_H
#define PARSLEYWING_CALLER_CALLERCONTEXT_H

#include "Backend/EngineClient.h"
#include "Backend/PlainServiceClient.h"
#include "Caller/AccountKeys.h"
#include "Caller/AccountLimiter.h"
#include "Caller/CallerCounters.h"
#include "Caller/CallerSettings.h"
#include "Caller/CallerWatch.h"
#include "Caller/RequestTiming.h"
#include "Control/ControlLoop.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace parsleywing {

/// Declarations with the index of their keys, so that a request sees both of
/// one generation.
struct CallerDeclarations {
  DeclarationsPtr Active;
  std::shared_ptr<const AccountKeys> Keys;
};

/// What the threads of all connections share.
struct CallerContext {
  CallerContext(CallerSettings S, ControlLoop &C, std::string L);

  const CallerSettings Settings;
  ControlLoop &Control;
  EngineClient Engines;
  PlainServiceClient Services;
  /// For requests handed over. Their wait in the other router's queue shows no
  /// progress, so that only their deadline ends it.
  PlainServiceClient Routers;
  std::atomic<std::uint64_t> NextRequest{1};
  /// Marks this process in the identities of its requests.
  const std::string IncarnationNumber;
  CallerCounters Counters;
  AccountLimiter InFlight;
  CallerWatch Watch;
  /// Set before the server starts; may be empty.
  TimingObserver Timings;
  /// No new work is wanted: `/health` says so, and connections are closed
  /// after their answer.
  std::atomic<bool> Draining{false};
  /// The process ends now: connections are given up.
  std::atomic<bool> Stopping{false};

  CallerDeclarations declarations() const;

  /// Puts new declarations in force for requests that begin from here on.
  void setDeclarations(DeclarationsPtr Declared);

private:
  mutable std::mutex Mutex;
  CallerDeclarations Current;
};

} // namespace parsleywing

#endif
