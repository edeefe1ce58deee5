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

/// Declarations together with the key index built from them, so that a request
/// sees both from the same generation.
struct CallerDeclarations {
  DeclarationsPtr Active;
  std::shared_ptr<const AccountKeys> Keys;
};

/// State shared by the threads of all caller connections.
struct CallerContext {
  CallerContext(CallerSettings S, ControlLoop &C, std::string I);

  const CallerSettings Settings;
  ControlLoop &Control;
  EngineClient Engines;
  PlainServiceClient Services;
  /// Client for requests handed over to other routers. A request that waits in
  /// the other router's queue shows no progress, so only its deadline limits
  /// it.
  PlainServiceClient Routers;
  std::atomic<std::uint64_t> NextRequest{1};
  /// Distinguishes this process from earlier ones of the same router in
  /// request ids.
  const std::string IncarnationNumber;
  CallerCounters Counters;
  AccountLimiter InFlight;
  CallerWatch Watch;
  /// Must be set before the server starts; may be empty.
  TimingObserver Timings;
  /// The router is draining: `/health` answers 503, and connections close
  /// after their current response.
  std::atomic<bool> Draining{false};
  /// The process is shutting down: open requests end and connections close.
  std::atomic<bool> Stopping{false};

  CallerDeclarations declarations() const;

  /// Activates new declarations for all requests that start after this call.
  void setDeclarations(DeclarationsPtr Declared);

private:
  mutable std::mutex Mutex;
  CallerDeclarations Current;
};

} // namespace parsleywing

#endif
