#ifndef PARSLEYWING_PLATFORM_STORECONNECTION_H
#define PARSLEYWING_PLATFORM_STORECONNECTION_H

#include "Runtime/Clock.h"
#include "Runtime/Result.h"

#include <Poco/Net/HTTPClientSession.h>
#include <memory>
#include <string>

namespace parsleywing {

/// A call on a key-value service as it goes over the wire.
struct StoreRequest {
  std::string Method;
  std::string Path;
  std::string Body;
};

/// The whole answer to a call.
struct StoreResponse {
  int Status = 0;
  std::string Body;
};

/// Calls over one kept HTTP connection, one after the other, each bounded as a
/// whole. Shared by the clients of both forms of the platform's store. For one
/// thread. `Unreachable` says that the call took no effect, `TimedOut` and
/// `Interrupted` that it may have. Nothing is sent again by itself.
class StoreConnection {
public:
  /// A connection idle for longer than `MaxIdle` is replaced, not used again,
  /// and so is one that the store has ended.
  StoreConnection(std::string Address, Duration MaxIdle, Clock C);
  ~StoreConnection();
  StoreConnection(StoreConnection &&) noexcept;
  StoreConnection &operator=(StoreConnection &&) = delete;
  StoreConnection(const StoreConnection &) = delete;
  StoreConnection &operator=(const StoreConnection &) = delete;

  Result<StoreResponse> call(const StoreRequest &Message, Duration Limit);

  /// Begins anew with the next call.
  void close();

private:
  class HttpSession;

  Result<void> connect(Duration Limit);
  Result<StoreResponse> exchange(const StoreRequest &Message,
                                 TimePoint Deadline);

  std::string Address;
  Duration MaxIdleTime;
  Clock Time;
  std::unique_ptr<HttpSession> Session;
  TimePoint LastUsedAt;
};

} // namespace parsleywing

#endif
