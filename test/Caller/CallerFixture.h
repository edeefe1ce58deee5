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

/// An address on loopback that nobody listened on a moment ago.
std::string freeAddress();

/// Polls until the condition holds; false after 10 s.
bool eventually(const std::function<bool()> &Condition);

/// A raw connection of a caller, for bytes that no HTTP client would send.
class RawCaller {
public:
  explicit RawCaller(const std::string &Address);

  void send(const std::string &Bytes);

  /// All bytes until the other side closes; at most 10 s.
  std::string readToEnd();

  /// Bytes until this text has come, or the end; at most 10 s.
  std::string readUntil(const std::string &Text);

  /// Closes the connection.
  void disconnect() { this->Socket.close(); }

  Poco::Net::StreamSocket &socket() { return this->Socket; }

private:
  Poco::Net::StreamSocket Socket;
};

/// Carries parts between the routers of one test, all in this process.
class PeerWire {
public:
  void add(RouterId Router, ControlLoop &Control);
  /// Afterwards the router gets nothing more.
  void remove(RouterId Router);
  /// Gives a part to every router but its sender.
  void deliver(RouterId From, const PeerPart &Part);

private:
  std::mutex Mutex;
  std::map<RouterId, ControlLoop *> Routers;
};

/// A router of a test with several. Without a wire it is alone.
struct FixtureRouter {
  std::string Name = "r1";
  PeerWire *Wire = nullptr;
};

/// A router's front with its control thread, one stand-in engine and one plain
/// service, all in this process. The account "kettle" has the key "kettle-key"
/// and may use the model "advisory" and the plain service "records", whose
/// calls may not be repeated; "ledger" with "ledger-key" may use the model too.
/// Every claim of a run record succeeds.
class CallerFixture {
public:
  explicit CallerFixture(CallerSettings Changed = {}, std::uint32_t Slots = 8,
                         Duration Step = std::chrono::milliseconds(1),
                         const FixtureRouter &Router = {});
  ~CallerFixture();
  CallerFixture(const CallerFixture &) = delete;
  CallerFixture &operator=(const CallerFixture &) = delete;

  std::string address() const { return this->Settings.Address; }
  standin::EngineStandIn &engine() { return *this->Engine; }
  standin::PlainServiceStandIn &service() { return *this->Service; }
  /// Claims of run records so far.
  int claims() const { return this->Claims; }
  CallerServer &server() { return *this->Server; }
  ControlLoop &control() { return this->Control; }

  /// Sends raw bytes on a connection of its own; the answer to its end.
  std::string exchange(const std::string &Bytes) const;

  /// A `POST` of this path as raw bytes, for one connection.
  static std::string postTo(const std::string &Path, const std::string &Body,
                            const std::string &MoreHeaders = "",
                            const std::string &Key = "kettle-key");

  /// A `POST /v1/responses` as raw bytes, for one connection.
  static std::string post(const std::string &Body,
                          const std::string &MoreHeaders = "",
                          const std::string &Key = "kettle-key");

private:
  void carryOut(const Action &Asked);

  FixtureRouter Self;
  CallerSettings Settings;
  std::unique_ptr<standin::EngineStandIn> Engine;
  std::unique_ptr<standin::PlainServiceStandIn> Service;
  std::atomic<int> Claims{0};
  ControlLoop Control;
  std::unique_ptr<CallerServer> Server;
};

/// The status code of a raw answer; 0 where there is none.
int statusOfAnswer(const std::string &Answer);

/// Whether the answer is whole problem+json of this type, with a request id
/// and an outcome.
bool isProblem(const std::string &Answer, int Status, const std::string &Type);

} // namespace parsleywing::test

#endif
