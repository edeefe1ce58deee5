#ifndef PARSLEYWING_BACKEND_PLAINSERVICECLIENT_H
#define PARSLEYWING_BACKEND_PLAINSERVICECLIENT_H

#include "Backend/BackendCounters.h"
#include "Backend/BackendSettings.h"
#include "Backend/ConnectionPool.h"
#include "Decision/Request/RequestTypes.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace parsleywing {

/// Names and values in the order in which they came.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One attempt to have a plain HTTP service serve a request.
struct PlainCall {
  /// Numeric host and port of the service.
  std::string Address;
  std::string Method = "POST";
  /// Path and query, as the caller sent them.
  std::string Path = "/";
  /// Headers that concern one connection only are left out.
  HeaderList Headers;
  std::string Body;
  /// Names the request and the attempt; sent as `X-Request-Id`.
  std::string Identity;
  /// Tightens the limits of silence in the settings; zero leaves them.
  Duration ProgressTimeout{0};
  /// Whether the request may be sent again after it may have run.
  bool Repeatable = false;
};

/// What the attempt tells the thread that serves the caller. All functions are
/// called from the thread that runs the call; any may be empty.
struct PlainListener {
  /// The first byte of the request may leave from here on.
  std::function<void()> SendStarted;
  /// The head of the answer. False ends the attempt: the caller is gone.
  std::function<bool(int Status, const HeaderList &Headers)> HeadReceived;
  /// A piece of the body. False ends the attempt.
  std::function<bool(std::string_view Piece)> BodyReceived;
  /// As in `EngineListener`.
  std::function<void(std::function<void()>)> SetCanceller;
};

struct PlainResult {
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
  /// Of the answer; zero where none came.
  int Status = 0;
  std::uint64_t BodyBytes = 0;
  /// Part of the answer was passed on, so it cannot be replaced by another.
  bool ResponseStarted = false;
  bool ServerSuspect = false;
  bool ServerLeaving = false;
  bool PooledConnectionBroke = false;
  std::uint32_t RetryAfterSeconds = 0;
};

/// Runs attempts at plain HTTP services. Any answer of the service is the
/// answer, also one of failure, but for the refusals that say that the request
/// did not run (429, or 503, with the error object of engines or problem
/// details): those are not passed on, so that it can be sent elsewhere.
/// Safe from every thread; blocks the calling one.
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

/// Whether a header concerns one connection only (RFC 9110, section 7.6.1) and
/// must not be passed on.
bool isHopByHop(std::string_view Name);

/// The headers that may be passed on: without those above and without those
/// that the `Connection` header names.
HeaderList endToEndHeaders(const HeaderList &Headers);

} // namespace parsleywing

#endif
