#ifndef PARSLEYWING_TEST_GATEWAY_SCRIPTEDSERVER_H
#define PARSLEYWING_TEST_GATEWAY_SCRIPTEDSERVER_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <mutex>
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

  std::string address() const { return this->Listening.address().toString(); }

  /// The requests read so far, heads and bodies.
  std::vector<std::string> requests();

private:
  void accept();
  void serve(Poco::Net::StreamSocket Connection);

  Script Answer;
  Poco::Net::ServerSocket Listening;
  std::atomic<bool> Stopping{false};
  std::mutex Guard;
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
