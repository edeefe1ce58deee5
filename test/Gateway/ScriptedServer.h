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

/// A server whose responses the test defines byte by byte: for each request
/// that it reads, the test's function writes to the raw connection.
class ScriptedServer {
public:
  /// Responds to one request; false closes the connection.
  using Script = std::function<bool(Poco::Net::StreamSocket &Connection,
                                    const std::string &Request)>;

  explicit ScriptedServer(Script S) : ScriptedServer(std::move(S), {}) {}
  /// `Early` is asked once for each request whose body has not been read yet,
  /// with its head. If it returns true, it has answered, and the connection
  /// ends.
  ScriptedServer(Script S, Script Early);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string address() const { return this->ListenAddress.toString(); }

  /// Simulates a crash of the process: closes all connections at once and
  /// refuses new ones until it listens again at the same address, after
  /// `Downtime`. The script may call this too.
  void crash(std::chrono::milliseconds Downtime);

  /// How often it has crashed.
  std::size_t crashCount() const { return this->Crashes; }

  /// The requests received so far, each with head and body.
  std::vector<std::string> requests();

private:
  void listen();
  void accept();
  void startWorker(const Poco::Net::StreamSocket &Connection);
  /// Returns once the server listens.
  void waitForRestart();
  void serve(Poco::Net::StreamSocket Connection);

  Script Respond;
  Script RespondEarly;
  Poco::Net::ServerSocket Listening;
  const Poco::Net::SocketAddress ListenAddress;
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Crashes{0};
  std::mutex Mutex;
  /// Set after a crash, until the server listens again.
  std::optional<std::chrono::steady_clock::time_point> DownUntil;
  std::vector<Poco::Net::StreamSocket> OpenConnections;
  std::vector<std::string> Requests;
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

void sendText(Poco::Net::StreamSocket &Connection, const std::string &Text);

/// Resets a connection at once, also if a child process has inherited its
/// descriptor.
void resetNow(const Poco::Net::StreamSocket &Connection);

/// The value of a header field in the text of a request or response; empty if
/// absent.
std::string fieldOf(const std::string &Text, const std::string &Name);

} // namespace parsleywing::test

#endif
