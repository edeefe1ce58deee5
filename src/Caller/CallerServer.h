#ifndef PARSLEYWING_CALLER_CALLERSERVER_H
#define PARSLEYWING_CALLER_CALLERSERVER_H

#include "Control/ControlLoop.h"
#include "Decision/Declarations.h"
#include "Runtime/Result.h"

#include <Poco/Net/HTTPServer.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace parsleywing {

/// What the front to callers needs from the settings.
struct CallerSettings {
  /// Numeric host and port to listen on.
  std::string Address;
  std::string RouterName;
  /// Connections served at once; each has a thread.
  int MaxConnections = 512;
  /// Largest accepted body, in bytes.
  std::uint64_t MaxBodyBytes = 1 << 20;
  /// The time a request may take where the caller names none.
  Duration DefaultTimeout = std::chrono::seconds(60);
  /// The longest silence of a backend server before an attempt is given up.
  Duration BackendSilenceLimit = std::chrono::seconds(10);
};

/// What the handlers of all connections share.
struct CallerContext {
  CallerSettings Settings;
  ControlLoop &Control;
  std::atomic<std::uint64_t> NextRequest{1};
  /// Marks this process in the identities of its requests.
  std::string Life;

  DeclarationsPtr declarations() const;
  void setDeclarations(DeclarationsPtr InForce);

private:
  friend class CallerServer;
  CallerContext(CallerSettings S, ControlLoop &C, std::string L)
      : Settings(std::move(S)), Control(C), Life(std::move(L)) {}

  mutable std::mutex Guard;
  DeclarationsPtr InForce = std::make_shared<Declarations>();
};

/// The HTTP front to callers: one thread a connection, which blocks while its
/// request waits. A few hundred connections a router are meant; for tens of
/// thousands another front would be needed.
class CallerServer {
public:
  CallerServer(CallerSettings Settings, ControlLoop &Control, std::string Life);
  ~CallerServer();

  /// Binds the address and starts to serve.
  Result<void> start();

  /// Stops taking connections. Those that are open go on.
  void stopAccepting();

  CallerContext &context() { return this->Context; }

private:
  CallerContext Context;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace parsleywing

#endif
