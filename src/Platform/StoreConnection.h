#ifndef PARSLEYWING_PLATFORM_STORECONNECTION_H
#define PARSLEYWING_PLATFORM_STORECONNECTION_H

#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <Poco/Net/HTTPClientSession.h>
#include <memory>
#include <stop_token>
#include <string>

namespace parsleywing {

/// An HTTP request to a key-value service.
struct StoreRequest {
  std::string Method;
  std::string Path;
  std::string Body;
};

/// The complete HTTP response to a request.
struct StoreResponse {
  int Status = 0;
  std::string Body;
};

namespace internal {
class TimedSocket;
} // namespace internal

/// Sends requests one at a time over a persistent HTTP connection; the time
/// limit of a call covers the whole exchange. Used by the clients of both
/// protocols of the platform's store. Not thread-safe. `Unreachable` means that
/// the call took no effect, `TimedOut` and `Interrupted` that it may have.
/// Nothing is retried automatically.
class StoreConnection {
public:
  /// A connection that was idle for longer than `MaxIdle`, or that the store
  /// has closed, is replaced instead of reused.
  StoreConnection(std::string Address, Duration MaxIdle, Clock C);
  ~StoreConnection();
  StoreConnection(StoreConnection &&) noexcept;
  StoreConnection &operator=(StoreConnection &&) = delete;
  StoreConnection(const StoreConnection &) = delete;
  StoreConnection &operator=(const StoreConnection &) = delete;

  /// If `Ended` is stopped before the response begins, the call fails with
  /// `Interrupted` within `EndedCheckInterval`.
  Result<StoreResponse> call(const StoreRequest &Request, Duration Limit,
                             const std::stop_token &Ended = {});
  static constexpr Duration EndedCheckInterval = std::chrono::milliseconds(100);

  /// Closes the connection; the next call opens a new one.
  void close();

private:
  class HttpSession;

  Result<void> connect(Duration Limit);
  Result<StoreResponse> exchange(const StoreRequest &Request,
                                 TimePoint Deadline,
                                 const std::stop_token &Ended);
  Result<void> awaitResponse(TimePoint Deadline, const std::stop_token &Ended);

  std::string Address;
  Duration MaxIdleTime;
  Clock Time;
  std::unique_ptr<HttpSession> Session;
  /// The socket of the session.
  internal::TimedSocket *Socket = nullptr;
  TimePoint LastUsedAt;
};

} // namespace parsleywing

#endif
