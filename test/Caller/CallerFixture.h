#ifndef PARSLEYWING_TEST_CALLER_CALLERFIXTURE_H
#define PARSLEYWING_TEST_CALLER_CALLERFIXTURE_H

#include "Caller/CallerServer.h"
#include "standin/EngineStandIn.h"
#include "standin/PlainServiceStandIn.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace parsleywing::test {

/// Returns a loopback address on which no socket is listening.
std::string freeAddress();

/// Polls until the condition holds; false after 10 s.
bool eventually(const std::function<bool()> &Condition);

/// A raw connection of a caller, which can send bytes that no HTTP client would
/// send.
class RawCaller {
public:
  explicit RawCaller(const std::string &Address);

  void send(const std::string &Bytes);

  /// Returns all bytes until the peer closes the connection; waits up to 10 s.
  std::string readToEnd();

  /// Returns the bytes received until they contain `Text` or the connection
  /// ends; waits up to 10 s.
  std::string readUntil(const std::string &Text);

  /// Closes the connection.
  void disconnect() { this->Socket.close(); }

  Poco::Net::StreamSocket &socket() { return this->Socket; }

private:
  Poco::Net::StreamSocket Socket;
};

/// Delivers message parts between the routers of one test within the process.
class PeerWire {
public:
  void add(RouterId Router, ControlLoop &Control);
  /// After this call the router receives nothing more.
  void remove(RouterId Router);
  /// Delivers a part to all routers except its sender.
  void deliver(RouterId From, const PeerPart &Part);

private:
  std::mutex Mutex;
  std::map<RouterId, ControlLoop *> Routers;
};

/// Name of a router, and the wire that connects it to the other routers of the
/// test, if any.
struct FixtureRouter {
  std::string Name = "r1";
  PeerWire *Wire = nullptr;
};

/// A router's caller-facing server with its control thread, one stand-in engine
/// and one stand-in plain service, all in this process. The account "kettle"
/// has the key "kettle-key" and may use the model "advisory" and the plain
/// service "records", whose calls may not be repeated. The account "ledger" has
/// the key "ledger-key" and may use the model. Every claim of a run record
/// succeeds.
class CallerFixture {
public:
  explicit CallerFixture(CallerSettings NewSettings = {},
                         std::uint32_t Slots = 8,
                         Duration Step = std::chrono::milliseconds(1),
                         const FixtureRouter &Router = {});
  ~CallerFixture();
  CallerFixture(const CallerFixture &) = delete;
  CallerFixture &operator=(const CallerFixture &) = delete;

  std::string address() const { return this->Settings.Address; }
  standin::EngineStandIn &engine() { return *this->Engine; }
  standin::PlainServiceStandIn &service() { return *this->Service; }
  /// Number of run records claimed so far.
  int claims() const { return this->Claims; }
  CallerServer &server() { return *this->Server; }
  ControlLoop &control() { return this->Control; }

  /// Sends raw bytes on a new connection and returns everything received until
  /// it closes.
  std::string exchange(const std::string &Bytes) const;

  /// Returns a `POST` request to a path as raw bytes, with `Connection: close`.
  static std::string postTo(const std::string &Path, const std::string &Body,
                            const std::string &MoreHeaders = "",
                            const std::string &Key = "kettle-key");

  /// Returns a `POST /v1/responses` as raw bytes, with `Connection: close`.
  static std::string post(const std::string &Body,
                          const std::string &MoreHeaders = "",
                          const std::string &Key = "kettle-key");

private:
  void execute(const Action &NewAction);

  FixtureRouter Self;
  CallerSettings Settings;
  std::unique_ptr<standin::EngineStandIn> Engine;
  std::unique_ptr<standin::PlainServiceStandIn> Service;
  std::atomic<int> Claims{0};
  ControlLoop Control;
  std::unique_ptr<CallerServer> Server;
};

/// Returns the status code of a raw response; 0 if it has none.
int statusOfResponse(const std::string &Response);

/// Whether the response is a complete problem+json document of this type, with
/// a request id and an outcome.
bool isProblem(const std::string &Response, int Status,
               const std::string &Type);

} // namespace parsleywing::test

#endif
