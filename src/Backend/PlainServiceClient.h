#ifndef PARSLEYWING_BACKEND_PLAINSERVICECLIENT_H
#define PARSLEYWING_BACKEND_PLAINSERVICECLIENT_H

#include "Backend/BackendCounters.h"
#include "Backend/BackendSettings.h"
#include "Backend/ConnectionPool.h"
#include "Decision/Request/RequestTypes.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleywing {

/// Header names and values in the order received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Parameters of one attempt to run a request on a plain HTTP service.
struct PlainCall {
  /// Numeric host and port of the service.
  std::string Address;
  std::string Method = "POST";
  /// Path and query as sent by the caller.
  std::string Path = "/";
  /// Hop-by-hop headers are not forwarded.
  HeaderList Headers;
  std::string Body;
  /// Identifies the request and the attempt; sent as `X-Request-Id`.
  std::string Identity;
  /// Upper bound on the first-event and event-gap timeouts of the settings;
  /// zero for none.
  Duration ProgressTimeout{0};
  /// Whether the request may be sent again after it may have run.
  bool Repeatable = false;
};

/// Callbacks of an attempt. All are called from the thread that runs the call;
/// any may be empty.
struct PlainListener {
  /// Called before the first byte of the request is sent.
  std::function<void()> SendStarted;
  /// See `EngineListener`.
  std::function<void()> ServerLeaving;
  /// Called with the response head. Returns false if the caller has
  /// disconnected, which ends the attempt.
  std::function<bool(int Status, const HeaderList &Headers)> HeadReceived;
  /// Called with each chunk of the body. Returns false to end the attempt.
  std::function<bool(std::string_view Chunk)> BodyReceived;
  /// See `EngineListener`.
  std::function<void(std::function<void()>)> SetCanceller;
};

struct PlainResult {
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
  /// Status code of the response; zero if none arrived.
  int Status = 0;
  std::uint64_t BodyBytes = 0;
  /// Part of the response was forwarded, so it cannot be replaced by another.
  bool ResponseStarted = false;
  bool ServerSuspect = false;
  bool ServerLeaving = false;
  bool PooledConnectionBroke = false;
  /// See `EngineResult`.
  std::optional<Duration> Pause = std::nullopt;
  /// See `EngineResult`.
  std::optional<TimePoint> LostConnectionOpenedAt = std::nullopt;
};

/// Runs attempts on plain HTTP services. Forwards any response of the service,
/// including errors. The exception are refusals that say that the request did
/// not run (429 or 503 with the error object of engines or with problem
/// details): they are not forwarded, so that another server can be tried.
/// Thread-safe; each call blocks its thread until the attempt ends.
class PlainServiceClient {
public:
  PlainServiceClient(BackendSettings S, BackendCounters &C)
      : Settings(std::move(S)), Counters(C), Pool(this->Settings) {}

  /// Never throws.
  PlainResult run(const PlainCall &Call, const PlainListener &Listener);

private:
  BackendSettings Settings;
  BackendCounters &Counters;
  ConnectionPool Pool;
};

/// Whether a header is hop-by-hop (RFC 9110, section 7.6.1) and must not be
/// forwarded.
bool isHopByHop(std::string_view Name);

/// Returns the headers that may be forwarded: all except hop-by-hop headers and
/// those listed in the `Connection` header.
HeaderList endToEndHeaders(const HeaderList &Headers);

} // namespace parsleywing

#endif
