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

/// An HTTP server that can end like a crashed process: its connections end, new
/// ones are refused, and after some time it listens again at its address.
class CrashableServer {
public:
  using Factory = std::function<Poco::Net::HTTPRequestHandlerFactory::Ptr()>;

  /// `Made` gives the handlers of each start.
  CrashableServer(int MaxConnections, Factory Made);
  ~CrashableServer();
  CrashableServer(const CrashableServer &) = delete;
  CrashableServer &operator=(const CrashableServer &) = delete;

  /// Throws Poco::Exception where the address is taken.
  void start(const std::string &Address);

  /// The address that was listened on first, with its port.
  std::string address() const { return this->Place.toString(); }

  /// Crashes, and returns when it has; safe from a handler, which may outlive
  /// the crash. Nothing happens while it is down.
  void crash(Duration BackAfter);

  /// Ends all connections and every crash.
  void stop();

private:
  void listen();
  void runCrashes();

  const int MaxConnections;
  Factory MakeHandlers;
  Poco::Net::SocketAddress Place;
  std::unique_ptr<Poco::ThreadPool> Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  /// A crash is wanted; it has happened, and the server is away.
  bool Wanted = false;
  bool Down = false;
  Duration AwayFor{};
  std::thread Crasher;
};

} // namespace parsleywing::standin

#endif
