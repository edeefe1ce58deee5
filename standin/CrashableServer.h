#ifndef PARSLEYWING_STANDIN_CRASHABLESERVER_H
#define PARSLEYWING_STANDIN_CRASHABLESERVER_H

#include "Runtime/Clock.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace parsleywing::standin {

/// An HTTP server that can simulate a crash of its process: it closes all
/// connections, refuses new ones, and listens again at the same address after a
/// delay.
class CrashableServer {
public:
  using Factory = std::function<Poco::Net::HTTPRequestHandlerFactory::Ptr()>;

  /// `HandlerFactory` creates the request handler factory at each start.
  CrashableServer(int MaxConnections, Factory HandlerFactory);
  ~CrashableServer();
  CrashableServer(const CrashableServer &) = delete;
  CrashableServer &operator=(const CrashableServer &) = delete;

  /// Throws Poco::Exception if the address is in use.
  void start(const std::string &Address);

  /// The listen address, with the port chosen at the first start.
  std::string address() const { return this->Endpoint.toString(); }

  /// Simulates a crash and returns when all connections are closed. May be
  /// called from a request handler, which may outlive the crash. Has no effect
  /// while the server is down.
  void crash(Duration RestartDelay);

  /// Closes all connections and cancels a pending restart.
  void stop();

private:
  void listen();
  void runCrashes();

  const int MaxConnections;
  Factory MakeHandlers;
  Poco::Net::SocketAddress Endpoint;
  std::unique_ptr<Poco::ThreadPool> Pool;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  /// `CrashRequested` is set until the crash thread has closed the server,
  /// `Down` from then until it listens again.
  bool CrashRequested = false;
  bool Down = false;
  Duration DownTime{};
  std::thread CrashThread;
};

} // namespace parsleywing::standin

#endif
