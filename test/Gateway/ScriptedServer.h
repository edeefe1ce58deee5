#ifndef PARSLEYWING_TEST_GATEWAY_SCRIPTEDSERVER_H
#define PARSLEYWING_TEST_GATEWAY_SCRIPTEDSERVER_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace parsleywing::test {

/// A server whose every byte a test chooses: it reads one request after the
/// other and has the test's function answer it on the raw connection.
class ScriptedServer {
public:
  /// Answers one request; false closes the connection.
  using Script = std::function<bool(Poco::Net::StreamSocket &Connection,
                                    const std::string &Request)>;

  explicit ScriptedServer(Script S);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string address() const { return this->ListenAddress.toString(); }

  /// Ends like a process that crashes: all connections at once, and new ones
  /// are refused until it listens again at its address, after `BackAfter`. For
  /// its script too.
  void crash(std::chrono::milliseconds BackAfter);

  /// How often it has crashed.
  std::size_t crashCount() const { return this->Crashes; }

  /// The requests read so far, heads and bodies.
  std::vector<std::string> requests();

private:
  void accept();
  void startWorker(const Poco::Net::StreamSocket &Connection);
  void waitForRestart();
  void serve(Poco::Net::StreamSocket Connection);

  Script Respond;
  Poco::Net::ServerSocket Listening;
  const Poco::Net::SocketAddress ListenAddress;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Crashes{0};
  std::mutex Mutex;
  /// Not listening until then.
  std::optional<std::chrono::steady_clock::time_point> DownUntil;
  std::vector<Poco::Net::StreamSocket> OpenConnections;
  std::vector<std::string> Requests;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

/// Sends all bytes of a text.
void sendText(Poco::Net::StreamSocket &Connection, const std::string &Text);

/// The value of a field of a request's or answer's text; empty where absent.
std::string fieldOf(const std::string &Text, const std::string &Name);

} // namespace parsleywing::test

#endif
